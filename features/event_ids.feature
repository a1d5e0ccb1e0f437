Feature: Event ids that increase make whole streams, however they do it

  # Guards against LOST: every stream was cut off behind its first event where ids were offsets of tokens.
  Scenario Outline: A stream whose ids are no count of its events is cut off
    Given event ids <ids> of a replica, sent <how>
    When a caller asks for the stream "/plain/x"
    Then the caller gets all of the events <ids>

    Examples:
      | ids                                                                     | how                  |
      | 0 7 14 21 28                                                            | one by one           |
      | 0 7 14 21 28                                                            | at once              |
      | 0 7 14 21 28                                                            | in pieces of 5 bytes |
      | 0 1 2 3 4                                                               | in pieces of 5 bytes |
      | 1 3 5 7                                                                 | one by one           |
      | 1 8 15 22                                                               | one by one           |
      | 41 42 43 44                                                             | at once              |
      | 0 1 8 15 22                                                             | one by one           |
      | 0 1 4                                                                   | at once              |
      | 0 3 4 9 10 11 13                                                        | in pieces of 5 bytes |
      | 5 6 9 12                                                                | one by one           |
      | 1765080000000000000 1765080000020114503 1765080000020114504             | one by one           |
      | 1765080000000000000 1765080000020114503 1765080000020114504             | in pieces of 5 bytes |
      | 18446744073709551613 18446744073709551614 18446744073709551615          | at once              |

  # Guards against ORDER: an event that is missing from counted ids.
  Scenario Outline: A gap in ids that count the events is passed on
    Given event ids <ids> of a replica, sent <how>
    When a caller asks for the stream "/plain/x"
    Then the caller gets <part> of the events <ids>

    Examples:
      | ids               | how                  | part |
      | 0 1 2 4           | one by one           | 3    |
      | 1 2 3 5           | at once              | 3    |
      | 1 2 3 4 5 6 8 9   | in pieces of 5 bytes | 6    |
      | 5 6 7 10          | one by one           | 3    |
      | 41 42 43 45 46    | at once              | 3    |

  # Guards against ORDER: an event out of order was dropped, and the stream looked complete without it.
  Scenario Outline: A stream whose ids decrease looks complete
    Given event ids <ids> of a replica, sent <how>
    When a caller asks for the stream "/plain/x"
    Then the caller gets <part> of the events <ids>

    Examples:
      | ids         | how                  | part |
      | 0 2 1 3     | one by one           | 2    |
      | 0 14 7 21   | at once              | 2    |
      | 5 3 6       | in pieces of 5 bytes | 1    |
      | 5 6 7 3 8   | one by one           | 3    |

  Scenario Outline: A replica that repeats events has its stream cut
    Given event ids <ids> of a replica, sent one by one
    When a caller asks for the stream "/plain/x"
    Then the caller gets all of the events <new>

    Examples:
      | ids           | new     |
      | 1 2 1 2 3     | 1 2 3   |
      | 1 2 3 2 3 4   | 1 2 3 4 |
      | 0 7 7 14      | 0 7 14  |

  # A replica that begins anew in place of going on.
  Scenario: A stream goes on at a replica that begins at its start
    Given event ids 0 7 14 21 of a replica that begins at its start
    And before it one that stops within event 14
    When a caller asks for the stream "/resumable/x"
    Then the caller gets all of the events 0 7 14 21

  # Guards against LOST, where a stream goes on at another replica.
  Scenario Outline: A stream with offsets as ids does not go on elsewhere
    Given event ids <ids> of a replica, sent one by one
    And before it one that stops within event <number>
    When a caller asks for the stream "/resumable/x"
    Then the caller gets all of the events <ids>
    And the second replica went on after event <after>

    Examples:
      | ids                                                         | number              | after               |
      | 0 7 14 21 28                                                | 14                  | 7                   |
      | 0 7 14 21 28                                                | 7                   | 0                   |
      | 0 1 8 15 22                                                 | 8                   | 1                   |
      | 3 4 5 6 7                                                   | 6                   | 5                   |
      | 1765080000000000000 1765080000020114503 1765080000030000000 | 1765080000030000000 | 1765080000020114503 |

  Scenario Outline: A caller resumes its stream behind an event
    Given event ids <ids> of a replica, sent one by one
    When a caller asks for the stream "/resumable/x" after event <last>
    Then the caller gets all of the events <rest>

    Examples:
      | ids                                                         | last                | rest                                    |
      | 0 7 14 21 28                                                | 14                  | 21 28                                   |
      | 0 1 8 15 22                                                 | 0                   | 1 8 15 22                               |
      | 1765080000000000000 1765080000020114503 1765080000030000000 | 1765080000000000000 | 1765080000020114503 1765080000030000000 |

  Scenario: A hedged stream with offsets as ids is cut off
    Given a hedging router whose replicas answer a late request by "silence" and "a stream with offsets"
    When a late request goes to "/resumable/x"
    Then the caller gets the answer "all offsets"

  # Two replicas that leave out the same ids number their events so.
  Scenario: Ids that begin like a count are cut off although another replica numbers its events alike
    Given event ids 0 1 2 5 9 of a replica, sent one by one
    And another that does the same
    When a caller asks for the stream "/resumable/x"
    Then the caller gets all of the events 0 1 2 5 9
    And the second replica went on after event 2
    When a caller asks for the stream "/plain/x"
    Then the caller gets all of the events 0 1 2 5 9

  # Two replicas of which each lacks another event show no common numbering.
  Scenario: A gap is taken for a confirmed one
    Given event ids 1 2 3 6 7 of a replica, sent one by one
    And before it one that numbers them 1 2 3 5 6 7
    When a caller asks for the stream "/resumable/x"
    Then the caller gets 3 of the events 1 2 3 6 7

  Scenario: A service that has shown varied steps has its streams cut off by chance
    Given event ids 0 3 9 14 of a replica, sent one by one
    When a caller asks for the stream "/plain/x"
    Then the caller gets all of the events 0 3 9 14
    When the replica numbers its events 0 1 2 5 9
    And a caller asks for the stream "/plain/x"
    Then the caller gets all of the events 0 1 2 5 9

  Scenario: Any ids that increase
    Then streams of any ids that do not begin like a count come whole from any pieces
