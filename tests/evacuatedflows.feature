Feature: Flows while zones are evacuated
  New flows go to other zones, or are refused at once if there are none. Open flows go
  on as before.

  Scenario: New flows go to the zones that are not evacuated
    # Load pattern: clients of the evacuated zone go on opening flows. Guards against
    # the preference of a host for its own zone.
    Given steering with 7 upstreams in 3 zones
    When the zones a are evacuated
    And 200 flows are opened in turn
    Then all of them go to upstreams of zones b,c

  Scenario: Open flows stay at their upstreams throughout an evacuation
    # Guards against a reset, or a packet to another upstream, because of an evacuation.
    Given steering with 7 upstreams in 3 zones
    And 60 open flows
    When the zones a,b,c are evacuated
    Then each open flow sends 5 more packets to its upstream
    When the zones none are evacuated
    Then each open flow sends 5 more packets to its upstream

  Scenario: A host that has not seen a flow forwards it into an evacuated zone
    # Load pattern: routers move open flows to other hosts. Guards against a host that
    # takes the next packet for a new flow.
    Given steering with 7 upstreams in 3 zones
    And 60 open flows
    When the zones a,b,c are evacuated
    Then another host that knows the evacuation forwards each flow to its upstream

  Scenario: A flow is refused at once if all upstreams are in evacuated zones
    # Guards against clients that wait for an answer that cannot come.
    Given steering with 7 upstreams in 3 zones
    When the zones a,b,c are evacuated
    And a flow is opened
    Then it is refused because of zone_evacuated
    When the zones a,b are evacuated
    And a flow is opened
    Then it goes to an upstream of zone c

  Scenario: A service without upstreams is not refused because of an evacuation
    # Guards against a reason that sends operators to the wrong cause.
    Given steering with no upstream that takes new flows
    When the zones a are evacuated
    And a flow is opened
    Then it is refused because of no_upstream

  Scenario: A route over two services uses the one that is not evacuated
    # Guards against a refusal because the preferred service of a flow is evacuated.
    Given steering of a route to one service in zone a and one in zone b
    When the zones a are evacuated
    And 200 flows are opened in turn
    Then all of them go to upstreams of zones b

  Scenario: A repeated opening packet leaves the evacuated zone
    # Load pattern: opening packets are under way while the evacuation comes into force.
    # Guards against the rule that sends copies which arrive together to one upstream.
    Given steering with 7 upstreams in 3 zones
    When a flow is opened at an upstream of zone a
    And the zones a are evacuated
    And the client repeats the opening packet after 20 ms
    Then the copy is dropped because of zone_evacuated
    When the client repeats the opening packet after 200 ms
    Then it goes to an upstream of zone b or c

  Scenario: A late copy of the opening packet of an open flow is dropped
    # Guards against an opening packet to an evacuated upstream, and against a reset of
    # the flow.
    Given steering with 7 upstreams in 3 zones
    When a flow is opened at an upstream of zone a
    And the upstream answers it
    And the zones a,b,c are evacuated
    And the client repeats the opening packet after 300 ms
    Then the copy is dropped because of zone_evacuated

  Scenario: A flow that may have opened is not reset when all zones are evacuated
    # Load pattern: the answer to an opening packet is late. Guards against the reset of
    # a flow that is open by the time the reset arrives.
    Given steering with 7 upstreams in 3 zones
    When a flow is opened at an upstream of zone a
    And the zones a,b,c are evacuated
    And the client repeats the opening packet after 200 ms
    Then the copy is dropped because of zone_evacuated

  Scenario: Entries tell when the evacuation of their zone ended
    # The upstreams of a zone come back at once and may be cold, so that other modules
    # have to know. Guards against a time that a later evacuation leaves behind.
    Given steering with 7 upstreams in 3 zones
    When the zones a,b are evacuated
    And the zones b are evacuated
    Then the evacuation of zone a ended now, and no other
    When the zones a,b are evacuated
    Then no evacuation has ended

  Scenario: A new upstream of an evacuated zone gets no flows
    # Load pattern: upstreams start in the zone during its evacuation. Guards against a
    # mark that only known entries have.
    Given steering with 7 upstreams in 3 zones
    When the zones a are evacuated
    And an upstream of zone a is added and one of zone b moves to zone a
    And 200 flows are opened in turn
    Then all of them go to upstreams of zones b,c
    And the upstreams that were added or moved get none

  Scenario: One read and one watch bring configuration and evacuations
    # Guards against calls of their own, and against keys that are taken for others.
    Given a stand-in store with 60 evacuated zones and other keys of operators
    And a store client that applies evacuations
    When the store client reads the configuration
    Then it has configuration 1 and 60 evacuated zones
    And the keys that name no zone are reported
    And the calls were
      | call                                              |
      | /kv-range?prefix=op/                              |
      | /kv-range?prefix=op/&after=op/evacuate/zone-045   |
    When zone-007 is withdrawn, evacuated and withdrawn, and configuration 2 is written
    Then a watch returns configuration 2 and these changes
      | zone     | is_evacuated |
      | zone-007 | no           |
      | zone-007 | yes          |
      | zone-007 | no           |
    And the last call was a watch of op/ after the revision of the read

  Scenario: Keys of other programs do not end the pages
    # Guards against a key that cannot stand in a URL as it is.
    Given a stand-in store with 60 keys of operators that hold spaces and signs
    And a store client that applies evacuations
    When the store client reads the configuration
    Then it has configuration 1 and 0 evacuated zones

  Scenario: An unreadable configuration does not hide the evacuations
    # Guards against a fault of the configuration that keeps a zone in use.
    Given a stand-in store with 1 evacuated zones and other keys of operators
    And a configuration that cannot be read
    And a store client that applies evacuations
    When the store client reads the configuration
    Then the configuration is invalid, and 1 zones are evacuated

  Scenario: Without the setting the calls are what they were
    # Guards against changes for deployments that evacuate no zones.
    Given a stand-in store with 60 evacuated zones and other keys of operators
    And a store client that applies no evacuations
    When the store client reads the configuration
    And the store client watches after revision 9 for 1.5 seconds
    Then the answers tell no evacuations
    And the calls were
      | call                                             |
      | /kv-key?key=op/config                            |
      | /kv-watch?prefix=op/config&after=9&wait_ms=1500  |

  Scenario: A host process evacuates a zone, tells the operator, and takes it back
    # Guards against parts that work alone but not together.
    Given a stand-in store and a host process that applies evacuations
    When the host is ready
    Then the log has a line evacuations_applied zones=""
    And an opening packet is forwarded to the upstream with its number and a tag
    When the zone of the upstream is evacuated
    Then the log has a line evacuations_applied zones=zone-a
    And an opening packet is refused
    And a packet with that tag is forwarded to the upstream
    And a refusal because of zone_evacuated is logged with the zones zone-a
    And the status page, the metrics and beliefs show that zone-a is evacuated
    And the command explain names zone_evacuated for the refused flow
    When the evacuation of the zone of the upstream is withdrawn
    Then the metrics show 0 evacuated zones
    And an opening packet is forwarded to the upstream with its number and a tag
