Feature: The next step after a failed try

  Scenario Outline: A call that may have run is repeated only if it may be
    Given a failure with the verdict "<verdict>" of a call that is <kind>
    Then the next step is <step>

    Examples:
      | verdict      | kind           | step         |
      | may have run | not repeatable | to give up   |
      | ran          | not repeatable | to give up   |
      | may have run | repeatable     | another try  |
      | not run      | not repeatable | another try  |

  Scenario: No retry goes past the deadline
    Given 400 failures with random deadlines
    Then every pause ends before its deadline

  Scenario: Pauses have full jitter, so that callers do not come back together
    Given 400 failures of the second try
    Then the pauses spread from 0 to the ceiling of 0.1 s

  Scenario: A request that gives up anyway leaves the retry budget alone
    Given a failure with the verdict "may have run" of a call that is not repeatable
    Then the retry budget was not asked

  Scenario: An empty retry budget stops retries, but not those after a refusal
    Given an empty retry budget
    Then a failed try is not repeated
    And a refused try is repeated

  Scenario Outline: A malformed deadline is refused and not taken as the default
    Given the deadline header "<text>"
    Then the deadline is <outcome>

    Examples:
      | text                 | outcome |
      | 1500                 | 1.5     |
      | 99999999             | 600     |
      | -1                   | refused |
      | 1e3                  | refused |
      | 12345678901234567890 | refused |

  Scenario: Records are bounded and survive a hand-over
    Given a ring of 3 records with 5 requests
    When a ring of 4 records with 2 requests takes them over
    Then it has its own records first and the 2 newest of the other
