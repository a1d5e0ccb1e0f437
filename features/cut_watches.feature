Feature: A cut watch of the store is no outage

  # Guards against DRAIN: a removal just after a cut watch was doubted for 2.2 s, as after an outage.
  Scenario Outline: A removal around cut watches is doubted
    Given <hosts> hosts that follow the store
    When the waiting watches are cut at <cuts> s around the removal of a replica, beside <trouble>
    Then within <bound> s of the removal no host uses the replica

    Examples: in a small fleet every host watches the store
      | hosts | cuts                  | trouble           | bound |
      | 3     | -1                    | nothing           | 2     |
      | 3     | -0.5                  | nothing           | 2     |
      | 3     | -0.25                 | nothing           | 2     |
      | 3     | -0.05                 | nothing           | 2     |
      | 3     | 0.05                  | nothing           | 2     |
      | 3     | 0.3                   | nothing           | 2     |
      | 3     | 1                     | nothing           | 2     |
      | 3     | -0.6 -0.4 -0.2 -0.05  | nothing           | 2     |
      | 3     | -1 -0.5 -0.1 0.1 0.5  | nothing           | 2     |
      | 3     | -0.2                  | a refused call    | 2     |
      | 3     | -0.2                  | a call timing out | 2     |
      | 3     | -0.6 -0.05            | a call timing out | 2     |

    Examples: in a large fleet most hosts follow a relay
      | hosts | cuts                  | trouble           | bound |
      | 26    | -1                    | nothing           | 3     |
      | 26    | -0.25                 | nothing           | 3     |
      | 26    | -0.05                 | nothing           | 3     |
      | 26    | 0.05                  | nothing           | 3     |
      | 26    | 0.5                   | nothing           | 3     |
      | 26    | -0.6 -0.4 -0.2 -0.05  | nothing           | 3     |
      | 26    | -0.05                 | a refused call    | 3     |
      | 26    | -0.05                 | a call timing out | 3     |
      | 26    | -0.05                 | a relay that ends | 3     |
      | 26    | -0.05                 | a late relay      | 3     |

  # The shortest outage in which the entry of a live replica lapses takes two liveness reports.
  Scenario Outline: An entry that lapses in an outage is gone
    Given <hosts> hosts that follow the store
    When the store is away for 2.4 s after <begin>, and loses the entry of a replica for <missing> s
    Then all hosts use the replica all the while

    Examples:
      | hosts | begin       | missing |
      | 3     | a cut watch | 1.6     |
      | 3     | no sign     | 1.6     |
      | 26    | a cut watch | 1.2     |
      | 26    | no sign     | 1.2     |
