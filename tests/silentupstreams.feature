Feature: Upstreams that stop responding while flows are open
  The hosts of a zone find out together that an upstream is silent, and reset the flows
  whose requests may be repeated. A reset of a living upstream's flow is the worse error.

  Scenario: An upstream that vanishes is called silent soon
    # Open flows wait until their deadline. 13 requests a second reach the upstream over
    # 40 hosts, on flows of 2.4 requests; the target is about 1.2 s.
    When upstream 1 vanishes in zones of 20 seeds with 2.4 requests a flow
    Then it alone is called silent, after 1.4 seconds in half of the zones
    And no flow of another upstream was reset

  Scenario: An upstream with longer flows is called silent as soon
    # As above, but fewer opening packets reach it.
    When upstream 1 vanishes in zones of 20 seeds with 8 requests a flow
    Then it alone is called silent, after 1.4 seconds in half of the zones
    And no flow of another upstream was reset

  Scenario: An upstream whose flows all stay open is called silent later
    # Hardly any opening packet reaches it, so that more requests have to be unanswered.
    When upstream 1 vanishes in zones of 5 seeds with 1000 requests a flow
    Then it alone is called silent, within 3 seconds in each zone

  Scenario: An upstream with flows of one request each is called silent too
    # Its openings fail, and few requests are pending on open flows. A tenth of the
    # reports is lost, delayed or repeated.
    When upstream 1 vanishes in 8 zones with mixed flows and an unreliable exchange
    Then it alone is called silent, within 5 seconds in each zone
    And no flow of another upstream was reset

  Scenario Outline: A living upstream is never called silent: <case>
    # Its flows would be reset although it answers them. 13 requests a second reach it.
    When upstream 1 is <case> for 8 seconds, in zones of 3 different seeds
    Then no upstream is called silent
    And no flow was reset

    Examples:
      | case                            |
      | overloaded                      |
      | slow                            |
      | slow with a long queue          |
      | partly mute                     |
      | serving only long requests      |
      | long with a long queue          |
      | at its connection limit         |
      | draining                        |
      | restarted under the same id     |
      | idle                            |
      | frozen for half a second        |

  Scenario: An upstream that restarts and ignores its former flows is not silent
    # It answers nothing for 0.7 s, so that only its new flows tell that it lives.
    When upstream 1 is restarted and mute to its former flows, in 4 zones
    Then no upstream is called silent

  Scenario Outline: Reports that are late, lost or repeated call no upstream silent: <case>
    # A fifth of the reports is lost, a fifth delayed by up to 0.5 s, a fifth repeated.
    When upstream 1 is <case>, reports are unreliable, in 3 different zones
    Then no upstream is called silent
    And no flow was reset

    Examples:
      | case                        |
      | overloaded                  |
      | slow with a long queue      |
      | partly mute                 |
      | long with a long queue      |
      | restarted under the same id |

  Scenario Outline: Trouble of hosts calls no upstream silent: <case>
    # What hosts do not see looks like silence of the upstreams.
    When <case>, in zones of 3 different seeds
    Then no upstream is called silent
    And no flow was reset

    Examples:
      | case                                           |
      | half of the hosts are paused                   |
      | the reader is paused                           |
      | a third of the hosts reach no upstream         |
      | no host reaches an upstream any more           |
      | half of the hosts do not reach the reader      |
      | all hosts are restarted one after the other    |

  Scenario: More than half of the upstreams cannot be silent
    # A fault of the network between the hosts and a part of the zone.
    When 11 of 20 upstreams vanish at slightly different times
    Then no upstream is called silent

  Scenario: A quarter of the upstreams vanishes at once
    # A rack loses its power.
    When 5 of 20 upstreams vanish at once
    Then all 5 are called silent within 5 seconds, and no other

  Scenario: An upstream that answers again is no longer silent
    # A switch drops the packets of an upstream for 4 s. Without new evidence it must not
    # be called silent again.
    When upstream 1 vanishes for 4 seconds and then answers again
    Then the verdict ends because of progress within 2 seconds
    And it is not called silent again in 5 seconds

  Scenario: A silent upstream gets one trial a second from the whole zone
    # Each host tried it alone before, and each trial delays a flow by 200 ms.
    When upstream 1 vanishes and its verdict reaches all hosts
    Then it gets between 3 and 6 opening packets in the next 5 seconds

  Scenario: The next reader judges too
    # The reader dies together with an upstream.
    When upstream 1 vanishes and another host reads 2 seconds later
    Then upstream 1 alone is called silent within 4 more seconds

  Scenario: Nothing is judged unless the deployment asks for it
    # Guards the deployments whose upstreams' statements are trusted.
    When upstream 1 vanishes in a zone that does not use findings
    Then no upstream is called silent
    And no flow was reset

  Scenario: Resets let clients repeat their requests in time
    # 15 of 60 upstreams vanish at once at 780 requests a second. Without the verdict,
    # requests on their open flows wait until the deadline.
    When 15 of 60 upstreams vanish, with and without the verdicts
    Then the figures are printed
    And at most a third as many requests expire with the verdicts as without
    And the verdicts fail no more requests than they save

  Scenario: A verdict ends with a new lifetime, without the entry and after 10 seconds
    # A verdict that outlasts its cause resets flows of a living upstream.
    Given a detector that calls upstream 1 silent
    When upstream 1 is listed with a new lifetime
    Then its verdict has ended because of new_lifetime
    Given a detector that calls upstream 1 silent
    When upstream 1 is no longer listed
    Then its verdict has ended because of not_listed
    Given a detector that calls upstream 1 silent
    When 10 seconds pass without reports
    Then its verdict has ended because of expired

  Scenario: Evidence against the former lifetime does not count
    # The upstream was replaced under the same id between two reports.
    Given a detector with all evidence against upstream 1 but the time
    When upstream 1 is listed with a new lifetime
    And 0.7 seconds pass in which the same reports arrive
    Then the detector calls nothing silent

  Scenario: An upstream of another zone is not judged
    # The zones are cut off from each other, and the upstream serves its own zone.
    Given a detector of another zone with all evidence against upstream 1
    Then the detector calls nothing silent

  Scenario: Another zone that gets answers does not act on the verdict
    # An upstream is cut off from its own zone only.
    When the reader of another zone is told that upstream 1 is silent
    Then it passes the verdict on to its zone
    When a host of that zone reports progress of upstream 1
    Then it no longer passes the verdict on

  Scenario: Requests that their clients gave up are not silent flows
    # The client's machine loses its power after two repeats.
    When a request is repeated twice and then not any more
    Then the flow is reported as silent, but not 2 seconds later

  Scenario: A host that was paused reports nothing before it has read its packets
    # Answers may wait in its socket.
    When a recorder with a silent flow is suspended
    Then it reports nothing until it is resumed

  Scenario: Only flows whose requests may be repeated are reset unasked
    # A request that is not idempotent may have run before the upstream vanished.
    Given a host with flows of a silent upstream
    When the next resets are taken
    Then the idle flows and the pending idempotent one are reset
    And the pending non-idempotent, old and foreign flows are not

  Scenario: A new request is refused and not forwarded, a repeat of a pending one is not
    # A request that was not forwarded has not run, so that any client may repeat it.
    Given a host with flows of a silent upstream
    Then a new request on the idle non-idempotent flow is refused
    And a repeat of the pending idempotent request is refused
    And a repeat of the pending non-idempotent request is forwarded
    And more data of the pending non-idempotent request is forwarded
    And a packet that closes an idle flow is forwarded
    And data of a flow that the host has not seen open is forwarded

  Scenario: A request on a flow whose reset was lost is refused too
    # The client did not get the reset that it had not asked for.
    Given a host with flows of a silent upstream
    When the next resets are taken
    Then a new request on the idle non-idempotent flow is refused

  Scenario: A packet that shows progress ends the verdict at its host
    # The verdict is up to 1.2 s old when it is applied.
    Given a host with flows of a silent upstream
    When a packet of the pending non-idempotent flow acknowledges new data
    Then no flow is reset
    And a new request on the idle non-idempotent flow is forwarded

  Scenario: A verdict on a former lifetime resets nothing
    # Host and reader learn of a restart at different times.
    Given a host with flows of a silent upstream
    When the host learns that upstream 1 has a new lifetime
    Then no flow is reset
    And a new request on the idle non-idempotent flow is forwarded

  Scenario: A draining upstream's flows are not reset
    # Its entry shows that it lives, and planned work is no excuse.
    Given a host with flows of a silent upstream
    When the host learns that upstream 1 is draining
    Then no flow is reset

  Scenario: Findings that are not renewed reset nothing
    # The reader dies, or the host is cut off from it.
    Given a host with flows of a silent upstream
    When 2.1 seconds pass without findings
    Then no flow is reset
    And a new request on the idle non-idempotent flow is forwarded

  Scenario: Many flows are reset in steps
    # Resets of 1,000 flows at once would delay the packets of a thin link.
    Given a host with 1000 idle flows of a silent upstream
    Then 200 flows are reset in each of 5 steps, and none after

  Scenario: The remaining resets are dropped when the verdict ends
    # The upstream answers again while the host still resets flows.
    Given a host with 1000 idle flows of a silent upstream
    When 2 steps of resets are taken and the verdict ends
    Then no flow is reset

  Scenario: New flows avoid a silent upstream, but for one trial where the host is named
    # Trials of all hosts would each delay a flow by 200 ms.
    Given 4 upstreams of which the first is silent, and this host named for its trial
    When 50 flows are opened in 2 seconds
    Then exactly one of them went to the silent upstream, as silent_trial
    When the next trial names another host and 50 flows are opened in 2 seconds
    Then none of them went to the silent upstream

  Scenario: A service whose upstreams are all silent still gets flows
    # A wrong verdict must not take the service away.
    Given 1 upstreams of which the first is silent, and this host not named
    When 5 flows are opened in 0.2 seconds
    Then all of them went to the silent upstream

  Scenario: A verdict passes unchanged between hosts
    # Guards the format of the exchange.
    When findings with a silent upstream are encoded and decoded
    Then they are equal

  Scenario: The log leads from a reset flow to the evidence
    # Whoever asks why a flow was reset has its id only.
    Given a reporter that is told of a verdict, a reset, a refusal and the verdict's end
    Then the lines of the reset and the refusal name the upstream and its lifetime
    And the line of the verdict with the same upstream and lifetime has the evidence
    And the line of its end has reason progress
    And the counters hold 2 flows_reset_silent

  Scenario: A host sends its resets, but none while packets wait in its socket
    # Packets that wait after a pause may show progress.
    Given a data path on a loopback socket, and a flow of a silent upstream
    When the data path sends the resets
    Then the client receives the reset of its flow
    When the data path is suspended and a packet arrives
    Then its host reports nothing until the packet is read

  Scenario: A reset without a packet has the published form
    # The client ignores a reset whose numbers or addresses are wrong.
    When the reset of flow 100.64.0.7:40001>198.18.0.1:443 at 4294967295 is encoded
    Then it has no data, sum 0, sequence 4294967295 and goes to 100.64.0.7
