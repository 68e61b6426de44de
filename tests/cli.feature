Feature: The command line and what it shows
  Commands tell an operator what was done, what was not, and what to do about it.

  Scenario: A valid text is checked
    # Guards against a check that refuses what submit would take.
    Given an operator's text with 2 upstreams
    When the command "check FILE" runs
    Then the command ends with 0 and says "services=1 upstreams=2"

  Scenario Outline: Bad input ends with status 2 and changes nothing
    # Guards against a half-done change, and scripts that take an error for success.
    Given a command-line system of 2 hosts
    And a broken operator's text
    When the command "<command>" runs
    Then the command ends with 2 and says "<message>"
    And the store of the command-line system has no configuration

    Examples:
      | command                                   | message                              |
      | check FILE                                | shard_count: found "many"            |
      | submit FILE --store URL                   | shard_count: found "many"            |
      | submit FILE --store URL                   | nothing was changed                  |
      | submit FILE                               | --store URL or --settings FILE       |
      | submit FILE --store store.example         | allowed: a URL with an IP number     |
      | submit FILE --store URL --wait soon       | --wait: found soon                   |
      | submit missing.json --store URL           | No such file                         |
      | submit FILE --storage URL                 | does not exist                       |
      | restart                                   | does not exist                       |
      | serve                                     | --settings FILE is missing           |
      | serve --settings FILE                     | an object with the key host_id       |
      | status --host localhost:80                | an IP number and a port              |

  Scenario: A submission returns once all live hosts run it
    # Guards against a command that returns before a change is in force.
    Given a command-line system of 4 hosts, the last one leaving and stopped
    And an operator's text with 2 upstreams
    When the command "submit FILE --store URL" runs
    Then the command ends with 0 and says "revision 1 in force on all 3 live hosts"
    When the command "submit FILE --store URL" runs
    Then the command ends with 0 and says "unchanged text"
    When the command "status --store URL" runs
    Then the command ends with 1 and says "no answer"

  Scenario: A submission names the hosts that do not run it
    # Guards against an operator who believes that a change is in force everywhere.
    Given a command-line system of 3 hosts, the last one live and stopped
    And an operator's text with 2 upstreams
    When the command "submit FILE --store URL --wait 1.5" runs
    Then the command ends with 1 and says "no answer within 1.5 s from host host-2"

  Scenario: An edit of an outdated revision is refused by the command
    # Guards against one operator's change undoing another's.
    Given a command-line system of 2 hosts
    And an operator's text with 2 upstreams
    When the command "submit FILE --store URL" runs
    And an operator's text with 3 upstreams
    And the command "submit FILE --store URL --edited 0" runs
    Then the command ends with 2 and says "revision 1 of another submission"
    When the command "status --text --store URL" runs
    Then the command ends with 0 and says "10.20.0.2:7001"

  Scenario: Lost answers and an unreachable first URL do not stop a submission
    # Guards against an adapter that gives up at the first failure, or writes twice.
    Given a command-line system of 2 hosts
    And the store of the command-line system loses 2 answers
    And an operator's text with 2 upstreams
    When the command "submit FILE --store http://127.0.0.1:9 --store URL" runs
    Then the command ends with 0 and says "revision 1 in force on all 2 live hosts"

  Scenario Outline: A store that answers nonsense counts as unavailable
    # Guards against an exception in a host's task because of the store's answer.
    When the store adapter reads and writes while the store answers <answer>
    Then the store adapter reported the store as unavailable each time

    Examples:
      | answer                                       |
      | HTTP/1.1 500 Error                           |
      | HTTP/1.1 301 Moved                           |
      | HTTP/1.1 200 OK,nonsense                     |
      | HTTP/1.1 200 OK,[]                           |
      | HTTP/1.1 200 OK,[{"Value": "%"}]             |
      | HTTP/1.1 200 OK,[{"Value": 7, "ModifyIndex": 7}] |
      | HTTP/1.1 200 OK,{"Value": null}              |
      | nothing of HTTP                              |
      | HTTP/1.1 200 OK,[[[[[[                       |

  Scenario: The report adds up the hosts and names the silent one
    # Guards against a report that takes a missing host for a host without failures.
    Given a command-line system of 3 hosts, the last one live and stopped
    And an operator's text with 2 upstreams
    When the command "submit FILE --store URL --wait 1" runs
    And each host of the command-line system has answered 99 requests and refused 1
    And the command "report --store URL" runs
    Then the command ends with 1 and says "hosts without an answer: host-2"
    When the command "report --store URL --json" runs
    Then the JSON report has 200 requests, a burn rate of 10 and an imbalance of 1

  Scenario: Service levels are kept for the two windows
    # Guards against old failures that never leave the report, or leave it too early.
    Given a service level on virtual time
    When 10 requests are refused, and 90 answered after 400 more seconds
    Then the short window has 90 requests and the long window 100
    And an hour later both windows are empty

  Scenario: Reports that make no sense count as silent
    # Guards against a report that fails for all hosts because of one.
    Then damaged host reports are counted as silent

  Scenario: Events that outsiders cause are logged at a bounded rate
    # Guards against logs that a flood of malformed datagrams fills, and against one
    # kind of event that hides another.
    When 50 events "frame_dropped" and as many "stream_refused" come in 9 s
    Then 1 line for each of the two is logged
    When another event of each kind comes after 10 s
    Then 2 lines for each of the two are logged

  Scenario Outline: Values in log lines can be split again
    # Guards against log lines that a reader cannot split, and secrets in logs.
    Then logging <value> as "<name>" writes <written>

    Examples:
      | name      | value          | written                |
      | revision  | 3              | revision=3             |
      | detail    | "a b"          | detail="a b"           |
      | detail    | "a=\"b\"\n"    | detail="a=\"b\"\n"     |
      | detail    | ""             | detail=""              |
      | peer_keys | "00ff"         | peer_keys=redacted     |
      | data      | b"secret"      | data=6_bytes           |
      | away      | True           | away=true              |
