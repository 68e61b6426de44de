Feature: The process of a host on the platform
  A real process with real sockets, before a stand-in of the store.

  Scenario: A host starts, steers and stops
    # Guards against parts that work alone and not together.
    Given a stand-in store and a host process
    When the host is ready
    Then an opening packet reaches the upstream with its number and a tag
    And a packet with that tag reaches the upstream
    And a packet without a route is answered with a reset
    And the metrics page counts 2 forwarded packets
    And the status page shows 1 upstream and configuration 1
    When the host gets SIGHUP
    Then the log has a line settings_reloaded
    When the host gets SIGTERM
    Then it is not ready
    And a packet with that tag reaches the upstream
    And it ends with status 0 within 4 seconds
    And the log has a line host_stopped

  Scenario: A host whose settings are unusable says why and ends
    # Guards against a host that starts with half of its settings.
    Given a stand-in store and a host process without a zone
    Then it ends with status 2 within 3 seconds
    And its error output is one line that names zone

  Scenario: A host goes on without the store
    # Guards against steering that waits for the store.
    Given a stand-in store and a host process
    When the host is ready
    And the stand-in store falls silent for 3 seconds
    Then an opening packet reaches the upstream with its number and a tag
    And the log has a line store_call_failed
    And the log has a line store_lost

  Scenario Outline: An entry of another writer ends no host
    # Guards against one writer's bytes that take the whole fleet down.
    Given a stand-in store and a host process
    When the host is ready
    And another writer puts an entry in which <field> is <value>
    And 2 seconds pass and a peer asks for all that the host knows
    Then an opening packet reaches the upstream with its number and a tag

    Examples:
      | field       | value                 |
      | service     | "\ud800"              |
      | concurrency | 100000000000000000000 |

  Scenario: A settings file that changes without a signal is read again
    # Guards against a host that keeps an address of the store that is no more.
    Given a stand-in store and a host process
    When the host is ready
    And the settings file names another seed and 6 seconds pass
    Then the log has a line settings_reloaded changed=seeds

  Scenario: A host that nobody reads the log of is not held up
    # Guards against a full pipe that blocks the process.
    Given a stand-in store and a host process whose log nobody reads
    When the host is ready
    Then 3000 opening packets reach the upstream, some without a log line

  Scenario: The command line shows what a host believes and explains a flow
    # Guards against commands whose fields drift away from what hosts report.
    Given a stand-in store and a host process
    When the host is ready
    Then an opening packet reaches the upstream with its number and a tag
    And the command beliefs shows the upstream, trusted, at configuration 1
    And the command explain names the upstream of the flow and configuration 1
    And the command explain says that it knows nothing of another flow

  Scenario: A host that stood still learns what has changed before it opens a flow
    # Pattern: a machine is suspended for seconds while an upstream drains; packets wait
    # in its socket. Guards against acting on beliefs that have run out.
    Given a stand-in store and a host process
    And a second upstream
    When the host is ready
    And the host stands still for 3 seconds while the first upstream drains and 20 flows are opened
    Then each of the 20 flows reaches the second upstream
    And the log has a line host_paused

  Scenario: Packets that came before the end of a planned stop are steered
    # Pattern: a planned stop under load. Guards against packets that are dropped with
    # the socket.
    Given a stand-in store and a host process
    When the host is ready
    Then an opening packet reaches the upstream with its number and a tag
    When the host gets SIGTERM
    And the host stands still over the end of its stop while 20 packets with that tag come
    Then the 20 packets reach the upstream
    And it ends with status 0 within 4 seconds
