"""A soak test of real host processes with random fault injection from outside.

Examples::

    python -m tests.hostsoak --seed 1
    python -m tests.hostsoak --seeds 100-149 --parallel 5 --length-s 20

Hosts are started, and paused, killed and stopped by signals. Their links to the store
go through fault proxies that delay, reset and silence connections. The store refuses
or garbles all calls or comes back from an older copy, upstreams drain, crash and hand
their address to an upstream of another service, zones are evacuated and taken back, and
the configuration changes. Clients send packets throughout, and each packet may go
through any host. Some opening packets are lost, and clients use their ports again some
seconds after a flow. The store lists upstreams in several pages, and with most seeds
stale pages are of different ages. Exit status 1 means that a guarantee was violated:
the line names it, and the logs are kept in the directory that is printed.
"""

import argparse
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from testbed.faultproxy import LinkMode
from testbed.flowends import SERVICE, Finding, FlowEnds, UpstreamEnd
from testbed.hostfleet import FleetHost, HostFleet
from testbed.platformstandin import (
    StandInStore,
    StoreMode,
    configuration,
    entry,
    route,
)
from tests.loopback import own_network

CONFIG_KEY = "op/config"
HOST_COUNT = 6
SERVICES = ("stock", "sheet")
UPSTREAMS_PER_SERVICE = 3
FLOWS_PER_S = 25
# The bounds apply to a host once it and the store have had no fault for this long.
SETTLE_S = 4.0
DRAIN_BOUND_S = 3.0
CONFIG_BOUND_S = 3.0
EVACUATION_BOUND_S = 5.0
EVACUATION_PAUSE_S = (0.3, 12.0)
EVACUATION_KEY = "op/evacuate/zone-a"
# An opening packet sent this long after a version was seen in use must not be steered
# by an older one. Packets sent earlier may arrive in any order.
ROLLBACK_SLACK_S = 0.25
# Recovery time after the last fault, and the time after it in which recovery is
# measured, up to the end of the run.
RECOVERY_S = 4.0
RECOVERY_CHECK_S = 2.0
MIN_RECOVERED_SHARE = 0.95
# Odd seeds inject faults in quick succession. Even seeds leave hosts time to settle, so
# that the bounds apply to them.
DENSE_FAULT_INTERVAL_S = (0.2, 1.2)
SPARSE_FAULT_INTERVAL_S = (1.5, 4.0)
# How long a drained upstream stays after the bound, to detect flows that still arrive.
DRAINED_STAY_S = 3.0
FAULT_LENGTH_S = (0.5, 3.0)
CONFIG_DELAY_AFTER_STALL_S = (0.0, 1.0)
ADDRESS_REUSE_DELAY_S = 2.0
# What a page of the store holds, and how far the replicas for stale reads are behind.
PAGE_ITEMS = 4
REPLICA_LAGS_S = ((0.0,), (0.0, 5.0), (0.0, 0.5, 2.0, 5.0))
LOST_OPENINGS_SHARE = 0.03
# How old the copy is that the store is restored to, and how soon after that the
# operator and the upstreams have written again what is lost.
COPY_AGE_S = (1.0, 10.0)
MAX_REWRITE_DELAY_S = 1.0
# An upstream that cannot register again after a restore stays unlisted for this long.
UNLISTED_CHANCE = 0.5
UNLISTED_S = 6.0
START_TIMEOUT_S = 20.0


class HostSoak:
    """One run: a fleet, its traffic, and the fault schedule of one seed."""

    def __init__(self, seed: int, directory: Path):
        self._rng = random.Random(seed)
        subnet = own_network(130 + seed % 100)
        self._subnet = subnet
        self._store = StandInStore(f"{subnet}.5")
        self._store.page_items = PAGE_ITEMS
        page_rng = random.Random(f"pages of {seed}")
        self._store.replica_lags_s = page_rng.choice(REPLICA_LAGS_S)
        self._version = 0
        self._evacuated_at_s: float | None = None
        # Its own, so that the faults of a seed stay what they are.
        self._evacuation_rng = random.Random(f"evacuations of {seed}")
        self._configs: list[tuple[float, str]] = []
        self._store_disturbed_at_s = float("-inf")
        # For each host process, identified by IP and lifetime: the index of the oldest
        # configuration that it may still use, and when that index was last raised.
        self._version_floors: dict[tuple[str, int], tuple[int, float]] = {}
        self._pending_actions: list[tuple[float, object]] = []
        self._next_number = seed * 1000 + 1
        self._upstreams: list[UpstreamEnd] = []
        self._fault_interval_s = (
            DENSE_FAULT_INTERVAL_S if seed % 2 else SPARSE_FAULT_INTERVAL_S
        )
        self.fault_count = 0
        self.switch_service()
        self.fleet = HostFleet(subnet, HOST_COUNT, self._store.address, directory)
        self.ends = FlowEnds(self.fleet, f"{subnet}.200", self._rng)
        self.ends.lost_openings_share = LOST_OPENINGS_SHARE
        self.ends.on_opening = self._check_opening_packet
        for service in SERVICES:
            for _ in range(UPSTREAMS_PER_SERVICE):
                self.add_upstream(service)

    def close(self) -> None:
        self.ends.close()
        self.fleet.close()
        self._store.close()

    def run(self, length_s: float) -> list[Finding]:
        """Run traffic and faults, then check recovery; return all findings."""
        self._wait_until_ready()
        end_s = time.monotonic() + length_s
        faults_end_s = end_s - RECOVERY_S - RECOVERY_CHECK_S
        next_fault_s = time.monotonic() + 1.0
        self._change_evacuation(faults_end_s)
        while time.monotonic() < faults_end_s:
            self._step()
            if time.monotonic() >= next_fault_s:
                next_fault_s = time.monotonic() + self._rng.uniform(
                    *self._fault_interval_s
                )
                self._rng.choice(self.FAULTS)(self)
                self.fault_count += 1
        self._clear_faults()
        self._step_until(end_s - RECOVERY_CHECK_S)
        self._check_recovery(end_s)
        return self.ends.findings

    # Faults

    def kill_host(self) -> None:
        host = self._choose_host()
        host.send_signal(signal.SIGKILL)
        self._schedule(
            self._draw_fault_length_s(), lambda: self._start_if_stopped(host)
        )

    def stop_host(self) -> None:
        host = self._choose_host()
        host.send_signal(signal.SIGTERM)
        self._schedule(
            2.5 + self._draw_fault_length_s(), lambda: self._start_if_stopped(host)
        )

    def pause_host(self) -> None:
        host = self._choose_host()
        host.send_signal(signal.SIGSTOP)
        self._schedule(
            self._draw_fault_length_s(), lambda: host.send_signal(signal.SIGCONT)
        )

    def kill_all(self) -> None:
        for host in self.fleet.hosts:
            host.send_signal(signal.SIGKILL)
            self._schedule(0.5, lambda host=host: self._start_if_stopped(host))

    def reload_host(self) -> None:
        host = self._choose_host()
        host.write_settings()
        host.send_signal(signal.SIGHUP)

    def impair_link(self) -> None:
        host = self._choose_host()
        modes = [mode for mode in LinkMode if mode is not LinkMode.CLEAR]
        host.set_link(self._rng.choice(modes))
        self._schedule(
            self._draw_fault_length_s(), lambda: host.set_link(LinkMode.CLEAR)
        )

    def stall_connections(self) -> None:
        """Stall the store connections of one host or of all, then change the routes."""
        affected = self.fleet.hosts
        if self._rng.random() < 0.5:
            affected = [self._choose_host()]
        for host in affected:
            host.stall()
        self._schedule(
            self._rng.uniform(*CONFIG_DELAY_AFTER_STALL_S), self.switch_service
        )

    def impair_store(self) -> None:
        self._store.mode = self._rng.choice((StoreMode.REFUSING, StoreMode.GARBLED))
        self._store_disturbed_at_s = time.monotonic()
        self._schedule(self._draw_fault_length_s(), self._restore_store)

    def restore_store_from_copy(self) -> None:
        """Make the store unavailable and bring it back from an older copy."""
        self._store.mode = StoreMode.REFUSING
        age_s = self._rng.uniform(*COPY_AGE_S)
        rewrite_delay_s = self._rng.uniform(0.0, MAX_REWRITE_DELAY_S)

        def restore() -> None:
            self._store.restore(age_s)
            self._restore_store()
            self._schedule(rewrite_delay_s, self._write_again)

        self._schedule(self._draw_fault_length_s(), restore)

    def switch_service(self) -> None:
        """Publish a configuration that sends new flows to the other service."""
        self._version += self._rng.randint(1, 3)
        service = SERVICES[len(self._configs) % len(SERVICES)]
        ip, _, port = SERVICE.rpartition(":")
        self._config = configuration(self._version, route(ip, int(port), service))
        self._store.put(CONFIG_KEY, self._config)
        self._configs.append((time.monotonic(), service))

    def _change_evacuation(self, until_s: float) -> None:
        """Evacuate a zone or take it back, again and again until a time."""
        now_s = time.monotonic()
        is_over = now_s >= until_s
        is_ending = is_over or self._evacuated_at_s is not None
        self._evacuated_at_s = None if is_ending else now_s
        self._write_evacuation()
        if not is_over:
            pause_s = self._evacuation_rng.uniform(*EVACUATION_PAUSE_S)
            self._schedule(pause_s, lambda: self._change_evacuation(until_s))

    def _write_evacuation(self) -> None:
        if self._evacuated_at_s is not None:
            self._store.put(EVACUATION_KEY, {})
        elif self._store.keys(EVACUATION_KEY):
            self._store.remove(EVACUATION_KEY)

    def drain_upstream(self) -> None:
        """Drain an upstream, add a replacement, and end the drained one later."""
        upstream = self._choose_removable_upstream()
        if upstream is None:
            return
        self._publish_entry(upstream, state="draining")
        upstream.draining_at_s = time.monotonic()
        self._schedule(
            DRAIN_BOUND_S + DRAINED_STAY_S, lambda: self._end_drained_upstream(upstream)
        )
        self.add_upstream(upstream.service)

    def crash_upstream(self) -> None:
        """Stop an upstream at once; its entry is removed only some time later."""
        upstream = self._choose_removable_upstream()
        if upstream is None:
            return
        upstream.is_alive = False
        self.ends.end_flows_of(upstream)
        self._schedule(1.5, lambda: self._store.remove(upstream.key))
        self.add_upstream(upstream.service)

    FAULTS = (
        *(kill_host, kill_host, stop_host, stop_host, pause_host, kill_all),
        *(reload_host, impair_link, impair_link, impair_link, impair_store),
        *(restore_store_from_copy, restore_store_from_copy),
        *(stall_connections, stall_connections),
        *(
            switch_service,
            switch_service,
            drain_upstream,
            drain_upstream,
            crash_upstream,
        ),
    )

    def add_upstream(self, service: str) -> None:
        number, self._next_number = self._next_number, self._next_number + 1
        upstream = UpstreamEnd(f"{self._subnet}.100", number, service)
        self._upstreams.append(upstream)
        self.ends.add_upstream(upstream)
        self._publish_entry(upstream)

    def _write_again(self) -> None:
        """Write what a restored store lacks; end the entries of ended upstreams.

        Sometimes one upstream cannot register again, though it serves.
        """
        self._store.put(CONFIG_KEY, self._config)
        self._write_evacuation()
        alive = [upstream for upstream in self._upstreams if upstream.is_alive]
        if alive and self._rng.random() < UNLISTED_CHANCE:
            unlisted = alive.pop(self._rng.randrange(len(alive)))
            self._schedule(UNLISTED_S, lambda: self._register_again(unlisted))
        for upstream in alive:
            self._register_again(upstream)
        ended = self._store.keys("servers/") - {upstream.key for upstream in alive}
        for key in ended:
            self._store.remove(key)
        self._store_disturbed_at_s = time.monotonic()

    def _register_again(self, upstream: UpstreamEnd) -> None:
        if upstream.is_alive:
            is_draining = upstream.draining_at_s is not None
            self._publish_entry(upstream, state="draining" if is_draining else "ready")

    def _publish_entry(self, upstream: UpstreamEnd, **changes) -> None:
        zone = f"zone-{'ab'[upstream.number % 2]}"
        new_entry = entry(upstream.service, upstream.address, zone=zone, **changes)
        self._store.put(upstream.key, new_entry)

    def _end_drained_upstream(self, upstream: UpstreamEnd) -> None:
        """End a drained upstream; its address then goes to one of the other service."""
        upstream.is_alive = False
        self.ends.end_flows_of(upstream)
        self._store.remove(upstream.key)

        def reuse() -> None:
            number, self._next_number = self._next_number, self._next_number + 1
            other = SERVICES[1 - SERVICES.index(upstream.service)]
            upstream.number, upstream.service = number, other
            upstream.is_alive, upstream.draining_at_s = True, None
            self._publish_entry(upstream)

        self._schedule(ADDRESS_REUSE_DELAY_S, reuse)

    def _choose_host(self) -> FleetHost:
        return self._rng.choice(self.fleet.hosts)

    def _choose_removable_upstream(self) -> UpstreamEnd | None:
        """An upstream that may drain or crash; each service keeps two that serve."""
        serving = [
            upstream
            for upstream in self._upstreams
            if upstream.is_alive and upstream.draining_at_s is None
        ]
        removable = [
            upstream
            for upstream in serving
            if sum(other.service == upstream.service for other in serving) > 2
        ]
        return self._rng.choice(removable) if removable else None

    def _draw_fault_length_s(self) -> float:
        return self._rng.uniform(*FAULT_LENGTH_S)

    def _start_if_stopped(self, host: FleetHost) -> None:
        if not host.is_running():
            host.start()

    def _restore_store(self) -> None:
        self._store.mode = StoreMode.NORMAL
        self._store_disturbed_at_s = time.monotonic()

    def _clear_faults(self) -> None:
        """Restore the store and all links, and resume paused hosts."""
        self._restore_store()
        self._evacuated_at_s = None
        self._write_evacuation()
        for host in self.fleet.hosts:
            host.send_signal(signal.SIGCONT)
            host.set_link(LinkMode.CLEAR)

    # Time

    def _schedule(self, delay_s: float, action) -> None:
        """Call ``action`` in the first step after the delay."""
        self._pending_actions.append((time.monotonic() + delay_s, action))

    def _step(self) -> None:
        """Run the actions that are due, maybe begin a flow, and serve the sockets."""
        now_s = time.monotonic()
        due = [item for item in self._pending_actions if item[0] <= now_s]
        self._pending_actions = [
            item for item in self._pending_actions if item[0] > now_s
        ]
        for _, action in due:
            action()
        if self._rng.random() < FLOWS_PER_S * 0.01:
            self.ends.begin_flow()
        self.ends.turn(0.01)

    def _step_until(self, end_s: float) -> None:
        """Run steps until a time, and restart every host that is not running."""
        while time.monotonic() < end_s:
            self._step()
            for host in self.fleet.hosts:
                self._start_if_stopped(host)

    def _wait_until_ready(self) -> None:
        end_s = time.monotonic() + START_TIMEOUT_S
        while not all(host.is_ready for host in self.fleet.hosts):
            if time.monotonic() > end_s:
                raise RuntimeError(
                    f"not all hosts are ready after {START_TIMEOUT_S:g} s"
                )
            time.sleep(0.05)

    # Guarantees

    def _is_settled(self, host: FleetHost) -> bool:
        """Whether neither the host nor the store has had a fault for SETTLE_S."""
        disturbed_at_s = max(host.disturbed_at_s, self._store_disturbed_at_s)
        is_fault_free = host.proxy.mode is LinkMode.CLEAR
        is_fault_free = is_fault_free and self._store.mode is StoreMode.NORMAL
        return is_fault_free and time.monotonic() - disturbed_at_s > SETTLE_S

    def _check_opening_packet(
        self, upstream: UpstreamEnd, host: FleetHost, sent_at_s: float
    ) -> None:
        """Check an opening packet that an upstream has received through a host."""
        now_s = time.monotonic()
        location = f"i-{upstream.number:x} through {host.ip}"
        is_settled = self._is_settled(host)
        if upstream.draining_at_s is not None and is_settled:
            after_s = now_s - upstream.draining_at_s
            if after_s > DRAIN_BOUND_S:
                self._add_finding(
                    "drain", f"{location}, {after_s:.1f} s after the drain"
                )
        if self._evacuated_at_s is not None and is_settled and upstream.number % 2 == 0:
            after_s = now_s - self._evacuated_at_s
            if after_s > EVACUATION_BOUND_S:
                self._add_finding("evacuation", f"{location}, {after_s:.1f} s later")
        self._check_no_rollback(upstream.service, host, sent_at_s, location)
        if is_settled:
            self._check_config_bound(upstream.service, sent_at_s, location)

    def _check_no_rollback(
        self, service: str, host: FleetHost, sent_at_s: float, location: str
    ) -> None:
        """Check that a host process does not return to an older configuration."""
        lifetime = (host.ip, host.lifetime)
        oldest_allowed, seen_at_s = self._version_floors.get(lifetime, (0, 0.0))
        services = [service for _, service in self._configs]
        if service in services[oldest_allowed:]:
            index = services.index(service, oldest_allowed)
            if index > oldest_allowed:
                self._version_floors[lifetime] = (index, time.monotonic())
        elif sent_at_s > seen_at_s + ROLLBACK_SLACK_S:
            self._add_finding("no older configuration", f"{location}: {service}")

    def _check_config_bound(
        self, service: str, sent_at_s: float, location: str
    ) -> None:
        """Check that the packet was steered by a configuration within the bound."""
        services = [service for _, service in self._configs]
        due_versions = [
            index
            for index, (put_at_s, _) in enumerate(self._configs)
            if sent_at_s - put_at_s > CONFIG_BOUND_S
        ]
        oldest = due_versions[-1] if due_versions else 0
        if service not in services[oldest:]:
            self._add_finding("configuration in time", f"{location}: {service}")

    def _check_recovery(self, end_s: float) -> None:
        """Check the shares of flows opened and packets arrived after all faults."""
        counts = self.ends.counts
        before = (counts.opened, counts.failed, counts.sent, counts.arrived)
        self._step_until(end_s)
        opened, failed, sent, arrived = (
            now - then
            for now, then in zip(
                (counts.opened, counts.failed, counts.sent, counts.arrived),
                before,
                strict=True,
            )
        )
        if opened < MIN_RECOVERED_SHARE * (opened + failed):
            self._add_finding("recovery", f"{opened} flows opened, {failed} failed")
        if arrived < MIN_RECOVERED_SHARE * sent:
            self._add_finding("recovery", f"{arrived} of {sent} packets arrived")

    def _add_finding(self, promise: str, detail: str) -> None:
        self.ends.findings.append(Finding(promise, detail))


def run_seed(seed: int, length_s: float) -> int:
    """Run one seed and print its line; return the number of findings."""
    directory = Path(tempfile.mkdtemp(prefix=f"hostsoak-{seed}-"))
    soak = HostSoak(seed, directory)
    try:
        findings = soak.run(length_s)
    finally:
        soak.close()
    line = f"seed={seed} faults={soak.fault_count} {soak.ends.counts.line()}"
    print(f"{line} broken={len(findings)}", flush=True)
    for finding in findings[:10]:
        print(f"seed={seed} broken={finding.promise!r} {finding.detail}", flush=True)
    if findings:
        print(f"seed={seed} logs={directory}", flush=True)
    else:
        shutil.rmtree(directory)
    return len(findings)


def run_seed_in_process(seed: int, length_s: float) -> int:
    """Run one seed in a separate process; return its exit status."""
    command = [sys.executable, "-m", "tests.hostsoak", "--seed", str(seed)]
    command += ["--length-s", str(length_s)]
    return subprocess.run(command).returncode


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", help="FIRST-LAST")
    parser.add_argument("--parallel", type=int, default=4)
    parser.add_argument("--length-s", type=float, default=20.0)
    options = parser.parse_args()
    if not options.seeds:
        return 1 if run_seed(options.seed, options.length_s) else 0
    first, _, last = options.seeds.partition("-")
    seeds = range(int(first), int(last) + 1)
    with ThreadPoolExecutor(options.parallel) as executor:
        statuses = list(
            executor.map(
                lambda seed: run_seed_in_process(seed, options.length_s), seeds
            )
        )
    print(f"seeds={len(statuses)} with_findings={sum(map(bool, statuses))}")
    return 1 if any(statuses) else 0


if __name__ == "__main__":
    sys.exit(main())
