Feature: What must always hold, in single cases
  Hosts, fabric, upstreams and callers run as in the random runs of promises.feature.

  Scenario: A drained upstream gets no new flow after 3 seconds, store away
    # Guards against hosts that go on opening flows on a leaving upstream.
    Given a fleet with callers that open a new flow every 20 milliseconds
    When an upstream is drained and the store goes away at once
    Then no new flow reached the drained upstream later than 3 seconds after

  Scenario: Hosts that hear late of a drain break no flow and refuse nothing
    # Guards against two hosts that place one flow by different tables.
    Given a fleet with 150 open price flows
    When an upstream is drained and three hosts hear of the revision 8 seconds late
    Then every price flow stayed on its upstream
    And every request of the price flows was answered

  Scenario: Hosts that cannot take a drain for a while break no flow
    # Guards against a new flow that is opened at two upstreams. Requests that bounce
    # between hosts of different revisions may get an unknown outcome.
    Given a fleet with 150 open price flows
    When an upstream is drained and three hosts can take the revision 8 seconds late
    Then every price flow stayed on its upstream

  Scenario: A stop under load cuts no request in progress
    # Guards against a host that exits while upstreams still work for it.
    Given a fleet with 150 open price flows
    When all upstreams run at a tenth of their speed and the busiest host stops
    Then every request in progress at the stop got its whole answer

  Scenario: A quote that runs longer than a lease is answered
    # Guards against a time limit of the lease on requests whose lease is renewed.
    Given a fleet with a deadline of 20 seconds and 12 quotes at once
    When each quote takes about 4 seconds at its upstream
    Then every slow quote was answered once

  Scenario: A dead upstream's flows are told so and placed anew
    # Guards against flows moved silently, and against quotes run again elsewhere.
    Given a fleet with 150 open price flows
    When an upstream dies in the middle of its quotes
    Then callers of lost flows were told before another upstream served them
    And no quote ran twice

  Scenario: A cut-off zone serves what it can reach
    # Guards against a zone that stops because others are unreachable.
    Given a fleet with 150 open price flows
    When a zone is cut off from the others and the store for 25 seconds
    Then requests for upstreams on the caller's side were all answered
    And after the cut every request is answered again

  Scenario: A revision is in force on all hosts and never goes down
    # Guards against reverting to older data of a restored store, and slow spreading.
    Given a fleet with callers that open a new flow every 20 milliseconds
    When texts are submitted while datagrams are lost and the store goes back
    Then each revision was in force on every host within 15 seconds
    And no host's revision ever went down

  Scenario Outline: Two services exchange their addresses
    # Guards against pins and flow records that lead a caller to the service that had
    # the address before, and against a host that stops because of them.
    Given a fleet with two <mode> services and 60 flows
    When the two services exchange their addresses
    Then every host still runs, and datagrams reach the service that has the address

    Examples:
      | mode   |
      | coap   |
      | opaque |

  Scenario: An opaque flow goes straight to its upstream and survives a drain
    # Guards against opaque flows that change their upstream with the table.
    Given a fleet with an opaque service and 60 opaque flows
    When one of the opaque upstreams is drained and a host restarts
    Then every opaque flow kept its upstream and new ones avoid the drained one
