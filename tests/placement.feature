Feature: Placement of flows
  Every host computes the same home upstream, and a change moves only what it must.

  Scenario: A drain moves only the flows of the drained upstream
    # Guards against a hash that reshuffles the flows of other upstreams.
    Given a placement table of 7 upstreams
    When the last upstream is drained
    Then of 2000 flows only those of the drained upstream have a new home

  Scenario: A weight gives a proportional share
    # Guards against weights that are ignored or applied twice.
    Given a placement table with weights 1 and 3
    Then of 8000 flows the second upstream is home to 75 percent within 3

  Scenario: Earlier homes are named once and without the current home
    # Guards against claims sent to the flow's own home or sent twice.
    Given a placement table of 7 upstreams
    When the last upstream is drained
    Then the earlier homes of 500 flows name the drained upstream once or nothing

  Scenario: Rankings follow the live hosts
    # Guards against a cached ranking that differs from the one other hosts compute.
    Given 30 hosts of a zone of which some come and go 200 times
    Then the ranking of each shard is always the one that a fresh host computes

  Scenario: A broken invariant that is found while a flow is opened stops the process
    # Guards against a task whose failure the event loop only logs.
    When a broken invariant is found while a flow is being opened
    Then the process ends with the status for a broken invariant
