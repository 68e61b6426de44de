Feature: Exclusive ownership of upstreams
  A non-idempotent request runs at most once, also when its owner fails, and a planned
  handover breaks no request. Callers retransmit their requests as RFC 7252 specifies.

  Scenario: An owner dies with requests recorded and dispatched
    # Guards against a successor that runs the retransmission of a request that the
    # former owner had dispatched.
    Given 3 hosts in each of three zones with slow upstreams, on seeds 1 to 2
    When each owner in turn is killed while quotes are running
    Then no quote ran twice and every "not run" was true
    And some quotes have an unknown outcome and none is without an answer
    And quotes sent after each takeover were answered

  Scenario: An owner and its backup die together
    # Guards against a new owner without the former records that runs a retransmission
    # again, or answers "not run" to a request that may have run.
    Given 3 hosts in each of three zones with slow upstreams, on seeds 4 to 4
    When an owner and its backup are killed while quotes are running
    Then no quote ran twice and every "not run" was true
    And new quotes of the upstream's flows have an unknown outcome for 220 seconds
    And after that time they are answered

  Scenario: A backup dies
    # Guards against an owner that dispatches requests without a replicated record, or
    # that stops dispatching for good.
    Given 3 hosts in each of three zones with slow upstreams, on seeds 6 to 6
    When the backup of each upstream in turn is killed while quotes are running
    Then no quote ran twice and every "not run" was true
    And no quote has an unknown outcome

  Scenario: An owner is cut off from the other hosts but not from the upstreams
    # Guards against two hosts that both dispatch to an upstream.
    Given 3 hosts in each of three zones with slow upstreams, on seeds 8 to 9
    When each owner in turn is cut off from all hosts for 8 seconds
    Then no quote ran twice and every "not run" was true

  Scenario: Hosts are stopped one after another under load
    # Guards against a handover that loses, refuses or repeats queued requests.
    Given 3 hosts in each of three zones with busy upstreams, on seeds 11 to 12
    When each owner in turn is stopped and started again while quotes are queued
    Then every quote was answered once
    And queued quotes were handed over

  Scenario: The messages of a handover are lost
    # Guards against a queue that both hosts dispatch, because the old owner does not
    # know whether the successor has it. An owner whose handover fails keeps the shard
    # and is then killed.
    Given 3 hosts in each of three zones with busy upstreams, on seeds 14 to 15
    When owners miss the reply to their queue or are cut off from their successors
    Then no quote ran twice and every "not run" was true
