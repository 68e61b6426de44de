Feature: Host process on the platform
  A real host process with real sockets and a stand-in for the store.

  Scenario: A host starts, steers and stops
    # Guards against components that work alone but not together.
    Given a stand-in store and a host process
    When the host is ready
    Then an opening packet is forwarded to the upstream with its number and a tag
    And a packet with that tag is forwarded to the upstream
    And a packet without a route is answered with a reset
    And the metrics page counts 2 forwarded packets
    And the status page shows 1 upstream and configuration 1
    When the host gets SIGHUP
    Then the log has a line settings_reloaded
    When the host gets SIGTERM
    Then it is not ready
    And a packet with that tag is forwarded to the upstream
    And it exits with status 0 within 4 seconds
    And the log has a line host_stopped

  Scenario: A host with invalid settings reports the reason and exits
    # Guards against a host that starts with incomplete settings.
    Given a stand-in store and a host process without a zone
    Then it exits with status 2 within 3 seconds
    And its error output is one line that names zone

  Scenario: A host keeps steering while the store is unavailable
    # Guards against steering that blocks on the store.
    Given a stand-in store and a host process
    When the host is ready
    And the stand-in store stops answering for 3 seconds
    Then an opening packet is forwarded to the upstream with its number and a tag
    And the log has a line store_call_failed
    And the log has a line store_lost

  Scenario Outline: A malformed entry of another writer crashes no host
    # Guards against one writer's malformed entry that crashes the whole fleet.
    Given a stand-in store and a host process
    When the host is ready
    And another writer puts an entry in which <field> is <value>
    And 2 seconds pass and a peer requests a full snapshot
    Then an opening packet is forwarded to the upstream with its number and a tag

    Examples:
      | field       | value                 |
      | service     | "\ud800"              |
      | concurrency | 100000000000000000000 |

  Scenario: A settings file that changes without a signal is reloaded
    # Guards against a host that keeps an outdated address of the store.
    Given a stand-in store and a host process
    When the host is ready
    And the settings file names another seed and 6 seconds pass
    Then the log has a line settings_reloaded changed=seeds

  Scenario: A host that is told of changed settings while it starts goes on
    # Review/4. Guards against a process that SIGHUP ends until it has its handler.
    Given a stand-in store
    When a host process starts 5 times, gets SIGHUP all the while and becomes ready
    Then none of the processes has ended

  Scenario: Settings that change while a host starts are applied
    # Guards against a change that is missed for good, since it came after the settings
    # were read and before the file was watched.
    Given a stand-in store
    When a host process starts 5 times and its settings name another seed meanwhile
    Then each of them knows the new seed within 1 second

  Scenario: A host whose log pipe is full does not block
    # Guards against log writes that block the process while nobody reads the pipe.
    Given a stand-in store and a host process whose log pipe is not read
    When the host is ready
    Then 3000 opening packets reach the upstream, some without a log line

  Scenario: The command line shows the state of a host and explains a flow
    # Guards against commands that expect other fields than hosts report.
    Given a stand-in store and a host process
    When the host is ready
    Then an opening packet is forwarded to the upstream with its number and a tag
    And the command beliefs shows the upstream, trusted, at configuration 1
    And the command explain names the upstream of the flow and configuration 1
    And the command explain finds nothing about another flow

  Scenario: A paused host updates its state before it places a flow
    # Pattern: a machine is suspended for seconds while an upstream starts draining;
    # packets wait in its socket. Guards against decisions on outdated state.
    Given a stand-in store and a host process
    And a second upstream
    When the host is ready
    And the host is paused for 3 seconds while the first upstream drains and 20 flows are opened
    Then each of the 20 flows reaches the second upstream
    And the log has a line host_paused

  Scenario: Packets that arrive before the end of a graceful stop are steered
    # Pattern: a graceful stop under load. Guards against dropping packets that are
    # still in the socket buffer.
    Given a stand-in store and a host process
    When the host is ready
    Then an opening packet is forwarded to the upstream with its number and a tag
    When the host gets SIGTERM
    And the host is paused beyond its stop timeout while 20 packets with that tag arrive
    Then the 20 packets reach the upstream
    And it exits with status 0 within 4 seconds
