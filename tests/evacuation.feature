Feature: Evacuation of availability zones
  From 5 s after the store has taken an evacuation, no host opens flows at upstreams of
  the zone, until the evacuation is withdrawn. Open flows stay where they are.

  Scenario Outline: An evacuation is in force in time whatever happens to the readers
    # Load pattern: new flows on every host while a zone is evacuated. Guards against
    # followers of a reader that dies, freezes, or gets no answer.
    Given 12 sharing hosts that apply evacuations in 5 s and configurations in <config_s> s
    When <wait_s> seconds of sharing pass
    And <fault>
    And zone b is evacuated
    Then no undisturbed host opens flows in zone b from 5 to 9 seconds later

    Examples:
      | config_s | wait_s | fault                                                |
      | 3        | 20     | the readers lose power                               |
      | 3        | 20.7   | the readers lose power                               |
      | 6        | 21.4   | the readers lose power                               |
      | 3        | 20     | the readers stop                                     |
      | 6        | 20.7   | the readers stop                                     |
      | 3        | 20     | the readers are suspended for 2 seconds              |
      | 6        | 21.1   | the readers are suspended for 2 seconds              |
      | 3        | 20     | the store calls of the readers time out              |
      | 6        | 20.7   | the store calls of the readers time out              |
      | 6        | 22.1   | the store calls of the readers time out              |
      | 3        | 20     | the readers get no answer about the configuration    |
      | 6        | 20.7   | the readers get no answer about the configuration    |
      | 6        | 21.4   | the readers get no answer about the configuration    |
      | 3        | 20     | the open store connections of all hosts stall        |
      | 6        | 20.7   | the open store connections of all hosts stall        |
      | 6        | 22.1   | the open store connections of all hosts stall        |
      | 6        | 20     | the store refuses the readers                        |
      | 3        | 20     | the first zone is partitioned from the other hosts   |

  Scenario: Evacuations cost no call of the store
    # Guards against a read and a watch of their own. The limit is that of hosts which
    # read the configuration alone.
    Given 12 sharing hosts that apply evacuations in 5 s and configurations in 3 s
    When 20 seconds of sharing pass
    Then 3 hosts read the store
    And the hosts make at most 133 calls in the next 20 seconds

  Scenario: Unrelated keys of operators do not multiply the calls
    # Load pattern: another program writes 20 keys a second beside the evacuations.
    # Guards against a watch for each write: 3 readers may make one in 0.25 s, and
    # 29 listings each.
    Given 12 sharing hosts that apply evacuations in 5 s and configurations in 3 s
    When 20 seconds of sharing pass
    And another program goes on writing 20 unrelated keys a second
    Then the hosts make at most 327 calls in the next 20 seconds
    When zone b is evacuated
    Then no undisturbed host opens flows in zone b from 5 to 9 seconds later

  Scenario Outline: The last of quick changes counts
    # Load pattern: an operator corrects himself within one watch. Guards against
    # changes that are applied in another order, or of which only the first is.
    Given 12 sharing hosts that apply evacuations in 5 s and configurations in 3 s
    When <wait_s> seconds of sharing pass
    And the operator evacuates zone b and changes it every <pause_s> s: <changes>
    And 5 seconds of sharing pass
    Then the evacuated zones are <zones> on every host

    Examples:
      | wait_s | pause_s | changes                | zones |
      | 20     | 0       | withdraw               | none  |
      | 20     | 0       | withdraw,evacuate      | b     |
      | 20     | 0.05    | withdraw               | none  |
      | 20.7   | 0.05    | withdraw,evacuate      | b     |
      | 20.7   | 0.7     | withdraw,evacuate      | b     |
      | 20     | 1.3     | withdraw,evacuate      | b     |
      | 20     | 1.3     | withdraw               | none  |

  Scenario: Two zones are evacuated at once
    # Guards against a set that holds only the newest zone.
    Given 12 sharing hosts that apply evacuations in 5 s and configurations in 3 s
    When 20 seconds of sharing pass
    And zone b is evacuated
    And zone a is evacuated
    Then no undisturbed host opens flows in zone a from 5 to 6 seconds later
    And the evacuated zones are a,b on every host
    When the evacuation of zone b is withdrawn and 5 seconds pass
    Then the evacuated zones are a on every host

  Scenario: An evacuation is read after the history of the store is lost
    # Guards against a watch that goes on after a gap and never sees the evacuation.
    Given 12 sharing hosts that apply evacuations in 5 s and configurations in 3 s
    When 20 seconds of sharing pass
    And the store loses its history while zone b is evacuated
    Then no undisturbed host opens flows in zone b from 5 to 9 seconds later

  Scenario: A withdrawal is read after the history of the store is lost
    # Guards against a host that adds what a read returns to what it has.
    Given 12 sharing hosts that apply evacuations in 5 s and configurations in 3 s
    When 20 seconds of sharing pass
    And zone b is evacuated
    And 5 seconds of sharing pass
    And the store loses its history while the evacuation of zone b is withdrawn
    And 5 seconds of sharing pass
    Then the evacuated zones are none on every host

  Scenario: Hosts that the store refuses learn an evacuation from others
    # Load pattern: the store refuses most hosts, and serves those of one zone. The
    # bound may be exceeded by 15 s while the store is impaired in this way.
    Given 12 sharing hosts that apply evacuations in 5 s and configurations in 3 s
    When 20 seconds of sharing pass
    And the store refuses the hosts of zones a and b
    And zone b is evacuated
    Then no live host opens flows in zone b from 20 to 24 seconds later

  Scenario: An evacuation stays in force while the store is away
    # Guards against hosts that take silence for a withdrawal.
    Given 12 sharing hosts that apply evacuations in 5 s and configurations in 3 s
    When 20 seconds of sharing pass
    And zone b is evacuated
    And 5 seconds of sharing pass
    And the store answers no host
    Then no live host opens flows in zone b from 0 to 60 seconds later

  Scenario: A restored store that lacks an evacuation ends it after 30 s
    # Load pattern: the store comes back from a copy from before the evacuation. Its
    # operator needs time to see it. Guards against new flows in that time, and against
    # hosts that renew the time of each other.
    Given 12 sharing hosts that apply evacuations in 5 s and configurations in 3 s
    When 20 seconds of sharing pass
    And a copy of the store is made
    And zone b is evacuated
    And 5 seconds of sharing pass
    And the store comes back from the copy at once
    Then no live host opens flows in zone b from 0 to 29 seconds later
    When 7 seconds of sharing pass
    Then the evacuated zones are none on every host

  Scenario: Hosts that restart after a restore learn what others retain
    # Guards against readers that know only the restored store, and give their zone
    # its set.
    Given 12 sharing hosts that apply evacuations in 5 s and configurations in 3 s
    When 20 seconds of sharing pass
    And a copy of the store is made
    And zone b is evacuated
    And 5 seconds of sharing pass
    And the store comes back from the copy at once
    And 3 seconds of sharing pass
    And the readers stop
    And the stopped hosts start again and 5 seconds pass
    Then the evacuated zones are b on every host
    When 30 seconds of sharing pass
    Then the evacuated zones are none on every host

  Scenario: An evacuation that is written again after a restore lasts
    # Guards against a retention that ends a new evacuation of the same zone.
    Given 12 sharing hosts that apply evacuations in 5 s and configurations in 3 s
    When 20 seconds of sharing pass
    And a copy of the store is made
    And zone b is evacuated
    And 5 seconds of sharing pass
    And the store comes back from the copy at once
    And 10 seconds of sharing pass
    And zone b is evacuated
    Then no live host opens flows in zone b from 0 to 40 seconds later

  Scenario: An evacuation that is withdrawn after a restore ends in time
    # Guards against a retention that outlasts the will of the operator.
    Given 12 sharing hosts that apply evacuations in 5 s and configurations in 3 s
    When 20 seconds of sharing pass
    And a copy of the store is made
    And zone b is evacuated
    And 5 seconds of sharing pass
    And the store comes back from the copy at once
    And 3 seconds of sharing pass
    And the evacuation of zone b is withdrawn and 5 seconds pass
    Then the evacuated zones are none on every host

  Scenario: An evacuation that the copy of a restored store holds is in force again
    # The evacuation was withdrawn after the copy. The store is the authority, and its
    # operator has to withdraw it again.
    Given 12 sharing hosts that apply evacuations in 5 s and configurations in 3 s
    When 20 seconds of sharing pass
    And zone b is evacuated
    And 5 seconds of sharing pass
    And a copy of the store is made
    And the evacuation of zone b is withdrawn and 5 seconds pass
    Then the evacuated zones are none on every host
    When the store comes back from the copy at once
    Then no live host opens flows in zone b from 5 to 40 seconds later

  Scenario: A zone that is cut off while it is evacuated keeps new flows from itself
    # Guards against hosts that reach no upstream but those of their own zone.
    Given 12 sharing hosts that apply evacuations in 5 s and configurations in 3 s
    When 20 seconds of sharing pass
    And zone b is cut off from the other hosts
    And zone b is evacuated
    Then no live host opens flows in zone b from 5 to 9 seconds later

  Scenario: A zone that is cut off from all learns a withdrawal afterwards
    # Load pattern: the zone loses the store and the other hosts, and its evacuation is
    # withdrawn meanwhile. Guards against hosts that forget, or never hear of it.
    Given 12 sharing hosts that apply evacuations in 5 s and configurations in 3 s
    When 20 seconds of sharing pass
    And zone b is evacuated
    And 5 seconds of sharing pass
    And zone b is cut off from the other hosts and the store
    And the evacuation of zone b is withdrawn and 5 seconds pass
    Then the hosts of zone b open no flows there for 20 seconds
    When the cut ends and 9 seconds pass
    Then the evacuated zones are none on every host

  Scenario: A host that restarts learns the evacuation from a peer, without the store
    # Guards against a start that counts as complete without the evacuations.
    Given 12 sharing hosts that apply evacuations in 5 s and configurations in 3 s
    When 20 seconds of sharing pass
    And zone b is evacuated
    And 5 seconds of sharing pass
    And a host starts and 0.05 seconds pass
    Then the evacuated zones are b on the new host
    And the new host is complete
    And the new host has made 0 calls to the store

  Scenario: A host that restarts alone learns the evacuation from the store
    # Guards against hosts that learn evacuations from changes only.
    Given a host that applies evacuations in 5 s and reads a store with zone b evacuated
    When 1 seconds of sharing pass
    Then the evacuated zones are b on every host

  Scenario: A host is not complete before it knows the evacuations
    # Guards against a start on the snapshot of a peer that has none.
    Given a host that applies evacuations in 5 s and has a configuration and a listing
    Then that host is not complete

  Scenario: A host with evacuations of unknown age is not followed
    # Guards against a reader that counts as fresh by its configuration alone. Its bound
    # of 3 s is the smaller one, and followers leave a reader after 2.2 s.
    Given a host that applies evacuations in 5 s and reads a store with zone b evacuated
    When 5 seconds of sharing pass
    Then that host's snapshots are fresh
    When its evacuations were last confirmed 2.5 seconds ago
    Then that host's snapshots are not fresh
    And its state is recent
    When its evacuations were last confirmed 3.1 seconds ago
    Then its state is not recent

  Scenario Outline: A set of another position replaces the view only if it is newer
    # Guards against late answers that bring back what was withdrawn.
    Given a view with zone b evacuated at epoch 2, revision 20
    When <source> of zones <zones> arrives at epoch <epoch>, revision <revision>
    Then the view has <found>

    Examples:
      | source     | zones | epoch | revision | found |
      | a read     | c     | 2     | 21       | c     |
      | a read     | none  | 2     | 21       | none  |
      | a read     | c     | 2     | 20       | b     |
      | a read     | c     | 2     | 19       | b     |
      | a read     | c     | 1     | 99       | b     |
      | a read     | c     | 3     | 4        | b,c   |
      | a read     | b     | 3     | 4        | b     |
      | a watch    | c     | 2     | 21       | b,c   |
      | a watch    | c     | 2     | 20       | b     |
      | a watch    | c     | 1     | 99       | b     |
      | a snapshot | c     | 2     | 21       | c     |
      | a snapshot | c     | 2     | 20       | b     |
      | a snapshot | c     | 1     | 99       | b     |
      | a snapshot | c     | 3     | 4        | b,c   |

  Scenario: A host that learns of a restore late does not retain what was withdrawn
    # Guards against a retention that only the hosts which saw the withdrawal end.
    Given a view with zone b evacuated at epoch 2, revision 20
    When a snapshot of epoch 3 says that zone b was withdrawn after the restore
    Then the view has none

  Scenario: A withdrawal after a restore counts although its snapshot is older
    # Guards against a host that keeps retaining because it read the store later.
    Given a view with zone b evacuated at epoch 2, revision 20
    When a read of zones none arrives at epoch 3, revision 6
    Then the view has b
    When a snapshot of epoch 3 says that zone b was withdrawn after the restore
    Then the view has none

  Scenario: A host that learns of a restore after 30 s retains nothing
    # Guards against hosts that pass a retention on to each other without end.
    Given a view with zone b evacuated at epoch 2, revision 20
    When a snapshot of epoch 3 says that the restore was 31 seconds ago
    Then the view has none

  Scenario: A watch that is answered in another epoch leads to a read
    # Guards against changes of a restored store on top of a set that was lost.
    Given a watcher of evacuations whose calls are answered by hand
    When its read of epoch 1, revision 7 returns zone b
    And its watch of epoch 2, revision 9 returns that zone b is withdrawn
    Then its view has b and its next call is a read

  Scenario Outline: Random fault schedules keep the bound of evacuations
    # Load pattern: zones are evacuated and taken back throughout random faults. Guards
    # against orders of faults that nobody has thought of.
    Given a random fault schedule of seed <seed> with the faults <kinds>
    Then every host that has been free of faults for 4 seconds keeps the bound

    Examples:
      | seed | kinds                |
      | 1    | all,evacuate         |
      | 2    | all,restore,evacuate |
      | 3    | restore,evacuate     |
      | 4    | history,evacuate     |
