Feature: What faulty replicas cost is bounded for the process

  # Guards against LOST: the responses of faulty replicas together took the memory of the process.
  Scenario: Faulty replicas fill the memory of the process
    Given a gateway process and 6 replicas that send 7 MB of a body and fall silent
    When 72 callers at once send "POST" to "/orders/x"
    Then the process has never held more than 300 MB
    And the process still answers "/calls/x" with 200

  # Guards against LOST: the incomplete events of streams counted nowhere.
  Scenario: An incomplete event is held beside the bound on memory
    Given a forwarding router with a replica that streams 200000 bytes of an event and falls silent
    When a caller asks for "/plain/x" and leaves after 0.5 s
    Then 134464 bytes were counted meanwhile, and none within 1 s

  # Guards against LOST: the bodies of many callers together took the memory of the process.
  Scenario: Callers with long bodies fill the memory of the process
    Given a gateway process and 1 replicas that send 0 MB of a body and fall silent
    When 100 callers at once send 3500 kB of a body of 4000 kB and wait 3 s
    Then the process has never held more than 300 MB
    And some of them were told 503 with a time to come back, and the others nothing
    And the process still answers "/calls/x" with 200

  # Guards against work without end: each response of a faulty replica was read up to its limit.
  Scenario: A replica that sends nothing but faulty responses is read as far each time
    Given a forwarding router with a replica that sends a body in portions without end
    When 4 times a caller sends "POST" to "/orders/x"
    Then the replica has sent less than 1 MB of its last response

  Scenario Outline: Buffered bytes have a bound for each replica and for all
    Given a buffer budget of 100 bytes, 40 for each replica, and 10 free for each response
    When responses of "<replicas>" grow by <count> bytes each
    Then the responses "<kept>" had room, and <held> bytes are counted
    When all responses are released
    Then 0 bytes are counted

    Examples:
      | replicas  | count | kept      | held |
      | a a       | 10    | a a       | 0    |
      | a a       | 30    | a a       | 40   |
      | a a a     | 30    | a a       | 40   |
      | a b c     | 50    | a b       | 80   |
      | a a a b   | 30    | a a b     | 60   |

  # Guards against the ejection of replicas that only met a full budget.
  Scenario: A replica that exceeds its part is told from one that meets a full budget
    Given a buffer budget of 100 bytes, 40 for each replica, and 10 free for each response
    When responses of "a b" grow by 45 bytes each
    And responses of "c a b" grow by 45 bytes each
    Then 70 bytes are counted
    And "a b" exceeded their part
    When responses of "c" grow by 35 bytes each
    Then the responses "c" had room, and 95 bytes are counted

  Scenario: The cost of faulty responses is forgiven with time
    Given replicas whose faulty responses may cost 100 bytes, of which 10 are forgiven a second
    When replica "a" costs 120 bytes at 0 s
    Then at 1 s the responses of "a" are read less far, and those of "b" are not
    And at 3 s the responses of "a" are read as far as those of "b"

  # Guards against LOST: a response of the store or of another host was read for as long as it came.
  Scenario Outline: A server that a host calls is read for as long as it sends
    Given a server that sends <what> without end
    When it is called as a store
    Then the call fails, and the server was cut off before it had sent <most> MB

    Examples:
      | what                   | most |
      | further heads          | 8    |
      | header lines           | 8    |
      | one header line        | 8    |
      | plain trailers         | 8    |
      | a plain body           | 48   |
      | a plain body in chunks | 48   |
