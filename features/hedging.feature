Feature: A second copy of a request whose response is late

  # Guards against hedges by a figure that a few requests made up.
  Scenario Outline: The delay is a percentile of the route's response times
    Given hedging of <percent> in 100 requests
    And response times of <times> ms, evenly spread over <samples> requests
    Then a request with <left> s left is late after <delay>

    Examples:
      | percent | times   | samples | left | delay   |
      | 5       | 1 - 200 | 200     | 2    | 190 ms  |
      | 1       | 1 - 200 | 200     | 2    | 198 ms  |
      | 20      | 1 - 200 | 200     | 2    | 180 ms  |
      | 5       | 1 - 15  | 30      | 2    | 20 ms   |
      | 5       | 1 - 29  | 29      | 2    | nothing |
      | 5       | 1 - 200 | 200     | 0.2  | nothing |

  Scenario: Old response times do not count
    Given hedging of 5 in 100 requests
    And response times of 1 - 200 ms, evenly spread over 200 requests
    When 61 s have passed
    Then a request with 2 s left is late after nothing

  # Guards against hedges that exceed the operator's limit, also after a quiet time.
  Scenario Outline: Hedges stay within their share of the service's requests
    Given a router that hedges <percent> in 100 requests to 4 replicas
    When <requests> requests succeed, each of them late
    Then <hedges> to <hedges> hedges are sent

    Examples:
      | percent | requests | hedges |
      | 0       | 300      | 0      |
      | 2       | 300      | 6      |
      | 5       | 300      | 15     |

  Scenario: Saved hedges do not come all at once
    Given a router that hedges 5 in 100 requests to 4 replicas
    When 2000 requests succeed, none of them late
    And 10 requests succeed, each of them late
    Then 1 to 2 hedges are sent

  # Guards against RETRIES: hedges that use up the budget of retries.
  Scenario: Retries come before hedges
    Given a router that hedges 20 in 100 requests to 4 replicas
    When 200 requests succeed, each of them late
    Then a retry is sent
    When 3 requests succeed, each of them late
    Then no further hedge is sent
    When 30 requests succeed, each of them late
    Then further hedges are sent

  Scenario Outline: A hedge goes only to replicas that can begin it at once
    Given a router that hedges 20 in 100 requests to 2 replicas
    When 200 requests succeed, none of them late
    And the other replica <state>
    Then a late request is not hedged because "<reason>"

    Examples:
      | state                      | reason               |
      | runs 16 of 16 requests     | hedge_without_room   |
      | runs 14 of 16 requests     | hedge_without_room   |
      | does not tell its slots    | hedge_without_room   |
      | is on a slow machine       | hedge_without_room   |
      | cannot be reached          | hedge_without_room   |
      | names a rate limit         | hedge_without_room   |
      | is ejected                 | hedge_without_room   |
      | ended under the request    | hedge_unsuitable     |
      | is the only one to answer  | hedge_unsuitable     |

  Scenario Outline: No request runs more often than its route allows
    Given a route of kind "<kind>" for <most> attempts
    And <runs> failed attempts that may have run
    Then a second copy is <allowed>

    Examples:
      | kind           | most | runs | allowed     |
      | idempotent     | 2    | 0    | allowed     |
      | idempotent     | 1    | 0    | not allowed |
      | idempotent     | 2    | 1    | not allowed |
      | idempotent     | 3    | 1    | allowed     |
      | non-idempotent | 2    | 0    | not allowed |
      | stream         | 2    | 0    | not allowed |
      | resumable      | 2    | 0    | allowed     |

  Scenario Outline: A limit out of range is named
    Given the hedging limit <field> in the settings and <variable> in the environment
    Then the settings are <outcome>

    Examples:
      | field | variable | outcome           |
      | none  | none     | 0                 |
      | 5     | none     | 5                 |
      | 5     | 7.5      | 7.5               |
      | 20    | 0        | 0                 |
      | 21    | none     | refused with 21   |
      | 5     | -1       | refused with -1   |
      | nan   | none     | refused with nan  |
      | many  | none     | refused with many |

  # Guards against MIXED, against runs that go on for nobody, and against a wait for the copy that is not answered.
  Scenario Outline: The response that is complete first goes to the caller, and the other run is cancelled
    Given a hedging router whose replicas answer a late request by "<first>" and "<second>"
    When a late request goes to "<path>"
    Then the caller gets the answer "<answer>"
    And <cancelled> is cancelled, and each placement has ended
    And later requests get their own answers

    Examples:
      | path         | first                    | second                   | answer              | cancelled  |
      | /calls/x     | silence                  | copy 2 at once           | copy 2              | copy 1     |
      | /calls/x     | half a body after 0.1 s  | copy 2 after 0.2 s       | copy 2              | copy 1     |
      | /calls/x     | copy 1 after 0.2 s       | half a body after 0.1 s  | copy 1              | copy 2     |
      | /calls/x     | copy 1 after 0.2 s       | silence                  | copy 1              | copy 2     |
      | /calls/x     | copy 1 after 0.2 s       | a refusal                | copy 1              | neither    |
      | /calls/x     | copy 1 after 0.2 s       | an error                 | copy 1              | neither    |
      | /calls/x     | copy 1 after 0.2 s       | a reset                  | copy 1              | neither    |
      | /calls/x     | an older answer after 0.1 s | copy 2 after 0.2 s    | copy 2              | copy 1     |
      | /calls/x     | a reset after 0.2 s      | copy 2 after 0.3 s       | copy 2              | neither    |
      | /calls/x     | an error after 0.2 s     | copy 2 after 0.3 s       | copy 2              | neither    |
      | /resumable/x | silence                  | a stream at once         | all events          | copy 1     |
      | /resumable/x | a comment and half an event | a stream at once      | all events          | copy 1     |
      | /resumable/x | a stream after 0.2 s     | a comment and half an event | all events       | copy 2     |
      | /resumable/x | a stream after 0.2 s     | a refusal                | all events          | neither    |

  # Guards against REFUSED: "not run" although one of the copies may have run.
  Scenario Outline: The caller is told "not run" only if it holds for both copies
    Given a hedging router whose replicas answer a late request by "<first>" and "<second>"
    When a late request goes to "/calls/x"
    Then the caller gets <status>

    Examples:
      | first                 | second      | status |
      | a reset after 0.2 s   | a refusal   | 502    |
      | a refusal after 0.2 s | a reset     | 502    |
      | a refusal after 0.2 s | a refusal   | 503    |
      | an error after 0.2 s  | a reset     | 500    |
      | silence               | silence     | 504    |

  Scenario: A caller that leaves cancels both runs
    Given a hedging router whose replicas answer a late request by "silence" and "silence"
    When a late request goes to "/calls/x" and its caller leaves
    Then copy 1 and copy 2 is cancelled, and each placement has ended

  Scenario Outline: What must not run twice has one run
    Given a hedging router whose replicas answer a late request by "<first>" and "copy 2 at once"
    When a late request goes to "<path>"
    Then the caller gets the answer "<answer>"
    And neither is cancelled, and each placement has ended

    Examples:
      | path      | first                | answer     |
      | /orders/x | copy 1 after 0.2 s   | copy 1     |
      | /plain/x  | a stream after 0.2 s | all events |
