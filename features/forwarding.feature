Feature: What follows a failed attempt of a forwarded request

  Scenario Outline: A request is sent once more only where that can't run it twice
    Given a route of kind "<kind>" for <most> attempts
    And <runs> failed attempts that may have run
    When an attempt fails as "<verdict>" with <left> s left
    Then the forwarding step is "<step>"

    Examples:
      | kind           | most | runs | verdict      | left | step  |
      | idempotent     | 2    | 0    | not run      | 1    | retry |
      | idempotent     | 2    | 1    | may have run | 1    | retry |
      | idempotent     | 2    | 2    | may have run | 1    | fail  |
      | idempotent     | 2    | 1    | may have run | 0.01 | fail  |
      | non-idempotent | 1    | 0    | not run      | 1    | retry |
      | non-idempotent | 1    | 1    | may have run | 1    | fail  |
      | non-idempotent | 3    | 1    | not run      | 1    | fail  |
      | stream         | 1    | 1    | may have run | 9    | fail  |
      | stream         | 1    | 0    | not run      | 9    | retry |
      | resumable      | 2    | 1    | may have run | 9    | retry |
      | resumable      | 2    | 2    | may have run | 9    | fail  |

  Scenario: A silent replica leaves time for a second attempt
    Given a route of kind "idempotent" for 2 attempts
    Then an attempt with 1.2 s left may take 0.6 s
    And an attempt with 0.2 s left may take 0.13 s

  Scenario: A call that must not run twice waits for its answer to the end
    Given a route of kind "non-idempotent" for 1 attempts
    Then an attempt with 1.2 s left may take 1.2 s

  Scenario: The second attempt of a stream that can go on elsewhere may use all the time
    Given a route of kind "resumable" for 2 attempts
    And 1 failed attempts that may have run
    Then an attempt with 9 s left may take 9 s
