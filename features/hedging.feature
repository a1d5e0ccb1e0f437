Feature: A call is made again before its first try has failed

  Scenario: The first answer counts, whichever call it belongs to
    Given calls that take 5 s, then 0 s
    When up to 4 of them are made, 0.1 s apart
    Then the answer is that of call 2, after 0.1 s to 0.5 s
    And 1 of the calls was told to be late

  Scenario: A call that fails does not wait for the next turn
    Given calls that fail
    When up to 4 of them are made, 3 s apart
    Then the failure is raised after 0 s to 0.5 s

  Scenario: A failure does not hide the answer of a call that still runs
    Given calls that take 0.3 s, then fail, then 5 s
    When up to 4 of them are made, 0.1 s apart
    Then the answer is that of call 1, after 0.2 s to 0.6 s

  Scenario: With one call there is nothing to hedge
    Given calls that take 0.2 s
    When up to 1 of them are made, 0.1 s apart
    Then the answer is that of call 1, after 0.2 s to 0.6 s

  Scenario: A host that has just started learns of the store's return although its first call hangs
    Given a store whose first 1 calls hang for 3 s
    When a feed starts to follow it
    Then its entries are listed within 0.8 s
    And the feed has said once that the store is away
