Feature: A host follows the store from its start

  Scenario: A host that has just started learns of the store's return although its first call hangs
    Given a store whose first 1 calls hang for 3 s
    When a feed with a client that gives up after 0.3 s starts to follow it
    Then its entries are listed within 0.8 s
    And the feed has said once that the store is away

  Scenario: A store that is slow is listed nevertheless
    Given a store whose first 9 calls hang for 0.4 s
    When a feed with a client that gives up after 0.2 s starts to follow it
    Then its entries are listed within 1.2 s

  Scenario: A request that reaches a host just before its first listing waits for it
    Given a store whose first 1 calls hang for 0.02 s
    When a feed whose first listing may take 5 s follows it
    Then a request that waits for the first listing sees it

  Scenario: A request does not wait for a store that is away
    Given a store whose first 9 calls hang for 3 s
    When a feed with a client that gives up after 1 s starts to follow it
    Then a request that waits for the first listing is told within 0.5 s that there is none

  Scenario: A store that takes the connection and says nothing is given up soon
    Given an address that takes connections and says nothing
    When the platform's store there is listed with the quick client
    Then the call fails within 0.9 s

  Scenario: A long listing over a thin link is not given up while it comes
    Given a store whose listing comes in 5 pieces, 0.3 s apart
    When the platform's store there is listed with the quick client
    Then the call succeeds

  Scenario: A neighbour's snapshot that comes after the listing changes nothing
    Given a host that knows a replica from a neighbour's snapshot
    When its feed lists the store without that replica
    And the same snapshot comes once more
    Then the host knows the replicas of the listing alone
