Feature: The platform's formats
  The adapter reads and writes what the platform publishes and drops what is no such thing.

  Scenario: An opening packet is read from its bytes
    # Guards against a wrong offset or byte order.
    Given the published bytes of an opening packet
    Then the codec reads flow 100.64.0.7:40001>198.18.0.1:443 with sequence 287454020

  Scenario: A reset is written as published
    # Guards against resets that clients do not accept.
    Given the published bytes of an opening packet
    Then the codec writes the published reset to 100.64.0.7 at the return port

  Scenario: A reset of an open flow has a sequence that the client accepts
    # Guards against resets that the client ignores.
    Then the reset of a packet that acknowledges 700000 has sequence 700000

  Scenario: A packet for an upstream starts with its number and carries the tag
    # Guards against packets that another upstream at a reused address would take.
    Given the published bytes of an opening packet
    Then for upstream i-7f3a91c2 and tag 99 it starts with 000000007f3a91c200000063

  Scenario: Bytes that are no packet are dropped
    # Guards against a crash of the host and against forwarding what is malformed.
    Then the codec reads nothing from empty, short, long and miscounted datagrams
    And the codec survives 2000 random datagrams

  Scenario Outline: An entry that says something else names no upstream
    # Guards against one writer's bytes that take all upstreams down.
    Given a good entry in which <field> is <value>
    Then the entry is unreadable and the next one is read

    Examples:
      | field          | value         |
      | service        | missing       |
      | address        | "nowhere"     |
      | address        | "10.0.0.1:0"  |
      | address        | 7             |
      | zone           | missing       |
      | state          | "asleep"      |
      | state          | ["ready"]     |
      | concurrency    | true          |
      | concurrency    | "3"           |
      | concurrency    | 0             |
      | warmup_left_ms | null          |
      | warmup_left_ms | Infinity      |
      | warmup_left_ms | NaN           |
      | born           | 1.5           |
      | born           | "yesterday"   |
      | born           | 100000000000000000000 |
      | concurrency    | 100000000000000000000 |
      | warmup_left_ms | 100000000000000000000 |
      | warmup_left_ms | 1e300         |
      | service        | "\ud800"      |
      | zone           | "\ud800"      |

  Scenario: An entry of a name that is no text names no upstream
    # Guards against a key of another writer that ends the process, in a log line or in a
    # snapshot.
    Given the key of an entry is "servers/\ud800-7f"
    Then the listing has neither an upstream nor an unreadable one

  Scenario: A route whose name is no text is read
    # Guards against a configuration that is refused as a whole for what only logs show.
    Given a good configuration in which name is "\ud800"
    Then the configuration is read, and its text can be logged

  Scenario Outline: A configuration that other hosts could not be told is reported
    # Guards against a configuration that is read and then ends the process, in a log line
    # or in a snapshot.
    Given a good configuration in which <field> is <value>
    Then the configuration is unreadable

    Examples:
      | field           | value                 |
      | version         | 100000000000000000000 |
      | idle_timeout_ms | 100000000000000000000 |
      | weight          | 100000000000000000000 |
      | idle_timeout_ms | 1e300                 |
      | weight          | 1e999                 |
      | service         | "\ud800"              |

  Scenario: Bytes that are no entry name no upstream
    # Guards against unreadable values.
    Then entries of no bytes, no JSON, a list and deep nesting are unreadable

  Scenario: A configuration is read with weighted services
    # Guards against a split that is ignored.
    Then a route to 198.18.0.1:8443 is read with services stock 90 and sheet 10

  Scenario: A configuration that cannot be read is reported
    # Guards against half a configuration.
    Then configurations without version, with a bad address or a bad port are unreadable

  Scenario Outline: A settings file that lacks something is one clear line
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
      | seeds                       | 1.2.3.4    | seeds: found '1.2.3.4', expected IP:PORT      |

  Scenario Outline: The bound of the configuration decides how long a watch may wait
    # Incident config-quimper. Guards against times that are constants, whatever is asked.
    Given settings in which bounds.config_apply_ms is <bound_ms>
    Then a watch waits for <wait_s> seconds at most

    Examples:
      | bound_ms | wait_s |
      | missing  | 1.5    |
      | 1000     | 0.5    |
      | 5000     | 2.5    |
      | 15000    | 4.0    |

  Scenario: A listing of several pages is one listing
    # Guards against upstreams of later pages that are missing.
    Given a stand-in store with 120 entries and 1 unreadable one
    When the store client lists the upstreams
    Then the listing names 120 upstreams and 1 unreadable

  Scenario Outline: A store that does not answer usably is a failure in time
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

  Scenario: An answer that comes slowly is taken whole
    # Pattern: a large configuration over a thin link. Guards against a limit on the
    # whole answer, which such a host would exceed each time.
    Given a stand-in store with 2 entries and 0 unreadable one
    When the stand-in store is trickling
    And the store client lists the upstreams
    Then the listing names 2 upstreams and 0 unreadable

  Scenario Outline: A second copy of an answer reaches no other call
    # Pattern: a server repeats an answer on a connection that is used again.
    Given a server that answers each request twice, the second time <delay_ms> ms later
    When a client asks it 5 times, every 40 ms
    Then each answer that the client got is the one to its own request

    Examples:
      | delay_ms |
      | 0        |
      | 10       |

  Scenario: A page that comes twice ends the listing
    # Pattern: the same. Guards against a listing that takes one page for the next.
    Given the first page of a listing with 120 entries
    Then the same page is not taken for the second one

  Scenario: A connection that fell silent while it was idle costs a call no time
    # Incident config-quimper. Guards against a first read that waits for its timeout, on a
    # connection of which nothing says that it still works.
    Given a stand-in store with 2 entries and 0 unreadable one
    And a link to the stand-in store that can fall silent
    When the store client reads the configuration
    And the open connections fall silent and 2.2 seconds pass
    And the store client reads the configuration
    Then it is read within 0.5 seconds

  Scenario: A store that is not there is a failure in time
    Given no store at the address
    When the store client lists the upstreams
    Then the client reports that the store is unreachable within 1.5 seconds

  Scenario: A watch tells of a change, of nothing and of a lost history
    # Guards against a watch that ends after its first answer.
    Given a stand-in store with 2 entries and 0 unreadable one
    Then a watch of 100 ms finds nothing, then a change, then that history is lost
