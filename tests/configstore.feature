Feature: Submitting and following the configuration
  An accepted configuration is in force on all live hosts and never reverts.

  Scenario: A new revision is applied by all hosts of three zones
    # Guards against hosts that apply a change late or never, and against every host
    # watching the store.
    Given 3 zones of 40 hosts that follow the configuration
    When the text with 2 upstreams is submitted
    Then all configuration hosts run revision 1 within 5 seconds
    And the configuration store has had at most 60 reads in 20 quiet seconds

  Scenario: Two operators submit at once
    # Guards against a lost update when two operators submit concurrently.
    Given 1 zones of 3 hosts that follow the configuration
    When texts with 2 and 3 upstreams are submitted at the same time
    Then one submission was accepted and the other conflicts with revision 1

  Scenario: An unchanged text does not create a new revision
    # Guards against a repeated command that makes every host apply the same text again.
    Given 1 zones of 3 hosts that follow the configuration
    When the text with 2 upstreams is submitted
    And the text with 2 upstreams is submitted
    Then the last submission was accepted as revision 1 without a change

  Scenario: An edit of an outdated revision is rejected
    # Guards against an operator overwriting a change without having seen it.
    Given 1 zones of 3 hosts that follow the configuration
    When the text with 2 upstreams is submitted
    And the text with 3 upstreams is submitted
    And the text with 4 upstreams is submitted as an edit of revision 1
    Then the last submission conflicts with revision 2

  Scenario Outline: The answer of the store to a write is lost
    # Guards against a write that took effect but is reported as failed, or that is made
    # twice.
    Given 1 zones of 3 hosts that follow the configuration
    When the store loses the next <lost> answers of configuration writes
    And the text with 2 upstreams is submitted while <others> others follow at once
    Then the last submission was accepted as revision 1

    Examples:
      | lost | others |
      | 1    | 0      |
      | 1    | 1      |
      | 3    | 2      |

  Scenario: A submission during an outage reports it and can be repeated
    # Guards against a command that hangs and a repeat that creates a second revision.
    Given 1 zones of 3 hosts that follow the configuration
    When the store becomes unavailable for configuration hosts
    And the text with 2 upstreams is submitted
    Then the last submission reports that the store is unavailable
    When the store becomes available for configuration hosts
    And the last submission is repeated with its id
    Then the last submission was accepted as revision 1

  Scenario: A store that is restored with older data does not revert any host
    # Guards against a revision that decreases on a host, or that stays lower in the
    # store than on the hosts.
    Given 3 zones of 5 hosts that follow the configuration
    When the text with 2 upstreams is submitted
    And the store takes a snapshot of its data
    And the text with 3 upstreams is submitted
    And the store is restored from the snapshot
    Then all configuration hosts run revision 2 within 25 seconds
    And the store holds revision 2 after 25 seconds

  Scenario: A submission on top of restored older data comes into force
    # Guards against an accepted change that hosts ignore because its revision is lower
    # than theirs.
    Given 3 zones of 5 hosts that follow the configuration
    When the text with 2 upstreams is submitted
    And the store takes a snapshot of its data
    And the text with 3 upstreams is submitted
    And the snapshot is restored while the text with 4 upstreams is submitted
    Then all configuration hosts run revision 3 within 25 seconds
    And all configuration hosts have 4 upstreams

  Scenario: A submission waits for the write-back of revisions that hosts run
    # Guards against a revision number that is assigned twice.
    Given 1 zones of 3 hosts that follow the configuration
    When the text with 2 upstreams is submitted
    And the store takes a snapshot of its data
    And the text with 3 upstreams is submitted
    And the store is restored from the snapshot
    And the text with 4 upstreams is submitted with highest running revision 2
    Then the last submission was accepted as revision 3

  Scenario: A host that joins during an outage gets the revision from a peer
    # Guards against a replaced host that runs with no configuration or an older one.
    Given 2 zones of 3 hosts that follow the configuration
    When the text with 2 upstreams is submitted
    And the store becomes unavailable for configuration hosts
    And a host joins the first zone
    Then all configuration hosts run revision 1 within 5 seconds

  Scenario: A zone without access to the store gets revisions from other zones
    # Guards against a zone that stays on an old revision although it reaches its peers.
    Given 3 zones of 4 hosts that follow the configuration
    When the first zone loses its connection to the store
    And the text with 2 upstreams is submitted
    Then all configuration hosts run revision 1 within 10 seconds

  Scenario: Watches that get no answer delay a revision by no more than its bound
    # Guards against lost watches that delay a change beyond 15 s, as in the incident
    # config-quimper. All watchers start a new watch after a change, and all are lost.
    Given 3 zones of 4 hosts that follow the configuration
    When the text with 2 upstreams is submitted
    And 2 seconds later the pending watches of the store are lost
    And the text with 3 upstreams is submitted
    Then all configuration hosts run revision 2 within 15 seconds

  Scenario: A host catches up with a peer that has a newer revision
    # Guards against acting on an old configuration after a message names a newer one.
    Given 1 zones of 2 hosts without running followers
    When the first host has revision 1 and the second catches up
    Then the second host runs revision 1 without the store

  Scenario: A late answer of a peer with an older revision is ignored
    # Guards against a revision that decreases when two sources answer concurrently.
    Given 1 zones of 2 hosts without running followers
    When the second host applies revision 2 while it pulls revision 1 from the first
    Then the second host still runs revision 2

  Scenario Outline: A change that could give an upstream two owners is rejected
    # Guards against two hosts with valid leases that dispatch to the same upstream.
    Given 1 zones of 1 hosts that follow the configuration
    When the text with 2 upstreams is submitted
    And a text with <change> is submitted
    Then the last submission is refused at "<key_path>"

    Examples:
      | change           | key_path                                      |
      | 8 shards         | shard_count                                   |
      | a moved upstream | services.stock-browser.upstreams.stock-1.zone |
      | a renamed id     | services.stock-browser.upstreams.new-1.address |

  Scenario Outline: Revisions never decrease under random faults
    # Guards against event orders that no other scenario covers and that revert or lose
    # an accepted change.
    When hosts follow the configuration under random faults with seed <seed>
    Then every accepted submission is part of the final configuration of all hosts

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
