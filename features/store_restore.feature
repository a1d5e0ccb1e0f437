Feature: The store comes back from an older copy of itself

  Scenario Outline: A change after the store came back from a copy is missed
    Given <hosts> that follow the store
    When the store is copied, and then changes <before> times
    And the store comes back from the copy and changes <after> times
    Then all of them have what the store has

    Examples:
      | hosts               | before | after |
      | a relay and a host  | 5      | 2     |
      | a relay and a host  | 2      | 5     |
      | a relay and a host  | 3      | 3     |
      | one host            | 5      | 2     |
      | one host            | 2      | 5     |
      | one host            | 3      | 3     |

  Scenario: A lease from before the copy is taken for that of another host with the same number
    Given a stand-in of the platform's store
    When a host has a lease, the store comes back from an earlier copy, and another host gets the number
    Then the first host's lease is over, and what it does to it leaves the other host's entry alone

  Scenario: A host stays unlisted after the store lost its entry
    Given a stand-in of the platform's store
    When a host registers, and the store comes back from an earlier copy
    Then the host registers with its next step

  Scenario: A condemned request is unknown to hosts that start after the store lost the report
    Given a stand-in of the platform's store
    When a host reports a condemned request, and the store comes back from an earlier copy
    Then the report is in the store again within 2 s

  Scenario: A replica that has left gets requests again from an older listing
    Given a host that follows the store
    When a replica registers
    And the host follows, and the store is copied
    And the replica is removed, and the host follows
    And the store comes back from the copy, and the host follows
    Then the host knows no replica
    When the replica writes its entry again
    Then the host knows the replica and no other

  Scenario: A host that starts gets an older route table from one that knows the newest
    Given a host that follows the store
    When the operator writes version 1, and the store is copied
    And the operator writes version 2, and the host follows
    And the store comes back from the copy, and the host follows
    Then a host that starts with its snapshot has version 2
