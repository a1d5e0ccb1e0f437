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

  # Guards against LOST: two steps by one, from the start, were read as a promise that ids count the events.
  Scenario Outline: A stream whose ids count its events at first is cut off
    Given event ids <ids> of a replica, sent <how>
    When a caller asks for the stream "<path>"
    Then the caller gets all of the events <ids>

    Examples:
      | ids                                             | how                  | path         |
      | 1 2 3 10 17 24                                  | one by one           | /plain/x     |
      | 1 2 3 10 17 24                                  | at once              | /plain/x     |
      | 1 2 3 10 17 24                                  | in pieces of 5 bytes | /plain/x     |
      | 1 2 3 10 17 24                                  | one by one           | /resumable/x |
      | 1 2 3 10 17 24                                  | at once              | /resumable/x |
      | 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 24 31 | in pieces of 5 bytes | /plain/x     |
      | 1 2 3 5 6 7 8 11 12 13 15                       | one by one           | /plain/x     |
      | 1 2 3 5 6 7 8 11 12 13 15                       | in pieces of 5 bytes | /resumable/x |
      | 0 1 2 4                                         | one by one           | /plain/x     |
      | 1 2 3 5                                         | at once              | /plain/x     |
      | 1 2 3 4 5 6 8 9                                 | in pieces of 5 bytes | /plain/x     |
      | 5 6 7 10                                        | one by one           | /plain/x     |
      | 41 42 43 45 46                                  | at once              | /plain/x     |
      | 1765080000001 1765080000002 1765080000003 1765080000023 | one by one   | /plain/x     |
      | 1765080000001 1765080000002 1765080000003 1765080000023 | one by one   | /resumable/x |

  # Guards against LOST: streams before that counted their events prove nothing.
  Scenario: A service whose ids have counted its events has a stream cut off by a larger step
    Given event ids 1 2 3 4 5 of a replica, sent at once
    When a caller asks for the stream "/plain/x" 120 times
    And the replica numbers its events 1 2 3 4 6
    And a caller asks for the stream "/plain/x"
    Then the caller gets all of the events 1 2 3 4 6

  # Guards against ORDER: an event that is missing, where another replica has it.
  Scenario Outline: A gap in ids that count the events is passed on
    Given event ids <whole> of a replica, sent <how>
    And before it one that sends <how> the ids <ids>
    When a caller asks for the stream "/resumable/x"
    Then the caller gets all of the events <whole>
    And the second replica went on after event <after>

    Examples:
      | ids             | how                  | whole             | after |
      | 0 1 2 4         | one by one           | 0 1 2 3 4         | 2     |
      | 1 2 3 5         | at once              | 1 2 3 4 5         | 3     |
      | 1 2 3 4 5 6 8 9 | in pieces of 5 bytes | 1 2 3 4 5 6 7 8 9 | 6     |
      | 5 6 7 10        | one by one           | 5 6 7 8 9 10      | 7     |
      | 41 42 43 45 46  | at once              | 41 42 43 44 45 46 | 43    |

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

  # Where tokens fall into other events, the ids do so, too: no replica has event 4.
  Scenario Outline: A stream whose ids count at first does not go on elsewhere
    Given event ids <other> of a replica, sent one by one
    And before it one that numbers them <ids>
    When a caller asks for the stream "/resumable/x"
    Then the caller gets all of the events <found>
    And the second replica went on after event 3

    Examples:
      | ids         | other       | found       |
      | 1 2 3 5 6 7 | 1 2 3 6 7   | 1 2 3 6 7   |
      | 1 2 3 9 15  | 1 2 3 8 20  | 1 2 3 8 20  |
      | 1 2 3 10 17 | 1 2 3 10 17 | 1 2 3 10 17 |

  # Guards against LOST: the doubt about one event ended a stream that no other replica went on with.
  Scenario Outline: A stream whose ids count at first is cut off where the other replica does not help
    Given event ids 1 2 3 10 17 of a replica, sent one by one
    And another replica, which <other>
    When a caller asks for the stream "/resumable/x" at the first one
    Then the caller gets all of the events 1 2 3 10 17

    Examples:
      | other              |
      | refuses            |
      | can not be reached |

  Scenario: A hedged stream whose ids count at first is cut off
    Given a hedging router whose replicas answer a late request by "silence" and "a stream that counts at first"
    When a late request goes to "/resumable/x"
    Then the caller gets the answer "all that counts at first"

  Scenario Outline: What a service has shown of its ids
    Given a service of which nothing is known
    When its streams have the ids <streams>
    Then a step from 3 to 5 behind 1 2 3 is <how>

    Examples:
      | streams                              | how      |
      | none                                 | doubtful |
      | 1 2 3 4 5                            | doubtful |
      | 0 7 14                               | doubtful |
      | 0 7 14 21                            | usual    |
      | 1 2 3 5 7 11                         | usual    |
      | 0 7 14 21, 99 times 1 2 3            | usual    |
      | 0 7 14 21, 100 times 1 2 3           | doubtful |
      | 0 7 14 21, 100 times 1 2             | usual    |
      | 0 7 14 21, 99 times 1 2 3, 1 2 4     | usual    |
      | 0 7 14 21, 99 times 1 2 3, 1 2 4, 99 times 1 2 3 | usual |

  Scenario: A service that has shown varied steps has its streams cut off by chance
    Given event ids 0 3 9 14 of a replica, sent one by one
    When a caller asks for the stream "/plain/x"
    Then the caller gets all of the events 0 3 9 14
    When the replica numbers its events 0 1 2 5 9
    And a caller asks for the stream "/plain/x"
    Then the caller gets all of the events 0 1 2 5 9

  Scenario: Any ids that increase
    Then streams of any ids come whole from any pieces
