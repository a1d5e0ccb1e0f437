Feature: What replicas say of themselves in their answers

  Scenario Outline: A replica that leaves stays out, whichever word of it comes last
    Given a router that knows the replica "a" of start 5
    When in turn <words>
    Then the replica "a" takes <work>

    Examples:
      | words                                                   | work    |
      | an answer of start 5 says that it leaves                | no work |
      | an answer of start 5 leaves, entry ready of start 5     | no work |
      | entry draining of start 5, entry ready of start 5       | no work |
      | an answer of start 5 leaves, entry gone, entry ready of start 5 | no work |
      | entry gone, an answer of start 5 leaves, entry ready of start 5 | no work |
      | entry gone, an answer of start 5 leaves, entry ready of start 6 | work    |
      | an answer of start 5 leaves, entry ready of start 6     | work    |
      | entry ready of start 6, an answer of start 5 leaves     | work    |
      | entry ready of start 6, entry draining of start 5       | work    |
      | entry draining of start 5, entry ready of start 6       | work    |

  Scenario: A replica that asks for a pause gets nothing until its end, repeats included
    Given a router that knows the replica "a" of start 5
    And it knows the replica "b" of start 5
    When the replica "a" asks for a pause of 3 s
    Then for 2.9 s each of 20 requests goes to "b"
    And after 3.1 s some of 40 requests go to "a"

  Scenario: Another start of a replica that asked for a pause takes work at once
    Given a router that knows the replica "a" of start 5
    When the replica "a" asks for a pause of 3 s
    And in turn entry ready of start 6
    Then the replica "a" takes work

  Scenario: While all replicas pause, callers are told at once when the first is back
    Given a router that knows the replica "a" of start 5
    And it knows the replica "b" of start 5
    When the replica "a" asks for a pause of 3 s
    And the replica "b" asks for a pause of 2 s
    Then 20 requests are refused as "not run" with a Retry-After of 2 s to 2.5 s, not all the same

  Scenario: A shorter pause does not end a longer one
    Given a router that knows the replica "a" of start 5
    When the replica "a" asks for a pause of 3 s
    And the replica "a" asks for a pause of 1 s
    And 1.5 s pass at the router
    Then the replica "a" takes no work

  Scenario: An answer that says that its replica leaves is its last one here
    Given a forwarding router with a replica in trouble that answers "leaving"
    When a caller sends "GET" to "/calls/x"
    Then the caller gets 200 with the body "whole body" and the replica's receipt
    And the next callers of "/calls/x" get 503, and the replica got 1 request

  Scenario: Callers hear of a pause, and no request reaches the replica meanwhile
    Given a forwarding router with a replica that asks for a pause of 1.5 s
    When over and over a caller sends "GET" to "/calls/x" 4 times
    Then each caller gets 503 with a Retry-After of at most 1.9 s
    And the replicas got 1 requests in all

  Scenario Outline: The words of a replica on the wire
    When a replica answers <status> with the header "<header>"
    Then it leaves <leaves>, and asks for a pause of <pause> s

    Examples:
      | status | header                | leaves | pause |
      | 200    | Server-Leaving: 1     | yes    | no    |
      | 503    | Server-Leaving: 1     | yes    | no    |
      | 200    | Server-Leaving: 0     | no     | no    |
      | 503    | Retry-After: 2        | no     | 2     |
      | 503    | Retry-After: 0.25     | no     | 0.25  |
      | 503    | Retry-After: 0        | no     | no    |
      | 503    | Retry-After: -1       | no     | no    |
      | 503    | Retry-After: nan      | no     | no    |
      | 503    | Retry-After: inf      | no     | 3600  |
      | 503    | Retry-After: tomorrow | no     | no    |
      | 429    | Retry-After: 2        | no     | no    |

  Scenario: No order of words, entries and outages gives work to a replica that wants none
    Then the machine of own words finds nothing in 60 runs of 50 steps

  Scenario Outline: The machine of own words finds deliberate faults
    Then it finds the fault "<fault>" in 60 runs of 50 steps

    Examples:
      | fault                             |
      | an entry undoes a word            |
      | pauses are ignored                |
      | a shorter pause ends a longer one |
