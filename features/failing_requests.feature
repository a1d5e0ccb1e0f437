Feature: Error responses tell of the request or of the replica

  Scenario: Requests that fail everywhere eject no replica and are given up
    Given 3 replicas of a service and 1 routers that share no word
    When 20 requests of 5 kinds fail at whichever replica runs them
    Then no replica is ejected
    And a request that has failed so is not sent to a second replica any more
    And another request still is

  Scenario: A replica that fails what others answer is ejected
    Given 3 replicas of a service and 1 routers that share no word
    When one replica fails 20 requests that another one answers
    Then that replica alone is ejected

  Scenario: A request that failed everywhere is tried again after a while, and after a success
    Given 3 replicas of a service and 1 routers that share no word
    When 4 requests of 1 kinds fail at whichever replica runs them
    And 61 s pass
    Then a request that has failed so is sent to a second replica
    When 4 requests of 1 kinds fail at whichever replica runs them
    And such a request succeeds
    Then a request that has failed so is sent to a second replica

  Scenario: A failure that comes without a response counts at once
    Given 3 replicas of a service and 1 routers that share no word
    When one replica breaks 6 connections
    Then that replica alone is ejected
