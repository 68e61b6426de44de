Feature: Validation of the configuration text and of a host's settings
  An invalid text is refused with all its problems at once. Each problem names the
  file, line and key path, what was found and what is allowed.

  Scenario: A text with comments and trailing commas is parsed
    # Guards against a parser that accepts only plain JSON, and against wrong defaults.
    When a text with comments and trailing commas is loaded
    Then the service has the values of the text and the defaults

  Scenario: The examples of the documentation are valid
    # Guards against documentation whose examples the validation refuses.
    Then the text and the settings of the configuration page are valid

  Scenario Outline: An invalid value in the text is reported with its key path
    # Guards against an invalid value that reaches the hosts, and an unclear message.
    When the key "<key>" of the text is set to <value>
    Then the text is refused at "<path>" allowing "<allowed>"

    Examples: services
      | key                              | value                | path                              | allowed                  |
      | shard_count                      | 0                    | shard_count                       | from 1 to 1024           |
      | shard_count                      | 16.5                 | shard_count                       | a whole number           |
      | shards                           | 16                   | shards                            | shard_count              |
      | services                         | {}                   | services                          | at least one service     |
      | services                         | [1]                  | services                          | at least one service     |
      | services.stock                   | 7                    | services.stock                    | an object                |
      | services.a b                     | {}                   | services."a b"                    | an id of letters         |
      | services.stock.deadline          | 2000                 | services.stock.deadline           | a number of milliseconds |
      | services.stock.flow_idle_ms      | 2000                 | services.stock.flow_idle_ms       | flow_idle_s              |
      | services.stock.deadline_ms       | "2 s"                | services.stock.deadline_ms        | a whole number from 10   |
      | services.stock.deadline_ms       | true                 | services.stock.deadline_ms        | a whole number from 10   |
      | services.stock.objective         | NaN                  | services.stock.objective          | a number from 0.5        |
      | services.stock.objective         | 1                    | services.stock.objective          | a number from 0.5        |
      | services.stock.slow_start_s      | -1                   | services.stock.slow_start_s       | from 0 to 3600           |
      | services.stock.requests          | "http"               | services.stock.requests           | "coap" or "opaque"       |
      | services.stock.address           | "example.org:53"     | services.stock.address            | an IP number and a port  |
      | services.stock.address           | "10.1.2.3:0"         | services.stock.address            | an IP number and a port  |
      | services.stock.address           | "239.1.2.3:53"       | services.stock.address            | the IP number of one host |
      | services.stock.address           | "fe80::1:53"         | services.stock.address            | an IP number and a port  |
      | services.stock.address           | "10.2.0.1:1"         | services.stock.upstreams.s1.address | a free address         |
      | services.stock.depends_on        | ["nobody"]           | services.stock.depends_on[0]      | a service of this text   |
      | services.stock.depends_on        | ["stock"]            | services.stock.depends_on         | without a cycle          |
      | services.stock.depends_on        | ["sheets"]           | services.stock.depends_on         | without a cycle          |
      | services.stock.depends_on        | "sheets"             | services.stock.depends_on         | a list of service ids    |
      | services.stock.upstreams         | {}                   | services.stock.upstreams          | at least one upstream    |
      | services.stock.upstreams.s1.drain | true                | services.stock.upstreams          | that does not drain      |
      | services.stock.upstreams.s1.drain | 1                   | services.stock.upstreams.s1.drain | true or false            |
      | services.stock.upstreams.s1.slots | 0                   | services.stock.upstreams.s1.slots | a whole number from 1    |
      | services.stock.upstreams.s1.weight | Infinity           | services.stock.upstreams.s1.weight | a number from 0.01      |
      | services.stock.upstreams.s1.weight | 1e999              | services.stock.upstreams.s1.weight | a number from 0.01      |
      | services.stock.upstreams.t1      | {"address": "10.2.0.9:1", "zone": "z", "slots": 1} | services.sheets.upstreams.t1 | an id that no other |
      | services.stock.upstreams.s1.zone | null                 | services.stock.upstreams.s1.zone  | an id of letters         |

  Scenario Outline: A text that cannot be parsed is refused with its line
    # Guards against an exception, a crash or a hang on corrupt files.
    When the bytes <bytes> are loaded as a text
    Then the only problem is on line <line> and allows "<allowed>"

    Examples:
      | bytes                             | line | allowed              |
      | b""                               | 1    | JSON with comments   |
      | b"\n\n{"                          | 3    | JSON with comments   |
      | b"{\n'a: 1}"                      | 2    | JSON with comments   |
      | b"{\n/* never closed"             | 2    | JSON with comments   |
      | b"{\n\"a\": 1,,}"                 | 2    | JSON with comments   |
      | b"{}\n\xff"                       | 2    | UTF-8                |
      | b"\n" + b"[" * 100000             | 2    | at most 8 levels     |
      | b'{"a":' * 100000                 | 1    | at most 8 levels     |
      | b"[" + b"1" * 5000 + b"]"         | 1    | JSON with comments   |
      | b'"\\"' * 300000                  | 1    | JSON with comments   |
      | b" " * 1000001                    | 1    | at most 1000000 bytes |
      | b"{'a': 1}" + b" " * 300000       | 1    | JSON                 |

  Scenario: All problems of a text are reported at once
    # Guards against validation that stops at the first problem, so that an operator
    # has to fix a text one error at a time.
    When a text with a duplicate key on line 5 and two other problems is loaded
    Then three problems are reported, the duplicate key on line 5

  Scenario: A chain of thousands of dependencies is checked
    # Guards against a recursive cycle check, which exceeds the interpreter's recursion
    # limit on a long chain of services.
    When a text with a chain of 3000 services that ends in a cycle is loaded
    Then the only problem reported is the cycle

  Scenario: Generated texts are accepted or refused without an exception
    # Guards against an exception on kinds of text that the examples above lack.
    Then 300 generated texts and 300 generated byte strings raise nothing
    And 300 corrupted copies of a valid text raise nothing

  Scenario: A record decodes to what was encoded, and corrupt records are refused
    # Guards against a host that stops on a corrupt record from the store or a peer.
    Given a record with two earlier tables
    Then the record decodes to what was encoded
    And no corrupted copy of the record raises an exception

  Scenario Outline: An invalid value in the settings is reported with its key path
    # Guards against a host that starts with invalid settings.
    When the settings key "<key>" is set to <value>
    Then the settings are refused at "<path>" allowing "<allowed>"

    Examples:
      | key            | value                     | path            | allowed               |
      | host_id        | "a/b"                     | host_id         | an id of letters      |
      | hostid         | "a"                       | hostid          | host_id               |
      | stop_timeout   | 3                         | stop_timeout    | a number of seconds   |
      | admin_listen   | "localhost:80"            | admin_listen    | an IP number          |
      | admin_listen   | "127.0.0.1:7400"          | admin_listen    | a free address        |
      | store_urls     | []                        | store_urls      | at least one URL      |
      | store_urls     | ["http://store:8500"]     | store_urls      | at least one URL      |
      | fabric_return  | "127.0.0.1:1"             | fabric_return   | a list                |
      | seeds          | [{"host_id": "a"}]        | seeds[0]        | the key zone          |
      | peer_keys      | ["5ec4e7"]                | peer_keys       | at least 16 bytes     |
      | peer_keys      | "5ec4e7"                  | peer_keys       | at least 16 bytes     |

  Scenario: An invalid peer key is not shown
    # Guards against a secret in the error messages of a command.
    When the settings key "peer_keys" is set to "5ec4e75ec4e7"
    Then the message about the settings does not contain "5ec4e7"
