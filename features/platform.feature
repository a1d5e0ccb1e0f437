Feature: The adapter to the users' platform only translates

  Scenario: Headers that only the fleet may set are dropped, and its own are set
    When a request with the headers below goes on to replica "i-1" with 1.25 s left
      | name                        | text       |
      | Host                        | a.example  |
      | Authorization               | Bearer k   |
      | Papayaloom-Tenant-Name      | somebody   |
      | Papayaloom-Kv-Hold          | 7          |
      | Papayaloom-Kv-Pin-Duration  | 4000       |
      | Papayaloom-Kv-Backup        | 10.0.0.9:1 |
      | Kv-From                     | 10.0.0.9:1 |
      | Kv-Fetch                    | 10.0.0.9:1 |
      | Papayaloom-Request-Deadline | 9000       |
      | Papayaloom-Model-Name       | m          |
      | Connection                  | X-Hop      |
      | X-Hop                       | 1          |
    Then the replica gets exactly these headers
      | name                        | text      |
      | Host                        | a.example |
      | Papayaloom-Model-Name       | m         |
      | Papayaloom-Request-Deadline | 1250      |
      | Papayaloom-Expected-Replica | i-1       |
      | Papayaloom-Tenant-Name      | geckos    |

  Scenario Outline: A deadline that is no number of milliseconds is refused with its name
    When a request states the deadline "<text>"
    Then it is refused with 400, which names "Papayaloom-Request-Deadline" and "<text>"

    Examples:
      | text |
      | soon |
      | -1   |
      | nan  |

  Scenario: The parts of a prompt and the token counts are read, unreadable ones are left out
    When a request states the prompt "5c1e:800,bad,91bd:x,e440:250" and the tokens "1460,80"
    Then its prompt parts are "5c1e=800 e440=250" and its tokens 1460 and 80

  Scenario Outline: An entry of another writer names no replica to use
    When the store holds the replica entry <content>
    Then it names no replica

    Examples:
      | content                                                           |
      | {"service":"s","address":"10.0.0.1:80","state":"resting"}         |
      | {"service":"s","address":"10.0.0.1","state":"ready"}              |
      | {"service":"s","state":"ready"}                                   |
      | {"service":7,"address":"10.0.0.1:80","state":"ready"}             |
      | not json                                                          |

  Scenario: A desired state becomes a route table
    When the desired state with a split route and an organisation is read
    Then the route "/a/long/" is found for "A.example:80/a/long/x" and "/a/" for "a.example/a/x"
    And nothing is found for "b.example/a/x"
    And the key "k1" belongs to "geckos"
    And the split sends 9 in 10 to the first service

  Scenario: Settings name the field that is wrong
    Then settings without "listen.front" are refused with its name
    And settings with the field "bounds.graceS" as "long" are refused with its name

  Scenario: The store's calls are translated, with their refusals
    Given a stand-in of the platform's store
    Then a key is written if absent, and a second writer gets the current entry
    And a key under a lease vanishes when the lease is ended
    And a watch gets changes and removals after a revision
    And a watch of forgotten history says that it is lost
    When the stand-in refuses all calls
    Then a read says that the store is unavailable

  Scenario: A store without power is given up soon, so that its return is not missed
    Given an address that takes no connections and refuses none
    When the platform's store there is asked for a key
    Then the call fails within 0.6 s
