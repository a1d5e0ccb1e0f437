Feature: Removals from the store around its outages

  Scenario: A removal while the store is calm counts at once
    Given a listed replica and a store that has answered for 10 s
    When its entry is removed
    Then it is gone

  Scenario: An entry that lapsed in an outage and comes back was never gone
    Given a listed replica and a store that has answered for 10 s
    When the store is away for 5 s and returns
    And its entry is removed
    Then it still takes work
    When 1 s later its entry is back
    And 5 s pass after that
    Then it still takes work

  Scenario: An entry that is still missing after the return is gone
    Given a listed replica and a store that has answered for 10 s
    When the store is away for 5 s and returns
    And its entry is removed
    And 3 s pass after that
    Then it is gone

  Scenario: A listing after the return without the entry is doubted in the same way
    Given a listed replica and a store that has answered for 10 s
    When the store is away for 5 s and returns
    And a listing without it arrives
    Then it still takes work
    When 3 s pass after that
    Then it is gone

  Scenario: A replica that was seen draining is gone with its entry, also after an outage
    Given a listed replica and a store that has answered for 10 s
    When its entry says that it drains
    And the store is away for 5 s and returns
    And its entry is removed
    Then it is gone

  Scenario: A replica that returns under its id is another process
    Given a listed replica and a store that has answered for 10 s
    When its entry comes with another start
    Then what was known of the process before is dropped

  Scenario: Hosts whose leases lapsed in an outage stay in the directory's answer
    Given a host beside this one and a store that has answered for 10 s
    When the store is away for 5 s and returns
    And the other host's entry is removed
    Then the directory names 2 hosts
    When 2 s pass after that
    Then the directory names 1 hosts
  Scenario: In a large fleet the hosts' entries have longer to come back
    Given 20 hosts beside this one and a store that has answered for 10 s
    When the store is away for 5 s and returns
    And the other hosts' entries are removed
    And 2 s pass after that
    Then the directory names 21 hosts
    When 2 s pass after that
    Then the directory names 1 hosts

  Scenario Outline: A host that has just started heeds a removal within the bound on drains
    Given a router that started <before> s before a replica's entry is removed, with the store up
    Then <after> s after the removal no request goes to that replica

    Examples:
      | before | after |
      | 0.05   | 1.9   |
      | 0.5    | 1.9   |
      | 1.6    | 1.9   |
      | 3      | 0     |

  # Guards against DRAIN: each failed call was taken for an outage in which entries lapse.
  Scenario Outline: Calls that fail for less than an outage takes cast doubt on a removal
    Given a listed replica and a store that has answered for 10 s
    When calls to the store fail for <failing> s
    And its entry is removed
    Then it <state>

    Examples:
      | failing | state            |
      | 0.05    | is gone          |
      | 0.9     | is gone          |
      | 1.0     | still takes work |
      | 2.4     | still takes work |

  Scenario: Calls that fail shortly cut the time short that an outage leaves for the return
    Given a listed replica and a store that has answered for 10 s
    When the store is away for 5 s and returns
    And its entry is removed
    And 1 s pass after that
    And calls to the store fail for 0.5 s
    Then it still takes work
    When 1 s pass after that
    Then it is gone

  # Guards against DRAIN: a host that had seen a call fail doubted for longer than the bound, though it had just started.
  Scenario: A host that has just started and sees a call fail heeds a removal within the bound on drains
    Given a router that started 0.5 s before a replica's entry is removed, with one failed call after 0.1 s
    Then 1.9 s after the removal no request goes to that replica

  Scenario: A host whose first call failed does not know how long the store was away
    Given a listed replica and a store that has answered for 10 s
    When a host starts whose calls fail for 0.5 s
    And its entry is removed
    And 1 s pass after that
    Then it still takes work
