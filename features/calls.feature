Feature: Service calls through the router

  Scenario: A call that may have run is not sent a second time
    Given a replica that breaks the connection after the request
    And a replica that works
    When a caller sends a call that must not be repeated
    Then the caller gets status 502 and the verdict "may have run"
    And the replicas received 1 call
    When the caller sends it again
    Then the caller gets status 409 and the verdict "may have run"
    And the replicas received 1 call

  # Guards against an empty 200: half a head was read as a whole one.
  Scenario: A replica that stops in the middle of its head has not answered
    Given a replica that stops in the middle of its head
    When a caller sends a call that must not be repeated
    Then the caller gets status 502 and the verdict "may have run"

  Scenario: A repeat gets the recorded answer
    Given a replica that works
    When a caller sends a call that must not be repeated
    Then the caller gets status 200 and the verdict "ran"
    When the caller sends it again
    Then the caller gets status 200 and the verdict "ran"
    And the replicas received 1 call

  Scenario: The same key of another organisation is another call
    Given a replica that works
    When a caller sends a call that must not be repeated
    And a caller of another organisation sends it too
    Then the replicas received 2 calls

  Scenario: A replica that is not reached did not run the call
    Given a replica that does not listen
    And a replica that works
    When a caller sends a call that must not be repeated
    Then the caller gets status 200 and the verdict "ran"

  Scenario: A call that no replica started frees its key
    Given a replica that refuses with "not run"
    When a caller sends a call that must not be repeated
    Then the caller gets status 503 and the verdict "not run"
    And the key is free

  Scenario: A repeatable call goes to another replica
    Given a replica that breaks the connection after the request
    And a replica that works
    When a caller sends a call that may be repeated
    Then the caller gets status 200 and the verdict "ran"
    And the replicas received 2 calls

  Scenario Outline: A path cannot leave the service
    Given a replica that works
    When a caller calls the path "<path>"
    Then the caller gets status 400 and the verdict "not run"
    And the replicas received 0 calls

    Examples:
      | path            |
      | /../v1/state    |
      | /a/%2E%2e/state |

  Scenario: The bearer key does not reach the service
    Given a replica that works
    When a caller sends a call that must not be repeated
    Then the replica saw the organisation, the idempotency key and no bearer key
