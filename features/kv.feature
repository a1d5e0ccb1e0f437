Feature: Key-value port, its HTTP adapter and the in-memory twin

  # Guards against a lost update: two writers that both believe they won.
  Scenario Outline: One of two writers with the same expectation wins (<store>)
    Given a key-value store in <store>
    When "a/b c&d" is written as "one" expecting absent
    And "a/b c&d" is written as "two" expecting absent
    Then the last write is refused and shows "one"
    And "a/b c&d" holds "one"
    When "a/b c&d" is deleted with a wrong revision
    Then "a/b c&d" holds "one"

    Examples:
      | store  |
      | memory |
      | HTTP   |

  # Guards against pages that skip or repeat keys.
  Scenario Outline: A long listing comes in pages (<store>)
    Given a key-value store in <store>
    When 25 keys under "log/" and one key "other" are written
    Then listing "log/" in pages of 10 gives the 25 keys in order

    Examples:
      | store  |
      | memory |
      | HTTP   |

  # Guards against a holder that outlives its lease.
  Scenario Outline: A lease ends when it is not kept (<store>)
    Given a key-value store in <store>
    When "holder" is written under a lease of 5 seconds
    And the lease is kept for 3 times 4 seconds
    Then "holder" holds "me"
    When 6 seconds pass
    Then "holder" is absent
    And the lease can no longer be kept
    And a watch of "holder" from the start shows the deletion

    Examples:
      | store  |
      | memory |
      | HTTP   |

  # Guards against an adapter that retries by itself or reports a lost call
  # as a refused one.
  Scenario Outline: The fault <fault> raises and the write has effect: <effect> (<store>)
    Given a key-value store in <store>
    And the fault <fault>
    When "k" is written as "v" expecting absent
    Then the last write raised StoreUnavailableError
    And after 3 seconds without faults "k" exists: <effect>
    And the store has counted 1 write

    Examples:
      | store  | fault                     | effect |
      | memory | {"outage": true}          | no     |
      | HTTP   | {"outage": true}          | no     |
      | HTTP   | {"refuse": 1}             | no     |
      | memory | {"drop_before": 1}        | no     |
      | HTTP   | {"drop_before": 1}        | no     |
      | memory | {"drop_reply": 1}         | yes    |
      | HTTP   | {"drop_reply": 1}         | yes    |
      | memory | {"late_writes": 1}        | yes    |
      | HTTP   | {"late_writes": 1}        | yes    |
      | memory | {"slow_s": 5}             | yes    |

  # Guards against a watch that is silently incomplete.
  Scenario: A watch that lags too far is told that changes are lost
    Given a key-value store in memory
    When 10001 writes are made
    Then a watch from the start is told that changes are lost

  # Guards against calls that escape the accounting of rates.
  Scenario: A waiting watch counts as a call
    Given a key-value store in HTTP
    And the fault {"reads_per_s": 2}
    Then 2 watches are answered and the third is refused
    When 1 seconds pass
    Then 2 watches are answered and the third is refused

  # Guards against tests that never see an old read.
  Scenario: Stale reads show the state of some seconds ago
    Given a key-value store in memory
    When "k" is written as "old" expecting absent
    And 10 seconds pass
    And "k" is overwritten with "new"
    And the fault {"stale_s": 5}
    Then "k" holds "old"
    And listing "k" shows "old"
