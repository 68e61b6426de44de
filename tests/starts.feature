Feature: Starts of hosts
  A host that starts learns from its peers, and all hosts may start at once.

  Scenario: A host that restarts while its peers live makes no call to the store
    # Pattern: hosts are killed and started again all day. Bound: no call.
    Given 12 sharing hosts in 3 zones that know one seed
    When 20 seconds of sharing pass
    And a host starts and 0.05 seconds pass
    Then the new host knows configuration 1 and 2 upstreams
    When 5 seconds of sharing pass
    Then the new host has made 0 calls to the store

  Scenario: A seed that is dark does not hold up a start
    # Pattern: the hosts that are named as seeds are gone.
    Given 12 sharing hosts in 3 zones that know one seed
    When 20 seconds of sharing pass
    And the seed loses its power
    And a host starts and 0.2 seconds pass
    Then the new host knows configuration 1 and 2 upstreams

  Scenario: A seed that is behind gives no first beliefs
    # Pattern: a host was cut off, an upstream left meanwhile, and another host starts.
    # Guards against new flows for the upstream that left.
    Given 12 sharing hosts in 3 zones that know one seed
    When 20 seconds of sharing pass
    And the seed is cut off from the store and all hosts
    And an upstream drains and 2.7 seconds pass
    And a host that reaches the seed starts and 0.2 seconds pass
    Then the new host gives no new flows to the draining upstream

  Scenario: A seed that slept gives no first beliefs
    # Pattern: a machine is suspended, and asked before it has read anything itself.
    Given 12 sharing hosts in 3 zones that know one seed
    When 20 seconds of sharing pass
    And the seed sleeps
    And an upstream drains and 4 seconds pass
    And the seed wakes
    And a host starts and 0.2 seconds pass
    Then the new host gives no new flows to the draining upstream

  Scenario: Every host knows its beliefs soon after all hosts of a large fleet start
    # Pattern: all of 300 hosts lose power. A listing of 3,000 upstreams is 60 pages, and
    # the store takes 2,000 calls a second. Bound: 3 s.
    Given 300 hosts in 3 zones that start within 0.3 seconds before a store of 60 pages
    When 2.7 seconds of sharing pass
    Then every host knows configuration 1 and 2 upstreams
