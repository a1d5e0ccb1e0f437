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

  # Guards against an evacuation that a store without it leaves in force for ever.
  Scenario: An evacuation that the store lost does not end when the store has been calm
    Given a host that follows the store
    When the store is copied, and the operator evacuates "a"
    And the store comes back from the copy, and the host follows
    And the store is calm for 9 s
    Then the host holds "a" evacuated
    When the snapshot of another host has "a" evacuated
    And the store is calm for 11 s
    Then the host holds "" evacuated

  # Guards against requests to the zone in a burst, and against all of its prefixes moving back at once.
  Scenario Outline: A burst reaches an evacuated zone, or its whole traffic returns at once
    Given 20 routers that hear of changes within 2.4 s
    When zone a is evacuated from 2 s to 8 s beside three times the traffic of <kind> requests from 3 s to 6 s
    Then zone a gets nothing from 4.4 s to 8 s, and its share grows until it is usual at 16 s
    And two routers agree on the prefixes that came back by 10 s

    Examples:
      | kind  |
      | model |
      | plain |

  Scenario: Callers are sent to an evacuated zone
    Given a forwarding router with a replica in zone a and one in b
    When the operator evacuates the zones a
    Then 30 callers of "/orders/x" get 200, and zone a gets nothing
    When the operator evacuates the zones b
    Then 3 callers of "/orders/x" get 503, and zone a gets nothing

  # Guards against a connection that only asks whether the replica's process has ended.
  Scenario: A request that breaks off in an evacuated zone has the replica probed
    Given a forwarding router with a replica in zone a and one in b
    When zone a is evacuated while a request that breaks off runs there
    Then the request is answered from zone b, and zone a is not probed

  Scenario Outline: A host that is cut from the store misses an evacuation
    When one of <count> hosts, a <role>, is cut from the store
    Then it still learns of changes from another host

    Examples:
      | count | role |
      | 13    | root |
      | 3     | host |

  Scenario: A host that started while it is cut from the store misses an evacuation
    Given a forwarding router with a replica in zone a and one in b
    And another one that does not reach the store
    When the operator evacuates the zones a
    Then the other one holds zone a evacuated within 4 s

  # Guards against requests that a host places by what it knew before it was suspended.
  Scenario: A suspended host places requests by old information
    When a host is suspended for longer than an evacuation may take
    Then a request waits until the host has asked for changes
    And no request waits while the store is known to be away
