Feature: Stand-ins of the platform and of plain services

  Scenario: The host list lags, and an unchanged list is not sent again
    Given a host list over HTTP that lags by 2 seconds
    When a host is added
    Then the adapter reads no host before the lag has passed
    And it reads the host afterwards, and nothing when it asks again
    When the host list drops its answers
    Then the adapter reports that there was no answer

  Scenario: The weight store knows its versions and queues fetches at its rate
    Given a weight store over HTTP with one version of 100 bytes at 10 bytes/s
    Then the adapter reads its manifest and knows no other version
    And two fetches at the same time end after 10 and 20 seconds

  Scenario Outline: A service with key checks <checks> has <effects> effects for a repeat
    Given a service that loses its first answer, with key checks <checks>
    When a call with a key is sent again after the loss
    Then the service has <effects> effects

    Examples:
      | checks | effects |
      | on     | 1       |
      | off    | 2       |
