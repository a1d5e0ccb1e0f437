Feature: Distribution of the settings

  Scenario Outline: The version never goes back through <cause>
    Given a router with settings version 9
    When it meets <cause>
    Then it still has version 9 with the same digest

    Examples:
      | cause                                   |
      | an old change of a peer                 |
      | an old watch event                      |
      | an old full state of the store          |
      | an old full state of a peer             |
      | a peer that is behind                   |
      | a change of another history             |
      | a malformed change                      |
      | a full state that is cut                |

  Scenario: A router that missed many changes takes the full state in chunks
    Given a router with settings version 0 that asks a peer with version 400
    When all messages but every seventh are delivered
    Then it has the version of the peer

  Scenario: A start with the store down takes the newest state of three peers
    Given a starting router and peers with the versions 5, 7 and 6
    When the store is down and the messages are delivered
    Then it has version 7 and its dump says that the source is a peer

  Scenario: A start with the store down waits no longer than its limit
    Given a starting router and peers with the versions 5, 7 and 6
    When the store is down and only the peer with version 5 answers
    Then after 2 seconds it has version 5

  Scenario: The watchers are in three zones and change with the members
    Given 24 members in 6 zones
    Then the watchers are 3 members in 3 zones
    And the loss of a watcher changes no other watcher's duty
    And a leaving member does not watch

  Scenario Outline: A change reaches all routers in time with <percent>% loss
    Given a settled fleet of <size> routers with <percent>% loss
    When a change is committed to the store
    Then all routers have it within <seconds> seconds

    Examples:
      | size | percent | seconds |
      | 6    | 5       | 2       |
      | 96   | 5       | 10      |

  Scenario: The distribution machine finds no broken property
    Then the distribution machine passes

  Scenario Outline: The distribution machine finds <fault>
    Then the distribution machine fails with <fault>

    Examples:
      | fault                             |
      | full states that are taken unseen |
      | changes that are taken unchained  |
