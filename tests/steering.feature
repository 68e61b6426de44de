Feature: Steering of packets
  Any host may get any packet of a flow, and all hosts steer it to the same upstream.

  Scenario: A tagged packet reaches its upstream through any host
    # Guards against steering that needs the memory of the host that opened the flow.
    Given steering with 7 upstreams in 3 zones
    When 200 flows are opened and each next packet comes to another host
    Then each next packet goes to the upstream that its flow was opened at

  Scenario: A leaving upstream keeps its flows and gets no new ones
    # Guards against a drain that moves or resets open flows.
    Given steering with 7 upstreams in 3 zones
    And 50 open flows
    When the upstream of the first flow starts to drain
    Then the first flow goes on at its upstream
    And none of 200 new flows goes to that upstream

  Scenario: A new configuration leaves open flows where they are
    # Guards against a weight change that moves flows.
    Given steering with 7 upstreams in 3 zones
    And 50 open flows
    When a configuration sends new flows to another service
    Then the first flow goes on at its upstream
    And a new flow goes to the other service

  Scenario Outline: No new flow reaches an upstream that must not get it
    # Guards against an opening choice that looks at the service alone.
    Given steering with 3 upstreams of which one is <fault>
    Then none of 200 new flows goes to the faulty upstream

    Examples:
      | fault            |
      | draining         |
      | gone             |
      | unreadable       |
      | of other service |
      | of a shared tag  |

  Scenario: A flow without a route is refused at once
    # Guards against clients that wait for their time-out.
    Given steering with 3 upstreams
    When a client opens a flow to an address without a route
    Then the flow is refused because of no_route

  Scenario: A host that has not heard of the store does not deny a route
    # Guards against a refusal of a route that a newer configuration has.
    Given steering with 3 upstreams
    When the configuration was last confirmed 60 seconds ago
    And a client opens a flow to an address without a route
    Then the packet is discarded because of route_uncertain

  Scenario: A view that is older than the bound of the configuration denies no route
    # Incident config-quimper. Guards against a reset of a flow to a route that was added
    # longer ago than changes may take, on a host that has not heard of it. Bound: 3 s.
    Given steering with 3 upstreams
    When the configuration was last confirmed 3.5 seconds ago
    And a client opens a flow to an address without a route
    Then the packet is discarded because of route_uncertain

  Scenario: A service without upstreams refuses at once
    # Guards against new flows that are sent to a draining or gone upstream.
    Given steering with no upstream that takes new flows
    When a client opens a flow
    Then the flow is refused because of no_upstream

  Scenario: A route falls back to its other service when one has no upstream
    # Guards against a refusal that the operators' text does not ask for.
    Given steering of a route over two services of which the larger has no upstream
    Then all of 50 new flows go to the smaller service

  Scenario: A flow of an upstream that left is refused at its next packet
    # Guards against clients that repeat into silence.
    Given steering with 3 upstreams
    And 1 open flows
    When the upstream of the first flow starts to drain
    And the upstream of the first flow leaves
    Then the next packet of the first flow is refused because of upstream_gone

  Scenario: An upstream whose entry lapses keeps the flows that it answers
    # Guards against resets of flows whose upstream lives and cannot reach the store, as
    # after a cut of its zone.
    Given steering with 3 upstreams
    And 1 open flows
    When the upstream of the first flow leaves
    Then the first flow goes on at its upstream
    And none of 200 new flows goes to that upstream

  Scenario: A lost packet ends no flow of a lapsed upstream that answers others
    # Pattern: an upstream is cut off from the store only, so that its entry lapses, and
    # serves on. Guards against a living flow that is reset because one packet got lost.
    Given steering with 1 upstreams
    And 2 open flows
    When the upstream of the first flow leaves
    And the second flow is answered
    Then the first flow goes on at its upstream
    And the same packet goes on when it is repeated
    And it is refused when it is repeated twice more

  Scenario: A flow of a lapsed upstream that does not answer is refused
    # Guards against clients that repeat into silence.
    Given steering with 3 upstreams
    And 1 open flows
    When the upstream of the first flow leaves
    Then the first flow goes on at its upstream
    And the same packet is refused when it is repeated

  Scenario: A packet with an unknown tag is not answered and asks for a listing
    # Guards against a reset of a flow whose upstream this host does not know yet.
    Given steering with 3 upstreams
    When a packet with an unknown tag comes
    Then the packet is discarded because of unknown_tag
    And a newer listing is asked for

  Scenario: A client that answers like an upstream is not heard
    # Guards against forged answers that open flows.
    Given steering with 3 upstreams
    When a client sends an opening answer
    Then the packet is discarded because of forged

  Scenario: Copies of an opening go to other upstreams
    # Guards against a dark upstream that takes all tries of a client.
    Given steering with 3 upstreams
    When a flow is opened with copies after 200 and 600 ms
    Then the three opening packets go to three upstreams

  Scenario: Copies that come at once go to one upstream
    # Guards against a flow that opens at one upstream and goes on at another.
    Given steering with 3 upstreams
    When a flow is opened with copies after 1 and 2 ms
    Then the three opening packets go to one upstream

  Scenario: A late copy of an open flow goes to the flow's upstream
    # Guards against a second upstream that opens the same flow.
    Given steering with 3 upstreams
    And 1 open flows
    When a copy of the first flow's opening comes late
    Then the copy goes to the first flow's upstream

  Scenario: No order of reads takes a configuration back
    # Guards against a late or stale read that overtakes a newer one.
    Then in any order of 12 versions the newest one so far is in force

  Scenario: Any set of upstreams has one owner for each tag
    # Guards against two upstreams that a packet's tag cannot tell apart, whatever comes
    # and goes first.
    Then in any listing each tag names one upstream, and only owners get new flows
