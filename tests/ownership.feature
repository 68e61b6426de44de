Feature: Exclusive ownership of upstreams
  A non-idempotent request runs at most once, whatever happens to its owner, and a
  planned hand-over cuts nothing. Callers repeat their requests as RFC 7252 says.

  Scenario: An owner dies with requests recorded and dispatched
    # Guards against a successor that runs the repeat of a request which its
    # predecessor had dispatched.
    Given 3 hosts in each of three zones with slow upstreams, on seeds 1 to 2
    When each owner in turn is killed while quotes are running
    Then no quote ran twice and every "not run" was true
    And some quotes have an unknown outcome and none is without an answer
    And quotes sent after each takeover were answered

  Scenario: An owner and its backup die together
    # Guards against a host without the former records that runs a repeat, or says
    # that a request which may have run did not.
    Given 3 hosts in each of three zones with slow upstreams, on seeds 4 to 4
    When an owner and its backup are killed while quotes are running
    Then no quote ran twice and every "not run" was true
    And new quotes of the upstream's flows have an unknown outcome for 220 seconds
    And after that time they are answered

  Scenario: A backup dies
    # Guards against dispatch that goes on without a record, or stops for good.
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
    # Guards against a hand-over that loses, refuses or repeats queued requests.
    Given 3 hosts in each of three zones with busy upstreams, on seeds 11 to 12
    When each owner in turn is stopped and started again while quotes are queued
    Then every quote was answered once
    And queued quotes were handed over

  Scenario: The messages of a hand-over are lost
    # Guards against a queue that both hosts dispatch because the old owner does not
    # know whether the new one has it. An owner that had to go on is killed then.
    Given 3 hosts in each of three zones with busy upstreams, on seeds 14 to 15
    When owners miss the reply to their queue or are cut off from their successors
    Then no quote ran twice and every "not run" was true
