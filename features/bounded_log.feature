Feature: Log output never blocks and stays bounded

  Scenario: Lines above the rate are dropped and counted
    Given a log of at most 10 lines a second
    When 50 lines are logged at once
    Then at most 20 lines are written, and the rest is counted

  Scenario: An output that nobody reads does not hold up the logger
    Given a log whose output is blocked
    When 50 lines are logged at once
    Then logging took less than 0.5 s, and the rest is counted
