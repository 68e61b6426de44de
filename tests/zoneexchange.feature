Feature: Exchange of loads between hosts and zones
  What the hosts of one zone measure reaches all hosts, and is counted once.

  Background:
    Given 12 hosts in 3 zones that share findings

  Scenario: Loads that one zone measures reach every host within 1.8 seconds
    # Pattern: the demand changes at one moment. Guards against a hop that waits for more
    # than one interval. Bound: three intervals of 0.6 s.
    When every host holds 2 requests in its zone and 1 in the next, for 1.8 seconds
    Then every host knows the requests of 4 hosts of each zone
    And no request has been counted twice

  Scenario: Rates count each answer once
    # Pattern: steady load. Guards against reports that are summed on every hop. Bound: a
    # window of 3 s holds reports of at most 3.6 s.
    When every host holds 2 requests in its zone and 1 in the next, for 6 seconds
    Then no host knows more than 1.2 times the answers of a zone

  Scenario: Requests that have ended are no longer counted after 1.8 seconds
    # Pattern: the end of a burst. Guards against loads that outlast their requests.
    When every host holds 2 requests in its zone and 1 in the next, for 5 seconds
    And all requests end and 1.8 seconds of sharing pass
    Then every host knows the requests of 0 hosts of each zone

  Scenario: A host that reads by itself counts only its own requests
    # Pattern: one host is cut off from all others. Guards against loads of others that
    # it keeps, and against its own in the sums of its zone.
    When a host of the first zone is cut off from all other hosts
    And every host holds 2 requests in its zone and 1 in the next, for 8 seconds
    Then that host knows only its own requests
    And every other host knows the requests of 3 hosts of the first zone
    And no request has been counted twice

  Scenario: The next host sums up when a reader is dead
    # Pattern: the readers of all zones lose power. Guards against loads that stay with a
    # reader, and against reports that two readers both count.
    When every host holds 2 requests in its zone and 1 in the next, for 5 seconds
    And the readers lose power
    And the live hosts hold their requests for 6 more seconds
    Then every live host knows the requests of 3 hosts of each zone
    And no request has been counted twice

  Scenario: Loads of a zone that is cut off expire
    # Pattern: the first zone is cut off from the others. Guards against decisions about
    # a zone that nobody has heard of for 3 s. Bound: 3 s, and 0.6 s to the followers.
    When every host holds 2 requests in its zone and 1 in the next, for 5 seconds
    And the first zone is partitioned from the other hosts
    And the live hosts hold their requests for 3.6 more seconds
    Then the hosts of the first zone know loads of that zone only
    And the hosts of the other zones know loads of the other zones only
    And no request has been counted twice

  Scenario: Loads go on to be shared while the store is lost
    # Pattern: the store answers nobody. Guards against zones that know nothing of each
    # other in the outage, and against hosts that apply the sums of a host to which only
    # they have reported.
    When every host holds 2 requests in its zone and 1 in the next, for 5 seconds
    And the store answers no host
    And the live hosts hold their requests for 10 more seconds
    Then every host knows the requests of 4 hosts of each zone
    And every host has known them for the last 6 seconds
    And no request has been counted twice

  Scenario: A zone without load differs from one that is cut off
    # Pattern: all clients of a zone have moved away. Guards against an idle zone that
    # gets no overflow because it reports nothing.
    When 2 seconds of sharing pass
    Then every host knows a load of 0 of each zone
