Feature: Orders to engines

  Scenario: A new version reaches every engine at the rate of the weight store
    Given 5 engines and an orderer with loads of 20 seconds of the store's rate
    When version 2 is asked for
    Then all engines run version 2 after 5 loads at half the rate, one each 40 seconds
    And never fewer than 4 engines served

  Scenario: A roll-back in the middle of a roll-out needs only an edit
    Given 5 engines and an orderer with loads of 20 seconds of the store's rate
    When version 2 is asked for
    And version 1 is asked for after 60 seconds
    Then all engines run version 1, and engines that never changed got no load

  Scenario: A version that the weight store lacks is not ordered
    Given 5 engines and an orderer with loads of 20 seconds of the store's rate
    When version 7 is asked for, which the weight store lacks
    Then no engine gets a load, and the dump names the reason

  Scenario: Too few engines for the capacity floor block a roll-out visibly
    Given 1 engines and an orderer with loads of 20 seconds of the store's rate
    When version 2 is asked for
    Then no engine gets a load, and the dump names the reason

  Scenario: Replicas and adapters follow the settings
    Given 5 engines and an orderer with loads of 20 seconds of the store's rate
    When 2 replicas of another model with an adapter are asked for beside 3 of the first
    Then 3 engines serve the first model and 2 the other with its adapter

  Scenario Outline: A send that is paused for <seconds> s after its check, at an engine that <checks> tokens, is <fate>
    Given 5 engines and an orderer with loads of 20 seconds of the store's rate
    When its send is paused for <seconds> s and another orderer takes over
    Then the paused order is <fate> by an engine that <checks> tokens

    Examples:
      | seconds | checks  | fate                                     |
      | 14      | ignores | harmless before the takeover             |
      | 60      | checks  | refused                                  |
      | 60      | ignores | accepted, which the assumptions exclude  |

  Scenario: An order that waits until little of the lease is left is withheld
    Given 5 engines and an orderer with loads of 20 seconds of the store's rate
    When an order waits until 3 seconds of the lease are left
    Then it is withheld and given again later

  Scenario: A lease whose acquisition lost its reply is found by reading back
    Given 5 engines and an orderer with loads of 20 seconds of the store's rate
    When the reply to the acquisition of the lease is lost
    Then the orderer holds the lease with the token of the store

  Scenario: No order is lost, doubled or given by an old holder
    Then the orders machine finds no broken property in 100 runs of 30 steps

  Scenario Outline: The machine finds an orderer that <fault>
    Then the orders machine finds a broken property when an orderer <fault>

    Examples:
      | fault                                              |
      | sends without a look at the lease                  |
      | gives orders right after taking the lease          |
      | gives each send an id of its own                   |
      | never looks again at an order whose reply was lost |
      | does not count orders under way against the floor  |
      | gives orders by older settings                     |
