Feature: Requests under overload
  Requests are refused early and truthfully, and repeats stay within their budget.

  Scenario: A deadline that cannot be met costs no slot
    # Guards against requests that wait in vain or run for nobody.
    Given a service of one upstream with 1 slot and answers after about 500 ms
    When 40 callers send a request at the same moment
    Then at most 5 requests reach the upstream
    And the requests that were refused were refused within 1 ms
    And every answered request was answered within its deadline

  Scenario: Callers that are told to come back do not come together
    # Guards against return waves: Max-Age has whole seconds only.
    Given a service of one upstream with 2 slots and answers after about 100 ms
    When 400 callers send a request at the same moment
    Then at most 30 callers are told to come back in the same second

  Scenario: A request that is given up on gets its answer at once
    # Guards against queued requests that wait for a dead upstream.
    Given a service of one upstream with 1 slot and answers after about 100 ms
    And the upstream is silent and has been probed for 2.5 s
    When 10 callers send a request at the same moment
    And the upstream is found to be down
    Then every queued request was refused at that moment

  Scenario: "Not run" is never said of a dispatched request
    # Guards against false refusals with losses, refusals, retries and cancellations.
    Given a service of one upstream with 3 slots and answers after about 50 ms
    And the upstream loses, refuses, delays and doubles some datagrams
    When 1500 GET and POST requests are sent at twice the capacity, some cancelled
    Then no refused request was started by the upstream
    And every request has exactly one final answer
    And no POST was sent to the upstream twice
    And no answer has the body of another request

  Scenario: A refusal of a second copy says nothing of the first
    # Guards against "not run" for a request of which another copy runs.
    Given a service of one upstream with 3 slots and answers after about 50 ms
    And the upstream treats every copy of a request as a new one
    When a request runs for long and its second copy is refused
    Then its outcome is unknown although the second copy was refused

  Scenario: Retries stay within their budget
    # Guards against retries that keep an overload going.
    Given a service of one upstream with 3 slots and answers after about 20 ms
    And the upstream refuses half of the requests
    When 2000 GET and POST requests are sent at half the capacity
    Then requests were retried, and at most for 10 percent of the answers
    And some of the retried requests were answered

  Scenario: Nothing is retried while the upstream reports shedding
    # Guards against retries against an upstream that asked for less.
    Given a service of one upstream with 3 slots and answers after about 20 ms
    And the upstream refuses all requests and reports shedding
    When 500 GET and POST requests are sent at half the capacity
    Then no request was retried

  Scenario: A cancelled request frees its slot
    # Guards against slots held by requests that nobody waits for.
    Given a service of one upstream with 1 slot and answers after about 500 ms
    When a request is cancelled in flight while another waits
    Then the waiting request starts within 5 ms of the cancellation
    And the cancelled request's outcome is unknown
    And a request cancelled in the queue never starts

  Scenario: A host without the lease does not say "not run"
    # Guards against a refusal of what ran under the shard's next owner.
    Given a service of one upstream with 1 slot and answers after about 500 ms
    When the lease is lost while requests wait
    Then the waiting requests' outcome is unknown
