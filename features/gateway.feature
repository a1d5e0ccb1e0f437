Feature: Requests through the forwarding router, on sockets

  Scenario: An answer comes back as the replica made it
    Given a forwarding router with a replica that answers "whole"
    When a caller sends "GET" to "/calls/x?y=1"
    Then the caller gets 200 with the body "whole body" and the replica's receipt
    And the replica got "GET" "/calls/x?y=1" for the organisation "geckos" without the key

  Scenario Outline: The urgency of the organisation goes before that of the route
    Given a forwarding router with a replica that answers "whole"
    When with another key a caller sends "GET" to "/calls/x" with "<key>"
    Then the replica was told the priority <priority>

    Examples:
      | key | priority |
      | k1  | 3        |
      | k2  | 1        |

  Scenario Outline: What no route or key allows is refused, and reaches no replica
    Given a forwarding router with a replica that answers "whole"
    When with another key a caller sends "GET" to "<path>" with "<key>"
    Then the caller gets <status> and no replica got a request

    Examples:
      | path     | key  | status |
      | /other/x | k1   | 404    |
      | /calls/x | k9   | 401    |

  # Guards against ROUTE: with the last organisation gone, the fleet served every key.
  Scenario Outline: A version without any organisation left opens the fleet
    Given a forwarding router with a replica that answers "whole"
    When the operator writes a version <with>
    And with another key a caller sends "GET" to "/calls/x" with "<key>"
    Then the caller gets <status>

    Examples:
      | with                           | key | status |
      | with an empty list of tenants  | k1  | 401    |
      | with an empty list of tenants  | k9  | 401    |
      | with a tenant that has no keys | k1  | 401    |
      | that has no tenants            | k9  | 200    |

  Scenario: A host that knows no route table yet says so, never that the route is missing
    Given a forwarding router that the store has told nothing
    When a caller sends "GET" to "/calls/x"
    Then the caller gets 503 with a time to come back

  Scenario Outline: A replica that fails an idempotent request is followed by another one
    Given a forwarding router with a replica that answers "<script>"
    And another replica that answers "whole"
    When over and over a caller sends "GET" to "/calls/x" 4 times
    Then each time the caller gets 200 with the body "whole body"

    Examples:
      | script   |
      | refuse   |
      | fail     |
      | reset    |
      | truncate |
      | garbage  |
      | mute     |
      | strange  |

  Scenario Outline: A request that must not run twice is sent once, and its fate is told truly
    Given a forwarding router with a replica that answers "<script>"
    And another replica that answers "<script>"
    When a caller sends "POST" to "/orders/x"
    Then the caller gets <status> and the replicas got <count> requests

    Examples:
      | script   | status | count |
      | reset    | 502    | 1     |
      | truncate | 502    | 1     |
      | garbage  | 502    | 1     |
      | mute     | 504    | 1     |
      | fail     | 500    | 1     |
      | refuse   | 503    | 2     |

  Scenario: A late answer to another request on the connection is not delivered
    Given a forwarding router with a replica that answers "doubled"
    When over and over a caller sends "GET" to "/calls/x" 5 times
    Then each time the caller gets 200 with its own body

  Scenario: A stream is passed on event by event and ends complete
    Given a forwarding router with a replica that streams 5 events
    When a caller asks for the stream "/plain/x"
    Then the caller gets the events 1 to 5 once each, and the answer is complete

  Scenario: A stream that breaks inside an event goes on elsewhere where that is allowed
    Given a forwarding router with a replica that streams 5 events
    And before it a replica that breaks inside event 3
    When a caller asks for the stream "/resumable/x"
    Then the caller gets the events 1 to 5 once each, and the answer is complete
    And the second replica was asked to go on after event 2

  Scenario: A stream that may not go on elsewhere does not look complete when it breaks
    Given a forwarding router with a replica that breaks inside event 3
    When a caller asks for the stream "/plain/x"
    Then the caller gets the events 1 to 2 once each, and the answer is not complete

  Scenario: A stream that falls silent goes on elsewhere
    Given a forwarding router with a replica that streams 5 events
    And before it a replica that falls silent after event 2
    When a caller asks for the stream "/resumable/x"
    Then the caller gets the events 1 to 5 once each, and the answer is complete

  Scenario: A caller that leaves ends the work at the replica
    Given a forwarding router with a replica that answers "mute"
    When impatiently a caller sends "POST" to "/orders/x" and leaves after 0.2 s
    Then the replica's connection is closed within 0.5 s

  Scenario: A request gets its final answer at its route's timeout
    Given a forwarding router with a replica that answers "mute"
    When a caller sends "POST" to "/orders/x"
    Then the caller gets 504 after 0.8 s to 1.2 s

  Scenario: A planned stop cuts off no request in flight
    Given a forwarding router with a replica that answers "slow"
    When before a stop a caller sends "POST" to "/orders/x" and the stop begins after 0.1 s
    Then the caller gets 200 with the body "whole body" and the end of the connection
    And the host is not ready and its entry has left the store

  Scenario: A new version of the routes counts at once, an older one never again
    Given a forwarding router with a replica that answers "whole"
    When the operator writes version 9 without the route "/calls/"
    Then within 2 s a caller of "/calls/x" gets 404
    When the operator writes version 8 with the route "/calls/"
    Then after 1 s a caller of "/calls/x" gets 404

  Scenario: A host that starts while the store is away learns from its neighbour
    Given a forwarding router with a replica that answers "whole"
    And a store that is away
    And a second forwarding router with the first as its seed
    Then within 3 s the second one answers "/calls/x" with 200

  Scenario: A host that starts learns from the neighbour that was in touch last
    Given a forwarding router with a replica that answers "whole"
    And a second forwarding router that is cut off from the store
    When the operator writes version 9 without the route "/calls/"
    Then within 2 s a caller of "/calls/x" gets 404
    Given a store that is away
    And a third forwarding router with the second and the first as its seeds
    Then within 3 s the third one answers "/calls/x" with 404
    And the third one never answered "/calls/x" with 200

  Scenario: A host without the store asks callers to come back when it may serve
    Given a forwarding router with a replica that answers "whole"
    And a store that is away
    And a second forwarding router without seeds
    When the second one has missed the store
    Then it refuses "/calls/x" with a Retry-After between 1 and 3 s

  Scenario: Seeds without power do not keep a starting host from the store
    Given a forwarding router with a replica that answers "whole"
    And a store that is away
    And a second forwarding router whose 3 seeds do not answer
    When the second one has missed the store
    And the store is back
    Then within 0.7 s the second one answers "/calls/x" with 200

  Scenario: Replicas that break connections but live do not condemn a request
    Given a forwarding router with a replica that answers "reset"
    And another replica that answers "reset"
    When over and over a caller sends "GET" to "/calls/x" 8 times
    Then no caller was refused for replicas that ended
    And the router suspects no request

  Scenario: A request that comes during a stop is cut at its end without an answer
    Given a forwarding router with a replica that answers "mute"
    When the operator writes version 9 with 30 s for "/orders/"
    And a caller sends "POST" to "/orders/x" 0.2 s after a stop has begun
    Then the caller gets 504 after 2 s to 2.9 s

  Scenario: A request that comes late in a stop is told that it has not run
    Given a forwarding router with a replica that answers "mute"
    When the operator writes version 9 with 30 s for "/orders/"
    And one request runs and a caller sends "POST" to "/orders/x" 0.8 s after a stop has begun
    Then the caller gets 503 after 0 s to 0.3 s

  # Guards against a lost SIGTERM: a thread other than the main one received it.
  Scenario: A host that is told to stop while it is frozen never stops
    Given 3 gateway processes and 1 replicas that end under a poison request
    When all gateway processes freeze, get a SIGTERM and wake 0.2 s later
    Then all of them end within 9 s

  # Guards against a stop that hangs: the handler of a second signal waited for a lock of the first.
  Scenario: A second SIGTERM that comes while the first is handled hangs the stop
    When a stop that takes a lock is interrupted by another SIGTERM
    Then both have been carried out within 3 s
