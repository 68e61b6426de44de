"""The demo: nine balancers in three zones serve both users' deployments.

It drains one upstream and replaces one balancer under load, and ends with one line::

    demo requests=N answered=N refused_not_run=N outcome_unknown=N broken_flows=N ...

The exit status is 0 only if the promises held.
"""

import argparse
import sys
import tempfile
import time
from pathlib import Path

from .cluster import Cluster, ClusterError, free_subnet, wait_until
from .deployments import both_users
from .judge import imbalance_ratio, judge, new_flows_after

DRAINED_UPSTREAM = "stock-browser-3"
# P6: every host stops opening flows on a draining upstream within this time.
DRAIN_BOUND_S = 3.0
OPEN_TIMEOUT_S = 30.0
SETTLE_TIMEOUT_S = 35.0
FINISH_TIMEOUT_S = 25.0
DETAILS_SHOWN = 3

# kind, service, caller program, first caller IP, flows, connections of each caller,
# flows opened a second
WORK = (
    ("stock", "stock-browser", 0, "10.1.0.1", 4000, 20, 270.0),
    ("sheet", "sheet-service", 0, "10.2.0.1", 240, 5, 16.0),
    ("printer", "printer-hub", 1, "10.3.0.1", 4000, 20, 270.0),
    ("artwork", "artwork-store", 1, "10.4.0.1", 180, 5, 12.0),
)
# New flows go on arriving during the drain and the replacement.
LATE_WORK = (
    ("stock", "stock-browser", 0, "10.5.0.1", 300, 20, 20.0),
    ("printer", "printer-hub", 1, "10.6.0.1", 300, 20, 20.0),
)
# Pause between the steps of a session. It is the same for all services, so that each
# flow does one step while the balance is measured; otherwise chance in the number of
# steps would outweigh the balance of 180 flows.
THINK_S = 20.0


def say(event: str, **values) -> None:
    pairs = " ".join(f"{key}={value}" for key, value in values.items())
    print(f"{event} {pairs}".rstrip(), flush=True)


class Demo:
    """The steps of the demo on one cluster."""

    def __init__(self, cluster: Cluster, scale: float):
        self.cluster = cluster
        self.scale = scale
        self.failures: list[str] = []
        self.started_s = time.monotonic()

    def run(self) -> int:
        self.start()
        self.open_flows()
        self.measure_balance()
        self.drain()
        self.replace()
        self.finish()
        return self.report()

    def start(self) -> None:
        self.cluster.start()
        self.cluster.wait_revision(self.cluster.submit(self.cluster.deployment))
        self.cluster.wait_owners()
        say(
            "cluster_ready",
            balancers=len(self.cluster.balancers),
            zones=",".join(self.cluster.deployment.zones()),
            upstreams=sum(len(s.upstreams) for s in self.cluster.deployment.services),
        )

    def start_work(self, works) -> int:
        total = 0
        for kind, service, program, first_ip, flows, per_ip, rate in works:
            flows = max(1, round(flows * self.scale))
            self.cluster.start_work(
                program,
                kind=kind,
                service=service,
                first_ip=first_ip,
                flows=flows,
                flows_per_ip=per_ip,
                think_s=THINK_S,
                open_per_s=rate * self.scale,
            )
            total += flows
        return total

    def open_flows(self) -> None:
        self.total = self.start_work(WORK)
        wait_until(
            lambda: self.cluster.progress("open:") >= self.total,
            OPEN_TIMEOUT_S,
            "every flow to open",
        )
        say("flows_open", flows=self.total, **self.elapsed())

    def wait_steps(self, per_flow: float) -> None:
        """Wait until the sessions have made so many steps more on average."""
        target = self.cluster.progress("steps:") + per_flow * self.total
        wait_until(
            lambda: self.cluster.progress("steps:") >= target,
            SETTLE_TIMEOUT_S,
            "the sessions to go on",
        )

    def measure_balance(self) -> None:
        before = self.cluster.busy_s()
        self.wait_steps(1.0)
        members = {
            service.name: [u.upstream_id for u in service.upstreams]
            for service in self.cluster.deployment.services
        }
        self.ratio, ratios = imbalance_ratio(before, self.cluster.busy_s(), members)
        shown = {name: f"{ratio:.3f}" for name, ratio in ratios.items()}
        say("balance", **shown, **self.elapsed())

    def drain(self) -> None:
        self.total += self.start_work(LATE_WORK)
        drained = self.cluster.deployment.drained(DRAINED_UPSTREAM)
        self.cluster.submit(drained, wait_s=0)
        self.drained_s = time.monotonic()
        say("drain_submitted", upstream=DRAINED_UPSTREAM, **self.elapsed())

    def replace(self) -> None:
        host_id = next(iter(self.cluster.balancers))
        code, new_id = self.cluster.replace_balancer(host_id)
        say("balancer_replaced", old=host_id, status=code, new=new_id, **self.elapsed())
        if code != 0:
            self.failures.append(f"{host_id} exited with {code}")

    def finish(self) -> None:
        wait_until(
            lambda: self.cluster.progress("open:") >= self.total,
            OPEN_TIMEOUT_S,
            "the late flows",
        )
        self.wait_steps(0.5)
        if not self.cluster.stop_work(FINISH_TIMEOUT_S):
            self.failures.append("requests were still open at the end")

    def report(self) -> int:
        upstreams = self.cluster.upstream_records()
        verdict = judge(self.cluster.caller_records(), upstreams)
        verdict.imbalance_ratio = self.ratio
        for host_id in self.cluster.balancers:
            self.cluster.processes.check_running(host_id)
        late = new_flows_after(
            upstreams[DRAINED_UPSTREAM], self.drained_s + DRAIN_BOUND_S
        )
        if late:
            self.failures.append(f"{len(late)} new flows on the drained upstream")
        for name, entries in verdict.details.items():
            for entry in entries[:DETAILS_SHOWN]:
                say("violation", kind=name, entry=entry)
        say(
            "checks",
            without_answer=verdict.without_answer,
            false_not_run=verdict.false_not_run,
            errors=verdict.errors,
            contradicting_answers=verdict.contradicting_answers,
            late_on_drained=len(late),
            over_slots=sum(r["over_slots"] for r in upstreams.values()),
            flows=self.total,
            **self.elapsed(),
        )
        for failure in self.failures:
            say("failure", reason=failure)
        print(verdict.line("demo"), flush=True)
        return 0 if verdict.promises_held and not self.failures else 1

    def elapsed(self) -> dict[str, str]:
        return {"elapsed_s": f"{time.monotonic() - self.started_s:.1f}"}


def run_demo(scale: float, directory: Path) -> int:
    subnet = free_subnet()
    with Cluster(directory, both_users(subnet), subnet) as cluster:
        demo = Demo(cluster, scale)
        try:
            return demo.run()
        except (ClusterError, OSError) as error:
            say("failure", reason=str(error).replace("\n", " | "))
            for host_id in cluster.balancers:
                say("log", host=host_id, text=cluster.log(host_id)[-500:])
            return print_partial(cluster)


def print_partial(cluster: Cluster) -> int:
    """The closing line of a run that could not go on."""
    try:
        verdict = judge(cluster.caller_records(), cluster.upstream_records())
    except OSError:
        verdict = judge([], {})
    print(verdict.line("demo"), flush=True)
    return 1


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m testbed.demo")
    parser.add_argument("--scale", type=float, default=1.0, help="share of the flows")
    parser.add_argument("--keep", type=Path, help="directory to keep the logs in")
    arguments = parser.parse_args()
    if arguments.keep:
        arguments.keep.mkdir(parents=True, exist_ok=True)
        return run_demo(arguments.scale, arguments.keep)
    with tempfile.TemporaryDirectory() as directory:
        return run_demo(arguments.scale, Path(directory))


if __name__ == "__main__":
    sys.exit(main())
