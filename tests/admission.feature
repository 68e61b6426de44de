Feature: Admission of new flows by the load of a service
  Where no upstream can serve a flow in time, hosts refuse it at its opening packet, the
  less urgent first, by the numbers of all hosts together.

  Scenario: A burst of all types on what is left of the upstreams favours urgent requests
    # Guards against urgent requests that full upstreams reject as often as any others.
    # Load: 2.6 times the usual demand, on two thirds of the upstreams, a fifth of which
    # do not answer (1.8 times what the rest can do), 8 s.
    Given a service under admission control, and the same without, with seeds 5, 6 and 7
    When one zone is evacuated and a fifth of the upstreams stop to respond
    And the demand of all types is 2.6 times the usual for 8 seconds
    Then hosts have refused flows, but none of the most urgent route
    And more urgent requests are answered in time with admission control than without
    And the value of the answers is not lower with admission control

  Scenario: A burst of the most numerous type favours urgent requests
    # Guards against one type of requests that takes the place of all others. Load: 2.6
    # times the usual demand of idempotent requests on two thirds of the upstreams, a
    # fifth of which do not answer (1.5 times what the rest can do), 8 s.
    Given a service under admission control, and the same without, with seeds 5, 6 and 7
    When one zone is evacuated and a fifth of the upstreams stop to respond
    And the demand of idempotent requests is 2.6 times the usual for 8 seconds
    Then hosts have refused flows, but none of the most urgent route
    And more urgent requests are answered in time with admission control than without
    And the value of the answers is not lower with admission control

  Scenario Outline: A burst of one type that the upstreams can serve is not refused
    # Guards against refusals because of a rise of the demand that fills no queue. Load:
    # one type at 1.7 or 2.6 times its usual demand, on all upstreams, 8 s.
    Given a service under admission control
    When the demand of <type> requests is <factor> times the usual for 8 seconds
    Then hosts have refused no flow

    Examples:
      | type           | factor |
      | idempotent     | 1.7    |
      | idempotent     | 2.6    |
      | non-idempotent | 1.7    |
      | non-idempotent | 2.6    |
      | upload         | 2.6    |

  Scenario: A burst of urgent requests alone is not refused
    # Guards against refusals of the most urgent route while answers still come in time.
    # Load: urgent requests at 2.0 times the capacity of all upstreams, 8 s.
    Given a service under admission control
    When only non-idempotent requests come, at 2.0 times the capacity, for 8 seconds
    Then hosts have refused no flow

  Scenario: A zone with more demand is refused no more often than others
    # Guards against clients that are refused because of where they are. Flows of one
    # route that open in the same half second are compared, and the fractions averaged
    # over the burst. Load: 1.7 times the capacity, three fifths of it from one of three
    # zones, 10 s, three seeds.
    Given a service under admission control, with seeds 5, 6 and 7
    When one zone has three times the demand of each other, in all 1.7 times the capacity
    Then the refused fractions of the flows of the zones differ by at most 0.05

  Scenario: A load around the threshold causes no flutter
    # Guards against hosts that begin and stop to refuse with each finding. Load: requests
    # in flight that alternate around what fills the queues, for 24 s.
    Given a host that knows the loads of three zones with 30 slots each
    When the requests in flight alternate between 4.3 and 4.7 a slot for 40 findings
    Then the host has begun to refuse at most 1 time
    When the requests in flight are 5.2 a slot for 3 findings
    And the requests in flight alternate between 4.0 and 4.7 a slot for 40 findings
    Then the host has begun to refuse at most 1 time

  Scenario: Load that comes and goes slowly begins and ends refusals once each time
    # Guards against refusals that outlast their cause, or never begin again. Load: three
    # waves between 2 and 5.2 requests in flight for each slot, 6 s each.
    Given a host that knows the loads of three zones with 30 slots each
    When three waves of 2.0 to 5.2 requests in flight a slot pass
    Then the host has begun to refuse exactly 3 times
    And the host has stopped to refuse exactly 3 times

  Scenario Outline: Nothing is refused while <case>
    # Guards against refusals while an upstream has room, for lack of knowledge, or of
    # routes whose callers set no limits. Load: 5.5 requests in flight for each slot.
    Given a host that knows the loads of three zones with 30 slots each
    When the requests in flight are 5.5 a slot for 6 findings while <case>
    Then no opening packet of the less urgent route is refused

    Examples:
      | case                                     |
      | one zone has room                        |
      | no row of one zone has ever come         |
      | the rows of one zone are 3.5 s old       |
      | no finding has come for 2.1 s            |
      | there are no findings                    |
      | the route has no limits                  |
      | the route is the only one of the service |
      | only one finding has said so             |
      | one finding and three listings said so   |

  Scenario: All flows of a less urgent route are refused while every queue is full
    # Guards against a test of the cases above that passes because nothing is ever
    # refused. Load: 5.5 requests in flight for each slot.
    Given a host that knows the loads of three zones with 30 slots each
    When the requests in flight are 5.5 a slot for 6 findings
    Then all opening packets of the less urgent route are refused
    And no opening packet of the most urgent route is refused

  Scenario: Upstreams that are silent are neither room nor load
    # Guards against requests that wait at dead upstreams, or their empty slots, in the
    # reckoning. Load: full queues at the upstreams that answer; a fifth are silent.
    Given a host that knows the loads of three zones with 30 slots each
    And a fifth of the upstreams of each zone are silent
    When the requests in flight are 5.5 a slot for 6 findings
    Then all opening packets of the less urgent route are refused

  Scenario: Rejections that look like fast answers do not end refusals
    # Full upstreams reject at once, which hosts count as answers. Guards against an
    # expected wait near zero that admits everything. Load: full queues, and 20 times as
    # many rejections as answers.
    Given a host that knows the loads of three zones with 30 slots each
    When the requests in flight are 5.5 a slot for 6 findings, with 20 times the answers
    Then all opening packets of the less urgent route are refused

  Scenario: The rate of answers from before a burst is not taken for the capacity
    # The rate is a mean over 3 s. Guards against an expected wait that is far too long
    # when a burst begins. Load: 3.5 requests in flight for each slot after little load.
    Given a host that knows the loads of three zones with 30 slots each
    When the requests in flight are 3.5 a slot for 4 findings, with few answers
    Then no opening packet of the less urgent route is refused
    When the requests in flight are 3.5 a slot for 8 findings, with few answers
    Then all opening packets of the less urgent route are refused

  Scenario: The most urgent route is refused once its answers would come too late
    # Guards against requests that work for callers who have given up. Load: 4 requests in
    # flight for each slot, and answers so rare that a new request waits for 4 s.
    Given a host that knows the loads of three zones with 30 slots each
    When the requests in flight are 4.0 a slot for 12 findings, and a new one waits 4.0 s
    Then all opening packets of the most urgent route are refused
    When the requests in flight are 4.0 a slot for 3 findings, and a new one waits 2.0 s
    Then no opening packet of the most urgent route is refused

  Scenario: The next service of a route is tried before a flow is refused
    # Guards against refusals while another service of the route has room. Load: full
    # queues at one of two services of a route.
    Given a host that knows the loads of three zones with 30 slots each
    And the routes have a second service with room
    When the requests in flight are 5.5 a slot for 6 findings
    Then no opening packet of the less urgent route is refused

  Scenario: A refusal holds for the copies of an opening packet, and is true
    # Guards against a client that is told "not run" while its flow opens, and against a
    # refusal of a flow that an upstream may have accepted. Load: full queues.
    Given a host that knows the loads of three zones with 30 slots each
    When a flow of the less urgent route is placed
    And the requests in flight are 5.5 a slot for 6 findings
    Then a copy of that flow's opening packet is forwarded
    And a copy of an opening packet that this host has not seen is forwarded
    When a flow of the less urgent route is refused
    And the requests in flight are 1.0 a slot for 2 findings
    Then a copy of that flow's opening packet is refused within 1.4 s

  Scenario: Clients that try again on new ports draw like everybody else
    # Guards against clients that are refused for ever, or favoured because they try
    # again. Load: half of the less urgent flows are refused, 600 clients.
    Given a host that knows the loads of three zones with 30 slots each
    When the requests in flight are 5.0 a slot for 6 findings
    And 600 clients each open 3 flows from other ports
    Then a first, a second and a third flow of a client is refused as often, within 0.08
    And no client's flows are all refused if it opens 30

  Scenario: Hosts that restart during a burst join in after a few findings
    # Guards against restarted hosts that admit what the others refuse, or refuse without
    # knowledge. Load: 2.6 times the capacity; half of the hosts restart after 4 s.
    Given a service under admission control, and the same without, with seeds 5, 6 and 7
    When the load is 2.6 times the capacity, and half of the hosts restart after 4 seconds
    Then the restarted hosts refuse flows within 3 seconds, but none at once
    And the value of the answers is not lower with admission control

  Scenario: An exchange that stops during a burst ends the refusals
    # Guards against refusals that rest on what was true long ago. Load: 2.6 times the
    # capacity; the hosts of no zone hear of the others from the fourth second on.
    Given a service under admission control
    When the load is 2.6 times the capacity, and the exchange stops after 4 seconds
    Then no flow is refused later than 3.5 s after that

  Scenario: Each refusal names what it rests on
    # Guards against refusals that an operator cannot explain. Load: full queues.
    Given a host that knows the loads of three zones with 30 slots each
    When the requests in flight are 5.5 a slot for 6 findings
    And a flow of the less urgent route is refused
    Then the log has admission_limited with service, in flight, slots, wait and route
    And the log has flow_refused with the same inputs and their age
    And the refusals of priority 1 are counted
    When the requests in flight are 1.0 a slot for 10 findings
    Then the log has admission_unlimited with service, in flight, slots, wait and route

  Scenario: A route that nobody uses makes no other route less urgent
    # Guards against urgent requests that are refused like all others, because the
    # configuration holds an idle route with a higher priority.
    Given a host that sees flows of the priorities 1 and 2, and one probe of priority 0
    Then the route of priority 1 is the most urgent one
    And the route of priority 2 is not
