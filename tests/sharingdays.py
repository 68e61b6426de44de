"""Random fault schedules on virtual time against the staleness bound of shared reads.

Examples::

    python -m tests.sharingdays --seeds 1-200
    python -m tests.sharingdays --seeds 17-17 --faults silent_connections,large
    python -m tests.sharingdays --seeds 1-200 --faults all,restore
    python -m tests.sharingdays --seeds 1-200 --faults all,restore,evacuate

Each seed runs a simulated fleet through one schedule. Hosts are killed and restarted,
partitioned from the store and from each other, and refused by the store. Connections to
the store stall for good, and the store is unavailable, slow or loses its history. On
request (``--faults all,restore``) it also comes back from an older copy. With
``evacuate``, zones are evacuated and taken back, beside the faults. On most days the
pages of stale reads are of different ages, in any order.
Configurations, some of them large, and upstream entries change throughout. A host that
has been free of faults for SETTLE_S must know every version that is older than the
bound, whichever host reads the store for it. Exit status 1 means that one did not.
"""

import argparse
import random
import sys
from collections import Counter
from typing import NamedTuple

from testbed.steeringparts import VirtualScheduler, upstream
from tests.evacuationdays import BOUND_S as EVACUATION_BOUND_S, EvacuationSchedule
from tests.sharingfleet import single_route_config
from tests.steeringfakes import SimulatedFleet
from tests.steeringharness import config_with_routes

HOST_COUNT = 15
ZONES = "abc"
SEED_HOST_COUNT = 3
DAY_LENGTH_S = 40.0
WARM_UP_S = 12.0
# Hosts and the store count as settled this long after their last fault.
SETTLE_S = 4.0
# One bound for the configuration and for the entries of upstreams.
STALENESS_BOUND_S = 3.0
# Added to the bound until the store has been free of faults for SETTLE_S.
UNSETTLED_EXTRA_BOUND_S = 12.0
CHECK_INTERVAL_S = 0.05
LARGE_CONFIG_ROUTES = 450
# The most large configurations that hosts accept in the answer of one watch.
MAX_WATCH_CONFIGS = 10
# How old the copy is that the store is restored to, and how soon after that the
# operator and the upstreams have written again what is lost.
RESTORE_AGE_S = (1.0, 12.0)
MAX_REWRITE_DELAY_S = 1.0
# Lags of the pages of stale reads, in turn, on the days of each kind.
PAGE_LAGS_S = ((), (5.0, 0.0), (0.0, 5.0), (1.0, 5.0, 0.0), (3.0, 0.4, 0.0, 5.0, 0.0))
PAGE_ENDS = (("i-1",), ("i-0", "i-1", "i-2"))
# Stands for all kinds of faults but a restore, so that known seeds stay what they are.
ALL_BUT_RESTORE = "all"
EVACUATE = "evacuate"


class Put(NamedTuple):
    """A version of the configuration or of an entry, and when the store accepted it."""

    at_s: float
    version: int


class SimulatedDay:
    """A fleet, the fault schedule of one seed, and the violations of the bound."""

    def __init__(self, seed, fault_kinds=None):
        self._rng = random.Random(seed)
        self._entry_rng = random.Random(f"entries of {seed}")
        random.seed(seed)
        self.scheduler = VirtualScheduler()
        fault_kinds = fault_kinds or [ALL_BUT_RESTORE]
        settings = {}
        if EVACUATE in fault_kinds:
            settings["evacuation_bound_s"] = EVACUATION_BOUND_S
        self.fleet = SimulatedFleet(self.scheduler, **settings)
        self._store = self.fleet.store
        # Its own, so that the faults of a seed stay what they are.
        page_rng = random.Random(f"pages of {seed}")
        self._store.stale_page_lags_s = page_rng.choice(PAGE_LAGS_S)
        self._store.page_ends = page_rng.choice(PAGE_ENDS)
        self._store.max_watch_routes = MAX_WATCH_CONFIGS * LARGE_CONFIG_ROUTES
        self._config_puts = []
        self._entry_puts = []
        self._disturbed_until_s = {}
        # The end of the last fault that kept the store from all hosts or slowed it, and
        # the end of its last fault of any kind.
        self._store_unavailable_until_s = self._store_unstable_until_s = float("-inf")
        self.violations = []
        self.injected_faults = []
        self._copies = []
        self._fault_actions = self._choose_fault_actions(fault_kinds)
        self.evacuations = None
        if EVACUATE in fault_kinds:
            self.evacuations = EvacuationSchedule(
                self.scheduler,
                self._store,
                random.Random(f"evacuations of {seed}"),
                self._keep_copy,
            )
        self._publish_config()
        self._publish_entry()
        seeds = tuple(
            self.fleet.host_settings(number, "a").control_listen
            for number in range(1, SEED_HOST_COUNT + 1)
        )
        for number in range(1, HOST_COUNT + 1):
            self.fleet.add_host(ZONES[number % len(ZONES)], seeds, number)
        self._mark_hosts_disturbed(self.fleet.hosts, 0.0)

    def run(self):
        """Run the schedule; return the violations, one for each host and version."""
        self.scheduler.run_for(WARM_UP_S)
        self._day_end_s = self.now_s + DAY_LENGTH_S
        self._publish_configs_repeatedly()
        self._publish_entries_repeatedly()
        self._inject_faults_repeatedly()
        if self.evacuations is not None:
            self.evacuations.change_repeatedly()
        while self.now_s < self._day_end_s:
            self.scheduler.run_for(CHECK_INTERVAL_S)
            self._check_staleness()
        return self.violations

    @property
    def now_s(self):
        return self.scheduler.now_s()

    def _choose_fault_actions(self, kinds):
        """The actions of some kinds of faults, by name."""
        actions = {
            "kill": self._kill_hosts,
            "silent_link": self._silence_store_for_hosts,
            "refuse": self._refuse_hosts,
            "silent_connections": self._stall_connections,
            "peer_cut": self._partition_hosts,
            "zone_cut": self._partition_zone,
            "away": self._make_store_unavailable,
            "history": self._lose_history,
            "slow": self._slow_down_store,
            "storm": self._publish_burst,
            "large": self._publish_large_config,
        }
        if ALL_BUT_RESTORE not in kinds:
            actions = {name: actions[name] for name in actions if name in kinds}
        if "restore" in kinds:
            actions["restore"] = self._restore_store
        return actions

    # Changes and faults

    def _publish_configs_repeatedly(self):
        self._publish_config(self._rng.random() < 0.2)
        self.scheduler.call_later(
            self._rng.uniform(0.3, 6.0), self._publish_configs_repeatedly
        )

    def _publish_config(self, is_large=False):
        version = self._config_puts[-1].version + 1 if self._config_puts else 1
        config = (
            config_with_routes(version, LARGE_CONFIG_ROUTES)
            if is_large
            else single_route_config(version)
        )
        self._put_config(config)
        self._config_puts.append(Put(self.now_s, version))

    def _put_config(self, config):
        self._store.put_config(config)
        self._newest_config = config
        self._keep_copy()

    def _keep_copy(self):
        self._copies.append((self.now_s, self._store.take_copy()))

    def _publish_entries_repeatedly(self):
        self._publish_entry()
        pause_s = self._entry_rng.uniform(0.3, 6.0)
        self.scheduler.call_later(pause_s, self._publish_entries_repeatedly)

    def _publish_entry(self):
        """Publish two entries whose slots are their version."""
        version = len(self._entry_puts) + 1
        self._put_entries(version)
        if self.now_s >= self._store_unstable_until_s + SETTLE_S:
            self._entry_puts.append(Put(self.now_s, version))
        else:
            # No bound holds for what is published during or soon after a store fault.
            self._entry_puts.append(Put(float("inf"), version))

    def _put_entries(self, version):
        self._store.put_upstreams(
            self.now_s,
            upstream("1", slots=version),
            upstream("2", zone="b", slots=version),
        )
        self._keep_copy()

    def _inject_faults_repeatedly(self):
        """Inject a random fault now and schedule the next one."""
        name = self._rng.choice(list(self._fault_actions))
        self.injected_faults.append((round(self.now_s, 2), name))
        self._fault_actions[name]()
        self.scheduler.call_later(
            self._rng.uniform(0.5, 6.0), self._inject_faults_repeatedly
        )

    def _choose_hosts(self, share):
        """A share of the live hosts; half the time the first ones in reader order.

        So the hosts that read the store have faults more often than others.
        """
        hosts = [host for host in self.fleet.hosts if not host.is_down]
        count = max(1, round(share * len(hosts)))
        if hosts and self._rng.random() < 0.5:
            return sorted(hosts, key=lambda host: host.settings.control_listen)[:count]
        return self._rng.sample(hosts, min(count, len(hosts)))

    def _kill_hosts(self):
        length_s = self._rng.choice((0.3, 1.0, 3.0))
        hosts = self._choose_hosts(self._rng.choice((0.07, 0.3)))
        self._mark_hosts_disturbed(hosts, length_s)
        refuses_connections = self._rng.random() < 0.5
        for host in hosts:
            host.kill()
            host.refuses_connections = refuses_connections
            self.scheduler.call_later(
                length_s, lambda host=host: self._restart_host(host)
            )

    def _restart_host(self, host):
        self._mark_hosts_disturbed([host], 0.0)
        self.fleet.restart_host(host)

    def _silence_store_for_hosts(self):
        hosts = self._choose_hosts(self._rng.choice((0.07, 0.3)))
        self._affect_temporarily(self._store.silent_hosts, hosts)

    def _refuse_hosts(self):
        hosts = self._choose_hosts(0.35)
        length_s = self._affect_temporarily(self._store.refused_hosts, hosts)
        self._mark_store_unstable(length_s)

    def _affect_temporarily(self, host_names, hosts):
        """Add hosts to a set of the store for a random time, and return that time."""
        length_s = self._draw_fault_length_s()
        self._mark_hosts_disturbed(hosts, length_s)
        affected = {host.name for host in hosts} - host_names
        host_names |= affected
        self.scheduler.call_later(
            length_s, lambda: host_names.difference_update(affected)
        )
        return length_s

    def _stall_connections(self):
        hosts = self._choose_hosts(self._rng.choice((0.07, 0.3, 1.0)))
        self._mark_hosts_disturbed(hosts, 0.0)
        for host in hosts:
            host.store.stall_connections()

    def _partition_hosts(self):
        """Partition some hosts from all others, but not from the store or clients."""
        self._partition_from_others(set(self._choose_hosts(0.2)))

    def _partition_zone(self):
        zone = self._rng.choice(ZONES)
        self._partition_from_others(
            {host for host in self.fleet.hosts if host.settings.zone == zone}
        )

    def _partition_from_others(self, hosts):
        partitioned = {host.name for host in hosts}
        others = {host.name for host in self.fleet.hosts} - partitioned
        pairs = {(one, other) for one in partitioned for other in others}
        pairs |= {(other, one) for one, other in pairs}
        pairs -= self.fleet.partitioned_pairs
        self.fleet.partitioned_pairs |= pairs
        self.scheduler.call_later(
            self._draw_fault_length_s(),
            lambda: self.fleet.partitioned_pairs.difference_update(pairs),
        )

    def _make_store_unavailable(self):
        """Let the store answer nobody for a random time, and return that time."""
        length_s = self._draw_fault_length_s()
        all_names = {host.name for host in self.fleet.hosts}
        is_silent = self._rng.random() < 0.5
        host_names = (
            self._store.silent_hosts if is_silent else self._store.refused_hosts
        )
        affected = all_names - host_names
        host_names |= affected
        self._mark_store_unstable(length_s)
        self._store_unavailable_until_s = max(
            self._store_unavailable_until_s, self.now_s + length_s
        )
        self.scheduler.call_later(
            length_s, lambda: host_names.difference_update(affected)
        )
        return length_s

    def _lose_history(self):
        """Fail watches for a moment, and let stale reads lag for longer."""
        self._store.is_history_lost = True
        self._store.stale_read_lag_s = self._rng.uniform(2.0, 6.0)
        length_s = self._draw_fault_length_s()
        self._mark_store_unstable(length_s)
        self.scheduler.call_later(0.1, self._restore_history)
        self.scheduler.call_later(length_s, self._end_stale_reads)

    def _restore_history(self):
        self._store.is_history_lost = False

    def _end_stale_reads(self):
        self._store.stale_read_lag_s = 0.0

    def _restore_store(self):
        """Make the store unavailable and bring it back from an older copy.

        What is lost is written again soon after. Half the time the lease of the first
        entry is lost too, so that the entry is missing until then.
        """
        age_s = self._rng.uniform(*RESTORE_AGE_S)
        keeps_leases = self._rng.random() < 0.5
        rewrite_delay_s = self._rng.uniform(0.0, MAX_REWRITE_DELAY_S)
        length_s = self._make_store_unavailable()

        def restore():
            taken_before_s = self.now_s - age_s
            copies = [copy for at_s, copy in self._copies if at_s <= taken_before_s]
            self._store.restore(copies[-1], self.now_s)
            if not keeps_leases:
                self._store.put_upstreams(self.now_s, *self._store.upstreams[1:])
            self.scheduler.call_later(rewrite_delay_s, self._write_again)

        self.scheduler.call_later(length_s, restore)

    def _write_again(self):
        """Write the newest configuration and entries to a restored store."""
        self._put_config(self._newest_config)
        self._put_entries(len(self._entry_puts))
        if self.evacuations is not None:
            self.evacuations.write_again()
        self._mark_store_unstable(0.0)

    def _slow_down_store(self):
        length_s = self._draw_fault_length_s()
        usual_s, self._store.answer_delay_s = self._store.answer_delay_s, 0.24
        self._mark_store_unstable(length_s)
        self._store_unavailable_until_s = max(
            self._store_unavailable_until_s, self.now_s + length_s
        )

        def restore_delay():
            self._store.answer_delay_s = min(usual_s, 0.004)

        self.scheduler.call_later(length_s, restore_delay)

    def _publish_burst(self):
        """Publish many configurations in quick succession."""
        is_large = self._rng.random() < 0.5
        for number in range(self._rng.choice((5, 12, 25))):
            self.scheduler.call_later(
                number * self._rng.choice((0.06, 0.33)),
                lambda: self._publish_config(is_large),
            )

    def _publish_large_config(self):
        self._publish_config(is_large=True)

    def _draw_fault_length_s(self):
        return self._rng.choice((0.5, 1.0, 2.0, 4.0, 6.0))

    # Checks of the bound

    def _mark_hosts_disturbed(self, hosts, length_s):
        """Exempt hosts from the bound until SETTLE_S after a fault of this length."""
        for host in hosts:
            until_s = self.now_s + length_s
            previous_until_s = self._disturbed_until_s.get(host.name, 0.0)
            self._disturbed_until_s[host.name] = max(previous_until_s, until_s)

    def _mark_store_unstable(self, length_s):
        """Relax the bound until SETTLE_S after a store fault of this length."""
        self._store_unstable_until_s = max(
            self._store_unstable_until_s, self.now_s + length_s
        )

    def _check_staleness(self):
        """Record a violation for each settled host that lacks a due version."""
        if self.now_s < self._store_unavailable_until_s + SETTLE_S:
            return
        is_store_settled = self.now_s >= self._store_unstable_until_s + SETTLE_S
        config_due = self._newest_due(
            self._config_puts, 0.0 if is_store_settled else UNSETTLED_EXTRA_BOUND_S
        )
        entry_due = (
            self._newest_due(self._entry_puts, 0.0) if is_store_settled else None
        )
        for host in self.fleet.hosts:
            undisturbed_s = self.now_s - self._disturbed_until_s[host.name]
            if not host.is_down and undisturbed_s >= SETTLE_S:
                self._check_host(host, config_due, host.view.version)
                self._check_host(host, entry_due, _entry_version(host))
                self._check_evacuations(host, is_store_settled)

    def _check_evacuations(self, host, is_store_settled):
        if self.evacuations is None:
            return
        for state in self.evacuations.late_states(
            host, self._store_unavailable_until_s, is_store_settled
        ):
            self._add_violation(host, state)

    def _newest_due(self, puts, extra_s):
        """The newest version that has to be known by now; None if there is none."""
        latest_s = self.now_s - STALENESS_BOUND_S - extra_s
        return next((put for put in reversed(puts) if put.at_s <= latest_s), None)

    def _check_host(self, host, due, version):
        if due is not None and version < due.version:
            self._add_violation(host, due)

    def _add_violation(self, host, due):
        key = (host.name, due)
        if key not in [violation[:2] for violation in self.violations]:
            late_s = self.now_s - due.at_s
            self.violations.append((*key, round(self.now_s, 2), round(late_s, 2)))


def _entry_version(host):
    """The version that a host knows of both published entries; 0 if none."""
    entries = map(host.directory.get, ("i-1", "i-2"))
    return min(0 if entry is None else entry.upstream.slots for entry in entries)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", default="1-100", help="FIRST-LAST")
    parser.add_argument("--faults", help="comma-separated kinds of faults to inject")
    options = parser.parse_args()
    first, last = map(int, options.seeds.split("-"))
    fault_kinds = options.faults.split(",") if options.faults else None
    seeds_by_outcome = Counter()
    for seed in range(first, last + 1):
        day = SimulatedDay(seed, fault_kinds)
        violations = day.run()
        seeds_by_outcome[bool(violations)] += 1
        if violations:
            host, due, at_s, late_s = violations[0]
            print(
                f"seed={seed} broken={len(violations)} first={host} due={due} "
                f"at_s={at_s} late_s={late_s} faults={day.injected_faults}",
                flush=True,
            )
    print(f"days={sum(seeds_by_outcome.values())} broken={seeds_by_outcome[True]}")
    return 1 if seeds_by_outcome[True] else 0


if __name__ == "__main__":
    sys.exit(main())
