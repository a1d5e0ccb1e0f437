Feature: The operator's command

  Background:
    Given a key-value store in HTTP
    And the operator uses it and 2 routers

  # Guards against tracebacks, silent failures and exit statuses of 0.
  Scenario Outline: The mistake <command> ends with <status> and one sentence
    When the operator runs "<command>"
    Then it ends with status <status> and says "<sentence>"

    Examples:
      | command                                   | status | sentence                                  |
      | get placement.lod_multiple                | 1      | did you mean placement.load_multiple?     |
      | get limits.burst --branch=animals/a       | 1      | 'animals/a' is not a valid branch name    |
      | text models                               | 1      | 'models' is not a valid branch name       |
      | edit fleet FILE --base=x                  | 1      | cannot read                               |
      | set placement.load_multiple 99            | 1      | line 4: placement.load_multiple is out of range (accepted: number from 1 to 10 (a factor)) |
      | set placement.load_multiple 1.2 surplus   | 1      | unexpected argument: surplus              |
      | set limits.burst 1 --branch=models/a      | 1      | may not be set in branch models/a         |
      | edit fleet /none                          | 1      | cannot read /none: No such file or directory |
      | check /none                               | 1      | cannot read /none                         |
      | diff 5 9                                  | 1      | are not in order from 0 to 0              |
      | diff five                                 | 1      | old is 'five', not a whole number         |
      | fleet --wait=x                            | 1      | wait is 'x', not a whole number           |
      | tree --colour=red                         | 1      | unknown field `colour`                    |
      | tree --timeout_s=-1                       | 1      | an option is wrong                        |
      | tree --config=/none                       | 1      | cannot read /none                         |
      | remove organisations/none                 | 1      | does not exist                            |
      | explain r-none                            | 1      | no router has a record of request r-none (2 of 2 routers answered) |
      | dump http://127.0.0.1:9                   | 3      | http://127.0.0.1:9 did not answer: Connection refused |
      | tree --store=http://127.0.0.1:9           | 3      | did not answer: Connection refused        |
      | get                                       | 2      | required argument: path                   |

  # Guards against comments and other settings lost by an edit.
  Scenario: Setting a value keeps the comments of the document
    Given the document of "fleet" in a file is
      """
      // why: lamps
      {
        "settings": {
          "placement": {
            "load_multiple": 1.3, // steady
            /* kept */ "reuse_weight": 0.4
          }
        }
      }
      """
    When the operator runs "edit fleet FILE"
    And the operator runs "set placement.load_multiple 1.2"
    And the operator runs "set placement.queue_wait_s '250 ms'"
    And the operator runs "unset placement.reuse_weight"
    And the operator runs "text fleet"
    Then it ends with status 0 and prints
      """
      // papayaloom: branch fleet, version 4
      // why: lamps
      {
        "settings": {
          "placement": {
            "load_multiple": 1.2, // steady
            /* kept */
            "queue_wait_s": "250 ms"
          }
        }
      }
      """
    When the operator runs "get placement.queue_wait_s --branch=models/a"
    Then it ends with status 0 and prints
      """
      placement.queue_wait_s = 0.25 s, set by fleet in version 3
      """

  # Guards against a file that silently overwrites a newer edit.
  Scenario: A file that was printed before another edit is refused with both texts
    Given the operator ran "set placement.load_multiple 1.2"
    And the operator keeps the text of "fleet" in a file
    And the operator ran "set placement.load_multiple 1.4"
    When the operator runs "edit fleet FILE"
    Then it ends with status 1 and says "branch fleet has version 2, but the edit is based on version 1"
    And it says "load_multiple": 1.4
    And it says "load_multiple": 1.2

  # Guards against an operator who believes that a change is in force.
  Scenario: The fleet report names the routers that lack the newest version
    Given the operator ran "set placement.load_multiple 1.2"
    And router 1 has version 1 and router 2 has version 0
    When the operator runs "fleet"
    Then it ends with status 0 and prints "1 of 2 routers have the newest version 1"
    And the output names router 2 in a line with "lacks the newest version"
    When the operator runs "fleet --wait=0"
    Then it ends with status 0 and prints "1 of 2 routers"
    Given router 2 gets version 1 after 3 dumps
    When the operator runs "fleet --wait=5"
    Then it ends with status 0 and prints "2 of 2 routers have the newest version 1"
    Given router 2 is down
    When the operator runs "fleet --wait=1 --json"
    Then it ends with status 1 and prints "Connection refused"

  # Guards against a report that is missing when it matters most.
  Scenario: The fleet report works while the store is down
    Given router 1 has version 3 and router 2 has version 4
    And the fault {"outage": true}
    When the operator runs "fleet"
    Then it ends with status 0 and prints "1 of 2 routers have the newest version 4"
    And it says "compared with the routers only"

  # Guards against explanations that hide which routers were not asked.
  Scenario: Explain finds the record on whichever router has it
    Given router 2 has a record of "r-7" with the line "Status 200, verdict ran."
    When the operator runs "explain r-7"
    Then it ends with status 0 and prints "Status 200, verdict ran."
    Given router 1 is down
    When the operator runs "explain r-7"
    Then it ends with status 0 and prints "Status 200, verdict ran."
    And it says "did not answer"

  # Guards against secrets in terminals and tickets.
  Scenario Outline: <command> does not print control keys
    Given the operator ran "set control.keys '[\"deadbeef\"]'"
    When the operator runs "<command>"
    Then it ends with status 0 and prints "control.keys"
    And the output does not hold "deadbeef"

    Examples:
      | command                 |
      | get control.keys        |
      | get control.keys --json |
      | tree                    |
      | tree --json             |
      | diff 0                  |
      | diff 0 --json           |
      | history --json          |

  # Guards against output that machines cannot read.
  Scenario Outline: <command> prints one JSON document for machines
    Given the operator ran "set placement.load_multiple 1.2"
    And router 1 has version 1 and router 2 has version 1
    When the operator runs "<command> --json"
    Then it ends with status 0 and prints JSON

    Examples:
      | command                              |
      | tree                                 |
      | get placement.load_multiple          |
      | describe placement                   |
      | text fleet                           |
      | set placement.load_multiple 1.3      |
      | history                              |
      | diff 0                               |
      | fleet                                |
