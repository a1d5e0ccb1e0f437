Feature: Planned stops

  Scenario: A stop waits for old address answers and for its streams
    Given a router with addresses kept for 30 s and a spread of 10 s
    When it is told to stop with 5 requests running
    Then it announces at once and still takes requests 39 s later
    And it does not stop while a request runs
    And it hands over and then stops once the requests have ended

  Scenario: A second signal neither shortens nor restarts the stop
    Given a router with addresses kept for 30 s and a spread of 10 s
    When it is told to stop twice, 20 s apart
    Then it announces once and stops 41 s after the first signal

  Scenario: A request that never ends is cut off after the longest stop only
    Given a router with addresses kept for 30 s and a spread of 10 s
    When it is told to stop and a request never ends
    Then it stops after 600 s and its dump counts 1 request as cut off

  Scenario: A hand-over that never arrives does not hold up the stop
    Given a router with addresses kept for 30 s and a spread of 10 s
    When it is told to stop and the hand-over never leaves
    Then it stops 5 s after it began to hand over

  Scenario: A progress line a second
    Given a router with addresses kept for 30 s and a spread of 10 s
    When it is told to stop with 5 requests running
    Then it prints between 38 and 42 lines in 40 s, each with state and count

  Scenario: A shorter limit in the settings ends a stop that runs
    Given a router with addresses kept for 30 s and a spread of 10 s
    When it is told to stop and the longest stop becomes 60 s
    Then it stops after 60 s and its dump counts 1 request as cut off

  Scenario: A rolling restart of six routers under load cuts off nothing
    Given the rolling restart of the bench with seed 2
    Then planned stops cut off 0 requests, and killed routers many

  Scenario: Timers run in order and skip the periods that were missed
    Given virtual timers with calls every 1 s, every 2.5 s and after 2 s
    Then the calls come in the order of their times
    And a cancelled subscription is called no more
    And a real timer service that was held up makes no burst of calls
