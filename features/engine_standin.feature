Feature: Engine stand-in

  Scenario: A stream that resumes at another engine continues the same text
    Given two engines of one model
    When the first engine crashes after 7 tokens of a request
    And the request resumes at the second engine
    Then both parts together are the whole answer

  Scenario: A returning chat finds its prompt in the cache until it is evicted
    Given two engines of one model
    When a chat of 400 words returns to the first engine
    Then at least 400 prompt tokens of the second turn were cached
    When other chats fill the cache of the first engine
    Then none of the prompt of the chat is cached
    And the cache events name the eviction

  Scenario: A larger batch is slower for each request
    Given two engines of one model
    When 1 request runs on the first engine and 30 on the second
    Then the time between tokens is larger on the second engine

  Scenario: An engine that is loading refuses new work and finishes the old
    Given two engines of one model
    When the first engine is ordered to load a version during a request
    Then a new request is refused as not run
    And the running request ends and the version is loaded afterwards
    And the same order again changes nothing

  Scenario: The HTTP server streams, resumes and cuts off as its faults say
    Given an engine server
    When a request is streamed over HTTP
    Then the events carry its id and consecutive offsets and end with DONE
    When the request resumes over HTTP at offset 5
    Then the events start at offset 5 with the same text
    When the engine is marked as leaving over HTTP
    Then a new HTTP request gets 409 with the verdict not run
    When the next HTTP answer is dropped
    Then the HTTP client sees a broken connection
