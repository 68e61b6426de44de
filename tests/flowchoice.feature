Feature: Selection of an upstream for a new flow
  New flows are balanced, stay in the host's zone and avoid unresponsive upstreams.

  Scenario: Hosts that exchange no load counts balance flows evenly
    # Pattern: steady load. Guards against imbalance as with a plain hash, whose
    # busiest upstream has about 1.2 times the mean.
    Given 15 steering hosts in 3 zones with 2 upstreams each
    When each host opens 20 flows, one every 500 ms
    Then the busiest upstream has at most 1.10 times the mean of open flows

  Scenario: Flows stay in their zone under steady load
    # Pattern: steady load before a zone is cut off. Guards against cross-zone flows,
    # which a partition between zones breaks.
    Given 15 steering hosts in 3 zones with 2 upstreams each
    When each host opens 20 flows, one every 500 ms
    Then no flow leaves its zone

  Scenario: All zones share a burst of reconnecting clients
    # Pattern: all clients reconnect after all hosts lost power. Guards against a small
    # zone that is overloaded while others have free slots.
    Given 9 steering hosts in 3 zones, with 4 upstreams in the first and 1 in the others
    When each host opens 30 flows within 200 ms
    Then no upstream gets more than 1.5 times the mean of new flows

  Scenario: Flows stay in their zone again after a burst
    # Pattern: the seconds after a burst. Guards against cross-zone flows after its end.
    Given 9 steering hosts in 3 zones, with 4 upstreams in the first and 1 in the others
    When each host opens 30 flows within 200 ms
    And 5 seconds pass without new flows
    Then the next flow of each host stays in its zone

  Scenario: A cold upstream gets fewer flows
    # Pattern: a rolling release, in which each new upstream starts slow. Guards against
    # its overload, since it has the fewest open flows.
    Given 1 steering hosts in 1 zones with 4 upstreams each, one of them cold
    When each host opens 36 flows, one every 500 ms
    Then the cold upstream has between 5 and 8 flows

  Scenario: An unresponsive upstream delays few flows
    # Pattern: an upstream stops answering and stays listed. Guards against new flows
    # that each wait 200 ms for a retransmission until its entry expires.
    Given 1 steering hosts in 1 zones with 3 upstreams each, one of them unresponsive
    When the clients of each host open 60 flows, one every 50 ms
    Then at most 5 flows need a retransmission

  Scenario: A partitioned zone delays few flows
    # Pattern: a zone is partitioned; its upstreams stay listed for seconds. Guards
    # against the same delay.
    Given 1 steering hosts in 2 zones with 2 upstreams each, whose own zone is silent
    When the clients of each host open 60 flows, one every 50 ms
    Then at most 10 flows need a retransmission

  Scenario: An upstream that answers again returns in slow start
    # Guards against a burst of flows to an upstream that has just recovered.
    Given 1 steering hosts in 1 zones with 3 upstreams each, one of them unresponsive
    When the clients of each host open 60 flows, one every 50 ms
    And the unresponsive upstream answers again
    Then it takes less than its share of the next 20 flows, and more than none

  Scenario: A host that suspects all upstreams still forwards to them
    # Guards against a host that refuses a whole service because its own link is down.
    Given 1 steering hosts in 1 zones with 3 upstreams each, all of them unresponsive
    When the clients of each host open 60 flows, one every 50 ms
    Then every opening packet was sent to some upstream

  Scenario: One lost packet of an open flow makes no upstream suspect
    # Guards against ejection of upstreams for occasional packet loss.
    Given 1 steering hosts in 1 zones with 3 upstreams each
    When a packet of an open flow is repeated once
    Then no upstream is suspected

  Scenario: Retransmissions of several flows make an upstream suspect
    # Pattern: an upstream with open flows stops answering.
    Given 1 steering hosts in 1 zones with 1 upstreams each
    When packets of 2 open flows are repeated once
    Then its upstream is suspected

  Scenario: Retransmissions do not make an upstream suspect that answers other flows
    # Guards against ejection of a live upstream.
    Given 1 steering hosts in 1 zones with 1 upstreams each
    When packets of 3 open flows are repeated while another flow gets answers
    Then no upstream is suspected

  Scenario: An upstream that resets new flows fails few clients
    # Pattern: an upstream has crashed and its address answers each opening with a
    # reset, which no host sees; clients retry at once, through other hosts. Guards
    # against clients that use up their retries there until its entry expires.
    Given 7 steering hosts in 1 zones with 3 upstreams each
    When one upstream resets all new flows
    And 70 clients open flows, one every 30 ms, each with 3 tries
    Then at most 10 clients fail

  Scenario: The cost of a selection does not grow with the service
    # Pattern: growth. Guards against comparing all upstreams for each new flow.
    Given 1 steering hosts in 1 zones with 1600 upstreams each
    When each host opens 4000 flows, one every 5 ms
    Then the busiest upstream has at most 3 times the mean of open flows
    And no flow was compared with more than 24 upstreams

  Scenario: Suspects in another zone get no trial while the own zone serves
    # Pattern: a zone is partitioned. Guards against flows that are lost as trials.
    Given 1 steering hosts in 2 zones with 2 upstreams each
    When the upstreams of the other zone are suspects
    And the clients of each host open 60 flows, one every 100 ms
    Then no flow is a trial

  Scenario: Suspects in another zone are used again in a later burst
    # Pattern: a partition of a zone heals, then many clients reconnect at once. Guards
    # against permanent suspicion, since steady load sends no trials to other zones.
    Given 1 steering hosts in 2 zones with 2 upstreams each
    When the upstreams of the other zone are suspects
    And 10 seconds pass without new flows
    And each host opens 60 flows within 300 ms
    Then the other zone takes at least 7 new flows

  Scenario: A hung upstream that still accepts flows gets few of them
    # Pattern: upstreams that hang but pass health checks. Guards against selection by
    # least connections alone: clients leave such an upstream, so it has the fewest.
    Given 1 steering hosts in 1 zones with 3 upstreams each
    When one upstream answers no request
    And clients make 90 requests, one every 100 ms, and leave after 1200 ms
    Then the hung upstream gets at most 15 of them

  Scenario: A slow answer does not make an upstream suspect that answers others
    # Guards against ejection of an upstream for one long request.
    Given 1 steering hosts in 1 zones with 3 upstreams each
    When one request takes 5 seconds and others are answered
    Then no upstream is suspected
