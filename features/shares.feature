Feature: Rate limits across routers

  Scenario: A chat that moves to an idle router is not refused
    An organisation within its rate got 429 with a wait of 119 s, because the
    router that its chats left had leased the whole rate.
    Given 6 routers whose organisation may send 12 requests a second
    And router-0 sends 3 requests a second for 10 seconds
    When the requests move to router-1 for 10 seconds
    Then none of them is refused

  Scenario: Routers that all send more than the rate stay within it
    Given 6 routers whose organisation may send 12 requests a second
    When all of them send 12 requests a second for 30 seconds
    Then the fleet admitted at most 12 a second and a burst of half a second
    And at least 0.8 of that rate was used

  Scenario: A router that has just started admits two requests at once
    After a restart the second of two requests got 429 within 20 ms, although
    the organisation was far below its rate.
    Given 6 routers whose organisation may send 24 requests a second
    When 2 requests reach router-3 at the same time
    Then none of them is refused
