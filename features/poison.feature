Feature: Requests under which replicas end

  Scenario Outline: A request under which three replicas ended is not sent on, whatever host it comes to
    Given 3 gateway processes and 6 replicas that end under a poison request
    When the poison request comes again and again as "<method>" "<path>" for 8 s
    Then later than 3 s after its third end it has reached at most 3 replicas
    And other callers of "/calls/x" are served at every gateway

    Examples:
      | method | path              |
      | GET    | /calls/poison     |
      | POST   | /orders/poison    |
      | POST   | /resumable/poison |
