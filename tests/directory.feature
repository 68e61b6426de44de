Feature: Directory of upstreams
  A listing may be stale, incomplete after a store outage, or hold unreadable entries.

  Scenario: An older listing changes nothing
    # A stale read must not make a drained upstream eligible again.
    Given a directory with upstreams 1, 2 and 3
    When upstream 1 drains
    And the previous listing is applied again
    Then upstream 1 takes no new flows

  Scenario: A listing of a lost history changes nothing
    # Incident store-restored. Guards against a late or stale read of the history before
    # a restore, whose revisions are higher.
    Given a directory with upstreams 1, 2 and 3
    When the store is restored and upstream 1 drains
    And a listing of the lost history is applied, 50 revisions further
    Then upstream 1 takes no new flows

  Scenario: An entry that is missing from a restored store is uncertain at first
    # Incident store-restored. The entry was written after the copy was made, and the
    # outage was too short for a failed call. Guards against resets of its flows.
    Given a directory with upstreams 1, 2 and 3
    When the store is restored to a copy without upstream 1
    Then upstream 1 is uncertain
    And upstream 1 takes new flows
    When the listing is confirmed 3 seconds later
    Then upstream 1 is gone

  Scenario: A peer brings a listing of a new epoch to a host that has missed nothing
    # Incident store-restored. All calls of the host have been answered, and a peer has
    # read the restored store first. Guards against entries that count as removed,
    # because the store has been healthy for long in the former epoch.
    Given a directory with upstreams 1, 2 and 3
    When a peer brings a listing of a new epoch without upstream 1
    Then upstream 1 is uncertain
    And upstream 1 takes new flows

  Scenario: A host that has lost the store learns of a new epoch from a peer
    # Guards against flows that are given up by a host whose path to the store, and that
    # of the upstreams near it, is cut.
    Given a directory with upstreams 1, 2 and 3
    When the store is lost
    And a peer brings a listing of a new epoch without upstream 1 to a host without store
    And the same listing is confirmed by a peer 5 seconds later
    Then upstream 1 is uncertain

  Scenario: A copy that lists a draining upstream as ready brings it no new flows
    # Incident store-restored. The copy is older than the drain. Guards against new flows
    # to an upstream that leaves, until it has written its state again.
    Given a directory with upstreams 1, 2 and 3
    When upstream 1 drains
    And the store is restored to a copy with all upstreams
    Then upstream 1 takes no new flows
    When the listing is confirmed 3 seconds later
    Then upstream 1 takes new flows

  Scenario: A copy that lists an upstream that has left brings it no new flows
    # Incident store-restored. Guards against new flows to an upstream that has ended.
    Given a directory with upstreams 1, 2 and 3
    When upstream 1 drains
    And upstream 1 is missing and the store has been healthy for 10 seconds
    And the store is restored to a copy with all upstreams
    Then upstream 1 takes no new flows

  Scenario: A new lifetime of a drained upstream takes new flows after a restore
    # Guards against an upstream that is left out for what its former process said.
    Given a directory with upstreams 1, 2 and 3
    When upstream 1 drains
    And the store is restored and upstream 1 restarts
    Then upstream 1 takes new flows

  Scenario: An entry that is missing from a healthy store is gone at once
    # Guards against new flows to an upstream that has left.
    Given a directory with upstreams 1, 2 and 3
    When upstream 1 is missing and the store has been healthy for 10 seconds
    Then upstream 1 is gone

  Scenario: An entry that expired in a store outage may come back
    # Guards against resets of flows whose upstream is alive.
    Given a directory with upstreams 1, 2 and 3
    When the store is lost
    And upstream 1 is missing and the store has been healthy for 0 seconds
    Then upstream 1 is uncertain
    And upstream 1 takes new flows
    When upstream 1 is listed again
    Then upstream 1 is listed

  Scenario: An entry that stays missing after an outage is gone
    # Guards against flows that wait for an upstream that does not return.
    Given a directory with upstreams 1, 2 and 3
    When the store is lost
    And upstream 1 is missing and the store has been healthy for 0 seconds
    And the listing is confirmed 3 seconds later
    Then upstream 1 is gone

  Scenario: Entries that all expire at once still take new flows
    # Guards against a store outage that makes every upstream ineligible.
    Given a directory with upstreams 1, 2 and 3
    When the store is lost
    And all upstreams are missing and the store has been healthy for 0 seconds
    Then 3 upstreams take new flows

  Scenario: A listing that has lost all upstreams at once is doubted at first
    # Incident odd-keys, review/1. Guards against a fault of the listing that makes hosts
    # refuse all new flows and reset those of an upstream that drains.
    Given a directory with upstreams 1, 2 and 3
    When upstream 1 drains
    And all upstreams are missing and the store has been healthy for 10 seconds
    Then upstream 1 is uncertain
    And upstream 1 takes no new flows
    And 2 upstreams take new flows
    When the listing is confirmed 3 seconds later
    Then upstream 2 is gone
    And upstream 1 is gone
    And upstream 1 does not count as one that has left

  Scenario: A listing that has lost all upstreams of a service is doubted at first
    # Guards against one entry of another writer, which stays, by which hosts believe that
    # all other upstreams are gone.
    Given a directory with upstreams 1, 2 and 3
    And an entry of another writer, for a service that no route names
    When upstream 1 drains
    And only the other writer's entry is left and the store has been healthy for 10 seconds
    Then upstream 1 is uncertain
    And upstream 1 takes no new flows
    And 2 upstreams take new flows
    When the listing is confirmed 3 seconds later
    Then upstream 2 is gone

  Scenario: A doubt of a listing without upstreams ends with the next one
    # Guards against a doubt that lasts, by which an upstream that leaves later keeps its
    # flows.
    Given a directory with upstreams 1, 2 and 3
    When all upstreams are missing and the store has been healthy for 10 seconds
    And upstream 1 is listed again
    Then upstream 1 is listed
    When the listing is confirmed 3 seconds later
    And upstream 1 is missing and the store has been healthy for 3 seconds
    Then upstream 1 is gone

  Scenario: Upstreams that have all drained may leave at once
    # Guards against a planned removal of everything that is taken for a fault.
    Given a directory with upstreams 1, 2 and 3
    When all upstreams drain
    And all upstreams are missing and the store has been healthy for 10 seconds
    Then upstream 1 is gone

  Scenario: An unreadable entry takes no new flows but stays in the directory
    # An entry in the format of another writer must not end open flows.
    Given a directory with upstreams 1, 2 and 3
    When the entry of upstream 1 cannot be parsed
    Then upstream 1 is unreadable
    And upstream 1 takes no new flows
    And 2 upstreams take new flows

  Scenario: A new lifetime of an id starts with no recorded failures
    # Guards against a suspicion that outlives the process that caused it.
    Given a directory with upstreams 1, 2 and 3
    When upstream 1 restarts at another address
    Then upstream 1 has the other address
    And upstream 1 is trusted and has no recorded retransmissions

  Scenario: Listings in any order end in the newest state
    # Guards against a state that depends on the order of arrival.
    Then 200 random orders of 12 listings end with the newest listing

  Scenario: An older confirmation does not increase the age of a listing
    # Guards against a reader whose listing counts as old after a peer has confirmed it
    # with an earlier read.
    Given a directory that has just read its listing
    When a peer confirms the same listing, read 0.9 seconds ago
    Then the listing is 0 seconds old

  Scenario: Exchanging deltas ends with the store's entries
    # Guards against a change that is lost between listings of several pages, stale
    # reads, restores of the store and deltas from several hosts.
    Then any history of changes, reads and exchanges ends with the store's entries

  Scenario: A change is sent to a follower as one entry, not as the whole listing
    # Many upstreams and many followers of one reader.
    Given a directory of 1000 upstreams that a follower has copied
    When one upstream changes and another one leaves
    Then the follower gets a delta of 1 entry and 1 removed id
    And a host without a listing gets 999 entries
