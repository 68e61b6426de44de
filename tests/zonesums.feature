Feature: What the hosts of a zone see together
  Each host sees too little of an upstream to judge it; their sum shows a slow one.

  Background:
    Given a zone of 39 hosts before 29 upstreams of a service

  Scenario: An upstream that turns slow gets a part of its share
    # Pattern: upstreams turn slow without ever going down. A host sees a request of one
    # upstream in five seconds, the zone sees eight in a second.
    When upstream 3 takes 300 ms, the others 40 ms, for 3 seconds
    Then only upstream 3 is to get less than its share
    And it keeps at least a sixteenth of it

  Scenario: An upstream that answers nobody gets least
    # Pattern: upstreams fall silent with their entries still listed.
    When upstream 3 answers nothing, the others in 40 ms, for 3 seconds
    Then only upstream 3 is to get less than its share

  Scenario: An upstream that is well again gets its share back
    # Guards against a belief that outlives its cause.
    When upstream 3 takes 300 ms, the others 40 ms, for 3 seconds
    And upstream 3 takes 40 ms, the others 40 ms, for 4 seconds
    Then no upstream is to get less than its share

  Scenario: A service that is slow as a whole is nobody's fault
    # Pattern: a wave of requests fills every queue.
    When upstream 3 takes 700 ms, the others 700 ms, for 3 seconds
    Then no upstream is to get less than its share

  Scenario: At most a third of a service is left out
    # Guards against a zone that turns to the few upstreams that are left.
    When 13 upstreams take 300 ms, the others 40 ms, for 3 seconds
    Then at most 9 upstreams are to get less than their share

  Scenario: A host that is slow itself does not judge
    # Pattern: a host's processor or link is slow, so that all its requests wait.
    When all is well for 3 seconds, but for 5 hosts that see 600 ms everywhere
    Then no upstream is to get less than its share

  Scenario: A few hosts that report nonsense move nothing
    # Guards against two hosts that shout.
    When all is well for 3 seconds, and 2 hosts report 1000 slow requests of upstream 3
    Then no upstream is to get less than its share

  Scenario: Quick upstreams of different speed are left alone
    # 60 ms are four times as long as 15 ms, and in time for every request.
    When upstream 3 takes 60 ms, the others 10 ms, for 3 seconds
    Then no upstream is to get less than its share

  Scenario: Shares that nobody renews run out
    # Pattern: the reader dies, or this host is cut off from it.
    When upstream 3 takes 300 ms, the others 40 ms, for 3 seconds
    And a host hears the shares, and 2.5 seconds pass
    Then that host gives upstream 3 its whole share

  Scenario: What followers see reaches all of their zone through its reader
    # Guards against reports that are lost on the way, or counted for another zone.
    Given 12 sharing hosts in 3 zones that know one seed
    When 10 seconds of sharing pass
    And the hosts of the first zone see a slow upstream for 4 seconds
    Then each host of the first zone gives it less than its share
    And no other host does

  Scenario: A lowered share lets some new flows through
    # Guards against a ban, and against a zone that turns away at one moment.
    Given steering with 10 upstreams of which the first has an eighth of its share
    When 400 flows are opened one after the other
    Then the first upstream gets between 1 and 15 of them
