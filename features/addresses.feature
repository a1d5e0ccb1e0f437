Feature: Address answers

  Scenario: An answer for a chat leads home, then to the next in rank
    Given a view of 24 routers in 6 zones
    Then 300 chats get their home and the next in rank of the caller's region
    And 300 answers without a chat begin in the caller's zone and are spread

  Scenario Outline: An answer never names a router that is <state>
    Given a view of 24 routers in 6 zones
    When 8 of the routers are <state>
    Then 300 answers name none of them

    Examples:
      | state   |
      | leaving |
      | dead    |

  Scenario: When one of n hosts goes, only 1 in n of the chats move
    Given a view of 24 routers in 6 zones
    When one router goes
    Then only the chats whose home it was have another home

  Scenario: A dead router does not take the address answer away
    Given a locator with a view of its router
    When the router falls silent for 9 seconds
    Then the locator answers from the old view without the silent router
    And its dump says "old view"

  Scenario: An unchanged view says that the router is alive
    Given a locator with a view of its router
    When the same view is published for 60 seconds
    Then its dump says "view"

  Scenario: After its router's death the locator believes a newer host list
    Given a locator with a view of its router
    When the router falls silent and the host list shows two others as gone
    Then the locator names none of the three

  Scenario: Without a router on its own host the locator uses the host list
    Given a locator with a host list and no view
    Then it names the live entry hosts of the list only

  Scenario Outline: A view that is <kind> is ignored
    Given a locator with a view of its router
    When a view arrives that is <kind>
    Then the locator keeps its view

    Examples:
      | kind                  |
      | older                 |
      | of an earlier boot    |
      | of another deployment |

  Scenario: A router whose clock went back is heard again after a silence
    Given a locator with a view of its router
    When the router falls silent for 9 seconds
    And a view arrives that is of an earlier boot
    Then the locator has taken it

  Scenario: The locator answers over HTTP and keeps the last view
    Given a running locator without a view
    Then it is healthy, not ready, and refuses with 503 and Retry-After
    When the router of its host publishes a view and dies
    Then it is ready and its answer has addresses and a time to live
    And a path that does not exist and another method are refused

  Scenario Outline: A process settings file with <fault> is refused in one sentence
    Given a settings file of a locator with <fault>
    Then the refusal names <words>

    Examples:
      | fault                  | words                                    |
      | a number as its zone   | field "zone" is 5; accepted is a name    |
      | no HTTP address        | field "http" is missing; accepted is HOST |
      | an unknown field       | unknown field "htpp"; accepted are       |
      | a port of 70000        | field "router_port" is 70000; accepted is |
      | a comma too few        | is not JSON with comments                |
      | a list at the top      | must hold one object                     |
