Feature: Limits, retry budgets, ejection and quarantine

  Scenario: Leased shares never add up to more than the rate
    Given a keeper of 6 routers with a rate of 60 a second
    When 6 routers ask in changing order with demands from 1 to 100
    Then the valid leases never exceed 60 a second

  Scenario: A side of a network partition leases only its own part
    Given a keeper of 6 routers with a rate of 60 a second
    When only 2 of the 6 routers are present
    Then one of them gets at most 20 a second

  Scenario: A router without a keeper falls back to its part of the rate
    Given a limiter of 6 routers with a rate of 60 a second and no keeper
    Then it admits at most 105 of 1000 requests in 10 seconds

  Scenario: Retries stop when nothing succeeds
    Given a retry budget
    When 100 retries are wanted without any success
    Then at most 2 are allowed in the first second

  Scenario: Ejection leaves two thirds of the upstreams
    Given 6 upstreams of which 5 fail
    Then at most 2 are ejected

  Scenario: A failure that all upstreams share ejects none
    Given 6 upstreams of which 6 fail
    Then at most 0 are ejected

  Scenario: An ejected upstream returns through one trial request
    Given 6 upstreams of which 1 fail
    When its ejection has ended
    Then it gets one trial and serves after its success

  Scenario: A request that crashes what runs it is condemned after two crashes
    Given a request that crashes each upstream after 2 seconds
    Then it is refused after 2 crashes and explains the second crash

  Scenario: Upstreams that crash at the same time do not shield a request that crashes further ones
    Given 5 upstreams of which 2 have crashed a moment ago
    When a request crashes each of 2 further upstreams within 2 seconds
    Then it is placed apart, near other crashes, and not refused
    When a request crashes each of 1 further upstreams within 2 seconds
    Then it is refused

  Scenario: A request near two crashes is not condemned where crashes are common
    Given a request that was near crashes after 20 and 25 seconds
    Then it is placed apart and not refused

  Scenario: A request that ran to its end is no suspect any more
    Given a request that was near crashes after 20 and 25 seconds
    When it runs to its end
    Then it is placed freely

  Scenario: A released fingerprint is placed freely
    Given a request that crashes each upstream after 2 seconds
    When the operator releases it
    Then it is placed freely

  Scenario: Lost cache events do not leave a cache recorded as full
    Given a recorded cache of 100 blocks whose events remove 2 blocks each
    When 20 events are lost
    Then at most 60 blocks are still recorded

  Scenario: A late removal does not drop a block that was used since
    Given a recorded cache of 100 blocks whose events remove 2 blocks each
    When the newest block is used and an older removal of it arrives
    Then the newest block is still recorded
