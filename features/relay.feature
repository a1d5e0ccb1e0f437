Feature: A few hosts of a large fleet watch the store for the others

  Scenario: A host gets what changed since, without heartbeats that say nothing new
    Given a relay that watches from revision 10
    When the store changes "servers/a" to "x 1" at 11, to "x 2" at 12 and to "y 3" at 13
    Then a host at revision 10 gets the changes 11, 13 and goes on from 13
    And a host at revision 11 gets the changes 13 and goes on from 13
    And a host at revision 13 gets no changes and goes on from 13

  Scenario: A host that is behind what the relay has kept lists the store again
    Given a relay that watches from revision 10
    When the store changes "servers/a" to "x 1" at 11, to "x 2" at 12 and to "y 3" at 13
    Then a host at revision 9 is told that changes are missing

  Scenario: A relay whose own history was lost does not hide the gap
    Given a relay that watches from revision 10
    When the store changes "servers/a" to "x 1" at 11, to "x 2" at 12 and to "y 3" at 13
    And the relay lists the store again and goes on from 20
    Then a host at revision 13 is told that changes are missing

  Scenario: A relay that the store does not answer says so
    Given a relay that watches from revision 10
    When 3 s pass at the relay without an answer of the store
    Then a host at revision 10 is sent away

  Scenario: A relay whose call to the store failed sends hosts away at once
    Given a relay that watches from revision 10
    When the store does not answer the relay
    Then a host at revision 10 is sent away

  Scenario: A relay that has just lost its history sends hosts away at once
    Given a relay that watches from revision 10
    When the relay's history is lost
    Then a host at revision 10 is sent away

  Scenario: A relay that has heard nothing for longer than a watch takes sends hosts away
    Given a relay that watches from revision 10
    When 2 s pass at the relay without an answer of the store
    Then a host at revision 10 is sent away

  Scenario: A relay's own watch that fails is known to the hosts that ask next
    Given 13 listed hosts, of which one runs as the only relay
    When the store is down and the relay watches
    And a host that is no relay watches
    Then it learns that neither relay nor store answers

  # Guards against DRAIN: a relay whose watch was cut sent the others away, who then avoided it for a second.
  Scenario: A relay whose watch is cut sends hosts away
    Given 13 listed hosts, of which one runs as the only relay
    When the store cuts the relay's watch
    And a host that is no relay watches
    Then it gets its changes from the relay, and the store was asked nothing
    When the store is down and the relay watches
    And a host that is no relay watches
    Then it learns that neither relay nor store answers

  Scenario: Loads of all hosts are added, and those of hosts that fell silent expire
    Given a relay that watches from revision 10
    When the hosts report
      | host | role | loads |
      | h1   | host | a=2   |
      | h2   | host | a=1   |
      | r2   | root | a=4   |
    Then with 1 of its own the relay's total for "a" is 8 and its subtotal 4
    When 3 s pass at the relay without an answer of the store
    Then with 1 of its own the relay's total for "a" is 1 and its subtotal 1

  Scenario: A host that is sent away is counted where it goes next, not here too
    Given a relay that watches from revision 10
    When the store does not answer the relay
    And the hosts report
      | host | role | loads |
      | h1   | host | a=2   |
    Then with 1 of its own the relay's total for "a" is 1 and its subtotal 1

  Scenario: A host that went to another relay is soon forgotten
    Given a relay that watches from revision 10
    When the hosts report
      | host | role | loads |
      | h1   | host | a=2   |
    And 1 s pass at the relay without an answer of the store
    Then with 1 of its own the relay's total for "a" is 1 and its subtotal 1

  Scenario: A host that goes to another root takes leave of the first
    Given 13 listed hosts, of which both roots run
    When a host that is no relay watches
    Then one root counts it
    When the root that it asked leaves the list
    And a host that is no relay watches
    Then the other root counts it

  Scenario: Hosts of a large fleet follow a relay, and the store when no relay answers
    Given 13 listed hosts, of which one runs as the only relay
    When a host that is no relay watches
    Then it gets its changes from the relay, and the store was asked nothing
    When the relay's process ends
    And a host that is no relay watches
    Then it gets its changes from the store

  Scenario Outline: The work of passing on changes is spread over strong hosts
    Given a fleet of <hosts> hosts, every second one weak
    When each host plans whom it asks
    Then <roots> strong hosts watch the store
    And each host is asked first by at most <most> others
    And a change reaches every host over at most <hops> others

    Examples: a relay answers a bounded number of hosts, however large the fleet
      | hosts | roots | most | hops |
      | 13    | 2     | 9    | 1    |
      | 84    | 2     | 20   | 2    |
      | 360   | 2     | 30   | 2    |

  Scenario: In a small fleet every host watches the store
    Given a fleet of 12 hosts, every second one weak
    When each host plans whom it asks
    Then 12 hosts watch the store themselves

  Scenario: Hosts that did not answer a moment ago are not asked
    Given a fleet of 84 hosts, every second one weak
    When each host plans whom it asks
    Then a host that avoids all relays asks the roots
    And a root that avoids the other one tells nobody

  Scenario: A peer that hangs holds a root up once, not in every round
    Given a root whose only peer accepts connections and never answers
    Then of 4 watches only the first takes more than 0.4 s

  Scenario: Knowledge grows old on its way over several hosts
    Given a relay that follows a host whose knowledge is 0.8 s old
    Then a host at revision 10 gets no changes and goes on from 10
    Given a relay that follows a host whose knowledge is 1.3 s old
    Then a host at revision 10 is sent away

  Scenario: A relay passes on the sums of its root, and none of its own making
    Given a relay that follows a host whose knowledge is 0.1 s old
    Then the totals that it passes on are {}
    When the host that it follows says that the fleet has {"a": 20}
    Then the totals that it passes on are {"a": 20}

  Scenario: A long route table does not fill the links between hosts
    Given a relay that watches from revision 10
    When the store changes a value of 100000 similar bytes
    Then a host gets the value whole in less than 4000 bytes

  Scenario: A relay that the store turns away still learns what changed
    Given 84 listed hosts, of which a root and a relay run, the relay cut from the store
    When a host that is no relay watches
    Then it gets its changes through the relay

  Scenario: A rate limit that one host hears of is known to the hosts that it asks, and theirs to it
    Given 13 listed hosts, of which one runs as the only relay
    When a host that is no relay hears that the replica "a" takes 2 a second
    And the relay hears that the replica "b" takes 3 a second
    And a host that is no relay watches
    Then both know the limits "a=2, b=3"
