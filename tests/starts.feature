Feature: Starts of hosts
  A starting host gets its state from peers, and all hosts may start at once.

  Scenario: A host that restarts while its peers are alive makes no call to the store
    # Hosts are killed and restarted frequently. Bound: no call.
    Given 12 sharing hosts in 3 zones that know one seed
    When 20 seconds of sharing pass
    And a host starts and 0.05 seconds pass
    Then the new host knows configuration 1 and 2 upstreams
    When 5 seconds of sharing pass
    Then the new host has made 0 calls to the store

  Scenario: A seed without power does not delay a start
    # The hosts that are configured as seeds are gone.
    Given 12 sharing hosts in 3 zones that know one seed
    When 20 seconds of sharing pass
    And the seed loses power
    And a host starts and 0.2 seconds pass
    Then the new host knows configuration 1 and 2 upstreams

  Scenario: A starting host does not use the state of a stale seed
    # A host is partitioned, an upstream drains meanwhile, and another host starts.
    # Guards against new flows to the draining upstream.
    Given 12 sharing hosts in 3 zones that know one seed
    When 20 seconds of sharing pass
    And the seed is cut off from the store and all hosts
    And an upstream drains and 2.7 seconds pass
    And a host that reaches the seed starts and 0.2 seconds pass
    Then the new host gives no new flows to the draining upstream

  Scenario: A starting host does not use the state of a seed that was suspended
    # A host resumes after a suspension and is asked before it has read the store
    # itself.
    Given 12 sharing hosts in 3 zones that know one seed
    When 20 seconds of sharing pass
    And the seed is suspended
    And an upstream drains and 4 seconds pass
    And the seed resumes
    And a host starts and 0.2 seconds pass
    Then the new host gives no new flows to the draining upstream

  Scenario: Every host has its state soon after all hosts of a large fleet start
    # All of 300 hosts lose power and restart. A listing of 3,000 upstreams has 60
    # pages, and the store accepts 2,000 calls a second. Bound: 3 s.
    Given 300 hosts in 3 zones that start within 0.3 seconds with a store of 60 pages
    When 2.7 seconds of sharing pass
    Then every host knows configuration 1 and 2 upstreams
