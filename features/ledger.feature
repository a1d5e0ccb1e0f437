Feature: At-most-once ledger

  Scenario Outline: A key <key> is refused with the verdict <verdict>
    When a call comes with a key <key>
    Then it is refused with the verdict <verdict>

    Examples:
      | key                        | verdict      |
      | that is no UUID            | not run      |
      | of a random UUID           | not run      |
      | made 6 minutes from now    | not run      |
      | made 25 hours ago          | may have run |

  Scenario: Equal keys of two organisations are two calls
    Then the same key of two organisations has two different hashes

  Scenario: A repeat hours later gets the recorded answer and costs one read
    Given a router with a ledger
    When a call runs, and its key comes again 5 hours later
    Then the repeat gets the recorded answer
    And the repeat cost one read and no write

  Scenario: Calls of one shard and ten seconds share writes
    Given a router with a ledger
    When 100 calls of one record come in one second
    Then all of them are granted with at most 5 writes

  Scenario: A full record refuses a further call as not run
    Given a router with a ledger
    When 4001 calls of one record come at once
    Then one call is refused as not run
    And the largest record is under the store's limit

  Scenario: Calls wait and are refused while the store is down, with few store calls
    Given a router with a ledger
    When the store is down for 60 seconds and 20 calls come a second
    Then no call is granted in that time
    And the store gets at most 5 calls a second
    And after the outage a key that was refused is granted

  Scenario: A record that cannot be read is neither overwritten nor trusted
    Given a router with a ledger
    When a call comes whose record holds garbage
    Then the call is refused as not run
    And the garbage is still there

  Scenario: Random and damaged records decode to claims or are refused
    Then 500 random or damaged records are decoded or refused as malformed

  Scenario: No call runs twice, is refused wrongly or gets a foreign answer
    Then the ledger machine finds no broken property in 150 runs of 60 steps

  Scenario Outline: The machine finds a ledger that <fault>
    Then the ledger machine finds a broken property when a ledger <fault>

    Examples:
      | fault                                     |
      | grants before the claim is committed      |
      | ignores the attempt when it reads back    |
      | lets any outcome replace a claim          |
      | deletes records too early                 |
      | uses the numbers of a crashed process again |
      | decides a call twice                      |
      | answers with the reply of another call    |
