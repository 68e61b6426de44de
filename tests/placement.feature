Feature: Placement of flows
  Every host computes the same home upstream, and a change moves as few flows as
  possible.

  Scenario: A drain moves only the flows of the drained upstream
    # Guards against hashing that also moves the flows of other upstreams.
    Given a placement table of 7 upstreams
    When the last upstream is drained
    Then of 2000 flows only those of the drained upstream have a new home

  Scenario: A weight gives a proportional share
    # Guards against weights that are ignored or applied twice.
    Given a placement table with weights 1 and 3
    Then of 8000 flows the second upstream is home to 75 percent within 3

  Scenario: Earlier homes have no duplicates and exclude the current home
    # Guards against claims that are sent to the flow's current home or sent twice.
    Given a placement table of 7 upstreams
    When the last upstream is drained
    Then the earlier homes of 500 flows are the drained upstream once or empty

  Scenario: Cached rankings follow the live hosts
    # Guards against a cached ranking that differs from the one other hosts compute.
    Given 30 hosts of a zone of which some join or leave 200 times
    Then the ranking of each shard always equals that of a newly started host

  Scenario: A broken invariant while a flow is opened stops the process
    # Guards against a task whose failure the event loop only logs.
    When a broken invariant is detected while a flow is being opened
    Then the process exits with the status for a broken invariant
