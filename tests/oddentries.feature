Feature: Odd entries of other writers, with real processes
  An entry that is malformed in any way names no upstream, and the others hold.

  Scenario: Hosts go on with the upstreams beside odd entries of all kinds
    # Other operators reported processes that ended again and again, or stopped following
    # the list. Guards against an entry that crashes a host, keeps it from following the
    # store or its reader, or is used as an upstream.
    Given a store with one upstream and 4 host processes in 2 zones
    When another writer leaves odd entries of all kinds and 3 seconds pass
    Then no host process has ended
    And every host knows no upstream but the first one
    And new flows through every host reach the first upstream
    When the first upstream is replaced by a second one and 3 seconds pass
    Then every host knows no upstream but the second one
    And new flows through every host reach the second upstream

  Scenario: Hosts start beside odd entries of all kinds
    # Guards against a start that fails for as long as an odd entry is there.
    Given a store with one upstream
    When another writer leaves odd entries of all kinds and 0 seconds pass
    And 4 host processes in 2 zones start and 3 seconds pass
    Then no host process has ended
    And every host knows no upstream but the first one
    And new flows through every host reach the first upstream
