Feature: The threads that serve callers follow the load

  Scenario: A router without callers runs few threads
    Given a forwarding router that the store has told nothing
    When 1 s pass without callers
    Then the router has started fewer than 16 threads

  Scenario: Callers that arrive at once are all served at once
    Given a server whose answers take 0.5 s
    When 100 callers arrive at once
    Then the last of them is answered within 1.5 s

  Scenario: Above the bound callers wait for a thread
    Given a server whose answers take 0.2 s, with at most 4 threads
    When 8 callers arrive at once
    Then all of them are answered, and the server has 4 threads

  Scenario: Threads that nobody needs any more end, and a new burst starts them again
    Given a server whose answers take 0.1 s
    When 40 callers arrive at once
    And 21 s pass at its threads
    Then the server has at most 2 threads
    When 40 callers arrive at once
    Then the last of them is answered within 1 s

  Scenario: A server that is shut answers what it has read and reads nothing more
    Given a server whose answers take 0.3 s
    When 20 callers arrive at once, and it is shut after 0.1 s
    Then all 20 are answered
    And a caller that arrives now is closed before its request is read
    And the server is idle

  Scenario: A server that still answers says that it is not idle
    Given a server whose answers take 0.6 s
    When 1 callers arrive at once, and it is shut after 0.1 s, without waiting
    Then it is not idle within 0.1 s
