Feature: Upstreams in trouble cost their own request at most

  Scenario Outline: Bytes without end are cut off, and the caller is told the truth
    Given a forwarding router with a replica that sends <what> without end
    When a caller sends "POST" to "/orders/x"
    Then the caller gets 502 and the replicas got 1 requests
    And the replica was cut off before it had sent 24 MB

    Examples:
      | what                  |
      | further heads         |
      | header lines          |
      | one header line       |
      | a chunk extension     |
      | trailers              |
      | a body without length |
      | a body in tiny chunks |
      | answers to others     |

  Scenario Outline: A stream without end is cut off and does not look complete
    Given a forwarding router with a replica that sends <what> without end
    When a caller asks for the stream "/plain/x"
    Then the caller gets no complete stream
    And the replica was cut off before it had sent 8 MB

    Examples:
      | what              |
      | comments          |
      | one event         |
      | a chunk extension |

  Scenario Outline: A stream that sends bytes but no events goes on elsewhere
    Given a forwarding router with a replica that streams 5 events
    And before it a replica that sends <what> now and then
    When a caller asks for the stream "/resumable/x"
    Then the caller gets the events 1 to 5 once each, comments aside, and the answer is complete

    Examples:
      | what          |
      | half events   |
      | comments      |
      | header lines  |
      | further heads |

  Scenario: A replica that sends a byte now and then is given up at the route's timeout
    Given a forwarding router with a replica that sends header lines now and then
    When a caller sends "POST" to "/orders/x"
    Then the caller gets 504 after 0.8 s to 1.2 s

  Scenario Outline: A stream that is slow but sound is not cut
    Given a forwarding router with a replica that answers "fail"
    And before it a replica that streams 5 events <pause> s apart
    When a caller asks for the stream "<path>"
    Then the caller gets the events 1 to 5 once each, and the answer is complete

    Examples:
      | path         | pause |
      | /plain/x     | 1.2   |
      | /resumable/x | 0.8   |

  Scenario: An answer right behind an informational head is read at once
    Given a forwarding router with a replica in trouble that answers "continued"
    When a caller sends "POST" to "/orders/x"
    Then the caller gets 200 with the body "whole body" and the replica's receipt

  Scenario Outline: What belongs to no request reaches no caller
    Given a forwarding router with a replica in trouble that answers "<script>"
    And another replica in trouble that answers "<script>"
    When over and over a caller sends "GET" to "/calls/x" 5 times
    Then each time the caller gets 200 with its own body

    Examples:
      | script           |
      | longer           |
      | doubled_nameless |

  Scenario: A late second answer is not taken for the answer to a call that must not run twice
    Given a forwarding router with a replica in trouble that answers "doubled_nameless"
    When over and over a caller sends "POST" to "/orders/x" 3 times
    Then each time the caller gets its own body or 502

  Scenario Outline: A status that promises "not run" is passed on only with that statement
    Given a forwarding router with a replica that fails with <status>
    When a caller sends "POST" to "/orders/x"
    Then the caller gets 502 and the replicas got 1 requests

    Examples:
      | status |
      | 408    |
      | 429    |
      | 503    |

  Scenario: A broken stream does not look complete to a caller that knows no chunks
    Given a forwarding router with a replica that breaks inside event 3
    When a caller of HTTP/1.0 asks for the stream "/plain/x"
    Then its connection is reset

  # Guards against RECOVER: the connection of such a caller was closed twice, and that closed the listener of all.
  Scenario: A broken stream of a caller that knows no chunks shuts out all others
    Given a forwarding router with a replica that breaks inside event 3
    When a caller of HTTP/1.0 asks for the stream "/plain/x"
    Then its connection is reset
    And for 1 s each caller of "/other/x" gets 404

  # Guards against RECOVER: a host without a listener said that it was ready.
  Scenario: A host whose listener has ended says that it is ready
    Given a forwarding router with a replica that answers "whole"
    When the listener for callers ends by itself
    Then within 2 s the host is not ready

  # Guards against REFUSED and TWICE: an earlier refusal on a kept connection is not the answer to a later request.
  Scenario Outline: A refusal that is written once more does not refuse the next request
    Given a forwarding router with a replica in trouble that answers "refusal_repeated"
    When over and over a caller sends "<method>" to "<path>" 6 times
    Then none who was refused had run, and each other caller gets its own body or 502

    Examples:
      | method | path      |
      | GET    | /calls/x  |
      | POST   | /orders/x |

  # Guards against ORDER and MIXED: the error of the next replica inside a stream that has begun.
  Scenario Outline: The error of the next replica does not come into a stream that has begun
    Given a forwarding router with a replica that answers "<next>"
    And before it a replica that breaks inside event 3
    When a caller asks for the stream "/resumable/x"
    Then the caller gets the events 1 to 2 once each, and the answer is incomplete

    Examples:
      | next   |
      | fail   |
      | refuse |
      | whole  |

  # Guards against MIXED and ORDER: half a head of a 200 is no answer.
  Scenario: A replica that stops in the middle of its head has not answered
    Given a forwarding router with a replica in trouble that answers "half_head"
    When a caller sends "POST" to "/orders/x"
    Then the caller gets 502 and the replicas got 1 requests
    When a caller asks for the stream "/plain/x"
    Then the caller gets no complete stream

  # Guards against ORDER: the sound events beside a spoiled one were dropped, and the stream went on behind them.
  Scenario Outline: A spoiled event takes the sound events before it along
    Given a forwarding router with a replica that streams 5 events
    And before it a replica that sends 5 events at once, with <what> for event 4
    When a caller asks for the stream "/resumable/x"
    Then the caller gets the events 1 to 5 once each, and the answer is complete
    And the second replica was asked to go on after event 3

    Examples:
      | what                            |
      | bytes that are no event         |
      | an event without an id          |
      | an event without its blank line |
      | nothing                         |
      | an event too long               |

  # Guards against ORDER: bytes in place of the last event were passed on, and the stream looked complete without it.
  Scenario Outline: A stream whose last event is spoiled looks complete
    Given a forwarding router with a replica that sends 3 events at once, with <what> for event 3
    When a caller asks for the stream "/plain/x"
    Then the caller gets the events 1 to 2 once each, and the answer is incomplete

    Examples:
      | what                    |
      | bytes that are no event |
      | an event without an id  |
      | two events in one       |
      | an event too long       |

  # Guards against ORDER: bytes in place of an event were taken for a part of the next one.
  Scenario Outline: The remains of an event are passed on with the next one
    Given a forwarding router with a replica that sends 6 events at once, with <what> for event <number>
    When a caller asks for the stream "/plain/x"
    Then the caller gets the events 1 to <last> once each, and the answer is incomplete

    Examples:
      | what                           | number | last |
      | bytes before the next event    | 2      | 1    |
      | bytes before the next event    | 4      | 3    |
      | half a line before the next    | 4      | 3    |
      | two lines before the next      | 4      | 3    |

  # Guards against a stream that is always cut: ids need not count the events.
  Scenario Outline: A stream whose ids increase by more than one is taken for one with gaps
    Given a forwarding router with a replica that numbers its events <ids>
    When a caller asks for the stream "/plain/x"
    Then the caller gets <part> of the events <ids>

    Examples:
      | ids        | part |
      | 7 14 21 30 | all  |
      | 100 200    | all  |
      | 0 1 2 4    | all  |
      | 1 2 3 5 6  | all  |
      | 5 6 7 10   | all  |
      | 0 1 3      | all  |
      | 1 3        | all  |
      | 5 6 9      | all  |
      | 3 5 6      | all  |

  # Guards against a stream that is always cut: ids of 19 digits were taken for none.
  Scenario Outline: A stream whose ids are times in nanoseconds is taken for one without ids
    Given a forwarding router with a replica that numbers its events <ids>
    When a caller asks for the stream "/plain/x"
    Then the caller gets all of the events <ids>

    Examples:
      | ids                                       |
      | 1765080000000000000 1765080000020114503   |
      | 18446744073709551605 18446744073709551615 |

  # Guards against lost events: those in the packet of a malformed chunk were dropped with it.
  Scenario: A malformed chunk takes the sound ones before it along
    Given a forwarding router with a replica that streams 5 events
    And before it a replica that sends 3 events and a malformed chunk at once
    When a caller asks for the stream "/resumable/x"
    Then the caller gets the events 1 to 5 once each, and the answer is complete
    And the second replica was asked to go on after event 3
