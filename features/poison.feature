Feature: Requests under which replicas end

  Scenario Outline: A request under which three replicas ended is not sent on, whatever host it comes to
    Given 3 gateway processes and 6 replicas that end under a poison request
    When the poison request comes again and again as "<method>" "<path>" for 8 s
    Then later than 3 s after its third end it has reached at most 3 replicas
    And later than 3 s after its last end all of its callers are refused as "not run", at least 20 times
    And other callers of "/calls/x" are served at every gateway

    Examples:
      | method | path              |
      | GET    | /calls/poison     |
      | POST   | /orders/poison    |
      | POST   | /resumable/poison |

  Scenario: A host that starts refuses what replicas ended under before
    Given 2 gateway processes and 6 replicas that come back under their id after a poison request
    When the poison request comes again and again as "GET" "/calls/poison" for 3 s
    And one gateway process is killed and starts again
    And another gateway process is added
    Then every gateway refuses "GET" "/calls/poison" and no replica gets it

  Scenario: Hosts tell each other of replicas that end while the store is away
    Given 3 gateway processes and 6 replicas that end under a poison request
    When the store is away
    And the poison request comes again and again as "GET" "/calls/poison" for 5 s
    Then later than 1 s after its third end it has reached at most 3 replicas
    When the store is back for 3 s
    And another gateway process is added
    Then every gateway refuses "GET" "/calls/poison" and no replica gets it

  Scenario: A fleet with relays stops a request under which replicas end
    Given 14 gateway processes and 6 replicas that end under a poison request
    When the poison request comes again and again as "GET" "/calls/poison" for 10 s
    Then later than 3 s after its third end it has reached at most 3 replicas
    And later than 3 s after its last end all of its callers are refused as "not run", at least 20 times
    And some gateway has heard of it through a relay

  Scenario: A request that ends replicas in the middle of its stream is not sent on
    Given 3 gateway processes and 6 replicas that end at event 4 of a poison request
    When the poison request comes again and again as "POST" "/plain/poison" for 8 s
    Then later than 3 s after its third end it has reached at most 3 replicas
    And later than 3 s after its last end all of its callers are refused as "not run", at least 20 times

  Scenario Outline: What condemns a request, and what does not
    Given a host that knows no suspects
    When of one request it hears that <story>
    Then the request is placed <how>

    Examples:
      | story                                                                | how     |
      | a ended early                                                        | apart   |
      | a ended early, a ended early                                         | apart   |
      | a ended early, b ended early                                         | nowhere |
      | a ended late, b ended early                                          | apart   |
      | a ended late, b ended late, c ended late                             | nowhere |
      | a ended early, x ended alone, y ended alone, b ended early           | apart   |
      | x ended alone, y ended alone, a ended early, b ended early, c ended early | nowhere |
      | x ended alone, y ended alone, 11 s passed, a ended early, b ended early   | nowhere |
      | a ended early, it ran whole, b ended early                           | freely  |
      | a ended early, it ran whole, 61 s passed, b ended early, c ended early | nowhere |
      | a ended early, b ended early, it ran whole                           | freely  |
      | a ended early, b ended early, 599 s passed                           | nowhere |
      | a ended early, b ended early, 601 s passed                           | freely  |
      | a ended early, b ended early, 599 s passed, 599 s passed             | nowhere |
      | another host condemned it                                            | nowhere |
      | it ran whole, another host condemned it                              | freely  |
      | another host condemned it, another host cleared it                   | freely  |
      | another host condemned it, another host released it                  | freely  |
      | another host released it, another host condemned it                  | freely  |

  Scenario: Who ran beside a condemned request is not condemned with it
    Given a host that knows no suspects
    When of one request it hears that a ended early, b ended early
    And of another request it hears that b ended early, c ended early
    Then the request is placed apart

  Scenario: A condemned request that comes again is remembered beside many suspects
    Given a host that knows no suspects
    When of one request it hears that a ended early, b ended early
    Then it is still condemned while it comes again after each 1000 of 9000 suspects

  Scenario: A suspect is not placed beside another suspect
    Given a host with 3 replicas, of which "i-1" runs a suspect
    Then 20 other suspects go to the other 2 replicas

  Scenario: No order of ends, reports and restarts lets poison through
    Then the machine of poison finds nothing in 150 runs of 40 steps

  Scenario Outline: The machine of poison finds deliberate faults
    Then the machine of poison finds the fault "<fault>" in 150 runs of 40 steps

    Examples:
      | fault                         |
      | hosts keep ends to themselves |
      | a replica ends once only      |
      | a whole answer clears nothing |
      | an end after the answer has begun counts for nothing |

  Scenario: No order of ends, answers and rests lets a poison part through
    Then the machine of poison parts finds nothing in 150 runs of 40 steps

  Scenario Outline: The machine of poison parts finds deliberate faults
    Then the machine of poison parts finds the fault "<fault>" in 150 runs of 40 steps

    Examples:
      | fault                                                |
      | an answer that has begun acquits its parts           |
      | an end after the answer has begun counts for nothing |
      | the rest of an answer acquits its parts              |

  # Guards against BUDGET under a poison prompt part: every request with it had its own fingerprint.
  Scenario Outline: A prompt part under which replicas ended is not sent on, although no two requests are alike
    Given 3 gateway processes and 6 replicas that end under a poison request
    When requests with a poison part come as "<method>" "<path>" for 8 s, beside sound ones with the other parts
    Then later than 3 s after its third end it has reached at most 3 replicas
    And later than 3 s after its last end all of its callers are refused as "not run", at least 20 times
    And later than 1 s after the last end all sound requests are served, at least 10

    Examples:
      | method | path        |
      | GET    | /calls/x    |
      | POST   | /orders/x   |

  # Guards against BUDGET: a replica that ended after the second event acquitted the part that had ended it.
  Scenario Outline: A prompt part that ends replicas in the middle of an answer is sent on
    Given 3 gateway processes and 6 replicas that end at any event of a poison request
    When now and then requests with a poison part come as "POST" "<path>" for 12 s, beside sound ones with the other parts
    Then later than 3 s after its fifth end it has reached at most 3 replicas
    And later than 3 s after its last end all of its callers are refused as "not run", at least 3 times
    And later than 1 s after the last end all sound requests are served, at least 10

    Examples:
      | path         |
      | /plain/x     |
      | /resumable/x |

  # Guards against LOST: replicas that end for reasons of their own run streams with many parts, some of them in all.
  Scenario: A prompt part is refused because replicas end for other reasons
    Given 3 gateway processes and 6 replicas with streams of 40 events
    When replicas end for reasons of their own each 0.5 s for 12 s, under streams to "/plain/x"
    Then no caller is refused for a condemned part, and 20 are served

  Scenario Outline: A part that ends replicas at any point is found among sound ones
    When in 10 plays a part ends replicas after <least> to <most> s, <beside>
    Then in each it reaches at most 3 replicas later than 3 s after the fifth end
    And no other part is refused

    Examples:
      | least | most | beside                             |
      | 0.02  | 0.08 | alone                              |
      | 0.06  | 0.4  | alone                              |
      | 0.02  | 0.6  | alone                              |
      | 0.3   | 0.6  | alone                              |

  # Guards against an overflow: a part of all prompts, while replicas end without pause for ten minutes.
  Scenario Outline: Whether chance explains ends
    Given a host that knows no suspects
    When under its other prompts replicas end <others> times in <ran> s
    Then <count> ends in <part> s of one part are <how>

    Examples:
      | others | ran    | count | part  | how         |
      | 0      | 0      | 2     | 0.4   | no chance   |
      | 0      | 0      | 2     | 30    | likely      |
      | 90     | 300    | 3     | 0.4   | no chance   |
      | 90     | 300    | 3     | 10    | likely      |
      | 9000   | 30000  | 600   | 60000 | likely      |
      | 9000   | 30000  | 4     | 1     | no chance   |

  Scenario Outline: Replicas that end for other reasons condemn a part
    When in 10 plays replicas end for other reasons, <how>
    Then no other part is refused

    Examples:
      | how                         |
      | one replica after the other |
      | a third of them at once     |
      | all at once                 |

  Scenario Outline: What condemns a prompt part, and what does not
    Given two hosts that know no suspect parts
    When of requests with one prompt part <story>
    Then another request with that part is <how> by both hosts

    Examples:
      | story                                                                             | how     |
      | a ends                                                                            | sent    |
      | a ends, 2 s pass, b ends                                                          | refused |
      | a ends, b ends, c ends                                                            | sent    |
      | a ends, b ends, 2 s pass, c ends                                                  | refused |
      | a ends, 2 s pass, b runs one whole, 2 s pass, c ends                              | sent    |
      | a ends, 2 s pass, b runs one whole, 30 s pass, c ends                             | sent    |
      | a ends, 2 s pass, b runs one whole, 9 s pass, c ends, 2 s pass, d ends            | refused |
      | a ends, 2 s pass, b runs an older one whole, 9 s pass, c ends                     | refused |
      | a ends after the answer has begun, 2 s pass, b ends after the answer has begun    | sent    |
      | a ends after the answer has begun, 2 s pass, b ends after the answer has begun, 2 s pass, c ends after the answer has begun | refused |
      | a ends, 2 s pass, b ends after the answer has begun, 2 s pass, c ends after the answer has begun | refused |
      | a ends after the answer has begun, b ends after the answer has begun, c ends after the answer has begun | sent |
      | a ends after the answer has begun, 2 s pass, b ends after the answer has begun, 2 s pass, d runs the rest of one, c ends after the answer has begun | refused |
      | a ends after the answer has begun, 2 s pass, b ends after the answer has begun, 2 s pass, d runs one whole, 6 s pass, c ends after the answer has begun | sent |
      | a ends, 2 s pass, b ends, 598 s pass                                              | refused |
      | a ends, 2 s pass, b ends, 601 s pass                                              | sent    |

  # Guards against refused prompts: evidence on the part behind came later than that on the first.
  Scenario Outline: The part that all prompts share is condemned for the ends under a part behind it
    Given two hosts that know no suspect parts
    When replicas end at 0 s and 1.2 s, and the host of the deadly requests is heard <late> s late
    Then 2 s after its last report both hosts refuse the part behind, and not the shared one

    Examples:
      | late |
      | 0.05 |
      | 0.3  |
      | 0.7  |
      | 3    |

  Scenario: Hosts hear late of suspects when the store is slow
    Given a stand-in of the platform's store
    When a host reports a condemned request while the store takes 2 s
    Then another host gets the report within 1 s
