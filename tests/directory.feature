Feature: Directory of upstreams
  Listings may be stale, incomplete after an outage, and hold entries of others.

  Scenario: An older listing changes nothing
    # Guards against stale reads that bring a drained upstream back.
    Given a directory with upstreams 1, 2 and 3
    When upstream 1 drains
    And the listing from before comes again
    Then upstream 1 takes no new flows

  Scenario: An entry that is missing in a steady store is gone at once
    # Guards against new flows for an upstream that left.
    Given a directory with upstreams 1, 2 and 3
    When upstream 1 is missing and the store was steady for 10 seconds
    Then upstream 1 is gone

  Scenario: An entry that lapsed while the store was away may come back
    # Guards against resets of flows whose upstream lives.
    Given a directory with upstreams 1, 2 and 3
    When the store is lost
    And upstream 1 is missing and the store was steady for 0 seconds
    Then upstream 1 is uncertain
    And upstream 1 takes new flows
    When upstream 1 is listed again
    Then upstream 1 is listed

  Scenario: An entry that stays away after an outage is gone
    # Guards against flows that wait for an upstream that will not return.
    Given a directory with upstreams 1, 2 and 3
    When the store is lost
    And upstream 1 is missing and the store was steady for 0 seconds
    And the listing is confirmed 3 seconds later
    Then upstream 1 is gone

  Scenario: All entries that lapse at once go on serving until they return
    # Guards against an outage of the store that takes every upstream away.
    Given a directory with upstreams 1, 2 and 3
    When the store is lost
    And all upstreams are missing and the store was steady for 0 seconds
    Then 3 upstreams take new flows

  Scenario: An entry that cannot be read takes no new flows and keeps its own
    # Guards against an entry of another writer that ends flows.
    Given a directory with upstreams 1, 2 and 3
    When the entry of upstream 1 cannot be read
    Then upstream 1 is unreadable
    And upstream 1 takes no new flows
    And 2 upstreams take new flows

  Scenario: A new lifetime of an id starts with a clean record
    # Guards against suspicion that outlives the process it was about.
    Given a directory with upstreams 1, 2 and 3
    When upstream 1 starts again at another address
    Then upstream 1 has the other address
    And nothing is held against upstream 1

  Scenario: Listings in any order lead to the newest state
    # Guards against states that depend on the order of arrival.
    Then 200 random orders of 12 listings lead to the state of the newest

  Scenario: A listing that others read earlier makes the own one no older
    # Guards against a reader whose listing seems old after a peer has confirmed it.
    Given a directory that has just read its listing
    When a peer confirms the same listing, read 0.9 seconds ago
    Then the listing is 0 seconds old

  Scenario: Hosts that pass on changes only end with the store's entries
    # Guards against a change that is left out between listings of several pages, stale
    # reads and changes from several hosts.
    Then any history of changes, reads and exchanges ends with the store's entries

  Scenario: A change costs a follower one entry, not the listing
    # Pattern: many upstreams and many followers of one reader.
    Given a directory of 1000 upstreams that a follower has too
    When one upstream changes and another one leaves
    Then the follower gets 1 entry and 1 missing name
    And a host without a listing gets 999 entries
