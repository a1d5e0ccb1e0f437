Feature: An answer that is broken reaches no caller as a whole one

  # Guards against MIXED: the write of the upload took the error of the reset, and the body seemed to end properly.
  Scenario Outline: A replica resets its connection during the upload
    Given a replica that reads no upload and sends <part> of an answer with <framing>, then <end>
    When a caller uploads 8 MB to "/orders/x"
    Then the caller gets <outcome>

    Examples: broken
      | framing   | part               | end                        | outcome       |
      | no length | nothing            | a reset                    | may have run  |
      | no length | half a status line | a reset                    | may have run  |
      | no length | half a head        | a reset                    | may have run  |
      | no length | the head           | a reset                    | may have run  |
      | no length | half the body      | a reset                    | may have run  |
      | no length | half the body      | unread bytes               | may have run  |
      | no length | everything         | a reset                    | may have run  |
      | no length | half a head        | a proper close             | may have run  |
      | a length  | the head           | a reset                    | may have run  |
      | a length  | half the body      | a reset                    | may have run  |
      | a length  | half the body      | unread bytes               | may have run  |
      | a length  | half the body      | a proper close             | may have run  |
      | chunks    | half the body      | a reset                    | may have run  |
      | chunks    | no last chunk      | a reset                    | may have run  |
      | chunks    | no last chunk      | a proper close             | may have run  |
      | chunks    | half the trailers  | a reset                    | may have run  |
      | chunks    | half the trailers  | a proper close and a reset | may have run  |

    Examples: sound
      | framing   | part               | end                        | outcome       |
      | no length | everything         | a proper close             | the whole one |
      | no length | everything         | a proper close and a reset | the whole one |
      | a length  | everything         | a proper close             | the whole one |
      | a length  | everything         | a reset                    | the whole one |
      | a length  | everything         | unread bytes               | the whole one |
      | chunks    | everything         | a proper close             | the whole one |
      | chunks    | everything         | a reset                    | the whole one |
      | chunks    | everything         | unread bytes               | the whole one |

  Scenario: A request that may be repeated goes to another replica when the first resets its connection
    Given a replica that reads no upload and sends half the body of an answer with no length, then a reset
    And another one that answers "whole"
    When a caller uploads 8 MB to "/calls/x"
    Then the caller gets the whole one
    And the first replica counts as one that failed

  Scenario Outline: A replica resets its connection during the upload of a request for a stream
    Given a replica that reads no upload and streams 2 events with <framing>, then <end>
    When a caller uploads 8 MB to the stream "/plain/x"
    Then the caller gets the events 1 to 2 once each, and the answer is <state>

    Examples:
      | framing   | end                        | state      |
      | no length | a reset                    | incomplete |
      | no length | unread bytes               | incomplete |
      | chunks    | a reset                    | incomplete |
      | no length | a proper close             | complete   |
      | no length | a proper close and a reset | complete   |

  Scenario: A stream that may be resumed goes on elsewhere when its replica resets its connection
    Given a replica that reads no upload and streams 2 events with no length, then a reset
    And another one that streams 5 events
    When a caller uploads 8 MB to the stream "/resumable/x"
    Then the caller gets the events 1 to 5 once each, and the answer is complete

  # Guards against MIXED, with the reset between the moment at which the socket is ready and the write.
  Scenario Outline: A reset comes just before a write
    Given a connection whose peer has sent half of an answer without a length
    When the peer <ends> just before the next write, and <reader> reads the answer
    Then the answer is <state>

    Examples:
      | ends              | reader                | state  |
      | resets            | an attempt            | broken |
      | resets            | the copy of a request | broken |
      | closes and resets | an attempt            | whole  |
      | closes and resets | the copy of a request | whole  |
