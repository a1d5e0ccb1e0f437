Feature: Real processes under failure
  The programs run as separate processes on loopback addresses.

  Background:
    Given a running deployment of 3 routers, 3 engines and a reminder service

  Scenario: Killing the engine in the middle of an answer loses and doubles no token
    Given a chat of 100 tokens is half way
    When its engine is killed
    Then the member gets the whole answer

  Scenario: An engine that is paused in the middle of an answer is replaced
    Given a chat of 100 tokens is half way
    When its engine is paused
    Then the member gets the whole answer
    And the engine is continued

  Scenario: Killing the router never makes a cut-off answer look finished
    Given a chat of 100 tokens is half way
    When its router is killed
    Then the caller's answer is not marked as finished
    And the same turn through the next address gets the whole answer

  Scenario: A planned stop cuts off no request in flight
    Given a chat of 100 tokens is half way
    When its router is told to stop
    Then the member gets the whole answer
    And the router ends by itself
    And another router can explain the request

  Scenario: An order whose answer was lost after its effect is not made twice
    Given the reminder service drops its next answer after the effect
    When a swap is logged with a key through router-1
    Then the verdict is "may have run"
    When the same swap is logged again through router-2
    Then the service counts 1 effect

  Scenario: With the key-value service killed, chats go on and calls are refused
    Given the key-value service is killed
    When a swap is logged with a key through router-1
    Then the verdict is "not run"
    And the service counts 0 effects
    And a chat of 5 tokens gets its whole answer

  Scenario: A rolling restart of all routers under load cuts off nothing
    When all routers are restarted one after the other while chats run
    Then every chat got its whole answer

  Scenario: A version is rolled out and back by settings edits alone
    Given an orderer on every entry host
    When model.version is set to "2"
    Then every engine has version "2" and runs no order twice
    When model.version is set to "1"
    Then every engine has version "1" and runs no order twice

  Scenario Outline: Killing the <part> in the middle of an answer changes nothing for the caller
    Given a chat of 100 tokens is half way
    When the process of the <part> is killed
    Then the member gets the whole answer

    Examples:
      | part    |
      | hosts   |
      | weights |
      | kv      |
