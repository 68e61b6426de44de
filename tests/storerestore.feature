Feature: A store that is restored from a copy
  The store may come back from a copy some seconds old. Writes since are lost, revisions
  are given out again, and the epoch rises.

  Scenario: A drain that follows a restore is seen in time
    # Incident store-restored. Guards against hosts that ignore each listing until the
    # revisions of the restored store have overtaken those that were lost.
    Given 12 sharing hosts in 3 zones that know one seed
    When 20 seconds of sharing pass
    And a copy of the store is made
    And the configuration changes 6 times
    And the store is away for 2 seconds and comes back from the copy
    And the operator writes its configuration again and 4 seconds pass
    And an upstream drains and 3 seconds pass
    Then no host gives new flows to the draining upstream
    And no host has rejected a listing

  Scenario: Two listings of the same revision and different epochs are not confused
    # Incident store-restored. Guards against hosts that take a revision that was given
    # out again for the listing that they have.
    Given 12 sharing hosts in 3 zones that know one seed
    When 20 seconds of sharing pass
    And a copy of the store is made
    And an upstream is added and 3 seconds pass
    And the store comes back from the copy at once
    And an upstream drains and 3 seconds pass
    Then no host gives new flows to the draining upstream

  Scenario: A watch from before a restore hides no change
    # Incident store-restored. Guards against a watch that goes on after a revision of
    # the lost history, which the restored store has given out again.
    Given 12 sharing hosts in 3 zones that know one seed
    When 20 seconds of sharing pass
    And a copy of the store is made
    And configuration 2 is published and 3 seconds pass
    And the store comes back from the copy at once
    And configuration 3 is published at the revision that was lost
    And 3 seconds of sharing pass
    Then every host runs configuration 3

  Scenario: Hosts that have read an older configuration learn the newer one from others
    # Incident store-restored. The copy holds an older configuration, and the operator
    # has not written his again. Guards against readers that start in this time and
    # give their zone the older one, while their followers know better.
    Given 12 sharing hosts in 3 zones that know one seed
    When 20 seconds of sharing pass
    And a copy of the store is made
    And configuration 2 is published and 3 seconds pass
    And the store comes back from the copy at once
    And the readers stop
    And the stopped hosts start again and 2 seconds pass
    Then every host runs configuration 2

  Scenario: A large configuration that the copy lacks is learned from others
    # Incident store-restored. Hosts announce a large configuration, and each reads it
    # from the store. Guards against a version that the store has lost.
    Given 12 sharing hosts in 3 zones that know one seed
    When 20 seconds of sharing pass
    And a copy of the store is made
    And configuration 2 with 450 routes is published and 3 seconds pass
    And the store comes back from the copy at once
    And the readers stop
    And the stopped hosts start again and 3 seconds pass
    Then every host runs configuration 2

  Scenario: A watch that was pending while its host did not read hides no change
    # Incident store-restored. Guards against an answer of the new epoch to a watch of
    # the old one that has been taken over by a second life of the watcher.
    Given a watcher whose calls are answered by hand
    When a read is answered with configuration 1 of epoch 1, revision 7
    And the watcher pauses and resumes
    And a watch is answered without a change in epoch 2, revision 9
    Then the next call is a read
    And the configuration has not been confirmed since the first read

  Scenario: A late answer of a lost history confirms nothing
    # Incident store-restored. Guards against a host that believes that it has the
    # newest configuration because of an answer from before the restore.
    Given a watcher whose calls are answered by hand
    When a read is answered with configuration 1 of epoch 2, revision 3
    And a watch fails
    And a read is answered with configuration 1 of epoch 1, revision 30
    Then the next call is a read
    And the configuration has not been confirmed since the first read
