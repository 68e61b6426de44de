"""Steps for clusters of operating-system processes."""

import signal
import socket
import tempfile
import time
from pathlib import Path

from behave import given, then, when

from testbed.cluster import Cluster, free_subnet, wait_until
from testbed.deployments import both_users
from testbed.judge import judge, new_flows_after
from wisteriatiller.ids import Address
from wisteriatiller.transport import proxyheader
from wisteriatiller.transport.proxyheader import FlowAddresses

# Shorter than the 2 s of RFC 7252, so that lost datagrams are repeated soon and the
# scenarios stay short.
ACK_TIMEOUT_S = 0.7
DRAIN_BOUND_S = 3.0
LEASE_S = 3.0
SLOW_STORE_S = 1.0
SETTLE_TIMEOUT_S = 40.0
FINISH_TIMEOUT_S = 40.0
PORTS = (6000, 6001, 6002, 6003)

_shared: dict[str, Cluster] = {}


@given("a running cluster of processes with both deployments")
def given_cluster(context):
    if "cluster" not in _shared:
        directory = tempfile.TemporaryDirectory()
        subnet = free_subnet()
        cluster = Cluster(
            Path(directory.name),
            both_users(subnet),
            subnet,
            caller_programs=1,
            ack_timeout_s=ACK_TIMEOUT_S,
        )
        _shared["cluster"] = cluster

        def end():
            del _shared["cluster"]
            cluster.processes.kill_all()
            directory.cleanup()

        context.add_cleanup(end, layer="feature")
        cluster.start()
        cluster.wait_revision(cluster.submit(cluster.deployment))
        cluster.wait_owners()
        _shared["first_ip"] = 1
    context.cluster = _shared["cluster"]
    context.cluster.reset_records()
    context.host_by_role = {}


def start_sessions(context, kind, service, flows, think_s, open_per_s=200.0):
    # Flows of earlier scenarios keep their upstreams, so each gets IPs of its own.
    _shared["first_ip"] += 1
    context.cluster.start_work(
        0,
        kind=kind,
        service=service,
        first_ip=f"10.{_shared['first_ip']}.0.1",
        flows=flows,
        flows_per_ip=10,
        think_s=think_s,
        open_per_s=open_per_s,
    )


def wait_open(context, flows):
    wait_until(
        lambda: context.cluster.progress("open:") >= flows,
        SETTLE_TIMEOUT_S,
        f"{flows} open flows",
    )


def wait_steps(context, steps):
    target = context.cluster.progress("steps:") + steps
    wait_until(
        lambda: context.cluster.progress("steps:") >= target,
        SETTLE_TIMEOUT_S,
        f"{steps} more steps of the sessions",
    )


def finish(context):
    """End the sessions once and judge the records."""
    if not hasattr(context, "verdict"):
        ended = context.cluster.stop_work(FINISH_TIMEOUT_S)
        context.upstream_records = context.cluster.upstream_records()
        context.verdict = judge(
            context.cluster.caller_records(), context.upstream_records
        )
        context.verdict.details["counts"].append(context.verdict.line("run"))
        assert ended, f"sessions did not end: {explain(context)}"
    return context.verdict


def explain(context):
    """The first entries of each kind of violation."""
    details = context.verdict.details
    return {name: entries[:3] for name, entries in details.items() if entries}


@given("sessions that go on opening flows")
def given_opening_sessions(context):
    start_sessions(context, "stock", "stock-browser", 400, 3.0, open_per_s=30.0)
    wait_open(context, 30)


@given("sessions of both users")
def given_sessions(context):
    start_sessions(context, "stock", "stock-browser", 200, 2.0)
    start_sessions(context, "printer", "printer-hub", 200, 4.0)
    start_sessions(context, "sheet", "sheet-service", 15, 3.0)
    start_sessions(context, "artwork", "artwork-store", 15, 3.0)
    wait_open(context, 430)


@given("sessions that send quotes all the time")
def given_quotes(context):
    start_sessions(context, "quotes", "stock-browser", 150, 0.3)
    wait_open(context, 150)


# Bad datagrams.


def bad_datagrams(cluster):
    service = Address.parse(cluster.deployment.services[0].address)
    flow = FlowAddresses(Address("10.250.0.1", 1), service)
    header = proxyheader.pack(flow)
    unknown = FlowAddresses(Address("10.250.0.1", 1), Address("10.250.0.9", 1))
    return [
        b"\x00",
        b"\xff" * 1400,
        proxyheader.SIGNATURE,
        header[:20],
        header[:14] + b"\xff\xff" + header[16:],
        header + b"\x40",
        header + b"\xff" * 100,
        proxyheader.pack(unknown) + b"\x40\x01\x00\x01",
        proxyheader.pack_local({proxyheader.TLV_NONCE: b"1"}),
        header[:12] + b"\x21\x11" + header[14:] + b"x",
    ]


@when("bad datagrams are sent to every port of every balancer")
def when_bad_datagrams(context):
    cluster = context.cluster
    context.counters_before = {h: bad_counts(cluster, h) for h in cluster.balancers}
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.bind((f"{cluster.subnet}.0.77", 0))
        for balancer in cluster.balancers.values():
            for port in PORTS:
                for data in bad_datagrams(cluster):
                    sender.sendto(data, (balancer.ip, port))
    for balancer in cluster.balancers.values():
        # The peer and admin ports also take streams.
        for port in PORTS[2:]:
            with socket.create_connection((balancer.ip, port), timeout=2) as stream:
                stream.sendall(b"\xff" * 4096)


def bad_counts(cluster, host_id):
    counters = cluster.status(host_id)["counters"]
    return sum(value for name, value in counters.items() if "bad" in name)


@then("every balancer process still runs and has counted bad datagrams")
def then_counted(context):
    cluster = context.cluster
    for host_id, before in context.counters_before.items():
        wait_until(
            lambda host_id=host_id, before=before: (
                bad_counts(cluster, host_id) > before
            ),
            5.0,
            f"{host_id} to count bad datagrams",
        )
        cluster.processes.check_running(host_id)


@then("price lines are still answered through the cluster")
def then_answered(context):
    start_sessions(context, "stock", "stock-browser", 30, 0.5)
    wait_open(context, 30)
    verdict = finish(context)
    assert verdict.answered >= 30 and verdict.promises_held, explain(context)


# Drain with a slow store.


@when("an upstream is drained while the store answers slowly")
def when_drained(context):
    cluster = context.cluster
    context.drained = "stock-browser-3"
    cluster.store_faults(slow_s=SLOW_STORE_S)
    try:
        cluster.submit(cluster.deployment.drained(context.drained), wait_s=0)
        context.accepted_s = time.monotonic()
        wait_open(context, 400)
    finally:
        cluster.store_faults(slow_s=0.0)


@then("no flow opens on it later than 3 seconds after the drain was accepted")
def then_no_new_flow(context):
    verdict = finish(context)
    record = context.upstream_records[context.drained]
    bound_s = context.accepted_s + DRAIN_BOUND_S
    late = new_flows_after(record, bound_s)
    assert not late, [(flow, at_s - context.accepted_s) for flow, at_s in late]
    others = [
        entry
        for upstream_id, other in context.upstream_records.items()
        if upstream_id != context.drained
        for entry in new_flows_after(other, bound_s)
    ]
    assert others, f"no flow opened after the bound: {verdict}"


@then("no promise of the cluster is broken")
def then_promises(context):
    assert finish(context).promises_held, explain(context)


# Rolling restart.


@when("every balancer is restarted in turn while the store is away")
def when_rolling_restart(context):
    cluster = context.cluster
    cluster.store_faults(away=True)
    try:
        for host_id in list(cluster.balancers):
            assert cluster.restart_balancer(host_id) == 0, cluster.log(host_id)
            wait_steps(context, 50)
    finally:
        cluster.store_faults(away=False)


@then("no flow is broken and no request is cut by the restarts")
def then_not_cut(context):
    verdict = finish(context)
    assert verdict.broken_flows == 0, explain(context)
    assert verdict.without_answer == 0, explain(context)
    assert verdict.outcome_unknown == 0, explain(context)


# Owners that die or freeze.


def busiest_owner(cluster):
    """The balancer that owns the most upstreams of the stock browser."""
    members = {
        u.upstream_id for u in cluster.deployment.service("stock-browser").upstreams
    }
    owners = [host_id for u, host_id in cluster.owners().items() if u in members]
    return max(owners, key=owners.count)


def owned_upstreams(cluster, host_id):
    return set((cluster.status(host_id) or {}).get("upstreams", ()))


@when("the balancer that owns most upstreams is killed with SIGKILL")
def when_killed(context):
    cluster = context.cluster
    host_id = busiest_owner(cluster)
    wait_steps(context, 100)
    cluster.processes.kill(host_id)
    wait_steps(context, 600)
    cluster.start_balancer(host_id)
    cluster.wait_ready(host_id)
    wait_steps(context, 300)


@when("the balancer that owns most upstreams is frozen until others took over")
def when_frozen(context):
    cluster = context.cluster
    context.frozen = busiest_owner(cluster)
    owned = owned_upstreams(cluster, context.frozen)
    wait_steps(context, 100)
    cluster.processes.signal(context.frozen, signal.SIGSTOP)
    others = [h for h in cluster.balancers if h != context.frozen]

    def taken_over():
        return owned <= {u for h in others for u in owned_upstreams(cluster, h)}

    try:
        wait_until(taken_over, SETTLE_TIMEOUT_S, "other owners of all its upstreams")
        wait_steps(context, 300)
    except BaseException:
        cluster.processes.signal(context.frozen, signal.SIGCONT)
        raise


@when("the frozen balancer wakes")
def when_woken(context):
    context.cluster.processes.signal(context.frozen, signal.SIGCONT)
    wait_steps(context, 300)


@then("quotes are answered again and every one got a final answer")
def then_quotes_answered(context):
    wait_steps(context, 150)
    verdict = finish(context)
    assert verdict.without_answer == 0, explain(context)


@then("no quote ran twice or was falsely called not run")
def then_quotes_once(context):
    verdict = finish(context)
    assert verdict.run_twice == 0, explain(context)
    assert verdict.false_not_run == 0, explain(context)
    assert verdict.mixed_answers == 0, explain(context)
    for host_id in context.cluster.balancers:
        context.cluster.processes.check_running(host_id)
