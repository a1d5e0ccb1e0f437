Feature: Routers together
  The decision cores of several routers exchange real messages on virtual time.

  Background:
    Given 3 routers and 2 engines that have found each other

  Scenario: A chat is admitted through any router, and its engine is remembered
    When a chat runs to its end through router-0
    And the same chat asks again through router-1
    Then it gets the engine of its last turn

  Scenario: Two routers that admit at the same time stay within the cap
    When 12 chats ask through the routers in turn
    Then no engine runs more than the cap of its owner
    And every chat has an outcome

  Scenario: The second in rank admits when the owner of an engine has died
    When the owner of engine-0 dies
    And the fleet runs for 40 seconds
    And a chat asks for engine-0 through another router
    Then it is granted

  Scenario: A grant that comes too late is given back
    When router-0 is cut off one way while its chat is being admitted elsewhere
    And the fleet runs for 20 seconds
    Then no owner counts a running request

  Scenario: An engine that says it is leaving gets no new work on any router
    When engine-0 says through router-0 that it is leaving
    And the fleet runs for 2 seconds
    And 10 chats ask through the routers in turn
    Then engine-0 got none of them

  Scenario: A request that crashed two engines is refused by every router
    When a request crashes the engines that run it twice
    And the fleet runs for 2 seconds
    Then every router refuses that request and names quarantine.crash_limit
    But another chat of the organisation is granted

  Scenario Outline: A router that starts again refuses what the fleet has condemned
    When a request crashes the engines that run it twice
    And the fleet runs for 2 seconds
    And router-1 starts again <when>
    Then every router refuses that request and names quarantine.crash_limit

    Examples:
      | when        |
      | at once     |
      | after 8 s   |

  Scenario: A call that crashed two replicas of a service is refused
    When a call crashes the two replicas of a service
    And the fleet runs for 2 seconds
    Then every router refuses that call and admits another

  Scenario: A released request runs again after a settings edit
    When a request crashes the engines that run it twice
    And an edit lists its fingerprint in quarantine.released
    And the fleet runs for 2 seconds
    Then every router admits that request

  Scenario: One call claimed through two routers at once is granted once
    When the same key is claimed through router-0 and router-1
    And the fleet runs for 3 seconds
    Then exactly one of the claims is granted

  Scenario: A repeat through another router gets the recorded answer
    When a call runs through router-0
    And the same key is claimed through router-2
    Then the repeat on the other router gets the recorded answer

  Scenario: With the store down a call is refused as not run
    Given the store is down
    When the same key is claimed through router-0 and router-1
    And the fleet runs for 6 seconds
    Then both claims are refused as not run

  Scenario: A settings edit is in force on all routers and outlives a restart
    When an edit sets placement.load_multiple to 1.5 for the model
    And the fleet runs for 2 seconds
    Then every router has that version
    When router-1 starts again while the store is down
    And the fleet runs for 5 seconds
    Then every router has that version

  Scenario: A planned stop hands the chats of a router to the next in rank
    When a chat runs to its end through its home
    And its home hands over and stops
    Then its next home gives the engine of its last turn

  Scenario: A router that comes back gets the hints of its chats
    When a chat runs to its end through its home
    And its home hands over and stops
    And that router starts again
    Then it gives the engine of the chat's last turn

  Scenario: A leaving router stays home of its chats until it has stopped
    When a chat runs to its end through its home
    And its home announces that it leaves
    Then every router still names it as home

  Scenario: A more urgent request is admitted before an earlier one
    X-Priority is higher for urgent requests, the queue counts the other way.
    When all places are taken and requests with priority 1 and 8 wait
    And one place becomes free
    Then the request with priority 8 is granted and the other one waits

  Scenario: An engine that runs one request at a time is used
    With placement.most_running 1 the place kept for other organisations was
    the only one, and every request was refused.
    When an edit sets placement.most_running to 1 for the model
    And a chat runs to its end through router-0
    Then the engine had one request

  Scenario: A small fleet learns at once that a request has ended
    Reports were counted as sent on every tick, so an ended request reached
    the other owners a round later, when their caps were already too high.
    When a chat that runs ends at a moment without a round of reports
    Then every other router knows the lower load within 0.2 seconds
