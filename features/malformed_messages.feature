Feature: A message that the grammar does not allow is rejected, never guessed

  # Guards against UNASKED: bytes of a body were taken for the next request, and a replica ran it.
  Scenario Outline: A request that is hidden in another one's body is run
    Given a forwarding router with a replica that answers "whole"
    When a caller sends a request that hides another one <where>
    Then the caller is told 400 once and the connection is closed
    And no replica got a request

    Examples:
      | where                                     |
      | behind two lengths                        |
      | behind a list of lengths                  |
      | in a trailer section                      |
      | behind a length and chunks                |
      | behind chunks of HTTP/1.0                 |
      | behind a bare line feed                   |
      | behind a chunk extension with a line feed |
      | behind a chunk that is too short          |

  # Guards against UNASKED: the first part of a body was sent on as a whole request.
  Scenario Outline: A body that is cut off is run as a whole request
    Given a forwarding router with a replica that answers "whole"
    When a caller sends <sent> of a body <how> and closes its side
    Then the caller is told 400 once and the connection is closed
    And no replica got a request

    Examples:
      | sent    | how           |
      | half    | with a length |
      | nothing | with a length |
      | half    | in chunks     |
      | nothing | in chunks     |

  # Guards against UNASKED: a form that the next hop may read differently was passed on.
  Scenario: A malformed request is passed on
    Given a forwarding router with a replica that answers "whole"
    When callers send each malformed request
    Then each of them is told 400 once and its connection is closed
    And no answer shows a key
    And no replica got a request

  Scenario: What is odd but sound is passed on unchanged
    Given a forwarding router with a replica that answers "whole"
    When callers send each odd but sound request
    Then each of them gets 200, and the replica got "POST" "/orders/x" with "the body"

  # Guards against a held thread and an unasked-for 408: the end of a chunked body was taken for the next request.
  Scenario: A connection with a chunked request gets a 408 when it is idle
    Given a forwarding router with a replica that answers "whole"
    When the operator allows 0.5 s for the headers of a request
    And a caller sends a chunked request and waits 1.2 s
    Then nothing came after the answer, and the next request is answered with 200

  Scenario: Requests that are sent at once are answered in order
    Given a forwarding router with a replica that answers "named"
    When a caller sends 3 chunked requests at once
    Then it gets the 3 answers in order

  # Guards against MIXED: an answer that the caller may read differently was passed on.
  Scenario: A malformed answer is passed on
    Given a forwarding router whose replicas send each malformed answer
    When for each of them a caller sends "POST" to "/orders/x"
    Then each caller gets 502

  # Guards against work without end: extensions count against the limit of a head, not that of a body.
  Scenario: Chunk extensions are read for as long as they come
    Given a forwarding router with a replica that answers "whole"
    When a caller sends 64 bytes in chunks with 256 KB of extensions
    Then the caller is told 400 once and the connection is closed
    And no replica got a request
