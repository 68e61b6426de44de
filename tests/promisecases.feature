Feature: Guarantees of the cluster in single cases
  Hosts, fabric, upstreams and callers run as in the random runs of promises.feature.

  Scenario: A drained upstream gets no new flow after 3 seconds without the store
    # Guards against hosts that continue to open flows on a drained upstream.
    Given a fleet with callers that open a new flow every 20 milliseconds
    When an upstream is drained and the store fails right after
    Then no new flow reached the drained upstream more than 3 seconds later

  Scenario: Hosts that learn late of a drain break no flow and refuse no request
    # Guards against two hosts that place the same flow by different tables.
    Given a fleet with 150 open price flows
    When an upstream is drained and three hosts learn of the revision 8 seconds late
    Then every price flow stayed on its upstream
    And every request of the price flows was answered

  Scenario: Hosts that apply a drain late break no flow
    # Guards against a new flow that is opened on two upstreams. Requests that are
    # relayed back and forth between hosts of different revisions may get an unknown
    # outcome.
    Given a fleet with 150 open price flows
    When an upstream is drained and three hosts apply the revision 8 seconds late
    Then every price flow stayed on its upstream

  Scenario: A stop under load breaks no request in progress
    # Guards against a host that exits before the answers to its requests have arrived.
    Given a fleet with 150 open price flows
    When all upstreams run at a tenth of their speed and the busiest host stops
    Then every request in progress at the stop got its whole answer

  Scenario: A quote that runs longer than a lease is answered
    # Guards against a request that is ended at the expiry of a lease that was renewed.
    Given a fleet with a deadline of 20 seconds and 12 quotes at once
    When each quote takes about 4 seconds at its upstream
    Then every slow quote was answered once

  Scenario: The loss of a dead upstream's flows is reported before they are reassigned
    # Guards against flows that change their upstream without notice to the caller, and
    # against quotes that run again on another upstream.
    Given a fleet with 150 open price flows
    When an upstream dies while it serves quotes
    Then callers of lost flows got an error before another upstream served them
    And no quote ran twice

  Scenario: A partitioned zone serves the upstreams that it reaches
    # Guards against a zone that stops serving because other zones are unreachable.
    Given a fleet with 150 open price flows
    When a zone is partitioned from the others and the store for 25 seconds
    Then requests for upstreams on the caller's side were all answered
    And after the partition every request is answered again

  Scenario: A revision is in force on all hosts and never goes down
    # Guards against a return to older data of a restored store, and against slow
    # propagation.
    Given a fleet with callers that open a new flow every 20 milliseconds
    When configurations are submitted while datagrams are lost and the store goes back
    Then each revision was in force on every host within 15 seconds
    And no host's revision ever went down

  Scenario Outline: Two services exchange their addresses
    # Guards against pins and flow records that route a caller to the former service of
    # the address, and against a broken invariant that stops a host.
    Given a fleet with two <mode> services and 60 flows
    When the two services exchange their addresses
    Then every host still runs, and datagrams reach the present service of the address

    Examples:
      | mode   |
      | coap   |
      | opaque |

  Scenario: An opaque flow goes straight to its upstream and survives a drain
    # Guards against opaque flows that change their upstream with the placement table.
    Given a fleet with an opaque service and 60 opaque flows
    When one of the opaque upstreams is drained and a host restarts
    Then every opaque flow kept its upstream and new ones avoid the drained one
