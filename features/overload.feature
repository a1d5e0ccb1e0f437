Feature: Work at its worst: what is admitted, and when rejected callers return

  Scenario Outline: A burst beyond all slots is served up to them, and forgotten at once
    Given 5 replicas with <slots> slots and 8 routers that share no word, replicas <tell> their load
    When <per_s> requests a second of <work> s arrive for 30 s, from 4 s to 12 s <x> times as many
    Then the slots are busy for nine tenths of the burst
    And in each 2 s of the burst at least half of what the slots can run begins within <objective> s
    And of what replicas began, at least 95 in 100 were in time or had been told to come back
    And replicas turn away at most 5 in 100 arrivals

    Examples: engines under twice what they can run, and a plain service
      | slots | tell   | per_s | work | x  | objective |
      | 64    | report | 37    | 2    | 8  | 0.6       |
      | 6     | hide   | 40    | 0.09 | 16 | 0.3       |

  Scenario: Four times what the slots can run does not make the queues longer
    Given 5 replicas with 64 slots and 8 routers that share no word, replicas report their load
    When 37 requests a second of 2 s arrive for 30 s, from 4 s to 12 s 16 times as many
    Then the slots are busy for nine tenths of the burst
    And of what replicas began, at least 95 in 100 were in time or had been told to come back
    And replicas turn away at most 5 in 100 arrivals

  Scenario: A burst is forgotten soon after its end, although callers return
    Given 5 replicas with 64 slots and 8 routers that share no word, replicas report their load
    When 37 requests a second of 2 s arrive for 30 s, from 4 s to 12 s 8 times as many
    Then from 2 s after its end at least 90 in 100 begin within 0.6 s

  Scenario: One organisation that sends sixty times its usual leaves room for the others
    Given 5 replicas with 64 slots and 8 routers that share no word, replicas report their load
    When 37 requests a second of 2 s arrive for 24 s, from 4 s to 14 s sixty times as many of one in ten organisations
    Then of the requests of the others, at least 95 in 100 begin within 0.6 s
    And the one organisation keeps at least half of the slots busy

  Scenario: Routers that all restart under load do not fill the queues of the replicas
    Given 5 replicas with 64 slots and 8 routers that share no word, replicas report their load
    When 37 requests a second of 2 s arrive for 24 s, from 4 s to 16 s 8 times as many, and all routers forget all at 8 s
    Then replicas turn away at most 5 in 100 arrivals

  Scenario: Many routers with old sums reject nothing that a quick service can take
    Given 3 replicas with 6 slots and 80 routers that share no word, replicas hide their load
    When they hear sums every 0.4 s, 0.6 s old, while 140 calls a second of 0.09 s arrive for 20 s
    Then the routers reject at most 1 in 100 calls

  Scenario: Rejected callers return later, the more are rejected
    Given 5 replicas with 64 slots and 8 routers that share no word, replicas report their load
    When a router rejects 1 in 20 requests that have 12 s left
    Then each is told to return within 0.15 s to 0.5 s
    When a router rejects 4 in 5 requests that have 12 s left
    Then each is told to return within 3 s to 4 s

  Scenario: A request that may have run goes on at a full service
    Given 5 replicas with 64 slots and 8 routers that share no word, replicas report their load
    When all replicas run 100 requests
    Then a first attempt is rejected as not run, with a time to come back
    And a retry of a request that may have run is placed

  Scenario: A single request tells a router nothing of the load at the others
    Given 2 replicas with 1 slots and 80 routers that share no word, replicas hide their load
    When a router has sent one request, which hung for 2 s
    Then a first attempt is placed

  Scenario: A replica that does not say how many slots it has is never full
    Given 5 replicas with 0 slots and 8 routers that share no word, replicas report their load
    When all replicas run 100 requests
    Then a first attempt is placed

  Scenario Outline: Callers are told to return as late as they accept while a host knows no routes
    Given 100 callers with <left> s left reach a host that has no routes
    Then each is told to return within <least> s to <most> s

    Examples:
      | left | least | most |
      | 12   | 3     | 4    |
      | 3    | 0.75  | 1    |
      | 0    | 0.1   | 0.25 |
      | 3600 | 7.5   | 10   |
      | inf  | 7.5   | 10   |

  Scenario Outline: A rejected retry says "not run" only if no attempt may have run
    When a retry is rejected with <status> after <runs> attempts that may have run
    Then the caller gets the final status <final>

    Examples:
      | status | runs | final |
      | 429    | 0    | 429   |
      | 429    | 1    | 502   |
      | 503    | 1    | 502   |
      | 503    | 0    | 503   |

  Scenario Outline: Under overload the most urgent rank is admitted first
    Given 14 replicas with 12 slots and <hosts> routers that share no word, replicas report their load
    When requests of three ranks and 1.35 s arrive for 18 s, from 4 s to 12 s <x> times what the slots can run, <word>
    Then at least <least> in 100 of the most urgent rank begin
    And of the least urgent rank fewer begin than of any other
    And replicas turn away at most 5 in 100 arrivals

    Examples:
      | hosts | x | word                             | least |
      | 23    | 2 | with sums every 0.4 s, 0.6 s old | 95    |
      | 23    | 3 | with sums every 0.4 s, 0.6 s old | 95    |
      | 8     | 2 | without sums                     | 95    |
      | 8     | 3 | without sums                     | 95    |

  Scenario Outline: Plain replicas that report no load turn few calls away
    Given 3 replicas with 6 slots and 23 routers that share no word, replicas hide their load
    When calls of one of several ranks arrive for 16 s, from 4 s to 12 s <x> times what the slots can run
    Then replicas turn away at most <most> in 100 arrivals

    Examples: several times what the slots can run
      | x | most |
      | 2 | 5    |
      | 3 | 5    |
      | 8 | 5    |

  Scenario: Ranks do not matter while there is room for all
    Given 14 replicas with 12 slots and 23 routers that share no word, replicas report their load
    When requests of three ranks arrive without a burst
    Then the routers reject at most 0 in 100 calls

  Scenario: Callers that repeat at once what is rejected gain nothing
    Given 14 replicas with 12 slots and 23 routers that share no word, replicas report their load
    When requests of three ranks arrive at twice what the slots can run, and three in ten callers repeat every 0.1 s
    Then of the least urgent rank, these are in time at most 2 in 100 more often

  Scenario: The draw of a request is the same at all hosts for some seconds
    Given two hosts whose clocks differ by 0.2 s
    When 500 requests reach one and then, after 0.5 s, the other
    Then at least 80 in 100 have the same draw at both
    And none has the same draw a minute later

  Scenario: An organisation that is less urgent than all others gets a part
    Given 14 replicas with 12 slots and 23 routers that share no word, replicas report their load
    When requests of three ranks arrive at three times what the slots can run, and those of one organisation come last
    Then it gets at least a quarter of the mean share

  Scenario: Counts of another host in an unknown form fail no placement
    Given a router that has seen requests of two ranks
    When it hears of demand under a key of another form
    Then it places a further request
