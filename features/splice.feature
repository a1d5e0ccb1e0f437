Feature: One answer from the streams of several engines

  Scenario: No order of faults crosses, loses, doubles or truncates an answer
    Then the state machine of stream delivery finds no broken property

  Scenario: The state machine finds a splice that doubles tokens
    Then the state machine reports a splice that doubles tokens

  Scenario: The parser reads any bytes the same way however they are cut
    Then random byte streams give the same whole and in random pieces

  Scenario: The parser reads every written frame back
    Then random contents written as frames come back from random pieces

  Scenario: An endless line is refused before it takes the memory
    Then a line that comes in small pieces is refused at the limit
