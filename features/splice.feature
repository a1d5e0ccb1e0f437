Feature: One answer from the streams of several engines

  Scenario: No order of faults crosses, loses, doubles or truncates an answer
    When the state machine of stream delivery runs
    Then no property was broken

  Scenario: The state machine finds a splice that doubles tokens
    When the state machine runs on a splice that doubles tokens
    Then it reports a lost or doubled token

  Scenario: The parser reads any bytes the same way however they are cut
    When random byte streams are parsed whole and in random pieces
    Then both give the same events or both are refused

  Scenario: The parser reads every written frame back
    When random contents are written as frames and parsed in random pieces
    Then the contents come back

  Scenario: An endless line is refused before it takes the memory
    When a stream sends a line longer than the limit in small pieces
    Then the parser refuses it at the limit
