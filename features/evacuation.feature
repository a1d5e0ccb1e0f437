Feature: Operators evacuate availability zones

  # Guards against requests or copies to a zone that is out of service, whatever came before.
  Scenario Outline: A request or a copy reaches an evacuated zone
    Given a router with 3 replicas in each of the zones a, b and c
    When it learns of <events>
    Then first attempts, repeats and copies reach the zones <zones> only

    Examples:
      | events                                                     | zones   |
      | evacuate a                                                 | b, c    |
      | evacuate a, evacuate a, end a                              | a, b, c |
      | evacuate a, end a, evacuate a                              | b, c    |
      | end a, evacuate b                                          | a, c    |
      | evacuate a, evacuate b, end a                              | a, c    |
      | evacuate a, older listing of none                          | b, c    |
      | evacuate a, older listing of b                             | c       |
      | evacuate a, newer listing of none                          | a, b, c |
      | evacuate a, newer listing of b                             | a, c    |
      | evacuate a, older listing of none, newer listing of none   | a, b, c |
      | evacuate a, older listing of none, newer listing of a      | b, c    |
      | evacuate a, older listing of none, end a                   | a, b, c |
      | evacuate a, older listing of none, older listing of none   | b, c    |
      | evacuate a, end a, older listing of a                      | b, c    |
      | evacuate a, store unavailable, entries lapse and return    | b, c    |
      | evacuate a, newcomer in a                                  | b, c    |

  # Guards against 502, a missing time to come back, and a title that hides the cause.
  Scenario: Callers do not learn that all zones are evacuated
    Given a router with 3 replicas in each of the zones a, b and c
    When it learns of evacuate a, evacuate b, evacuate c
    Then requests are rejected with 503 because all zones are evacuated
    When it learns of end b
    Then first attempts, repeats and copies reach the zones b only

  Scenario: An evacuation does not survive the way through the store
    Given a host that follows the store
    When the operator evacuates "a"
    Then the host holds "a" evacuated
    When the operator evacuates "b"
    And the operator ends the evacuation of "a"
    Then the host holds "b" evacuated
    And a host that starts with its snapshot holds "b" evacuated

  # Guards against traffic to a zone whose evacuation the store lost.
  Scenario: A store that comes back from an older copy ends an evacuation
    Given a host that follows the store
    When the store is copied, and the operator evacuates "a"
    And the store comes back from the copy, and the host follows
    Then the host holds "a" evacuated
    And a host that starts with its snapshot holds "a" evacuated
    When the operator evacuates "a"
    And the operator ends the evacuation of "a"
    Then the host holds "" evacuated

  # Guards against an evacuation that relayed hosts never hear of, as relays leave out entries that did not change.
  Scenario: A relay that missed the end of an evacuation does not pass on the next one
    Given a host that follows the store
    Then it relays an evacuation that is written twice with the same value twice

  Scenario Outline: An odd entry beside an evacuation hides it or others
    Given a host that follows the store
    When the operator writes <content> to "<key>"
    And the operator evacuates "a"
    Then the host holds "<zones>" evacuated
    And it logs "<line>"

    Examples:
      | content   | key                 | zones          | line                                    |
      | {}        | op/evacuate/        | a              | view: an evacuation names no zone       |
      | nothing   | op/evacuate/b       | a, b           | view: unexpected value of an evacuation |
      | 5         | op/evacuate/b       | a, b           | view: unexpected value of an evacuation |
      | nested    | op/evacuate/b       | a, b           | view: unexpected value of an evacuation |
      | not UTF-8 | op/evacuate/b       | a, b           | view: unexpected value of an evacuation |
      | {}        | op/evacuate/no/such | a, no/such     | view: no replica in an evacuated zone   |
      | {}        | op/evacuated        | a              | view: zone evacuated                    |
