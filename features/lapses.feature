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
