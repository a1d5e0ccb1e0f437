Feature: Control messages between routers

  Scenario Outline: A message that is <kind> is dropped and counted
    Given two routers with the same key
    When a message arrives that is <kind>
    Then it is dropped for the reason "<reason>"

    Examples:
      | kind                    | reason             |
      | truncated               | garbage            |
      | cut to three bytes      | garbage            |
      | random bytes            | garbage            |
      | of a newer format       | format version     |
      | of another deployment   | foreign deployment |
      | signed with another key | unknown key        |
      | meant for a third router | authentication    |
      | changed in one bit      | authentication     |
      | replayed                | replay             |
      | of an earlier boot      | replay             |
      | older than the window   | replay             |
      | of an unknown type      | malformed body     |

  Scenario: Late messages within the window are taken once each
    Given two routers with the same key
    Then messages in any order are taken once each

  Scenario: A key is replaced without a stop
    Given two routers with the same key
    When the sender signs with a new key that the receiver knows as its second
    Then the next message is taken

  Scenario: Bad input never gets through and never raises another error
    Given two routers with the same key
    Then 3000 changed packets are dropped with a reason

  Scenario: A flood does not overrun the byte budget
    Given an outbox with 6000 bytes a second and a burst of 12000
    When 40 messages of every priority arrive each second for 60 seconds
    Then no second, and no time from the start, has more bytes than the budget
    And every message of the highest priority was sent
    And the waiting bytes stay within the queue

  Scenario: A message that waited too long is not sent
    Given an outbox with 6000 bytes a second and a burst of 12000
    When the budget is used up for longer than the longest wait
    Then waiting probes are dropped and waiting hand-overs are sent

  Scenario: Sockets neither block nor grow without bound
    Given an inbox on loopback
    When packets are sent to it and to 40 addresses where nobody listens
    Then the inbox has received its packets
    And no more than 32 connections are open and no send took long
    And a closed socket refuses to send

  Scenario: An address that is taken is an error at once
    Given an inbox on loopback
    Then a second inbox on the same address fails
