"""One availability zone on virtual time, with the faults that leases must survive.

Hosts run the lease modules over an in-memory network whose frames are lost, delayed,
duplicated and cut in one direction. A ``frozen`` host neither sends nor receives, and
its clock stands still and jumps when it wakes, as the clock of a stopped process
seems to do to its own code.
"""

import asyncio
import json
import random

from tests.fakes import FakeNetwork, FakeStore, LocalValues
from wisteriatiller.foundation.interfaces import Clock, EventLoopClock, StoreEntry
from wisteriatiller.ids import ShardId, ZoneId
from wisteriatiller.leases.grantors import LeaseGrantor
from wisteriatiller.leases.grantorviews import GrantorViewManager
from wisteriatiller.leases.majorityleases import MajorityLeases
from wisteriatiller.leases.ownership import Ownership
from wisteriatiller.store.platformhosts import HOSTS_KEY

ZONE = ZoneId("brest")
OBSERVE_S = 0.02
GOSSIP_S = 0.3


class LossyNetwork(FakeNetwork):
    """Frames between peers are also lost, delayed, duplicated and cut one way."""

    def __init__(self, seed=0):
        super().__init__(seed)
        self.frame_loss = 0.0
        self.frame_duplication = 0.0
        self.slow_share = 0.0
        self.slow_s = 4.0
        self.one_way_cuts = set()
        self.frozen = {}

    def send_frame(self, source, host_id, frame):
        copies = 1 + (self.random.random() < self.frame_duplication)
        for _ in range(copies):
            if self.random.random() < self.frame_loss:
                continue
            delay_s = self.random.uniform(*self.delay_s)
            if self.random.random() < self.slow_share:
                delay_s += self.random.uniform(0, self.slow_s)
            asyncio.get_running_loop().call_later(
                delay_s, self._pass_on, source, host_id, frame
            )

    def _pass_on(self, source, host_id, frame):
        target = self._peers.get(host_id)
        if target is None or not source.node.alive:
            return
        if (source.host_id, host_id) in self.one_way_cuts:
            return
        for end in (source.host_id, host_id):
            if end in self.frozen:
                self.frozen[end].append((source, host_id, frame))
                return
        if not self.is_cut(source.node, target.node):
            target.receive_frame(frame)

    def freeze(self, host_id):
        self.frozen.setdefault(host_id, [])

    def wake(self, host_id):
        """Deliver late what was sent to and by a frozen host."""
        for source, target, frame in self.frozen.pop(host_id):
            self._pass_on(source, target, frame)

    def can_send(self, source, target):
        if (source, target) in self.one_way_cuts or {source, target} & set(self.frozen):
            return False
        ends = (self._nodes.get(source), self._nodes.get(target))
        return None not in ends and not self.is_cut(*ends)


class HostClock(Clock):
    """A clock with its own rate that stands still while the host is frozen."""

    def __init__(self, rate=1.0):
        self.rate = rate
        self.stopped_at_s = None
        self._loop_clock = EventLoopClock()
        self._base_s = (0.0, 0.0)

    def now_s(self):
        if self.stopped_at_s is not None:
            return self.stopped_at_s
        own_s, loop_s = self._base_s
        return own_s + (self._loop_clock.now_s() - loop_s) * self.rate

    def set_rate(self, rate):
        self._base_s = (self.now_s(), self._loop_clock.now_s())
        self.rate = rate

    def stop(self):
        self.stopped_at_s = self.now_s()

    def go_on(self):
        self.stopped_at_s = None


class BelievedMembership(LocalValues):
    """Liveness as the test says it, and gossip that reaches whom the network lets."""

    def __init__(self, host_id, zone):
        super().__init__()
        self.believed_dead = set()
        self._host_id = host_id
        self._zone = zone

    def live_hosts(self, zone):
        if zone != ZONE:
            return ()
        return tuple(h for h in self._zone.hosts if self.is_live(h))

    def is_live(self, host_id):
        return host_id in self._zone.hosts and host_id not in self.believed_dead

    def address_of(self, host_id):
        return self._zone.network.address(host_id)

    async def gossip(self):
        while True:
            await asyncio.sleep(GOSSIP_S * self._zone.random.uniform(0.5, 1.5))
            target = self._zone.hosts.get(self._zone.random.choice(self._zone.names))
            if target and self._zone.network.can_send(self._host_id, target.host_id):
                for key, (version, value) in list(self._values.items()):
                    target.membership.publish(key, version, value)


class ZoneHost:
    """The lease modules of one host."""

    def __init__(self, zone, host_id):
        self.host_id = host_id
        self.environment = zone.network.environment(host_id, ZONE, zone.store)
        self.environment.store.away = host_id in zone.store_cut
        self.environment.clock = HostClock(zone.random.uniform(0.955, 1.045))
        self.clock = self.environment.clock
        self.membership = BelievedMembership(host_id, zone)
        self.ownership = Ownership(self.environment, self.membership)
        self.views = GrantorViewManager(self.environment, self.membership)
        self.grantor = LeaseGrantor(self.environment, self.views)
        self.leases = zone.make_leases(self)
        self.tasks = []

    def start(self):
        for coroutine in (
            self.membership.gossip(),
            self.views.run(),
            self.leases.run(),
        ):
            self.run(coroutine)

    def run(self, coroutine):
        self.tasks.append(asyncio.get_running_loop().create_task(coroutine))

    def stop(self):
        for task in self.tasks:
            if task.done():
                task.result()
            task.cancel()


class Zone:
    """Hosts, faults and the observer of one availability zone."""

    def __init__(self, seed, count=5, shard_count=2):
        self.random = random.Random(f"zone {seed}")
        self.network = LossyNetwork(seed)
        self.store = FakeStore()
        self.shard_count = shard_count
        self.shards = [ShardId(ZONE, index) for index in range(shard_count)]
        self.names = [f"host-{index}" for index in range(count)]
        self.hosts = {}
        self.make_leases = lambda host: MajorityLeases(
            host.environment,
            host.membership,
            host.ownership,
            host.views,
            lambda: self.shard_count,
        )
        self.make_host = ZoneHost
        self.store_cut = set()
        self.checks = 0
        self.held_checks = 0
        self.violations = []

    async def start(self, names=None):
        """Start all hosts, or only some that the platform lists so far."""
        await self.list_hosts(names or self.names)
        for name in names or self.names:
            self.boot(name)
        self.observer = asyncio.get_running_loop().create_task(self._observe())

    def boot(self, name):
        """Start a process; the memory of a former one of the host is gone."""
        self.crash(name)
        host = self.hosts[name] = self.make_host(self, name)
        host.start()
        return host

    def crash(self, name):
        host = self.hosts.pop(name, None)
        self.network.frozen.pop(name, None)
        if host is not None:
            host.stop()
            self.network.crash(name)

    def stop(self):
        self.observer.cancel()
        for name in list(self.hosts):
            self.crash(name)

    async def list_hosts(self, names, leaving=()):
        """Set the platform's list of hosts."""
        entries = [
            {
                "host_id": name,
                "zone": ZONE,
                "admin": "127.0.0.1:1",
                "state": "leaving" if name in leaving else "live",
            }
            for name in names
        ]
        entry = await self.store.get(HOSTS_KEY)
        index = entry.index if isinstance(entry, StoreEntry) else 0
        await self.store.compare_and_swap(
            HOSTS_KEY, json.dumps(entries).encode(), index
        )

    def partition(self, group, cut_store=False):
        """Cut a group off from the others; each side believes the other dead."""
        group = set(group)
        others = set(self.names) - group
        self.network.cut(group, others)
        for side, far_side in ((group, others), (others, group)):
            for name in side & set(self.hosts):
                self.hosts[name].membership.believed_dead.update(far_side)
        if cut_store:
            self.cut_store(group)

    def cut_store(self, names):
        """Let the store be away for some hosts only."""
        self.store_cut = set(names)
        for name, host in self.hosts.items():
            host.environment.store.away = name in self.store_cut

    def freeze(self, name):
        if name in self.hosts and name not in self.network.frozen:
            self.hosts[name].clock.stop()
            self.network.freeze(name)

    def wake(self, name):
        if name in self.network.frozen:
            self.hosts[name].clock.go_on()
            self.network.wake(name)

    def heal(self):
        self.network.heal()
        self.network.one_way_cuts.clear()
        self.cut_store(())
        self.network.frame_loss = self.network.frame_duplication = 0.0
        self.network.slow_share = 0.0
        for name in list(self.network.frozen):
            self.wake(name)
        for host in self.hosts.values():
            host.membership.believed_dead.clear()

    def holders(self, shard):
        """The hosts that hold the lease and could act on it now."""
        return [
            name
            for name, host in self.hosts.items()
            if name not in self.network.frozen and host.leases.remaining_s(shard) > 0
        ]

    async def _observe(self):
        while True:
            self.observe_once()
            await asyncio.sleep(OBSERVE_S)

    def observe_once(self):
        now_s = asyncio.get_running_loop().time()
        for shard in self.shards:
            holders = self.holders(shard)
            self.checks += 1
            self.held_checks += bool(holders)
            if len(holders) > 1:
                self.violations.append((now_s, str(shard), tuple(holders)))

    async def wait_owned(self, limit_s):
        """Wait until each shard has an owner; the time it took, None if too long."""
        started_s = asyncio.get_running_loop().time()
        while True:
            passed_s = asyncio.get_running_loop().time() - started_s
            if all(self.holders(shard) for shard in self.shards):
                return passed_s
            if passed_s > limit_s:
                return None
            await asyncio.sleep(0.05)
