Feature: Faults of the decision core

  Scenario: A request that raises an exception in the core ends no router
    A message format that one branch had changed ended the actor of every
    router that got such a request, and its callers waited for 30 s.
    Given a router actor
    When a step for a request raises an unexpected exception
    Then that request is refused as not run
    And the actor still answers and counts one fault
