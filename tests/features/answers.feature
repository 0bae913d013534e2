Feature: An answer is whole, from one snapshot, and truly described

  Scenario: Every answer comes from one snapshot while the index is re-versioned
    Given a small cluster under searches
    And the index is re-versioned after 2 seconds
    When the searches have ended
    Then no promise was broken
    And answers were given from 2 snapshots

  Scenario: A repartition under running searches is a new snapshot
    Given a small cluster under searches
    And the index is repartitioned after 2 seconds
    When the searches have ended
    Then no promise was broken
    And answers were given from 2 snapshots
    And answers cover 6 shards or 12 shards

  Scenario: Targets lie about the snapshots that they hold
    Given a small cluster under searches
    And every target claims a snapshot that it lacks after 2 seconds
    When the searches have ended
    Then no promise was broken
    And at least 99 in 100 searches were answered

  Scenario: Replies are delivered twice, late and to the wrong query
    Given a small cluster under searches
    And every reply is delivered again, once late and once under another number
    When the searches have ended
    Then no promise was broken
    And the stray replies were dropped and counted

  Scenario: A hall is cut off from the others
    Given a small cluster that answers in part
    And the hall h2 is cut off after 2 seconds for 10 seconds
    When the searches have ended
    Then no promise was broken
    And every lacking shard has a reason
    And both sides of the cut answered searches

  Scenario: An instance is killed with work in progress
    Given a small cluster under searches
    And the instance h1-1 is killed after 2 seconds
    When the searches have ended
    Then no promise was broken, but for callers of the killed instance
    And at least 99 in 100 searches of the others were answered

  Scenario: A leaving target gets no new work
    Given a small cluster under searches
    And a target leaves after 2 seconds
    When the searches have ended
    Then no promise was broken
    And the leaving target refused fewer than 20 requests

  Scenario: The last instance of a hall is killed
    Given a small cluster with one instance in each hall
    And the instance h2-0 is killed after 2 seconds
    When the searches have ended
    Then no promise was broken, but for callers of the killed instance
    And at least 100 in 100 searches of the others were answered
    And every unrepeatable request in its hands may have run

  Scenario: Targets are lost with unrepeatable requests in their hands
    Given a small cluster under unrepeatable requests
    And each target is lost for a moment, one after another
    When the searches have ended
    Then no promise was broken
    And some unrepeatable requests may have run and none ran twice
