Feature: Requests under overload
  Requests that cannot be answered in time are refused early, an answer "not run" is
  always true, and retries stay within their budget.

  Scenario: A request that cannot meet its deadline is refused on arrival
    # Guards against requests that expire in the queue or use a slot after their
    # deadline.
    Given a service of one upstream with 1 slot and answers after about 500 ms
    When 40 callers send a request at the same moment
    Then at most 5 requests reach the upstream
    And the requests that were refused were refused within 1 ms
    And every answered request was answered within its deadline

  Scenario: Retry-After times spread the return of refused callers
    # Guards against synchronized retries of refused callers: the retry time is sent as
    # Max-Age, which has whole seconds only.
    Given a service of one upstream with 2 slots and answers after about 100 ms
    When 400 callers send a request at the same moment
    Then at most 30 callers are told to retry in the same second

  Scenario: Queued requests are refused as soon as their upstream is down
    # Guards against queued requests that wait for a dead upstream until they expire.
    Given a service of one upstream with 1 slot and answers after about 100 ms
    And the upstream is silent and has been probed for 2.5 s
    When 10 callers send a request at the same moment
    And the upstream is detected as down
    Then every queued request was refused at that moment

  Scenario: "Not run" is never said of a dispatched request
    # Guards against a refusal of a request that has run, under lost and duplicated
    # datagrams, refusals by the upstream, retries and cancellations.
    Given a service of one upstream with 3 slots and answers after about 50 ms
    And the upstream loses, refuses, delays and duplicates some datagrams
    When 1500 GET and POST requests are sent at twice the capacity, some cancelled
    Then no refused request was started by the upstream
    And every request has exactly one final answer
    And no POST was sent to the upstream twice
    And no answer has the body of another request

  Scenario: A refused retransmission does not prove that the request has not run
    # Guards against "not run" for a request whose first copy is still running. It
    # happens if the upstream does not deduplicate and refuses the second copy.
    Given a service of one upstream with 3 slots and answers after about 50 ms
    And the upstream does not deduplicate requests
    When a slow request is retransmitted and the second copy is refused
    Then its outcome is unknown although the second copy was refused

  Scenario: Retries stay within their budget
    # Guards against retries that sustain an overload.
    Given a service of one upstream with 3 slots and answers after about 20 ms
    And the upstream refuses half of the requests
    When 2000 GET and POST requests are sent at half the capacity
    Then requests were retried, and at most for 10 percent of the answers
    And some of the retried requests were answered

  Scenario: Nothing is retried while the upstream reports shedding
    # Guards against retries that add load to an upstream that sheds load.
    Given a service of one upstream with 3 slots and answers after about 20 ms
    And the upstream refuses all requests and reports shedding
    When 500 GET and POST requests are sent at half the capacity
    Then no request was retried

  Scenario: A cancelled request frees its slot
    # Guards against slots occupied by requests whose callers no longer wait.
    Given a service of one upstream with 1 slot and answers after about 500 ms
    When a request is cancelled in flight while another waits
    Then the waiting request starts within 5 ms of the cancellation
    And the cancelled request's outcome is unknown
    And a request cancelled in the queue never starts

  Scenario: A host without the lease does not say "not run"
    # Guards against "not run" for a request whose duplicate ran under the shard's next
    # owner.
    Given a service of one upstream with 1 slot and answers after about 500 ms
    When the lease is lost while requests wait
    Then the waiting requests' outcome is unknown
