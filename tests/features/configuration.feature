Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Background:
    Given 3 halls of 3 instances each with configuration 1 in force

  Scenario: A change spreads to every instance
    When operator ana changes service a
    Then the change is accepted as version 2
    And version 2 is in force everywhere within 1 second

  Scenario: Two operators change the same service from the same base
    When operator ana changes service a
    And operator bia changes service a from base 1
    Then the last change is refused and names ana

  Scenario: Two operators change different services from the same base
    When operator ana changes service a
    And operator bia changes service b from base 1
    Then the change is accepted as version 3
    And version 3 is in force everywhere within 1 second

  Scenario: The platform is down
    Given the platform is down
    When operator ana changes service a
    Then the last change is refused because of the platform
    And version 1 is in force everywhere within 5 seconds

  Scenario: The platform is slow
    Given the platform answers after 0.8 seconds
    When operator ana changes service a
    Then the change is accepted as version 2
    And version 2 is in force everywhere within 5 seconds

  Scenario: Writes take effect though their replies are lost
    Given every reply to a write is lost
    When operator ana changes service a
    Then the change is not known to be accepted
    And the change can be settled as accepted later
    And version 2 is in force everywhere within 5 seconds

  Scenario: Half of all writes are lost on the way or on the way back
    Given a quarter of the writes and a quarter of the replies are lost
    When 8 operators race with 40 changes
    Then the accepted changes are exactly the chain
    And every instance has the newest version and none ever stepped back

  Scenario: Eight operators race on the same items
    When 8 operators race with 500 changes
    Then the accepted changes are exactly the chain
    And every refused change names the one that it lost to
    And every instance has the newest version and none ever stepped back

  Scenario: A hall is cut off from the platform but not from its peers
    Given the hall h1 is cut off from the platform
    When operator ana changes service a
    Then version 2 is in force everywhere within 5 seconds

  Scenario: A hall is cut off from everything, then healed
    Given the hall h1 is cut off from the platform
    And the hall h1 is cut off from the other halls
    When operator ana changes service a
    And 10 seconds pass
    Then version 1 is in force in h1 and version 2 elsewhere
    When the hall h1 is healed
    Then version 2 is in force everywhere within 10 seconds

  Scenario: All watches are lost in an outage
    Given the platform is down and drops its watches for 30 seconds
    When the platform is up again
    And operator ana changes service a
    Then version 2 is in force everywhere within 5 seconds

  Scenario: The platform is restored from an old copy
    Given operator ana has changed service a
    When the platform is restored to version 1
    And 40 seconds pass
    Then version 2 is still in force everywhere
    And an alarm of kind older was raised

  Scenario: Another history takes the place of the head
    When the platform's head is replaced by another version 3
    And 40 seconds pass
    Then version 1 is still in force everywhere
    And an alarm of kind forked was raised

  Scenario: Reads are stale
    Given operator ana has changed service a
    When the next 20 reads are stale
    And operator bia changes service b
    And 5 seconds pass
    Then the accepted changes are exactly the chain
    And every instance has the newest version and none ever stepped back

  Scenario: An instance starts while the platform is down
    Given the platform is down
    When an instance starts that knows a peer
    And an instance starts that knows nobody
    And 10 seconds pass
    Then the first has version 1 and the second has none

  Scenario: An instance was paused for 30 seconds
    When the instance h1-0 is paused while ana changes service a, and goes on after 30 seconds
    Then version 2 is in force everywhere within 5 seconds
    And every instance has the newest version and none ever stepped back
