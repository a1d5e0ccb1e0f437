Feature: A large fleet notices hosts that fall silent before their leases end

  Scenario: A host that was heard and is heard no more is silent
    Given a root that lists the hosts "a b c d"
    When "a b" report to it, and after 2.4 s "a" again
    Then no host is silent
    When 0.2 s pass at the root
    Then the silent hosts are "b"
    When "b" report to it
    Then no host is silent

  Scenario: A host that has left the store is not silent but gone
    Given a root that lists the hosts "a b c d"
    When "a b" report to it, and after 3 s "a" again
    And the root lists the hosts "a c d"
    Then no host is silent

  Scenario: A host that reports to another root now is not silent
    Given a root that lists the hosts "a b c d"
    When "a b" report to it, and after 3 s "a" again
    And the other root says that it hears "b c" and misses "d"
    Then the silent hosts are "d"

  Scenario: A cut between the roots makes nobody silent
    Given a root that lists the hosts "a b c d"
    When "a b" report to it, and the other root says that it hears "c d" and misses ""
    And 9 s pass at the root, with "a b" reporting
    Then no host is silent

  Scenario: A root that hears hardly anybody takes itself for cut off
    Given a root that lists the hosts "a b c d"
    When "a b c d" report to it, and after 3 s "a" again
    Then no host is silent

  Scenario: A relay passes the hosts that it hears up, and the silent ones down
    Given a relay with the followers "h1 h2" under a root that misses "h7"
    Then the relay reports that it hears "h1 h2"
    And its followers are told that "h7" is silent

  Scenario: The directory leaves silent hosts out while word of them is fresh
    Given a host that knows "a b c"
    When it hears that "b" is silent
    Then its directory names "a c me"
    When 2.5 s pass without word
    Then its directory names "a b c me"

  Scenario Outline: The larger the fleet, the longer the leases
    Then <hosts> hosts renew leases of <term> s

    Examples:
      | hosts | term |
      | 6     | 1.2  |
      | 12    | 1.2  |
      | 80    | 14   |
      | 195   | 34.1 |

  Scenario: A host is listed when it knows what to serve, with one lease and one write
    Given a host of a fleet of 80 that knows no routes yet
    When its presence looks after its entry for 3 s
    Then the store got no write
    When it learns the routes
    And its presence looks after its entry for 9 s
    Then the store granted 1 leases and wrote its entry once

  Scenario: An entry that is missing in the view is written again
    Given a host of a fleet of 80 that knows no routes yet
    When it learns the routes
    And its presence looks after its entry for 1 s
    And its entry vanishes from the store's view
    And its presence looks after its entry for 12 s
    Then the store granted 2 leases

  Scenario: During an outage a host of a large fleet hardly asks the store, and is listed soon after
    Given a host of a fleet of 195 that knows no routes yet
    When it learns the routes
    And the store goes away
    And its presence looks after its entry for 12 s
    Then it asked the store at most 6 times
    When the store is back, and the host has word of it
    And its presence looks after its entry for 1 s
    Then the store has its entry

  Scenario Outline: All hosts together try a store that is away at a bounded rate
    Then <hosts> hosts try it <rate> times a second

    Examples:
      | hosts | rate |
      | 6     | 24   |
      | 80    | 50   |
      | 195   | 50   |
      | 360   | 50   |
