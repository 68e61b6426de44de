Feature: Membership and gossip
  Hosts agree on which hosts are live and on the newest values under network faults.

  Scenario Outline: A crashed host is declared dead within a bound
    # Guards against a crash that is not detected, or that is known in one zone only.
    Given a cluster of 18 hosts in 3 zones with seed <seed>
    When one host of the cluster crashes
    Then its zone declares it dead within 6 s and every host within 8 s
    And no other host was declared dead

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  Scenario Outline: Lost, late and duplicated datagrams cause no false deaths
    # Guards against hosts declared dead, or zones reported as cut off, by loss alone.
    Given a cluster of 15 hosts in 3 zones with seed <seed>
    When 20 percent of the datagrams are lost and some late or duplicated for 200 s
    Then no other host was declared dead
    And no host of the cluster reported a zone as cut off

    Examples:
      | seed |
      | 11   |
      | 12   |

  Scenario: A suspected live host refutes the suspicion
    # Guards against a suspicion that persists after a short interruption.
    Given a cluster of 10 hosts in 2 zones with seed 21
    When one host of the cluster is cut off for 1.6 s
    Then it was suspected and every host sees it alive in a higher incarnation
    And no other host was declared dead

  Scenario: Two hosts that cannot reach each other do not declare each other dead
    # Guards against a false death when only the direct path is broken.
    Given a cluster of 10 hosts in 2 zones with seed 25
    When two hosts of a zone are cut from each other for 60 s
    Then no host of the cluster was suspected
    When two hosts of a zone are cut from each other for 100 s with 20 percent loss
    Then no other host was declared dead

  Scenario: A host that restarts with the same id rejoins
    # Guards against a new process that is ignored because of its predecessor's entry.
    Given a cluster of 10 hosts in 2 zones with seed 31
    When one host of the cluster restarts at a new address at once
    Then within 3 s every host sees it alive at the new address
    When one host of the cluster restarts at a new address after its death
    Then within 3 s every host sees it alive at the new address

  Scenario Outline: A zone is cut off and becomes reachable again
    # Guards against hosts declared dead by a cut between zones, and against a zone that
    # is still reported as cut off afterwards.
    Given a cluster of 9 hosts in 3 zones with seed <seed>
    When the first zone is cut off for 650 s and values are published on both sides
    Then both sides of the cut reported each other unreachable within 7 s
    And the zones were back within 1 s and the values equal within 4 s
    And no other host was declared dead

    Examples:
      | seed |
      | 41   |
      | 42   |

  Scenario: Halves of a zone whose tombstones of each other expired merge again
    # Guards against two groups that stay apart after a partition inside a zone.
    Given a cluster of 8 hosts in 1 zones with seed 45
    When the hosts of the only zone are partitioned into halves for 900 s
    Then within 15 s every host sees every host alive

  Scenario: A host that starts while all seeds are down is contacted by the others
    # Guards against a restarted host that stays isolated until a seed is back.
    Given a cluster of 8 hosts in 2 zones with seed 47
    When all seeds crash and another host restarts
    Then within 60 s every host sees every host alive

  Scenario: A published value reaches every host within seconds
    # Guards against updates that wait for anti-entropy or are lost with a datagram.
    Given a cluster of 60 hosts in 3 zones with seed 51
    When 10 percent of the datagrams are lost
    Then 20 consecutive values reach every host within 2 s each

  Scenario: A joining host gets the whole state through seeds that were replaced
    # Guards against a join that depends on seed ids or the store, or gets a partial
    # state.
    Given a cluster of 6 hosts in 2 zones with seed 61
    When 3000 values are published and a host joins through seeds with other ids
    Then the new host has all 3000 values and knows each host within 4 s

  Scenario: The stop of the only host in a zone is known at once
    # Guards against a planned stop that is not detected, as no other host probes it.
    Given a cluster of 4 hosts in 4 zones with seed 65
    When one host of the cluster leaves and stops
    Then within 1 s no host sees it as live

  Scenario: The tombstone of a dead host expires on all hosts
    # Guards against hosts that send each other expired tombstones for ever.
    Given a cluster of 9 hosts in 3 zones with seed 71
    When one host of the cluster crashes and 350 s later another host joins
    Then all hosts of the cluster had equal digests 30 s after the join
    And no host knows the crashed host 650 s after its crash
    And all hosts of the cluster have equal digests

  Scenario: A stalled host calls its stall listeners first
    # Guards against a host that keeps its leases after a freeze.
    Given a cluster of 6 hosts in 1 zones with seed 81
    When the clock of one host jumps by 10 s
    Then its stall listeners were called before its new incarnation was announced
    And within 3 s every host knows its higher incarnation

  Scenario: Forged, malformed and replayed datagrams change nothing
    # Guards against an attacker or a faulty peer that stops a host or changes its view.
    Given a cluster of 4 hosts in 1 zones with seed 91
    When 3000 forged, mutated, truncated, oversized and replayed datagrams arrive
    Then the cluster is unchanged and the datagrams were counted as dropped
    When 2000 signed datagrams with random fields arrive
    Then the cluster still works

  Scenario: Two states are equal after one exchange
    # Guards against differences that digests and versions do not show.
    Then any two gossip states are equal after one exchange

  Scenario Outline: Hosts converge after random faults
    # Guards against combinations of faults that no other scenario covers.
    Given a cluster of 12 hosts in 3 zones with seed <seed>
    When crashes, restarts, cuts, stalls, loss and updates come randomly for 300 s
    Then 15 s after the last fault all hosts have the same view

    Examples:
      | seed |
      | 101  |
      | 102  |
      | 103  |

  Scenario: Membership works on loopback sockets
    # Guards against real sockets that behave unlike the fakes of the other scenarios.
    When three hosts join on loopback sockets and one of them has 2000 values
    Then each of the three knows all hosts and values within 5 s
