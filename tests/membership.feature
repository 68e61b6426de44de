Feature: Membership and gossip
  Hosts agree on who is live and on the newest values, whatever the network does.

  Scenario Outline: A crashed host is found dead within a bound
    # Guards against a crash that nobody notices, or that stays known in one zone.
    Given a cluster of 18 hosts in 3 zones with seed <seed>
    When one host of the cluster crashes
    Then its zone holds it dead within 6 s and every host within 8 s
    And no other host was declared dead

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  Scenario Outline: Lost, late and repeated datagrams kill nobody
    # Guards against deaths declared by loss alone, and against zones held cut off.
    Given a cluster of 15 hosts in 3 zones with seed <seed>
    When 20 percent of the datagrams are lost and some are late or doubled for 200 s
    Then no other host was declared dead
    And no host of the cluster held a zone cut off

    Examples:
      | seed |
      | 11   |
      | 12   |

  Scenario: A suspected live host refutes
    # Guards against a suspicion that outlives a short interruption.
    Given a cluster of 10 hosts in 2 zones with seed 21
    When one host of the cluster is cut off for 1.6 s
    Then it was suspected and every host holds it alive in a higher incarnation
    And no other host was declared dead

  Scenario: Two hosts that cannot reach each other hold each other alive
    # Guards against a death declared because of one broken path.
    Given a cluster of 10 hosts in 2 zones with seed 25
    When two hosts of a zone are cut from each other for 60 s
    Then nobody in the cluster was suspected
    When two hosts of a zone are cut from each other for 100 s amid 20 percent loss
    Then no other host was declared dead

  Scenario: A host that restarts with its id is taken back
    # Guards against a new process that is ignored because of its predecessor.
    Given a cluster of 10 hosts in 2 zones with seed 31
    When one host of the cluster restarts at a new address at once
    Then within 3 s every host holds it alive at the new address
    When one host of the cluster restarts at a new address after its death
    Then within 3 s every host holds it alive at the new address

  Scenario Outline: A zone that is cut off and comes back
    # Guards against hosts removed as dead by a cut, and a cut held after its end.
    Given a cluster of 9 hosts in 3 zones with seed <seed>
    When the first zone is cut off for 650 s and values are published on both sides
    Then both sides of the cut held each other unreachable within 7 s
    And the zones were back within 1 s and the values equal within 4 s
    And no other host was declared dead

    Examples:
      | seed |
      | 41   |
      | 42   |

  Scenario: Halves of a zone that forgot each other meet again
    # Guards against two groups that stay apart after a cut inside a zone.
    Given a cluster of 8 hosts in 1 zones with seed 45
    When the hosts of the only zone are cut in two halves for 900 s
    Then within 15 s every host holds every host alive

  Scenario: A host that starts while all seeds are down is found by the others
    # Guards against a restarted host that stays alone until a seed is back.
    Given a cluster of 8 hosts in 2 zones with seed 47
    When all seeds crash and another host restarts
    Then within 60 s every host holds every host alive

  Scenario: A value reaches every host soon
    # Guards against news that waits for comparisons or is lost with a datagram.
    Given a cluster of 60 hosts in 3 zones with seed 51
    When 10 percent of the datagrams are lost
    Then 20 values in a row reach every host within 2 s each

  Scenario: A joiner gets the whole state through seeds that were replaced
    # Guards against a join that needs seed ids or the store, or a partial state.
    Given a cluster of 6 hosts in 2 zones with seed 61
    When 3000 values are published and a host joins through seeds of other ids
    Then the joiner has all 3000 values and every host within 4 s

  Scenario: A host that stops alone in its zone is not waited for
    # Guards against a planned stop that nobody notices, as nobody probes the host.
    Given a cluster of 4 hosts in 4 zones with seed 65
    When one host of the cluster leaves and stops
    Then within 1 s no host counts it as live

  Scenario: A dead host is forgotten once
    # Guards against hosts that remind each other of dead hosts for ever.
    Given a cluster of 9 hosts in 3 zones with seed 71
    When one host of the cluster crashes and 350 s later another host joins
    Then all hosts of the cluster held equal sums 30 s after the join
    And the crashed host is unknown everywhere 650 s after its crash
    And all hosts of the cluster hold equal sums

  Scenario: A host that did not run drops its leases first
    # Guards against a frozen host that wakes up and goes on as before.
    Given a cluster of 6 hosts in 1 zones with seed 81
    When the clock of one host jumps by 10 s
    Then its stall listeners were called before its new incarnation was announced
    And within 3 s every host holds its higher incarnation

  Scenario: Forged, malformed and replayed datagrams change nothing
    # Guards against an outsider, and a faulty peer, that stop a host or change its view.
    Given a cluster of 4 hosts in 1 zones with seed 91
    When 3000 forged, mutated, truncated, oversized and replayed datagrams arrive
    Then the cluster is unchanged and the datagrams were counted as dropped
    When 2000 genuine datagrams with random fields arrive
    Then the cluster still works

  Scenario: Two states are equal after one exchange
    # Guards against sums and versions that hide a difference.
    Then any two gossip states are equal after one comparison each way

  Scenario Outline: Random faults leave no lasting difference
    # Guards against combinations of faults that no single scenario has.
    Given a cluster of 12 hosts in 3 zones with seed <seed>
    When crashes, restarts, cuts, stalls, loss and news come at random for 300 s
    Then 15 s after the last fault every host agrees with every other

    Examples:
      | seed |
      | 101  |
      | 102  |
      | 103  |

  Scenario: Membership works on loopback sockets
    # Guards against adapters that differ from the fakes of the other scenarios.
    When three hosts join on loopback sockets and one of them has 2000 values
    Then each of the three knows all hosts and values within 5 s
