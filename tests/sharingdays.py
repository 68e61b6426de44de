"""Random days of a sharing fleet on virtual time, held to the bounds of its reads.

Examples::

    python -m tests.sharingdays --seeds 1-200
    python -m tests.sharingdays --seeds 17-17 --faults silent_connections,large

Hosts are killed, started again and frozen, cut off from the store and from each other,
and refused; connections to the store fall silent for good, the store is away or forgets
its history, and configurations, some of them large, and entries of upstreams change all
the while. A host that nothing has disturbed for a while must know what was put so long
ago, whoever reads the store for it. Exit status 1 means that one did not.
"""

import argparse
import random
import sys
from collections import Counter
from typing import NamedTuple

from testbed.steeringparts import VirtualScheduler, upstream
from tests.sharingfleet import single_route_config
from tests.steeringfakes import SimulatedFleet
from tests.steeringharness import config_with_routes

HOSTS = 15
ZONES = "abc"
SEEDS = 3
DAY_S = 40.0
WARM_UP_S = 12.0
CALM_S = 4.0
# The same for the configuration and for the entries of upstreams.
BOUND_S = 3.0
# How much longer the bound is before the store has been calm for CALM_S.
STRETCH_S = 12.0
CHECK_INTERVAL_S = 0.05
LARGE_ROUTES = 450
# Large configurations in the answer of one watch.
MAX_WATCH_CONFIGS = 10


class Put(NamedTuple):
    """A version that the store has acknowledged, of the configuration or an entry."""

    at_s: float
    version: int


class Day:
    """A fleet, its faults by one seed, and what broke the bound."""

    def __init__(self, seed, kinds=None):
        self._rng = random.Random(seed)
        self._entry_rng = random.Random(f"entries of {seed}")
        random.seed(seed)
        self.scheduler = VirtualScheduler()
        self.fleet = SimulatedFleet(self.scheduler)
        self._store = self.fleet.store
        self._store.max_watch_routes = MAX_WATCH_CONFIGS * LARGE_ROUTES
        self._puts = []
        self._entry_puts = []
        self._disturbed_until_s = {}
        # When the store was last away, and when it was last disturbed at all.
        self._away_until_s = self._unstable_until_s = float("-inf")
        self.broken = []
        self.faults = []
        self._kinds = {
            name: action
            for name, action in self._actions().items()
            if not kinds or name in kinds
        }
        self._put()
        self._put_entry()
        seeds = tuple(
            self.fleet.host_settings(number, "a").control_listen
            for number in range(1, SEEDS + 1)
        )
        for number in range(1, HOSTS + 1):
            self.fleet.add_host(ZONES[number % len(ZONES)], seeds, number)
        self._disturb(self.fleet.hosts, 0.0)

    def play(self):
        """Play the day; the broken bounds, each once for a host and a version."""
        self.scheduler.run_for(WARM_UP_S)
        self._end_s = self.now_s + DAY_S
        self._change()
        self._change_entry()
        self._strike()
        while self.now_s < self._end_s:
            self.scheduler.run_for(CHECK_INTERVAL_S)
            self._check()
        return self.broken

    @property
    def now_s(self):
        return self.scheduler.now_s()

    def _actions(self):
        return {
            "kill": self._kill,
            "silent_link": self._cut_silently,
            "refuse": self._refuse,
            "silent_connections": self._stall,
            "peer_cut": self._cut_peers,
            "zone_cut": self._cut_zone,
            "away": self._away,
            "history": self._forget,
            "slow": self._slow,
            "storm": self._storm,
            "large": self._large,
        }

    # Changes and faults

    def _change(self):
        self._put(self._rng.random() < 0.2)
        self.scheduler.call_later(self._rng.uniform(0.3, 6.0), self._change)

    def _put(self, is_large=False):
        version = self._puts[-1].version + 1 if self._puts else 1
        made = (
            config_with_routes(version, LARGE_ROUTES)
            if is_large
            else single_route_config(version)
        )
        self._store.put_config(made)
        self._puts.append(Put(self.now_s, version))

    def _change_entry(self):
        self._put_entry()
        pause_s = self._entry_rng.uniform(0.3, 6.0)
        self.scheduler.call_later(pause_s, self._change_entry)

    def _put_entry(self):
        """Change an entry; its slots tell the version."""
        version = len(self._entry_puts) + 1
        self._store.put_upstreams(
            self.now_s, upstream("1", slots=version), upstream("2", zone="b")
        )
        if self.now_s >= self._unstable_until_s + CALM_S:
            self._entry_puts.append(Put(self.now_s, version))
        else:
            # What the store takes while it is not calm is bound to no time.
            self._entry_puts.append(Put(float("inf"), version))

    def _strike(self):
        name = self._rng.choice(list(self._kinds))
        self.faults.append((round(self.now_s, 2), name))
        self._kinds[name]()
        self.scheduler.call_later(self._rng.uniform(0.5, 6.0), self._strike)

    def _some(self, share):
        """Readers are struck more often than their number says."""
        hosts = [host for host in self.fleet.hosts if not host.is_down]
        count = max(1, round(share * len(hosts)))
        if hosts and self._rng.random() < 0.5:
            return sorted(hosts, key=lambda host: host.settings.control_listen)[:count]
        return self._rng.sample(hosts, min(count, len(hosts)))

    def _kill(self):
        length_s = self._rng.choice((0.3, 1.0, 3.0))
        hosts = self._some(self._rng.choice((0.07, 0.3)))
        self._disturb(hosts, length_s)
        refuses_connections = self._rng.random() < 0.5
        for host in hosts:
            host.kill()
            host.refuses_connections = refuses_connections
            self.scheduler.call_later(length_s, lambda host=host: self._start(host))

    def _start(self, host):
        self._disturb([host], 0.0)
        self.fleet.restart_host(host)

    def _cut_silently(self):
        hosts = self._some(self._rng.choice((0.07, 0.3)))
        self._for_a_while(self._store.silent_hosts, hosts)

    def _refuse(self):
        hosts = self._some(0.35)
        length_s = self._for_a_while(self._store.refused_hosts, hosts)
        self._unsettle(length_s)

    def _for_a_while(self, names, hosts):
        length_s = self._length_s()
        self._disturb(hosts, length_s)
        struck = {host.name for host in hosts} - names
        names |= struck
        self.scheduler.call_later(length_s, lambda: names.difference_update(struck))
        return length_s

    def _stall(self):
        hosts = self._some(self._rng.choice((0.07, 0.3, 1.0)))
        self._disturb(hosts, 0.0)
        for host in hosts:
            host.store.stall_connections()

    def _cut_peers(self):
        """Cut some hosts off from all others; they reach the store and serve."""
        self._cut_between(set(self._some(0.2)))

    def _cut_zone(self):
        zone = self._rng.choice(ZONES)
        self._cut_between(
            {host for host in self.fleet.hosts if host.settings.zone == zone}
        )

    def _cut_between(self, hosts):
        inside = {host.name for host in hosts}
        outside = {host.name for host in self.fleet.hosts} - inside
        pairs = {(one, other) for one in inside for other in outside}
        pairs |= {(other, one) for one, other in pairs}
        pairs -= self.fleet.partitioned_pairs
        self.fleet.partitioned_pairs |= pairs
        self.scheduler.call_later(
            self._length_s(),
            lambda: self.fleet.partitioned_pairs.difference_update(pairs),
        )

    def _away(self):
        length_s = self._length_s()
        names = {host.name for host in self.fleet.hosts}
        is_silent = self._rng.random() < 0.5
        group = self._store.silent_hosts if is_silent else self._store.refused_hosts
        struck = names - group
        group |= struck
        self._unsettle(length_s)
        self._away_until_s = max(self._away_until_s, self.now_s + length_s)
        self.scheduler.call_later(length_s, lambda: group.difference_update(struck))

    def _forget(self):
        self._store.is_history_lost = True
        self._store.stale_read_lag_s = self._rng.uniform(2.0, 6.0)
        length_s = self._length_s()
        self._unsettle(length_s)
        self.scheduler.call_later(0.1, self._remember)
        self.scheduler.call_later(length_s, self._catch_up)

    def _remember(self):
        self._store.is_history_lost = False

    def _catch_up(self):
        self._store.stale_read_lag_s = 0.0

    def _slow(self):
        length_s = self._length_s()
        usual_s, self._store.answer_delay_s = self._store.answer_delay_s, 0.24
        self._unsettle(length_s)
        self._away_until_s = max(self._away_until_s, self.now_s + length_s)

        def mend():
            self._store.answer_delay_s = min(usual_s, 0.004)

        self.scheduler.call_later(length_s, mend)

    def _storm(self):
        is_large = self._rng.random() < 0.5
        for number in range(self._rng.choice((5, 12, 25))):
            self.scheduler.call_later(
                number * self._rng.choice((0.06, 0.33)), lambda: self._put(is_large)
            )

    def _large(self):
        self._put(is_large=True)

    def _length_s(self):
        return self._rng.choice((0.5, 1.0, 2.0, 4.0, 6.0))

    # The bound

    def _disturb(self, hosts, length_s):
        for host in hosts:
            until_s = self.now_s + length_s
            known_s = self._disturbed_until_s.get(host.name, 0.0)
            self._disturbed_until_s[host.name] = max(known_s, until_s)

    def _unsettle(self, length_s):
        self._unstable_until_s = max(self._unstable_until_s, self.now_s + length_s)

    def _check(self):
        if self.now_s < self._away_until_s + CALM_S:
            return
        is_stable = self.now_s >= self._unstable_until_s + CALM_S
        config_due = self._due(self._puts, 0.0 if is_stable else STRETCH_S)
        entry_due = self._due(self._entry_puts, 0.0) if is_stable else None
        for host in self.fleet.hosts:
            calm_s = self.now_s - self._disturbed_until_s[host.name]
            if not host.is_down and calm_s >= CALM_S:
                self._check_host(host, config_due, host.view.version)
                self._check_host(host, entry_due, _entry_version(host))

    def _due(self, puts, stretch_s):
        """The newest version that has to be known by now."""
        latest_s = self.now_s - BOUND_S - stretch_s
        return next((put for put in reversed(puts) if put.at_s <= latest_s), None)

    def _check_host(self, host, due, version):
        if due is None or version >= due.version:
            return
        key = (host.name, due)
        if key not in [found[:2] for found in self.broken]:
            late_s = self.now_s - due.at_s
            self.broken.append((*key, round(self.now_s, 2), round(late_s, 2)))


def _entry_version(host):
    entry = host.directory.get("i-1")
    return 0 if entry is None else entry.upstream.slots


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", default="1-100", help="FIRST-LAST")
    parser.add_argument("--faults", help="only these kinds, with commas between them")
    options = parser.parse_args()
    first, last = map(int, options.seeds.split("-"))
    kinds = options.faults.split(",") if options.faults else None
    found = Counter()
    for seed in range(first, last + 1):
        day = Day(seed, kinds)
        broken = day.play()
        found[bool(broken)] += 1
        if broken:
            host, due, at_s, late_s = broken[0]
            print(
                f"seed={seed} broken={len(broken)} first={host} due={due} "
                f"at_s={at_s} late_s={late_s} faults={day.faults}",
                flush=True,
            )
    print(f"days={sum(found.values())} broken={found[True]}")
    return 1 if found[True] else 0


if __name__ == "__main__":
    sys.exit(main())
