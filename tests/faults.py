"""Random faults in a zone, for long runs on seeds.

``python -m tests.faults HOSTS MINUTES SEEDS FIRST`` runs more of them than the
feature does and prints one line for each seed.
"""

import asyncio
import sys

from tests.fakes import run_virtual
from tests.zone import Zone

HEAL_LIMIT_S = 60.0


class Faults:
    """Applies one random fault after another to a zone."""

    def __init__(self, zone):
        self.zone = zone
        self.random = zone.random
        self.actions = (
            self.crash,
            self.boot,
            self.boot,
            self.freeze,
            self.freeze_owner,
            self.wake,
            self.wake,
            self.cut_one_way,
            self.cut_owner,
            self.isolate_owner,
            self.isolate_owner,
            self.partition,
            self.partition,
            self.restart_others,
            self.mend,
            self.mend,
            self.mend,
            self.mend,
            self.believe_dead,
            self.disturb,
            self.calm,
            self.calm,
            self.change_list,
            self.toggle_store,
        )

    async def run(self, duration_s):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        while loop.time() < end_s:
            await asyncio.sleep(self.random.expovariate(1.0))
            action = self.random.choice(self.actions)
            outcome = action()
            if outcome is not None:
                await outcome
            self.zone.observe_once()

    async def heal(self):
        zone = self.zone
        zone.store.set_away(False)
        await zone.list_hosts(zone.names)
        for name in zone.names:
            if name not in zone.hosts:
                zone.boot(name)
        zone.heal()
        zone.observe_once()

    def pick(self):
        return self.random.choice(self.zone.names)

    def owner(self):
        holders = self.zone.holders(self.random.choice(self.zone.shards))
        return holders[0] if holders else self.pick()

    def crash(self):
        if len(self.zone.hosts) > len(self.zone.names) // 2:
            self.zone.crash(self.pick())

    def boot(self):
        missing = [name for name in self.zone.names if name not in self.zone.hosts]
        if missing:
            self.zone.boot(self.random.choice(missing))

    def freeze(self):
        self.zone.freeze(self.pick())

    def freeze_owner(self):
        self.zone.freeze(self.owner())

    def wake(self):
        if self.zone.network.frozen:
            self.zone.wake(self.random.choice(sorted(self.zone.network.frozen)))

    def cut_one_way(self):
        self.zone.network.one_way_cuts.add((self.pick(), self.pick()))

    def cut_owner(self):
        owner = self.owner()
        for name in self.zone.names:
            if self.random.random() < 0.6:
                pair = (owner, name) if self.random.random() < 0.5 else (name, owner)
                self.zone.network.one_way_cuts.add(pair)

    def isolate_owner(self):
        self.zone.partition([self.owner()], self.random.random() < 0.5)

    def partition(self):
        count = self.random.randrange(1, len(self.zone.names))
        group = {self.owner(), *self.random.sample(self.zone.names, count)}
        self.zone.partition(group, self.random.random() < 0.5)

    async def restart_others(self):
        """Restart most hosts at nearly the same time, without the owner."""
        owner = self.owner()
        if self.random.random() < 0.7:
            self.zone.partition([owner])
        for name in self.zone.names:
            if name != owner and self.random.random() < 0.7:
                await asyncio.sleep(self.random.uniform(0, 0.3))
                believed_dead = set()
                if name in self.zone.hosts:
                    believed_dead = self.zone.hosts[name].membership.believed_dead
                self.zone.boot(name).membership.believed_dead.update(believed_dead)

    async def mend(self):
        """End the cuts, and mostly give the zone the time to settle."""
        zone = self.zone
        zone.network.heal()
        zone.network.one_way_cuts.clear()
        zone.cut_store(())
        for name in list(zone.network.frozen):
            zone.wake(name)
        for host in zone.hosts.values():
            host.membership.believed_dead.clear()
        zone.observe_once()
        await asyncio.sleep(self.random.uniform(0, 8))

    def believe_dead(self):
        believer = self.zone.hosts.get(self.pick())
        if believer is not None:
            suspect = self.owner()
            if suspect != believer.host_id:
                believer.membership.believed_dead.add(suspect)

    def disturb(self):
        network = self.zone.network
        network.frame_loss = self.random.choice((0.0, 0.1, 0.3))
        network.frame_duplication = self.random.choice((0.0, 0.2))
        network.slow_share = self.random.choice((0.0, 0.2, 0.5))
        network.slow_s = self.random.choice((0.5, 4.0, 10.0))

    def calm(self):
        network = self.zone.network
        network.frame_loss = network.frame_duplication = network.slow_share = 0.0

    def change_list(self):
        """Take a host away, whose processes the platform ends, or let some leave."""
        names = list(self.zone.names)
        if self.random.random() < 0.4 and len(self.zone.hosts) > 2:
            gone = self.pick()
            self.zone.crash(gone)
            names.remove(gone)
        leaving = [name for name in names if self.random.random() < 0.3]
        return self.zone.list_hosts(names, leaving)

    def toggle_store(self):
        self.zone.store.set_away(self.random.random() < 0.3)


async def run_faults(seed, hosts, duration_s):
    """Run one seed; returns the zone and the time to owners after healing."""
    zone = Zone(seed, hosts)
    await zone.start()
    await zone.wait_owned(30)
    faults = Faults(zone)
    await faults.run(duration_s)
    await faults.heal()
    recovered_s = await zone.wait_owned(HEAL_LIMIT_S)
    zone.stop()
    return zone, recovered_s


def run_seed(seed, hosts, duration_s):
    return run_virtual(run_faults(seed, hosts, duration_s), seed)


def main():
    hosts, minutes, seeds, first = map(int, sys.argv[1:5])
    for seed in range(first, first + seeds):
        zone, recovered_s = run_seed(seed, hosts, minutes * 60)
        print(
            f"seed={seed} hosts={hosts} minutes={minutes} checks={zone.checks} "
            f"held={zone.held_checks} violations={zone.violations[:3]} "
            f"recovered_s={recovered_s}",
            flush=True,
        )


if __name__ == "__main__":
    main()
