Feature: Faults of the decision core

  Scenario: A request that raises an exception in the core ends no router
    A message format that one branch had changed ended the actor of every
    router that got such a request, and its callers waited for 30 s.
    Given a router actor
    When a step for a request raises an unexpected exception
    Then that request is refused as not run
    And the actor still answers and counts one fault

  Scenario Outline: A router ends when its decision core hangs, and not otherwise
    A hanging core answered health checks for minutes and ignored SIGTERM.
    Given a process that checks its actor each second
    When the actor handles messages <before> and then <after>
    Then the process <verdict>

    Examples:
      | before             | after                                | verdict |
      | for 30 checks      | none for 16 checks                   | ends    |
      | for 30 checks      | none for 15 checks                   | goes on |
      | for 30 checks      | none while the whole process pauses  | goes on |

  # Guards against RECOVER: an unexpected exception in a step without a result ended the dispatch of a host.
  Scenario Outline: A fault in a step ends the dispatch of a forwarding router
    Given the dispatch state of a forwarding router
    When a step that is <sent> raises an unexpected exception
    Then the dispatch state still answers

    Examples:
      | sent  |
      | told  |
      | asked |
