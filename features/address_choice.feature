Feature: Which hosts the directory names in a fleet of unequal hosts

  Scenario Outline: The hosts that carry most when each gets the same share
    Given a fleet of <strong> hosts with <cores> cores and <weak> hosts with 0.5 cores
    When the directory may name 64 hosts
    Then it names <named strong> of the strong ones and <named weak> of the weak ones

    Examples:
      | strong | cores | weak | named strong | named weak |
      | 6      | 1     | 0    | 6            | 0          |
      | 2      | 2     | 6    | 2            | 6          |
      | 15     | 2     | 180  | 15           | 0          |
      | 6      | 2     | 78   | 6            | 58         |
      | 7      | 2     | 100  | 7            | 57         |
      | 80     | 1     | 0    | 64           | 0          |

  Scenario: All hosts name the same ones, from all zones
    Given a fleet of 0 hosts with 2 cores and 200 hosts with 0.5 cores
    When the directory may name 64 hosts
    Then each of 5 zones has at least 5 of them
    And another order of the list changes nothing

  Scenario Outline: A few strong hosts do not carry a fleet of very weak ones alone
    Given a fleet of 6 hosts with 2 cores and 74 hosts with <weak> cores
    When the directory may name 64 hosts
    Then it names 6 of the strong ones and 58 of the weak ones

    Examples:
      | weak |
      | 0.1  |
      | 0.01 |
      | 0    |

  Scenario: Whatever the hosts are, the directory names some of them
    Then each of 500 fleets of 1 to 200 hosts of any strength has hosts named, at least 12 if it has them
