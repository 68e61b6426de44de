Feature: Platform adapter
  The adapter decodes and encodes the platform's formats, and rejects malformed data.

  Scenario: An opening packet is decoded
    # Guards against a wrong offset or byte order.
    Given the published bytes of an opening packet
    Then the codec decodes flow 100.64.0.7:40001>198.18.0.1:443 with sequence 287454020

  Scenario: A reset is encoded as published
    # Guards against resets in a format that clients ignore.
    Given the published bytes of an opening packet
    Then the codec encodes the published reset to 100.64.0.7 at the return port

  Scenario: A reset of an open flow has a sequence that the client accepts
    # Guards against resets with a sequence number that the client ignores.
    Then the reset of a packet that acknowledges 700000 has sequence 700000

  Scenario: A packet for an upstream starts with the upstream's number and the tag
    # Guards against packets that another upstream at a reused address would accept.
    Given the published bytes of an opening packet
    Then for upstream i-7f3a91c2 and tag 99 it starts with 000000007f3a91c200000063

  Scenario: Malformed packets are rejected
    # Guards against a crash of the host and against forwarding malformed packets.
    Then the codec rejects empty, short, long and miscounted datagrams
    And the codec survives 2000 random datagrams

  Scenario Outline: An entry with a missing or invalid field is rejected
    # Guards against one writer's malformed entry that makes all others unusable.
    Given a valid entry in which <field> is <value>
    Then the entry is rejected and the next one is decoded

    Examples:
      | field          | value         |
      | service        | missing       |
      | address        | "nowhere"     |
      | address        | "10.0.0.1:0"  |
      | address        | 7             |
      | address        | "10.0.0.1:65536" |
      | address        | "10.0.0.1:99999999999999999999" |
      | address        | "10.0.0.1:-1" |
      | address        | "10.0.0.1:8_0" |
      | address        | "10.0.0.1: 80" |
      | address        | "10.0.0.1:\u0668\u0660" |
      | address        | "010.0.0.1:80" |
      | address        | "[10.0.0.1]:80" |
      | address        | "10.0.0.1\u0000:80" |
      | zone           | missing       |
      | state          | "asleep"      |
      | state          | ["ready"]     |
      | concurrency    | true          |
      | concurrency    | "3"           |
      | concurrency    | 0             |
      | warmup_left_ms | null          |
      | warmup_left_ms | Infinity      |
      | warmup_left_ms | NaN           |
      | concurrency    | 2.0           |
      | concurrency    | 1000000000    |
      | version        | missing       |
      | version        | null          |
      | version        | 7             |
      | version        | ["v1"]        |
      | version        | "\ud800"      |
      | sequence       | missing       |
      | sequence       | "4"           |
      | sequence       | 4.5           |
      | sequence       | true          |
      | sequence       | [4]           |
      | sequence       | 100000000000000000000 |
      | born           | null          |
      | born           | 1.5           |
      | born           | "yesterday"   |
      | born           | 100000000000000000000 |
      | concurrency    | 100000000000000000000 |
      | warmup_left_ms | 100000000000000000000 |
      | warmup_left_ms | 1e300         |
      | service        | "\ud800"      |
      | zone           | "\ud800"      |

  Scenario Outline: An entry with a name that is too long is rejected
    # Guards against a name of another writer that fills the messages between hosts, so
    # that no host can follow another one.
    Given a valid entry whose <field> has 100000 characters
    Then the entry is rejected and the next one is decoded

    Examples:
      | field   |
      | service |
      | zone    |

  Scenario Outline: An entry is rejected at any depth of nesting
    # Guards against a limit of recursion that is reached while a value is described.
    Then an entry in which <field> is nested up to 1100 times is rejected or decoded

    Examples:
      | field    |
      | service  |
      | version  |
      | sequence |
      | other    |

  Scenario Outline: A key that only resembles that of an upstream is ignored
    # Guards against an entry whose packets would bear the number of another upstream.
    Given the key of an entry is <key>
    Then the listing has neither an upstream nor an unreadable one

    Examples:
      | key                  |
      | "servers/i-0x7f"     |
      | "servers/i-7_f"      |
      | "servers/i- 7f"      |
      | "servers/i-+7f"      |
      | "servers/i-\uff17f"  |
      | "servers/i-"         |
      | "servers/i-0"        |
      | "servers/i-10000000000000000" |

  Scenario: An entry whose key cannot be encoded is ignored
    # Guards against another writer's key that crashes the process when it is logged or
    # put into a snapshot.
    Given the key of an entry is "servers/\ud800-7f"
    Then the listing has neither an upstream nor an unreadable one

  Scenario: A route whose name cannot be encoded is accepted
    # Guards against rejecting a whole configuration for a name that is only logged.
    Given a valid configuration in which name is "\ud800"
    Then the configuration is decoded, and its text can be logged

  Scenario Outline: A configuration that cannot be sent to other hosts is rejected
    # Guards against a configuration that is accepted and then crashes the process when
    # it is logged or put into a snapshot.
    Given a valid configuration in which <field> is <value>
    Then the configuration is rejected

    Examples:
      | field           | value                 |
      | version         | 100000000000000000000 |
      | idle_timeout_ms | 100000000000000000000 |
      | weight          | 100000000000000000000 |
      | idle_timeout_ms | 1e300                 |
      | weight          | 1e999                 |
      | service         | "\ud800"              |

  Scenario Outline: A traffic split that is not a list is rejected
    # Guards against an operator's mistake that looks like a failure of the store.
    Given a valid configuration in which traffic_split is <value>
    Then the configuration is rejected

    Examples:
      | value              |
      | 5                  |
      | true               |
      | {"service": "stock"} |

  Scenario: Entries that are not JSON objects are rejected
    # Guards against a crash on malformed values.
    Then entries of no bytes, no JSON, a list and deep nesting are rejected

  Scenario: Weighted services of a route are decoded
    # Guards against a traffic split that is ignored.
    Then a route to 198.18.0.1:8443 is decoded with services stock 90 and sheet 10

  Scenario: An invalid configuration is rejected
    # Guards against a partly applied configuration.
    Then configurations without version, with a bad address or a bad port are rejected

  Scenario Outline: An invalid settings file fails with one line that names the field
    # Guards against a host that starts with wrong addresses.
    Given settings in which <field> is <value>
    Then reading the settings fails with "<message>"

    Examples:
      | field                       | value      | message                                       |
      | node_name                   | missing    | node_name: missing                            |
      | listen_addrs.datagram_addr  | missing    | listen_addrs.datagram_addr: missing           |
      | platform.address            | missing    | platform.address: missing                     |
      | listen_addrs.ready_addr     | here       | listen_addrs.ready_addr: found 'here', expected IP:PORT |
      | bounds.grace_s              | soon       | bounds.grace_s: found 'soon', expected a number |
      | bounds.config_apply_ms      | 0          | bounds.config_apply_ms: found '0', expected a number above 0 |
      | bounds.drain_timeout_ms     | nan        | bounds.drain_timeout_ms: found 'nan', expected a number above 0 |
      | bounds.warmup_slack         | -1         | bounds.warmup_slack: found '-1', expected a number of 0 or more |
      | seeds                       | 1.2.3.4    | seeds: found '1.2.3.4', expected IP:PORT      |

  Scenario Outline: A part of a limit may be 0
    # Guards against a host that does not start because a bound of its site is 0.
    Given settings in which <field> is 0
    Then the settings have <name> 0

    Examples:
      | field                   | name               |
      | bounds.warmup_slack     | warmup_slack_flows |
      | bounds.warmup_overage   | warmup_overage     |

  Scenario Outline: The wait of a watch depends on the configuration bound
    # Incident config-quimper. Guards against a constant wait that exceeds the bound.
    Given settings in which bounds.config_apply_ms is <bound_ms>
    Then a watch waits for <wait_s> seconds at most

    Examples:
      | bound_ms | wait_s |
      | missing  | 1.5    |
      | 1000     | 0.5    |
      | 5000     | 2.5    |
      | 15000    | 4.0    |

  Scenario: The pages of a listing are combined
    # Guards against a listing without the upstreams of later pages.
    Given a stand-in store with 120 entries and 1 unreadable one
    When the store client lists the upstreams
    Then the listing names 120 upstreams and 1 unreadable

  Scenario Outline: A call to an unusable store fails within its timeout
    # Guards against a call that hangs or raises.
    Given a stand-in store with 2 entries and 0 unreadable one
    When the stand-in store is <mode>
    And the store client lists the upstreams
    Then the client reports that the store is <failure> within 1.5 seconds

    Examples:
      | mode     | failure     |
      | silent   | unreachable |
      | refusing | refused     |
      | garbled  | unreadable  |

  Scenario: A slow response is received completely
    # Pattern: a large configuration over a link of low bandwidth. Guards against a
    # timeout for the whole response, which such a host would exceed each time.
    Given a stand-in store with 2 entries and 0 unreadable one
    When the stand-in store is trickling
    And the store client lists the upstreams
    Then the listing names 2 upstreams and 0 unreadable

  Scenario Outline: A duplicated response is not taken for that of another request
    # Pattern: a server repeats a response on a connection that is reused.
    Given a server that sends each response twice, the second time <delay_ms> ms later
    When a client asks it 5 times, every 40 ms
    Then each response that the client got is the one to its own request

    Examples:
      | delay_ms |
      | 0        |
      | 10       |

  Scenario: A duplicated page fails the listing
    # Pattern: the same. Guards against accepting one page as the next.
    Given the first page of a listing with 120 entries
    Then the same page is not accepted as the second one

  Scenario: Pages of two epochs make no listing
    # Incident store-restored. Guards against a listing that mixes two histories.
    Given the first page of a listing with 120 entries
    Then a second page of the next epoch is not accepted

  Scenario: A connection that stalled while idle does not delay a call
    # Incident config-quimper. Guards against a read that waits for its timeout on a
    # reused connection that is dead without a sign of it.
    Given a stand-in store with 2 entries and 0 unreadable one
    And a link to the stand-in store that can stall
    When the store client reads the configuration
    And the open connections stall and 2.2 seconds pass
    And the store client reads the configuration
    Then it is read within 0.5 seconds

  Scenario: A call to an absent store fails within its timeout
    # Guards against a call that hangs when the connection is refused.
    Given no store at the address
    When the store client lists the upstreams
    Then the client reports that the store is unreachable within 1.5 seconds

  Scenario: A watch reports a change, no change and an expired history
    # Guards against a watch that ends after its first response.
    Given a stand-in store with 2 entries and 0 unreadable one
    Then a watch of 100 ms reports no change, a change and an expired history

  Scenario: Each answer names the epoch of the store
    # Incident store-restored. Guards against answers that cannot be told from those of
    # a history that the store has lost.
    Given a stand-in store with 2 entries and 0 unreadable one
    Then the configuration, the listing and a watch are of epoch 1
    When the stand-in store goes back to its first copy
    Then the missing configuration and the listing are of epoch 2
    And a watch from the lost revision reports an expired history of epoch 2

  Scenario Outline: An answer without a readable epoch is of the oldest one
    # Guards against an answer that cannot be placed and counts as the newest.
    Then an answer whose epoch is <text> is of epoch <epoch>

    Examples:
      | text    | epoch |
      | missing | 0     |
      | x       | 0     |
      | -3      | 0     |
      | ²       | 0     |
      | 9999999999999999999999 | 0 |
      | 7       | 7     |
