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

  # Guards against REFUSED: "not run" needs the word of the replica, in an answer that is whole.
  Scenario Outline: A replica refuses a request before its upload has ended
    Given a replica that reads no upload and refuses with <part> of an answer with <framing>, then <end>
    When a caller uploads 8 MB to "/orders/x"
    Then the caller gets <outcome>

    Examples:
      | framing   | part          | end            | outcome      |
      | a length  | everything    | a reset        | not run      |
      | chunks    | everything    | unread bytes   | not run      |
      | no length | everything    | a proper close | not run      |
      | no length | half the body | a reset        | may have run |
      | a length  | half the body | a reset        | may have run |
      | a length  | half a head   | a proper close | may have run |

  Scenario Outline: A copy of a late request resets its connection during the upload
    Given a hedging router whose replicas read no upload and answer a late one by "<first>" and "<second>"
    When a late upload goes to "/calls/x"
    Then the caller gets the answer "<answer>"

    Examples:
      | first                                                   | second                                                 | answer |
      | half a body without a length and a reset after 0.2 s    | copy 2 after 0.6 s                                     | copy 2 |
      | copy 1 after 0.8 s                                      | half a body without a length and a reset after 0.1 s   | copy 1 |
      | half a body and a reset after 0.2 s                     | copy 2 after 0.6 s                                     | copy 2 |

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

  # Guards against MIXED: a head was taken to end at a malformed line, and the body for one that ends with its connection.
  Scenario Outline: A malformed answer is read as a sound one
    When <reader> reads each malformed answer
    Then each of them is an error that says "may have run"

    Examples:
      | reader                  |
      | a call to a service     |
      | a call to an engine     |
      | a stream of an engine   |
      | a call to the store     |
      | a call to another host  |

  Scenario Outline: A sound answer is read although it is odd
    When <reader> reads each odd but sound answer
    Then each of them is the whole one

    Examples:
      | reader                  |
      | a call to a service     |
      | a call to an engine     |
      | a stream of an engine   |
      | a call to the store     |
      | a call to another host  |

  Scenario: Odd but sound answers are passed on
    Given a forwarding router whose replica sends each odd but sound answer
    When for each of these a caller sends "POST" to "/orders/x"
    Then each caller gets the whole one

  # Guards against MIXED: an answer that breaks off at a place that no example names.
  Scenario Outline: An answer is cut off at any byte
    When <reader> reads an answer with <framing> that is cut off at each byte by <end>
    Then it reads the whole one where it got all of it, and an error elsewhere

    Examples:
      | reader                 | framing   | end            |
      | a forwarded request    | a length  | a proper close |
      | a forwarded request    | a length  | a reset        |
      | a forwarded request    | chunks    | a proper close |
      | a forwarded request    | chunks    | a reset        |
      | a forwarded request    | no length | a reset        |
      | a call to a service    | a length  | a proper close |
      | a call to a service    | a length  | a reset        |
      | a call to a service    | chunks    | a proper close |
      | a call to a service    | chunks    | a reset        |
      | a call to a service    | no length | a reset        |
      | a stream of an engine  | a length  | a proper close |
      | a stream of an engine  | chunks    | a proper close |
      | a stream of an engine  | a length  | a reset        |
      | a stream of an engine  | chunks    | a reset        |
      | a stream of an engine  | no length | a reset        |
      | a call to the store    | a length  | a proper close |
      | a call to the store    | chunks    | a proper close |
      | a call to the store    | a length  | a reset        |
      | a call to the store    | chunks    | a reset        |
      | a call to the store    | no length | a reset        |
      | a call to another host | a length  | a proper close |
      | a call to another host | chunks    | a reset        |
      | a call to another host | no length | a reset        |

  # Guards against MIXED: the rest of bytes that belong to no request was taken for the next answer.
  Scenario: A connection is used again although bytes follow the answer
    When a call to a service is answered, and half of another answer follows at once
    Then the next call goes over another connection

  Scenario: A malformed answer of one replica sends a call that may be repeated to another
    Given a replica that answers with a blank in the name of a field
    And a replica that works
    When a caller sends a call that may be repeated
    Then the caller gets status 200 and the verdict "ran"
    And the replicas received 2 calls

  Scenario: A malformed answer to a call that must not be repeated says that it may have run
    Given a replica that answers with a blank in the name of a field
    And a replica that works
    When a caller sends a call that must not be repeated
    Then the caller gets status 502 and the verdict "may have run"
    And the replicas received 1 call

  # Guards against MIXED: urllib3 drops the error of the write that meets the reset, and the body seemed to end properly.
  Scenario Outline: A server resets its connection during the upload of a call
    Given a server that reads no upload and sends <part> of an answer with <framing>, then <end>
    When <reader> uploads 8 MB to it
    Then it reads <outcome>

    Examples: broken
      | reader                 | framing   | part          | end          | outcome  |
      | a call to a service    | no length | half the body | a reset      | an error |
      | a call to a service    | no length | everything    | unread bytes | an error |
      | a call to a service    | no length | half a head   | a reset      | an error |
      | a call to a service    | a length  | half the body | a reset      | an error |
      | a call to a service    | chunks    | no last chunk | a reset      | an error |
      | a stream of an engine  | no length | half the body | a reset      | an error |
      | a call to the store    | no length | half the body | a reset      | an error |
      | a call to another host | no length | half the body | a reset      | an error |

    Examples: sound
      | reader                 | framing   | part          | end                        | outcome       |
      | a call to a service    | no length | everything    | a proper close             | the whole one |
      | a call to a service    | no length | everything    | a proper close and a reset | the whole one |
      | a call to a service    | a length  | everything    | a reset                    | the whole one |
      | a call to a service    | chunks    | everything    | a reset                    | the whole one |
      | a stream of an engine  | no length | everything    | a proper close and a reset | the whole one |
      | a call to the store    | no length | everything    | a proper close and a reset | the whole one |
      | a call to the store    | a length  | everything    | unread bytes               | the whole one |

  # Guards against MIXED, at each client that a host has beside the store's.
  Scenario Outline: A client takes a broken answer for a sound one
    Given a server that sends <what> to the client of <content>
    Then the client <outcome> it

    Examples:
      | content          | what                                | outcome |
      | snapshots        | a sound answer                      | takes   |
      | snapshots        | a blank in a name                   | refuses |
      | snapshots        | no length and a reset               | refuses |
      | relays           | a sound answer                      | takes   |
      | relays           | a blank in a name                   | refuses |
      | relays           | no length and a reset               | refuses |
      | host lists       | a sound answer                      | takes   |
      | host lists       | a blank in a name                   | refuses |
      | host lists       | no length and a reset               | refuses |
      | weights          | a sound answer                      | takes   |
      | weights          | a blank in a name                   | refuses |
      | weights          | no length and a reset               | refuses |
      | status resources | a sound answer                      | takes   |
      | status resources | a blank in a name                   | refuses |
      | status resources | no length and a reset               | refuses |
