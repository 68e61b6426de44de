Feature: Whole processes under faults
  Nine balancers in three zones and the stand-ins run as operating-system processes,
  shared by all scenarios. Callers' and upstreams' own records decide.

  Background:
    Given a running cluster of processes with both deployments

  Scenario: Bad datagrams are counted and not fatal
    # Guards against a balancer that stops at input that anyone can send.
    When bad datagrams are sent to every port of every balancer
    Then every balancer process still runs and has counted bad datagrams
    And price lines are still answered through the cluster

  Scenario: A drain takes effect while the store is slow
    # Guards against hosts that open flows on a draining upstream because they wait
    # for the store.
    Given sessions that go on opening flows
    When an upstream is drained while the store answers slowly
    Then no flow opens on it later than 3 seconds after the drain was accepted
    And no promise of the cluster is broken

  Scenario: A full rolling restart while the store is away
    # Guards against restarts that lose flows or cut requests, and against joiners
    # that cannot start without the store.
    Given sessions of both users
    When every balancer is restarted in turn while the store is away
    Then no flow is broken and no request is cut by the restarts
    And no promise of the cluster is broken

  Scenario: An owner is killed during quotes
    # Guards against a successor that runs a dispatched quote again or calls it not
    # run.
    Given sessions that send quotes all the time
    When the balancer that owns most upstreams is killed with SIGKILL
    Then quotes are answered again and every one got a final answer
    And no quote ran twice or was falsely called not run

  Scenario: A frozen owner wakes after its lease
    # Guards against a frozen owner that sends its old requests when it wakes.
    Given sessions that send quotes all the time
    When the balancer that owns most upstreams is frozen until others took over
    And the frozen balancer wakes
    Then quotes are answered again and every one got a final answer
    And no quote ran twice or was falsely called not run
