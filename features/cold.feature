Feature: Replicas that need a warm-up

  # Guards against a malformed value that makes the valid ones next to it
  # unreadable, and against a replica that is cold for ever.
  Scenario Outline: The rest of a warm-up on the wire
    When <where> states "<text>" as the rest of the warm-up
    Then the replica is cold for <seconds> s, and the rest is read

    Examples:
      | where                    | text   | seconds |
      | a response with 200      | 1500   | 1.5     |
      | a response with 503      | 1500.5 | 1.5005  |
      | a response with 200      | 0      | 0       |
      | a response with 200      | -1     | no      |
      | a response with 200      | nan    | no      |
      | a response with 200      | 600001 | no      |
      | a response with 200      | soon   | no      |
      | a response with 421      | 1500   | no      |
      | an entry                 | 1500   | 1.5     |
      | an entry                 | 0.5    | 0.0005  |
      | an entry                 | null   | 0       |
      | an entry                 | -1     | no      |
      | an entry                 | 600001 | no      |
      | an entry                 | true   | no      |
      | an entry                 | [3000] | no      |
      | an entry                 | {}     | no      |

  Scenario Outline: A malformed service keeps a version of the route table out of force
    When the operator declares <services> besides a sound service
    Then the version is in force with the sound service alone

    Examples:
      | services                               |
      | {"name": "a", "coldS": -1}             |
      | {"name": "a", "coldPerS": "8"}         |
      | {"name": "a", "coldS": 601}            |
      | {"coldS": 3}                           |
      | [1]                                    |

  Scenario Outline: The bound in the settings
    Given the settings have "<over>" as coldOver and "<slack>" as coldSlack
    Then <result>

    Examples:
      | over | slack | result                                       |
      | 1.5  | 5     | the bound is 17 requests at 8.5 a second     |
      |      | 5     | cold replicas get no care                    |
      | -1   | 5     | the settings are refused, naming coldOver    |
      | 1.5  | nan   | the settings are refused, naming coldSlack   |
      | 1.5  | many  | the settings are refused, naming coldSlack   |

  # Guards against replicas that crash during their warm-up: all routers together
  # send above the rate that they tolerate. Each row under 8 times the load.
  Scenario Outline: A cold replica gets no more than its bound, from all routers together
    Given 58 routers that know <known> of each other, and <count> replicas
    When <disturbance>
    Then no cold replica gets more than 17 requests in a second

    Examples:
      | known      | count | disturbance                                                              |
      | all        | 10    | all replicas restart during the burst, heard at once                     |
      | none       | 10    | all replicas restart during the burst, heard at once                     |
      | two thirds | 10    | all replicas restart during the burst, heard at once                     |
      | all        | 10    | all replicas and routers restart during the burst, heard at once         |
      | two thirds | 10    | 5 replicas turn cold again on a calm day, heard within 2.5 s             |
      | all        | 10    | 5 replicas turn cold again on a calm day, heard within 2.5 s             |

  # Guards against a jump of the load that reaches replicas before the word that
  # they are cold. Known red: the bound does not always hold (KNOWN-RED.txt).
  Scenario: No replica gets more than its bound when hosts have not heard that it is cold
    Given 58 routers that know all of each other, and 70 replicas
    When 6 replicas turn cold again just before the burst, heard within 2.5 s
    Then none of them gets more than 17 requests in a second

  # Guards against requests that are rejected, or sent away from their prefix,
  # because replicas might be cold.
  Scenario: On a calm day without cold replicas nothing is rejected
    Given 58 routers that know all of each other, and 70 replicas
    When a calm day passes
    Then nothing is rejected

  # Guards against idle capacity: permits that nobody may use.
  Scenario: When all replicas are cold, what they tolerate is used
    Given 58 routers that know all of each other, and 10 replicas
    When all replicas restart during the burst, heard at once
    Then cold replicas get at least 4 requests a second each
    And what was rejected is said not to have run, with a time to come back

  Scenario Outline: What a router takes for cold
    Given a router that lists a replica with a rest of <rest> s
    When <event>
    Then the replica is cold for <seconds> s more

    Examples:
      | rest | event                                             | seconds |
      | 0    | nothing else comes                                | 0       |
      | 2    | nothing else comes                                | 2       |
      | 0    | it starts again                                   | 3       |
      | 0    | its entry says 1 s                                | 1       |
      | 2    | a response says 1 s                               | 1       |
      | 2    | its entry says 1 s                                | 2       |
      | 0    | its process ends during a request                 | 3       |
      | 0    | its entry lapses and returns after an outage      | 0       |
      | 0    | its zone returns after an evacuation              | 3       |
      | 2    | a late response of its earlier start says 9 s     | 2       |

  # Guards against a log that grows with each heartbeat of such an entry.
  Scenario: A malformed warm-up is logged once
    Given a router that lists a replica with a rest of 0 s
    When its entry states a malformed rest twice
    Then there is one line for the log, and the replica is warm

  Scenario: A replica that has become warm gets its usual load in steps
    Given 58 routers that know all of each other, and 10 replicas
    When 2 replicas restart on a calm day, heard at once
    Then in the first second after the warm-up they get less than half of what the others get, and after 4 s as much

  Scenario: Without the bound in the settings, routers place as before
    Given two routers, of which only one knows of services and warm-ups
    Then both place 200 requests alike

  # Guards against owners in their own eyes only.
  Scenario Outline: When a router has permits
    Given a router that has been in touch for <touch> s, registered: <registered>
    When its newest word of the store is <age> s old
    Then it has <permits> for cold replicas

    Examples:
      | touch | registered | age | permits    |
      | 6     | yes        | 0.5 | permits    |
      | 2     | yes        | 0.5 | no permits |
      | 6     | no         | 0.5 | no permits |
      | 6     | yes        | 3.5 | no permits |
