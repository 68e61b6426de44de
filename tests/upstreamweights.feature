Feature: Shares of upstreams that hold more requests than others
  Upstreams of three speeds get flows by what they hold, as all hosts of a zone sum it.

  Background:
    Given a zone of 26 hosts that report on 21 upstreams of 2 slots

  Scenario: An upstream that holds twice the requests of the others gets a lower share
    # Pattern: a slow upstream in a zone whose slots are half used. Guards against a
    # queue that grows there while others are idle. Bounds: 0.3 to 1, a quarter a second.
    When upstream 3 holds 3 requests and the others 1 for 20 seconds
    Then only upstream 3 has a lower weight, between 0.3 and 0.5
    And no weight has moved by more than 0.25 in any second

  Scenario: Weights stay at 1 while the zone has room
    # Pattern: low load, in which a few requests make a large difference. Guards against
    # uneven shares without need.
    When upstream 3 holds 2 requests and the others 0.2 for 20 seconds
    Then no upstream has a lower weight

  Scenario: An upstream that holds more for a moment keeps its share
    # Pattern: a few long requests meet at one upstream. Guards against weights that
    # follow chance.
    When upstream 3 holds 1 requests and the others 1 for 6 seconds
    And upstream 3 holds 4 requests and the others 1 for 0.3 seconds
    And upstream 3 holds 1 requests and the others 1 for 6 seconds
    Then no upstream has a lower weight

  Scenario: A weight returns to 1 when the upstream holds no more than others
    # Pattern: a slow upstream recovers. Guards against a reduction that outlasts its
    # cause.
    When upstream 3 holds 3 requests and the others 1 for 20 seconds
    And upstream 3 holds 0.5 requests and the others 1 for 20 seconds
    Then no upstream has a lower weight

  Scenario: A weight returns to 1 when the load of the zone falls
    # Pattern: the end of a burst. Guards against a slow upstream that keeps a low share
    # which nothing shows to be needed any more.
    When upstream 3 holds 3 requests and the others 1 for 20 seconds
    And upstream 3 holds 0.2 requests and the others 0.1 for 20 seconds
    Then no upstream has a lower weight

  Scenario: Equal upstreams keep their shares
    # Pattern: steady load with the chance of Poisson arrivals. Guards against weights
    # that wander although no upstream differs.
    When every upstream holds 1 requests by chance for 60 seconds
    Then no weight has been below 0.75

  Scenario: At most a third of a service has a lower weight
    # Pattern: many slow upstreams. Guards against a zone that sends all flows to a few.
    When 11 upstreams hold 8 requests and the others 1 for 20 seconds
    Then at most 7 upstreams have a lower weight

  Scenario: The reports of a host that is gone do not count
    # Pattern: a host loses power while it holds requests. Guards against an upstream
    # that is lowered for requests which nobody waits for.
    When upstream 3 holds 3 requests and the others 1 for 20 seconds
    And all hosts that report on upstream 3 are gone for 20 seconds
    Then no upstream has a lower weight

  Scenario: Of two shares for different reasons the lower one applies
    # Pattern: an upstream is slow and holds more than others. Guards against a higher
    # share that hides a lower one.
    When a reader hears that upstream 3 is slow and holds 3 requests, the others 1
    Then the share of upstream 3 is at most a quarter
    And the findings without zone findings hold no weight

  Scenario: Upstreams of three speeds are loaded by their speed
    # Pattern: speeds 0.6, 1.0 and 1.6, waves out of phase, six times the load of Köprü.
    # Guards against weights that are lowered for fast upstreams or leave some idle.
    When 76 hosts serve upstreams of three speeds for 13 seconds
    Then no fast upstream has ever had a lower share than 0.9
    And each upstream has taken at least a quarter of the mean

  Scenario: An upstream with a share of nearly 1 gets nearly an even part of the flows
    # Guards against a share whose first small step takes a third of the flows.
    Given steering with 10 upstreams of which the first has a share of 0.95
    When 2000 flows are opened and closed one after the other
    Then the first upstream has taken 160 to 220 of them
