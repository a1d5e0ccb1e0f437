Feature: Admission to engines

  Scenario: Routers that are cut off, paused, late or new stay within the cap
    When the admission machine runs 120 examples of 40 steps
    Then no engine ever ran more requests than its cap

  Scenario Outline: The machine finds the fault that <fault>
    Given the deliberate fault that <fault>
    When the admission machine runs 250 examples of 40 steps
    Then the machine has found an engine over its cap

    Examples:
      | fault                           |
      | the second admits the whole cap |
      | a promise never expires         |
      | a joined router does not wait   |
      | expired holds are forgotten     |

  Scenario: A load multiple that is no binary fraction does not add a request
    Then the cap for 1.1 times 9 running requests on 1 engine is 11
    And the cap for 1.15 times 87 running requests on 5 engines is 21

  Scenario: A late report does not count as a fresh one
    Given a report of 20 running requests that was 3 seconds on its way
    Then its age is at least 3 seconds and its lower estimate below 18

  Scenario: A report that has expired raises no cap
    Given a report of 20 running requests that was 11 seconds on its way
    Then its lower estimate is 0

  Scenario: A promise that came late ends with the second's own term
    Given a promise of 5 seconds that was asked for 4 seconds ago
    Then the first holds it for 1 second and the second for 5 seconds

  Scenario: A surge of one organisation leaves the last places to others
    Given an engine of 20 places where "large" has 18 requests
    Then "large" gets no place and "small" gets one

  Scenario: A low priority is served in the end
    Given a queue that gets a request of priority 0 every second
    When a request of priority 9 waits
    Then it is served after at most 60 seconds

  Scenario: Organisations with many waiting requests do not delay the others
    Given 30 waiting requests of "large" and 1 of "small"
    Then the request of "small" is among the first 2 served

  Scenario: A full queue drops a request of the organisation with the most
    Given a full queue with 63 requests of "large" and 1 of "small"
    When "small" sends one more
    Then a request of "large" is dropped
