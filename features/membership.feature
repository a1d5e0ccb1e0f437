Feature: Membership of the fleet

  Scenario Outline: One <fault> kills nobody
    Given a fleet of 6 routers with 5% loss
    When there is <fault> for 60 seconds
    Then no router believed a living member dead

    Examples:
      | fault                                    |
      | a host that answers 2 seconds late       |
      | a one-way cut between two hosts          |
      | a cut in both ways between two hosts     |
      | a process that is paused every 5 seconds |

  Scenario: A router that was cut off alone kills nobody when it returns
    Given a fleet of 6 routers with 5% loss
    When one router is cut off for 40 seconds and returns
    Then no router among the others believed another of them dead
    And within 30 seconds all routers have the same members

  Scenario: A crash is known everywhere within the detection time
    Given a fleet of 24 routers with 5% loss
    When a router crashes
    Then all others have it dead within 10 seconds

  Scenario: Two halves of a fleet find each other after a partition
    Given a fleet of 6 routers with 5% loss
    When the network is partitioned for 60 seconds
    Then within 60 seconds all routers have the same members

  Scenario: A late message of an old incarnation revives nobody
    Given a fleet of 6 routers with 0% loss
    When a router crashes and an old message of it arrives late
    Then it stays dead

  Scenario: A restarted router replaces its old incarnation
    Given a fleet of 6 routers with 5% loss
    When a router crashes and starts again with a higher incarnation
    Then within 10 seconds all routers have the same members

  Scenario: The host list confirms a death and never removes who answers
    Given a fleet of 6 routers with 0% loss
    When a router crashes and the host list names neither it nor another
    Then the dead one is gone and holds no rank, and the other is alive

  Scenario: A router that said goodbye is gone at once
    Given a fleet of 6 routers with 0% loss
    When a router leaves and later stops
    Then it was shown as leaving before and is gone within 2 seconds

  Scenario: A new router learns the whole fleet from a host list that lags
    Given a fleet of 24 routers with 5% loss
    When a router starts that knows two hosts only
    Then within 10 seconds all routers have the same members

  Scenario: The membership machine finds no broken property
    Then the membership machine passes

  Scenario Outline: The membership machine finds <fault>
    Then the membership machine fails with <fault>

    Examples:
      | fault                                 |
      | deaths that are taken on hearsay      |
      | old incarnations that replace new ones |
