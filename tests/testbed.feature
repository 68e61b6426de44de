Feature: Stand-ins of the outside systems and the judge
  The figures of every other test rest on the stand-ins and on the judge.

  Scenario: The store stand-in swaps only at the named index
    # Guards against a store that accepts a write based on an outdated read.
    Given a running store stand-in
    Then a second store write at index 0 is refused
    And a store write at the current index is accepted
    And a store value over one megabyte is refused

  Scenario: A waiting read ends at the change
    # Guards against watches that return early or miss a change.
    Given a running store stand-in
    Then a waiting read of the store returns the value written meanwhile

  Scenario: The store stand-in shows its faults
    # Guards against fault switches that do nothing, which would make outage tests
    # pass for nothing.
    Given a running store stand-in
    Then a lost answer hides a store write that took effect
    And a restored store shows the older value
    And a store that is away answers nothing

  Scenario: An upstream runs no more requests than it has slots
    # Guards against an upstream stand-in that hides overshoot of its slots.
    Given an upstream stand-in with 3 slots
    When 20 requests reach the upstream at once
    Then the upstream started 11 and refused 9 requests
    And no more than 3 requests ran at once

  Scenario: An upstream refuses a request after its deadline
    # Guards against running a request that a pause delayed past its fence.
    Given an upstream stand-in with 3 slots
    When a request with a passed deadline reaches the upstream
    Then the upstream answered 5.03 with Max-Age 0 and started nothing

  Scenario: A cancelled request frees its slot and has no answer
    # Guards against cancelled requests that go on holding a slot.
    Given an upstream stand-in with 1 slots
    When a request is cancelled while a second one waits
    Then only the second request is answered

  Scenario: A repeated request runs once
    # Guards against an upstream stand-in that would hide a request run twice.
    Given an upstream stand-in with 3 slots
    When the same request reaches the upstream 3 times
    Then it ran once and every answer had the same bytes

  Scenario Outline: The judge sees a violation
    # Guards against a judge that accepts broken promises.
    Given records of a run in which all promises held
    When the records show <violation>
    Then the judge counts 1 as <count>

    Examples:
      | violation                                  | count         |
      | a refused request that was started         | false_not_run |
      | a quote started at two upstreams           | run_twice     |
      | an answer that no upstream sent            | mixed_answers |
      | a later answer that no upstream sent       | mixed_answers |
      | a packet at another service's upstream     | mixed_answers |
      | a session step at an upstream new to it    | broken_flows  |
      | a request without a final answer           | without_answer |
