Feature: Detection of slow upstreams by zone
  One host has too few samples of an upstream; the aggregate of its zone has enough.

  Background:
    Given a zone of 39 hosts with 29 upstreams of a service

  Scenario: An upstream that becomes slow gets a reduced share
    # Upstreams become slow without failing. A host sees one request to an upstream in
    # five seconds, the zone sees eight in a second.
    When upstream 3 takes 300 ms, the others 40 ms, for 3 seconds
    Then only upstream 3 has a reduced share
    And its share is between a sixteenth and a quarter

  Scenario: An upstream that answers no request gets a reduced share
    # Upstreams stop answering while their entries are still listed.
    When upstream 3 answers nothing, the others in 40 ms, for 3 seconds
    Then only upstream 3 has a reduced share

  Scenario: The share of an upstream that has recovered is restored
    # Guards against a reduction that outlasts its cause.
    When upstream 3 takes 300 ms, the others 40 ms, for 3 seconds
    And upstream 3 takes 40 ms, the others 40 ms, for 4 seconds
    Then no upstream has a reduced share

  Scenario: No share is reduced if the whole service is slow
    # A burst of requests fills every queue.
    When upstream 3 takes 700 ms, the others 700 ms, for 3 seconds
    Then no upstream has a reduced share

  Scenario: The shares of at most a third of a service are reduced
    # Guards against a zone that sends all new flows to the few remaining upstreams.
    When 13 upstreams take 300 ms, the others 40 ms, for 3 seconds
    Then at least 1 and at most 9 upstreams have a reduced share

  Scenario: Reports of a host that is slow itself are ignored
    # A host's processor or link is slow, so that all its requests wait.
    When all take 40 ms for 3 seconds, but 5 hosts measure 600 ms for every upstream
    Then no upstream has a reduced share

  Scenario: A few hosts with wrong reports reduce no share
    # Guards against two hosts that outweigh all others by the number of their samples.
    When all take 40 ms for 3 seconds, 2 hosts report 1000 slow answers of upstream 3
    Then no upstream has a reduced share

  Scenario: Fast upstreams of different speed keep their shares
    # 60 ms is four times 15 ms, but fast enough for every request.
    When upstream 3 takes 60 ms, the others 10 ms, for 3 seconds
    Then no upstream has a reduced share

  Scenario: Reduced shares expire unless they are renewed
    # The reader dies, or this host is partitioned from it.
    When upstream 3 takes 300 ms, the others 40 ms, for 3 seconds
    And a host applies the shares, and 2.5 seconds pass
    Then upstream 3 has its full share on that host

  Scenario: Latency reports of followers reach their whole zone through its reader
    # Guards against reports that are lost on the way or counted in another zone.
    Given 12 sharing hosts in 3 zones that know one seed
    When 10 seconds of sharing pass
    And the hosts of the first zone measure a slow upstream for 4 seconds
    Then every host of the first zone reduces its share
    And no other host does

  Scenario: An upstream with a reduced share still gets some new flows
    # Guards against a full ejection, and against a zone whose hosts all avoid an
    # upstream at the same moment.
    Given steering with 10 upstreams of which the first has an eighth of its share
    When 400 flows are opened one after the other
    Then the first upstream gets between 1 and 15 of them
