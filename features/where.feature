Feature: Where a request would go, without sending it

  Scenario: The preview names the choice and why the others are left out
    Given a router that knows 4 replicas, one draining, one in an evacuated zone and one unreachable
    When it is asked where a request with a prompt prefix would go
    Then the preview chooses the fourth, and says of the others "draining", "its zone is evacuated" and "a connection to it has just failed"

  Scenario: A cold replica is named as such
    Given a router with a warm and a cold replica
    When it is asked where a request with a prompt prefix would go
    Then the preview chooses the warm one, and calls the other cold

  Scenario: Asking changes neither counters nor budgets nor the next choices
    Given a router that knows 4 replicas, one draining, one in an evacuated zone and one unreachable
    When it is asked 20 times where a request with a prompt prefix would go
    Then its state is as before

  Scenario: A host answers on its control listener, the command prints it
    Given a forwarding router with a replica that answers "whole"
    When an operator asks it where a request would go
    Then the text names the route, the service and the replica
    And the replica has received no request

  Scenario Outline: A question that cannot be answered says why
    Given a forwarding router with a replica that answers "whole"
    When an operator's program asks "<query>"
    Then it gets <status> and "<title>"

    Examples:
      | query                           | status | title                            |
      | /where?host=a.example&path=/no/ | 404    | no route matches                 |
      | /where?host=a.example           | 400    | missing required field           |
      | /where?host=a&path=/&zap=1      | 400    | unknown field 'zap'              |
