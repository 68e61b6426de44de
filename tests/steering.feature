Feature: Packet steering
  Any packet of a flow may reach any host, and all hosts steer it to the same upstream.

  Scenario: A tagged packet reaches its upstream through any host
    # Guards against steering that needs flow state of the host that opened the flow.
    Given steering with 7 upstreams in 3 zones
    When 200 flows are opened and each next packet reaches another host
    Then each next packet goes to the upstream that opened its flow

  Scenario: A draining upstream keeps its flows and gets no new ones
    # Guards against connection draining that moves or resets open flows.
    Given steering with 7 upstreams in 3 zones
    And 50 open flows
    When the upstream of the first flow starts draining
    Then the first flow continues at its upstream
    And none of 200 new flows goes to that upstream

  Scenario: A new configuration does not move open flows
    # Guards against a change of weights that moves flows.
    Given steering with 7 upstreams in 3 zones
    And 50 open flows
    When a new configuration routes new flows to another service
    Then the first flow continues at its upstream
    And a new flow goes to the other service

  Scenario Outline: No new flow reaches an ineligible upstream
    # Guards against a selection that checks the service only.
    Given steering with 3 upstreams of which one is <fault>
    Then none of 200 new flows goes to the ineligible upstream

    Examples:
      | fault            |
      | draining         |
      | gone             |
      | unreadable       |
      | of other service |
      | of a shared tag  |

  Scenario: A flow without a route is refused at once
    # Guards against clients that wait for their timeout.
    Given steering with 3 upstreams
    When a client opens a flow to an address without a route
    Then the flow is refused because of no_route

  Scenario: A host without contact to the store refuses no flow for lack of a route
    # Guards against a reset of a flow whose route is in a newer configuration.
    Given steering with 3 upstreams
    When the configuration was last confirmed 60 seconds ago
    And a client opens a flow to an address without a route
    Then the packet is dropped because of route_uncertain

  Scenario: A view older than the configuration bound refuses no flow for its route
    # Incident config-quimper. Guards against a reset of a flow to a route that was
    # added longer ago than the bound, on a host that has not received it. Bound: 3 s.
    Given steering with 3 upstreams
    When the configuration was last confirmed 3.5 seconds ago
    And a client opens a flow to an address without a route
    Then the packet is dropped because of route_uncertain

  Scenario: A flow to a service without eligible upstreams is refused at once
    # Guards against new flows that are forwarded to a draining or gone upstream.
    Given steering with no upstream that takes new flows
    When a client opens a flow
    Then the flow is refused because of no_upstream

  Scenario: A route falls back to its other service when one has no upstream
    # Guards against a refusal although the route's configuration names another service.
    Given steering of a route over two services of which the larger has no upstream
    Then all of 50 new flows go to the smaller service

  Scenario: A flow of a drained upstream that left is refused at its next packet
    # Guards against clients that retransmit until their timeout.
    Given steering with 3 upstreams
    And 1 open flows
    When the upstream of the first flow starts draining
    And the upstream of the first flow leaves the listing
    Then the next packet of the first flow is refused because of upstream_gone

  Scenario Outline: A draining upstream whose entry is lost keeps its flows
    # Incident store-restored. A restored store may lack the entry of an upstream that
    # drains and still serves. Guards against a missing entry that is taken for the
    # upstream's end, so that its open flows are reset.
    Given steering with 3 upstreams
    And 1 open flows
    When the upstream of the first flow starts draining
    And <loss>
    And 3 seconds pass and the listing is confirmed
    And 1 seconds later the first flow sends a request
    Then the request is forwarded
    When it is retransmitted 200 ms later
    Then the request is forwarded
    When it is retransmitted 400 ms later
    Then the request is refused for 2 repeats

    Examples:
      | loss                                                  |
      | the store is restored to a copy without that upstream |
      | that upstream leaves, and the store is restored       |
      | the store is lost, and that upstream is not listed    |

  Scenario: An upstream whose entry expires keeps the flows that it answers
    # Guards against resets of flows whose upstream is alive but cannot reach the store,
    # as after a partition of its zone.
    Given steering with 3 upstreams
    And 1 open flows
    When the upstream of the first flow leaves the listing
    Then the first flow continues at its upstream
    And none of 200 new flows goes to that upstream

  Scenario: A lost packet ends no flow of an expired upstream that answers others
    # Pattern: an upstream is partitioned from the store only, so that its entry expires
    # while it still serves. Guards against a reset of a live flow for one lost packet.
    Given steering with 1 upstreams
    And 2 open flows
    When the upstream of the first flow leaves the listing
    And the second flow is answered
    Then the first flow continues at its upstream
    And the same packet is forwarded when it is retransmitted
    And it is refused when it is retransmitted twice more

  Scenario: One lost packet ends no flow of an expired upstream without other traffic
    # Incident store-restored. The entry of an upstream that serves may be missing for
    # long. Guards against a reset of a live flow for one lost packet, and against
    # clients that retransmit until their timeout.
    Given steering with 3 upstreams
    And 1 open flows
    When the upstream of the first flow leaves the listing
    And 5 seconds later the first flow sends a request
    Then the request is forwarded
    When it is retransmitted 200 ms later
    Then the request is forwarded
    When it is retransmitted 400 ms later
    Then the request is refused for 2 repeats

  Scenario: A flow of an expired upstream that answers none of its flows is refused
    # Guards against clients that retransmit until their timeout.
    Given steering with 1 upstreams
    And 2 open flows
    When the upstream of the first flow leaves the listing
    And the second flow retransmits a packet
    And 1 seconds later the first flow sends a request
    Then the request is forwarded
    When it is retransmitted 200 ms later
    Then the request is refused for 1 repeats

  Scenario: The next request of a flow is not a retransmission
    # Incident store-restored. Clients acknowledge an answer in a packet of its own, and
    # the next request has the same sequence number. Guards against a reset of a live
    # flow, and a request that no response time is measured for.
    Given steering with 1 upstreams
    And 1 open flows
    When the first flow's answer is acknowledged without data
    And the upstream of the first flow leaves the listing
    And 2 seconds later the first flow sends its next request
    Then the request is forwarded
    And no retransmission has counted against the upstream
    And the time of its answer is recorded

  Scenario: A packet with an unknown tag is dropped and triggers a listing
    # Guards against a reset of a flow whose upstream this host does not know yet.
    Given steering with 3 upstreams
    When a packet with an unknown tag arrives
    Then the packet is dropped because of unknown_tag
    And a newer listing is requested

  Scenario: A packet that only upstreams send is dropped if a client sends it
    # Guards against forged answers that open flows.
    Given steering with 3 upstreams
    When a client sends an answer to an opening packet
    Then the packet is dropped because of forged

  Scenario: Retransmissions of an opening packet go to other upstreams
    # Guards against an unresponsive upstream that gets all attempts of a client.
    Given steering with 3 upstreams
    When a flow is opened with retransmissions after 200 and 600 ms
    Then the three opening packets go to three upstreams

  Scenario: Retransmissions that arrive back to back go to one upstream
    # Guards against a flow that opens at one upstream and continues at another.
    Given steering with 3 upstreams
    When a flow is opened with retransmissions after 1 and 2 ms
    Then the three opening packets go to one upstream

  Scenario: A late retransmission of an open flow's opening goes to the flow's upstream
    # Guards against a second upstream that opens the same flow.
    Given steering with 3 upstreams
    And 1 open flows
    When the first flow's opening packet is retransmitted late
    Then the retransmission goes to the first flow's upstream

  Scenario: No order of reads rolls a configuration back
    # Guards against a late or stale read that replaces a newer one.
    Then in any order of 12 versions the newest one so far is applied

  Scenario: Each tag has one owner in any set of upstreams
    # Guards against tag collisions that make two upstreams indistinguishable, in any
    # order of additions and removals.
    Then in any listing each tag identifies one upstream, and only owners get new flows
