Feature: Requests under which replicas end

  Scenario Outline: A request under which three replicas ended is not sent on, whatever host it comes to
    Given 3 gateway processes and 6 replicas that end under a poison request
    When the poison request comes again and again as "<method>" "<path>" for 8 s
    Then later than 3 s after its third end it has reached at most 3 replicas
    And later than 3 s after its last end all of its callers are refused as "not run", at least 20 times
    And other callers of "/calls/x" are served at every gateway

    Examples:
      | method | path              |
      | GET    | /calls/poison     |
      | POST   | /orders/poison    |
      | POST   | /resumable/poison |

  Scenario: A host that starts refuses what replicas ended under before
    Given 2 gateway processes and 6 replicas that come back under their id after a poison request
    When the poison request comes again and again as "GET" "/calls/poison" for 3 s
    And one gateway process is killed and starts again
    And another gateway process is added
    Then every gateway refuses "GET" "/calls/poison" and no replica gets it

  Scenario: Hosts tell each other of replicas that end while the store is away
    Given 3 gateway processes and 6 replicas that end under a poison request
    When the store is away
    And the poison request comes again and again as "GET" "/calls/poison" for 5 s
    Then later than 1 s after its third end it has reached at most 3 replicas
    When the store is back for 3 s
    And another gateway process is added
    Then every gateway refuses "GET" "/calls/poison" and no replica gets it

  Scenario: A request that ends replicas in the middle of its stream is not sent on
    Given 3 gateway processes and 6 replicas that end at event 4 of a poison request
    When the poison request comes again and again as "POST" "/plain/poison" for 8 s
    Then later than 3 s after its third end it has reached at most 3 replicas
    And later than 3 s after its last end all of its callers are refused as "not run", at least 20 times
