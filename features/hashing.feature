Feature: Placement hashes

  Scenario Outline: Removing one of <members> hosts moves only its own chats
    Given <members> hosts and 4000 chats
    When one host is removed
    Then only the chats of that host have a new home

    Examples:
      | members |
      | 6       |
      | 24      |

  Scenario: The ring keeps the candidates of most keys when an engine leaves
    Given a ring of 60 engines
    When one engine leaves the ring
    Then keys that did not have it as first candidate keep their first candidate
