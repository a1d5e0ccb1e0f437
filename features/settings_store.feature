Feature: Settings store, edited by compare-and-swap

  Background:
    Given a key-value store in memory
    And two editors that know the test settings
    And "fleet" was edited to "{settings: {test: {rate: 1}}}"

  # Guards against an edit that silently overwrites another one.
  Scenario: The second of two editors of a branch gets both texts
    When the second editor edits "fleet" to "{settings: {test: {rate: 2}}} // theirs"
    And at version 1 the first editor changes "fleet" to "{settings: {test: {rate: 3}}} // mine"
    Then the edit is in conflict with version 2 and shows "// theirs" and "// mine"
    And "test.rate" of "fleet" is 2.0

  # Guards against an edit that is lost because another branch was faster.
  Scenario: Editors of different branches both succeed
    When the second editor changes "organisations/a" to "{settings: {test: {rate: 2}}}" while the first changes "organisations/b" to "{settings: {test: {rate: 3}}}"
    Then "test.rate" of "organisations/a" is 2.0
    And "test.rate" of "organisations/b" is 3.0
    And the log has 3 versions

  # Guards against an edit that is applied twice, or reported as failed
  # although it was applied.
  Scenario Outline: An edit whose write meets <fault> is applied once
    Given the fault <fault>
    When the first editor edits "fleet" to "{settings: {test: {rate: 2}}}"
    Then the edit is accepted as version 2
    And the log has 2 versions

    Examples:
      | fault                               |
      | {"drop_reply": 1, "only": "writes"} |
      | {"drop_before": 1, "only": "writes"} |
      | {"drop_before": 2, "drop_reply": 2} |
      | {"late_writes": 1, "late_s": 0.001} |
      | {"late_writes": 1, "late_s": 5}     |
      | {"refuse": 3}                       |

  # Guards against a failure that hides that the edit may be in force.
  Scenario: An edit without any answer is reported as open
    When the replies stop while the first editor changes "fleet" to "{settings: {test: {rate: 2}}}"
    Then the edit may have taken effect as version 2
    And "test.rate" of "fleet" is 2.0

  # Guards against a store that grows without bound, and against texts that
  # are lost by trimming.
  Scenario: The log keeps the stated versions and the text of each branch
    Given "organisations/quiet" was edited to "{settings: {}} // quiet"
    When "fleet" is edited 100 times keeping 20 versions
    Then the log holds at most 38 records
    And the text of "organisations/quiet" is "{settings: {}} // quiet"
    And a reader that was at version 1 reads version 102

  # Guards against a full state that replaces a newer one.
  Scenario: An editor that was overtaken does not replace the full state
    When the first editor is overtaken by 20 edits while it writes version 16
    Then the full state has a version of at least 32
    And a fresh reader reads what the log says

  # Guards against a history that cannot say what changed.
  Scenario: History and diff name the changes
    When the second editor edits "fleet" to "{settings: {test: {rate: 2, share: 0.1}}}"
    And the first editor edits "organisations/a" to "{settings: {test: {rate: 7}}}"
    Then the history of every branch is "3 organisations/a editor-0, 2 fleet editor-1, 1 fleet editor-0"
    And the history of "fleet" is "2 fleet editor-1, 1 fleet editor-0"
    And the diff of 1 and 3 is "fleet test.rate 1.0 2.0, fleet test.share None 0.1, organisations/a test.rate None 7.0"

  # Guards against branches that lose their parent.
  Scenario: A branch is removed, but not one that is a parent
    When the first editor edits "models/a" to "{}"
    And the first editor edits "models/b" to "{parent: 'models/a'}"
    And the first editor removes "models/a"
    Then the edit is refused because "is the parent of models/b"
    When the first editor removes "models/b"
    And the first editor removes "models/a"
    Then the edit is accepted as version 5
    And the branches are "fleet"

  # Guards against a record that the store refuses after the checks.
  Scenario: An edit whose record would exceed 1 MB is refused
    When the first editor writes 600000 empty lines to "fleet"
    Then the edit is refused because "at most 1000000 bytes"
    And the log has 1 versions

  # Guards against any interleaving of editors, faults and readers that loses,
  # doubles or reverts an edit.
  Scenario: The state machine of the settings store finds nothing
    Then the state machine finds nothing in 40 runs of 30 steps

  # Guards against a state machine that cannot find what it is for.
  Scenario Outline: The state machine finds the deliberate fault <fault>
    Then the state machine finds "<finding>" in <fault>

    Examples:
      | fault                | finding                  |
      | RetryWithoutReadBack | an edit was applied twice |
      | CreationInTrimmedLog | an edit was lost         |
