Feature: Which replica gets a request, decided by each router alone

  Scenario: Requests with the same prefix meet on one replica at every router
    Given 6 replicas of a service and 4 routers that share no word
    When each router places 3 requests with the prefix "care-7", one at a time
    Then all of them go to the same replica

  Scenario: A hot prefix spills over before its replica carries twice the mean and three more
    Given 6 replicas of a service and 1 routers that share no word
    When 120 requests arrive at once, half of them with the prefix "hot"
    Then no replica got a request above twice the mean load and 3 more
    And the overflow was told to copy the prefix from its first replica
    And the first replica was told to copy it from the second in rank

  Scenario: A new replica is told where the prefix was cached before it came
    Given 6 replicas of a service and 1 routers that share no word
    And 20 s pass
    When a replica joins that is first in rank for "care-7"
    And a request with the prefix "care-7" is placed
    Then it goes to the new replica, which copies from the one before
    When 10 s pass
    And a request with the prefix "care-7" is placed
    Then it goes to the new replica, which copies from the one before

  Scenario: The prefix of a replica that drains is copied from it while it is there
    Given 6 replicas of a service and 1 routers that share no word
    And 20 s pass
    When the first replica in rank for "care-7" drains
    And a request with the prefix "care-7" is placed
    Then it goes to another replica, which copies from the draining one

  Scenario: The traffic of a replica that drains is reckoned to the next in rank
    Given 6 replicas of a service and 1 routers that share no word
    When the first replica in rank for "care-7" drains
    And a request with the prefix "care-7" is placed
    Then the router tells others of an arrival for which the second in rank is the first

  Scenario: Plain calls go where the least is running
    Given 3 replicas of a service and 1 routers that share no word
    When 30 requests arrive at once, none of them with the prefix "hot"
    Then each replica got 10

  Scenario: A replica that could not be reached is left alone, unless all are
    Given 3 replicas of a service and 1 routers that share no word
    When one replica can't be reached
    And 30 requests arrive at once, none of them with the prefix "hot"
    Then that replica got 0
    When the other replicas can't be reached either
    Then a request is still placed

  Scenario: Repeats end with the retry budget, first attempts don't
    Given 3 replicas of a service and 1 routers that share no word
    When 40 repeats arrive at once
    Then at most 6 of them were placed
    And a first attempt is still placed
    And a refused repeat says when to come back

  Scenario: The retry budgets of a large fleet add up to less than the slack
    Given a fleet of 84 routers, each with 12 replicas
    Then all routers together save at most half of the slack of 208 repeats

  Scenario: A router that sees a sliver of the traffic keeps away from what others have filled
    Given a fleet of 84 routers, each with 12 replicas
    When the fleet runs 9 at the first replica for "care-7" and 1 at each other
    And a request with the prefix "care-7" is placed
    Then it goes to the second replica in rank, which copies from the first

  Scenario Outline: Routers that read the same old sums do not run to the emptiest replica together
    Given a fleet of <routers> routers, each with <replicas> replicas
    When they hear sums every <share> s, <lag> s old, while <per_s> plain calls a second of <work> s arrive for 20 s
    Then at most 3 in 100 reach a replica above twice the mean load and 3 more

    Examples: plain services of the grown deployments, and a small one
      | routers | replicas | share | lag | per_s | work  |
      | 84      | 3        | 0.4   | 0.6 | 134   | 0.045 |
      | 80      | 4        | 0.4   | 0.6 | 200   | 0.07  |
      | 360     | 12       | 0.4   | 1   | 900   | 0.045 |

  Scenario Outline: A hot prefix stays under the bound although the sums are old
    Given a fleet of <routers> routers, each with <replicas> replicas
    When they hear sums every <share> s, <lag> s old, while <per_s> streams a second of <work> s arrive for 20 s, <hot> in 100 of them with one prefix
    Then at most 3 in 100 reach a replica above twice the mean load and 3 more

    Examples: model replicas of the grown deployments and of a small one
      | routers | replicas | share | lag | per_s | work | hot |
      | 80      | 30       | 0.4   | 0.6 | 206   | 0.9  | 1   |
      | 80      | 30       | 0.4   | 0.6 | 206   | 0.9  | 20  |
      | 84      | 70       | 0.4   | 0.6 | 384   | 0.7  | 18  |
      | 6       | 9        | 0.4   | 0.4 | 26    | 1    | 24  |

  Scenario: Replicas that stall are not filled above the bound by old sums
    Given a fleet of 80 routers, each with 30 replicas
    When they hear sums every 0.4 s, 0.6 s old, while 206 streams a second of 0.9 s arrive for 20 s, and 4 replicas need 4 times as long
    Then at most 3 in 100 reach a replica above twice the mean load and 3 more

  Scenario Outline: A small fleet that hears of loads with answers only keeps a hot prefix under the bound
    Given a fleet of 6 routers, each with <replicas> replicas
    When they hear of loads with answers only, while <per_s> streams a second of 1 s arrive for 120 s, <hot> in 100 of them with one prefix
    Then at most 3 in 100 reach a replica above twice the mean load and 3 more

    Examples: the two first deployments, and one with more traffic
      | replicas | per_s | hot |
      | 9        | 26    | 24  |
      | 8        | 24    | 18  |
      | 9        | 60    | 30  |

  # Guards against LIMIT after a burst: a bound from the loads of the past.
  Scenario: A bound that is left from a burst fills the last replica that is busy no further
    Given a fleet of 8 routers, each with 5 replicas
    When they hear answers, while 31 streams a second of 1.1 s arrive for 22 s, 30 in 100 of them with one prefix, from 8 s to 14 s 8 times as many
    Then from 14 s on, in no 5 s do 20 requests and more than 3 in 100 reach a replica above twice the mean load and 3 more

  # Guards against LIMIT at the onset of a burst: rates that follow too late.
  Scenario: A burst does not fill the first in rank before the sums tell of it
    Given a fleet of 80 routers, each with 30 replicas
    When they hear old sums, while 206 streams a second of 0.9 s arrive for 11 s, 10 in 100 of them with one prefix, from 6 s to 10 s 8 times as many
    Then from 3 s on, in no 5 s do 20 requests and more than 3 in 100 reach a replica above twice the mean load and 3 more

  # Guards against LIMIT at the onset of a burst: old sums took the place of a new report.
  Scenario: Old sums do not replace what a replica has just reported
    Given a fleet of 80 routers, each with 30 replicas
    When the first replica for "care-7" reports 30, and sums follow that have 4 at each
    And a request with the prefix "care-7" is placed
    Then it goes to the second replica in rank, which copies from the first

  Scenario Outline: A hot prefix keeps its replica above the bound, because the mean is believed too high
    Given a fleet of 6 routers, each with 5 replicas
    When they hear of loads with answers only, while <per_s> streams a second of 1 s arrive for 20 s, <hot> in 100 of them with one prefix
    Then from 3 s on, in no 5 s do 20 requests and more than 3 in 100 reach a replica above twice the mean load and 3 more

    Examples:
      | per_s | hot |
      | 60    | 60  |
      | 95    | 50  |
      | 95    | 80  |
