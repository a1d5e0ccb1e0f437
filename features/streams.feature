Feature: Chats through the router, on sockets

  Background:
    Given the answer "the lamp of pen seven went off"

  Scenario: An engine that dies mid-stream is resumed without a missing token
    Given an engine that dies before token 3
    And an engine that works
    When a caller asks for a stream
    Then the caller gets every token once, and the end mark
    And engine 2 was asked to resume at token 3 after "the lamp of "
    And the record names both engines and the verdict "ran"

  Scenario: An answer that is not streamed is whole after a resume
    Given an engine that dies before token 3
    And an engine that works
    When a caller asks for a whole answer
    Then the caller gets the whole answer

  Scenario: Events of another request are not delivered
    Given an engine that sends events of another request in between
    When a caller asks for a stream
    Then the caller gets every token once, and the end mark
    And the explanation says "Events not delivered: 7 wrong id."

  Scenario: A stream that stops without its end mark is not finished
    Given an engine that ends its stream properly but without the end mark
    And an engine that works
    When a caller asks for a stream
    Then the caller gets every token once, and the end mark
    And the outcomes of the tries are "failed, finished"

  Scenario: An answer that cannot be finished ends with a problem document
    Given an engine that dies before token 3
    When a caller asks for a stream
    Then the caller gets 3 tokens, an error event with the verdict "may have run" and no end mark

  Scenario: A refusal as "not run" is carried on at another engine
    Given an engine that refuses with "not run"
    And an engine that works
    When a caller asks for a stream
    Then the caller gets every token once, and the end mark
    And the outcomes of the tries are "refused, finished"

  Scenario: All engines unreachable is "not run"
    Given an engine that does not listen
    When a caller asks for a stream
    Then the caller gets the problem 503 with the verdict "not run"

  Scenario: An engine that breaks before its first byte may have run the request
    Given an engine that breaks the connection after the request
    When a caller asks for a stream
    Then the caller gets the problem 503 with the verdict "may have run"

  Scenario: A connection with a remainder is not reused
    Given an engine that sends more bytes after its answer
    When a caller asks for a stream 3 times
    Then the caller gets every token once, and the end mark
    And engine 1 was reached over 3 connections

  Scenario: A connection whose answer was read to its end is reused
    Given an engine that works
    When a caller asks for a stream 3 times
    Then engine 1 was reached over 1 connection

  Scenario: A caller that goes away cancels its request at the engine
    Given an engine that pauses after token 2
    When a caller goes away after the first token
    Then engine 1 is told to cancel the request
    And the grant is released as "abandoned"

  Scenario: An answer that is late ends at its deadline and not later
    Given an engine that pauses after token 2
    When a caller asks for a stream with a deadline of 300 ms
    Then the caller gets 2 tokens, an error event with the verdict "may have run" and no end mark
    And the error names the setting "request.deadline_s"
    And engine 1 is told to cancel the request

  Scenario: An engine that is silent too long is left for another
    Given an engine that pauses after token 1
    And an engine that works
    When a caller asks for a stream while engines may be silent for 100 ms
    Then the caller gets every token once, and the end mark
    And the outcomes of the tries are "failed, finished"

  Scenario: Open requests renew their grants until they end
    Given a watch over 2 open requests on virtual time
    When 3 s pass and the deadline of the second is at 2 s
    Then the first was renewed 3 times and the second was stopped as late

  Scenario: A fault of the router itself is not reported as "not run"
    Given an engine that works
    When the desk fails with a timeout while a caller asks for a stream
    Then the caller gets an internal error with the verdict "may have run"
    And no request is left open

  Scenario Outline: A malformed request is refused and harms no other request
    Given an engine that works
    When a caller sends <what>
    Then the connection is answered with status <status> and closed
    And no engine was asked
    And a later caller gets every token once

    Examples:
      | what                             | status |
      | two lengths of its body          | 400    |
      | a negative length of its body    | 400    |
      | headers that never end           | 408    |
      | headers byte by byte, for ever   | 408    |
      | a body that never ends           | 408    |
      | a body that is cut off           | 400    |
      | headers longer than the limit    | 413    |
      | a body longer than the limit     | 413    |
      | an unknown key                   | 401    |
      | a body that is no JSON           | 400    |
      | an id with a line break          | 400    |

  Scenario: Idle connections do not take the threads of others
    Given an engine that works
    And a router with 2 threads that waits 60 s for headers
    When 20 callers connect and send nothing
    Then a later caller gets every token once

  Scenario: Status pages show no keys and no texts
    Given an engine that works
    When a caller asks for a stream
    Then dump and record show neither the key nor a text
