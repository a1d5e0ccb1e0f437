Feature: Other writers leave odd entries in the store

  Scenario Outline: An odd entry stops a host from following the store
    Given a host that follows the store
    When another writer leaves <content> at "<key>"
    And a replica registers
    Then the host knows the replica and no other

    Examples:
      | content                                | key                     |
      | lists nested 100000 deep               | servers/odd             |
      | an entry with a field nested 100000 deep | servers/odd           |
      | a replica at port 65536                | servers/odd             |
      | a replica at port 0                    | servers/odd             |
      | a replica at port -1                   | servers/odd             |
      | a replica at port 8_0                  | servers/odd             |
      | a replica with -1 slots                | servers/odd             |
      | a replica with 1e400 slots             | servers/odd             |
      | a replica with 99999999999999999999 slots | servers/odd          |
      | a replica born at 99999999999999999999 | servers/odd             |
      | a replica born at -1                   | servers/odd             |
      | an entry with a field nested 100000 deep | papayaloom/hosts/odd  |
      | an entry with a field nested 100000 deep | papayaloom/poison/odd |
      | an entry with a field nested 100000 deep | op/config             |

  # Guards against 500 for a request: the id of such an entry is no valid header.
  Scenario Outline: An entry with an odd key is taken for a replica
    Given a host that follows the store
    When another writer leaves a sound entry at "servers/" and <name>
    And a replica registers
    Then the host knows the replica and no other

    Examples:
      | name                  |
      | a name with CR LF     |
      | a name with a space   |
      | a name with a NUL     |
      | a name beyond ASCII   |
      | no name               |

  # Guards against 500 for a request: what can't be sent was an unexpected exception outside the attempt.
  Scenario: A value that no header may have fails the request as an error of the router
    Given a forwarding router with a replica that answers "whole"
    When the operator names an organisation with a line break
    And a caller sends "POST" to "/orders/x"
    Then the caller gets 503 with a time to come back

  Scenario Outline: An odd message of another host ends the exchange with it
    When another host sends <content> as <kind>
    Then it is refused as malformed

    Examples:
      | content              | kind              |
      | maps nested too deep | a report of loads |
      | maps nested too deep | a poison report   |
      | maps nested too deep | a snapshot        |
      | a value of 64 MB in 64 KB | a change     |
      | a value that is cut off   | a change     |

  Scenario Outline: An odd number in a header leaves its request without an answer
    When the header "<header>" is read, with <number> in it
    Then it is read as if it were not there

    Examples:
      | header                   | number      |
      | Papayaloom-Prompt-Prefix | ²           |
      | Papayaloom-Prompt-Prefix | 5000 digits |
      | Papayaloom-Token-Counts  | 5000 digits |
      | papayaloom-replica-load  | 5000 digits |
      | keep-alive               | 5000 digits |
