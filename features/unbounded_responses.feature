Feature: A replica that sends without end costs callers nothing

  # Guards against the regression of 16fe028: a replica that used up its part of the memory was never ejected.
  Scenario Outline: Some replicas begin to send without end while callers are at them
    Given a gateway process and <all> replicas, of which <faulty> may send <form> without end
    When they do, and 150 callers send request after request for 2 s
    Then each caller got 200, and the faulty replicas fewer than <most> requests
    And the metrics name only faulty replicas as users of the memory

    Examples: each form, at one of three replicas
      | all | faulty | form                | most |
      | 3   | 1      | a body to the close | 75   |
      | 3   | 1      | large chunks        | 75   |
      | 3   | 1      | a 500 with a body   | 75   |
      | 3   | 1      | a 500 to the close  | 75   |
      | 3   | 1      | one event           | 75   |
      | 3   | 1      | a first event       | 75   |
      | 3   | 1      | comments            | 75   |
      | 3   | 1      | header lines        | 75   |
      | 3   | 1      | further heads       | 75   |
      | 3   | 1      | trailers            | 75   |
      | 3   | 1      | a refusal           | 75   |

    # Guards against a retry at the next faulty replica, whose failure the caller gets.
    Examples: half of the replicas
      | all | faulty | form                | most |
      | 12  | 6      | large chunks        | 120  |
      | 12  | 6      | a first event       | 120  |
      | 12  | 6      | header lines        | 120  |

  # Guards against memory that stays with the process: the allocator kept 100 MB of freed bodies.
  Scenario: The process returns the memory of long responses
    Given a gateway process and 12 replicas, of which 6 may send a 500 with a body without end
    When they do, and 150 callers send request after request for 2 s
    Then each caller got 200, and the faulty replicas fewer than 120 requests
    And within 10 s the process holds at most 20 MB more than before
