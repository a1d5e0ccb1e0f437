Feature: Replicas that name how many requests a second they take from all hosts

  Scenario Outline: The limit of a replica on the wire
    When a replica answers <status> and names its limit as "<text>"
    Then the limit is <limit> requests a second

    Examples:
      | status | text  | limit |
      | 200    | 2.8   | 2.8   |
      | 503    | 2     | 2     |
      | 200    | 0     | 0     |
      | 200    | -1    | no    |
      | 200    | nan   | no    |
      | 200    | inf   | no    |
      | 200    | 1e999 | no    |
      | 200    | many  | no    |
      | 200    |       | no    |
      | 421    | 2.8   | no    |

  Scenario Outline: A replica gets no more than the limit that it named, from all routers together
    Given a fleet of <routers> routers, each with <replicas> replicas
    When for 24 s <per_s> streams a second arrive, and <named> replicas name a limit of <limit> a second
    Then from 3 s on no replica gets in 4 s more than its limit allows

    Examples:
      | routers | replicas | per_s | named | limit |
      | 6       | 6        | 32    | 4     | 2.6   |
      | 12      | 6        | 32    | 4     | 0.5   |
      | 12      | 70       | 380   | 49    | 2.7   |

  Scenario Outline: A replica that no longer names a limit gets its part again
    Given a fleet of 6 routers, each with 6 replicas
    When for 60 s 32 streams a second arrive, and 4 replicas name a limit of <limit> a second until 12 s
    Then from <at> s on each of them gets more than 3 requests a second

    Examples:
      | limit | at |
      | 2.6   | 18 |
      | 1     | 45 |

  Scenario: While all replicas name limits, they are used, and callers above them come back later
    Given a fleet of 6 routers, each with 6 replicas
    When for 24 s 32 streams a second arrive, and 6 replicas name a limit of 2.6 a second
    Then from 4 s on each of them gets more than 1.8 requests a second
    And what was rejected is said not to have run, with a time to come back

  Scenario: Another start of a replica that named a limit takes requests at once
    Given 1 replicas of a service and 1 routers that share no word
    When the replica names a limit of 0.2 a second
    Then of 20 requests at most 1 are placed
    When the replica starts again
    Then of 20 requests 20 are placed

  Scenario: A limit without a response for long is put to the test
    Given 1 replicas of a service and 1 routers that share no word
    When the replica names a limit of 0.2 a second
    And 31 s pass
    Then of 20 requests 20 are placed

  Scenario Outline: Of what routers know of a limit, the newest response counts
    Given 1 replicas of a service and 1 routers that share no word
    When another router said <ages> s ago that the replica named <limits>
    Then the limit of the replica is <limit>

    Examples:
      | ages  | limits   | limit |
      | 1     | 2        | 2     |
      | 1, 3  | 2, none  | 2     |
      | 3, 1  | 2, none  | none  |
      | 3, 1  | none, 2  | 2     |
      | 1, 3  | 2, 4     | 2     |
      | 31    | 2        | none  |
