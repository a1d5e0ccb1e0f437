Feature: Replicas that report how slow their machine is

  Scenario Outline: A further or malformed figure does not cost the figures that are sound
    When a replica reports its load as "<text>"
    Then the load is <load> and the slowdown is <slowdown>

    Examples:
      | text             | load   | slowdown |
      | 3,0,8            | 3,0,8  | unknown  |
      | 3,0,8,100        | 3,0,8  | 1        |
      | 3, 1, 8, 250     | 3,1,8  | 2.5      |
      | 3,0,8,250,7,x    | 3,0,8  | 2.5      |
      | 3,0,8,x          | 3,0,8  | unknown  |
      | 3,0,8,-5         | 3,0,8  | unknown  |
      | 3,0,8,nan        | 3,0,8  | unknown  |
      | 3,0,8,9999999999 | 3,0,8  | 20       |
      | 3,x,8,100        | none   | unknown  |
      | 3,0              | none   | unknown  |

  Scenario: Requests avoid replicas on machines that are slow at the moment
    Given 10 replicas under equal load, 3 of them on machines that take 2.5 times as long
    When 1 router places 300 plain requests 0.1 s after the reports
    Then the slow ones get at most half of what the others get each

  Scenario: Old reports do not send all routers to the machines that were fast
    Given 10 replicas under equal load, 3 of them on machines that take 2.5 times as long
    When 40 routers place 30 plain requests each 1.9 s after the reports
    Then the slow ones get at least 9 in 10 of what the others get each

  Scenario: A replica on a slow machine begins fewer requests in time
    Given 2 replicas that run 8 requests in 8 slots, on machines that take 2.5 times as long
    When a request comes 0.1 s after the reports
    Then it is rejected as not run
