"""Stand-ins at the ports, for many hosts in one process on virtual time.

::

    async def scenario():
        network = FakeNetwork(seed=7)
        store = FakeStore()
        hosts = [network.environment(f"a{i}", "zone-a", store) for i in range(3)]
        ...

    run_virtual(scenario(), seed=7)
"""

import asyncio
import random
from collections.abc import Coroutine, Iterable

import looptime

from wisteriatiller.configuration.settings import HostSettings, Seed
from wisteriatiller.exceptions import InvariantBroken
from wisteriatiller.foundation.environment import Environment
from wisteriatiller.foundation.interfaces import (
    Clock,
    DatagramSocket,
    DatagramSocketFactory,
    EventLoopClock,
    Store,
    StoreEntry,
    StoreKeyMissing,
)
from wisteriatiller.foundation.metrics import InMemoryMetrics
from wisteriatiller.ids import Address, HostId, Revision, ZoneId
from wisteriatiller.membership.membership import (
    GossipListener,
    HostState,
    Member,
    Membership,
)
from wisteriatiller.outcomes import Conflict, StoreUnavailable
from wisteriatiller.store.consul import REQUEST_TIMEOUT_S
from wisteriatiller.transport.basemessenger import BasePeerMessenger

PEER_KEY = b"a key for tests of sixteen bytes or more"
PEER_PORT = 7400
FABRIC_PORT = 7401
UPSTREAM_PORT = 7402
ADMIN_PORT = 7403
FABRIC_RETURN = Address("10.255.0.1", 7000)

_virtual_loop = looptime.make_event_loop_class(asyncio.SelectorEventLoop)


def run_virtual(coroutine: Coroutine, seed: int = 0, end_s: float | None = None):
    """Run ``coroutine`` on virtual time and return its result.

    A broken invariant is raised here, also if it was met in a background task, and so
    is the first error of a callback. Tasks that still run are cancelled at the end.
    """
    random.seed(seed)
    errors = []

    async def run():
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: errors.append(context)
        )
        return await coroutine

    # Waits in no operation cycles only help code that busy-waits on real input.
    factory = lambda: _virtual_loop(start=1000.0, end=end_s, noop_cycles=0)  # noqa: E731
    try:
        with asyncio.Runner(loop_factory=factory) as runner:
            result = runner.run(run())
    except SystemExit as stop:
        if isinstance(stop.__cause__, InvariantBroken):
            raise stop.__cause__ from None
        raise
    if errors:
        raise errors[0].get("exception") or AssertionError(errors[0]["message"])
    return result


class FakeClock(Clock):
    """The loop's clock with an offset, to let one host seem to have been frozen."""

    def __init__(self):
        self.offset_s = 0.0
        self._loop_clock = EventLoopClock()

    def now_s(self):
        return self._loop_clock.now_s() + self.offset_s


class FakeNetwork:
    """In-memory datagrams and streams between hosts, with seeded faults.

    Datagrams are lost, duplicated and reordered by the shares given. Frames between
    peers keep their order and are lost only by cuts and crashes, as on a TCP stream.
    """

    def __init__(
        self,
        seed: int = 0,
        delay_s: tuple[float, float] = (0.0002, 0.0006),
        zone_delay_s: float = 0.0015,
        loss: float = 0.0,
        duplication: float = 0.0,
        reordering: float = 0.0,
        reordering_delay_s: float = 0.05,
    ):
        self.random = random.Random(f"network {seed}")
        self.delay_s = delay_s
        self.zone_delay_s = zone_delay_s
        self.loss = loss
        self.duplication = duplication
        self.reordering = reordering
        self.reordering_delay_s = reordering_delay_s
        self.sent_datagrams = 0
        self.sent_bytes = 0
        self._seed = seed
        self._ports: dict[Address, FakeDatagramSocket] = {}
        self._peers: dict[HostId, FakePeers] = {}
        self._nodes: dict[HostId, _Node] = {}
        self._addresses: dict[HostId, int] = {}
        self._cuts: list[tuple[frozenset[str], frozenset[str]]] = []

    def address(self, host_id: str, port: int = PEER_PORT) -> Address:
        """The address of a host; each host id has its own IP number."""
        number = self._addresses.setdefault(HostId(host_id), len(self._addresses) + 1)
        return Address(f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", port)

    def seed(self, host_id: str, zone: str) -> Seed:
        return Seed(HostId(host_id), ZoneId(zone), self.address(host_id))

    def environment(
        self,
        host_id: str,
        zone: str,
        store: "FakeStore | None" = None,
        seeds: Iterable[Seed] = (),
        peer_listen: Address | None = None,
        peer_keys: tuple[bytes, ...] = (PEER_KEY,),
    ) -> Environment:
        """A new process of a host; a former one with the same id is crashed."""
        self.crash(host_id)
        node = self._node(host_id, zone)
        settings = HostSettings(
            host_id=node.host_id,
            zone=node.zone,
            fabric_listen=self.address(host_id, FABRIC_PORT),
            upstream_listen=self.address(host_id, UPSTREAM_PORT),
            peer_listen=peer_listen or self.address(host_id),
            admin_listen=self.address(host_id, ADMIN_PORT),
            fabric_return=(FABRIC_RETURN,),
            seeds=tuple(seeds),
            store_urls=("http://127.0.0.1:8500",),
            peer_keys=peer_keys,
        )
        metrics = InMemoryMetrics()
        return Environment(
            settings=settings,
            datagrams=FakeDatagramSocketFactory(self, node),
            peers=FakePeers(self, node, metrics),
            store=(store or FakeStore()).client(host_id),
            metrics=metrics,
            clock=FakeClock(),
            random=random.Random(f"{self._seed} {host_id}"),
        )

    def datagram_ports(self, host_id: str, zone: str) -> "FakeDatagramSocketFactory":
        """Datagram ports of something that is no host, such as an upstream."""
        return FakeDatagramSocketFactory(self, self._node(host_id, zone))

    def crash(self, host_id: str) -> None:
        """Let everything from and to the running process of a host be lost."""
        node = self._nodes.pop(HostId(host_id), None)
        if node is not None:
            node.alive = False
            for port in tuple(self._ports.values()):
                if port.node is node:
                    port.close()
            self._peers.pop(node.host_id, None)

    def cut(self, first: Iterable[str], second: Iterable[str]) -> None:
        """Drop everything between two groups of host ids or zones."""
        self._cuts.append((frozenset(first), frozenset(second)))

    @property
    def has_cuts(self) -> bool:
        return bool(self._cuts)

    def heal(self) -> None:
        """End every cut."""
        self._cuts.clear()

    def _node(self, host_id: str, zone: str) -> "_Node":
        node = self._nodes.get(HostId(host_id))
        if node is None:
            node = _Node(HostId(host_id), ZoneId(zone))
            self._nodes[node.host_id] = node
        return node

    def is_cut(self, first: "_Node", second: "_Node") -> bool:
        return any(
            (first.is_in(a) and second.is_in(b)) or (first.is_in(b) and second.is_in(a))
            for a, b in self._cuts
        )

    def _delay(self, source: "_Node", target: "_Node") -> float:
        delay_s = self.random.uniform(*self.delay_s)
        if source.zone != target.zone:
            delay_s += self.zone_delay_s
        return delay_s

    def send_datagram(
        self, port: "FakeDatagramSocket", data: bytes, address: Address
    ) -> None:
        self.sent_datagrams += 1
        self.sent_bytes += len(data)
        target = self._ports.get(address)
        if target is None or not port.node.alive or self.is_cut(port.node, target.node):
            return
        copies = 1 + (self.random.random() < self.duplication)
        for _ in range(copies):
            if self.random.random() < self.loss:
                continue
            delay_s = self._delay(port.node, target.node)
            if self.random.random() < self.reordering:
                delay_s += self.random.uniform(0, self.reordering_delay_s)
            asyncio.get_running_loop().call_later(
                delay_s, self._deliver_datagram, port.node, address, data, port.address
            )

    def _deliver_datagram(self, source, address, data, sender) -> None:
        target = self._ports.get(address)
        if target is not None and not self.is_cut(source, target.node):
            target.receive(data, sender)

    def send_frame(self, source: "FakePeers", host_id: HostId, frame: bytes) -> None:
        self.sent_bytes += len(frame)
        target = self._peers.get(host_id)
        if target is None or not source.node.alive:
            return
        loop = asyncio.get_running_loop()
        earliest_s = loop.time() + self._delay(source.node, target.node)
        arrival_s = max(earliest_s, source.last_arrival_s.get(host_id, 0.0) + 1e-6)
        source.last_arrival_s[host_id] = arrival_s
        loop.call_at(arrival_s, self._deliver_frame, source.node, target, frame)

    def _deliver_frame(self, source, target, frame) -> None:
        # A stream does not go on to a new process of the same host.
        if self._peers.get(target.host_id) is target and not self.is_cut(
            source, target.node
        ):
            target.receive_frame(frame)


class _Node:
    """One process in the network."""

    def __init__(self, host_id: HostId, zone: ZoneId):
        self.host_id = host_id
        self.zone = zone
        self.alive = True

    def is_in(self, group: frozenset[str]) -> bool:
        return self.host_id in group or self.zone in group


class FakeDatagramSocket(DatagramSocket):
    """A bound port of the in-memory network."""

    def __init__(self, network, node, address, receive):
        self.node = node
        self.address = address
        self.receive = receive
        self._network = network
        network._ports[address] = self

    def send(self, data, address):
        self._network.send_datagram(self, data, address)

    def close(self):
        if self._network._ports.get(self.address) is self:
            del self._network._ports[self.address]


class FakeDatagramSocketFactory(DatagramSocketFactory):
    """Opens ports of the in-memory network for one process."""

    def __init__(self, network: FakeNetwork, node: _Node):
        self._network = network
        self._node = node

    async def open(self, address, receive):
        if address in self._network._ports:
            raise OSError(f"address in use: {address}")
        return FakeDatagramSocket(self._network, self._node, address, receive)


class FakePeers(BasePeerMessenger):
    """Messages between processes over the in-memory network."""

    def __init__(self, network: FakeNetwork, node: _Node, metrics: InMemoryMetrics):
        super().__init__(node.host_id, metrics, network.random.randrange(1, 1 << 48))
        self.node = node
        self.last_arrival_s: dict[HostId, float] = {}
        self._network = network
        network._peers[node.host_id] = self

    def _transmit(self, host_id, frame):
        self._network.send_frame(self, host_id, frame)

    def receive_frame(self, frame: bytes) -> None:
        self._receive_frame(frame)


class FakeStore(Store):
    """The key-value service, with its outages.

    ``away`` fails every operation, ``delay_s`` slows them down, and the next
    ``lose_answers`` writes take effect without an answer. ``go_back`` restores what
    ``snapshot`` returned earlier. ``client`` gives each host its own way to the
    store, which can be away alone.
    """

    def __init__(self, delay_s: float = 0.002):
        self.away = False
        self.delay_s = delay_s
        self.lose_answers = 0
        self.reads = 0
        self.writes = 0
        self._index = 1
        self._entries: dict[str, StoreEntry] = {}
        self._changed = asyncio.Event()
        # Watches up to this number get no answer.
        self._watches = 0
        self._stalled_up_to = 0

    def client(self, host_id: str) -> "FakeStoreClient":
        return FakeStoreClient(self, host_id)

    def snapshot(self):
        return self._index, dict(self._entries)

    def go_back(self, snapshot) -> None:
        """Come back with the data of an earlier snapshot, and its indexes."""
        self._index, entries = snapshot
        self._entries = dict(entries)
        self._wake_waiting()

    def set_away(self, away: bool) -> None:
        self.away = away
        self._wake_waiting()

    def stall_watches(self) -> None:
        """Let the watches that wait get no answer; later ones do."""
        self._stalled_up_to = self._watches

    async def get(self, key, wait_index=0, wait_s=0.0):
        self.reads += 1
        self._watches += 1
        number = self._watches
        await asyncio.sleep(self.delay_s)
        if self.away:
            return StoreUnavailable("away")
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_s
        answer = await self._wait_for(key, wait_index, deadline_s)
        if number <= self._stalled_up_to:
            await asyncio.sleep(deadline_s - loop.time() + REQUEST_TIMEOUT_S)
            return StoreUnavailable("timeout")
        return answer

    async def _wait_for(self, key, wait_index, deadline_s):
        loop = asyncio.get_running_loop()
        while self._read(key).index <= wait_index and loop.time() < deadline_s:
            changed = self._changed
            generation = self._index
            try:
                async with asyncio.timeout_at(deadline_s):
                    await changed.wait()
            except TimeoutError:
                break
            if self.away:
                return StoreUnavailable("away")
            if self._index < generation:
                # The real service ends all waits when it is restored.
                break
        return StoreUnavailable("away") if self.away else self._read(key)

    async def compare_and_swap(self, key, value, index):
        self.writes += 1
        await asyncio.sleep(self.delay_s)
        if self.away:
            return StoreUnavailable("away")
        current = self._entries.get(key)
        if (current.index if current else 0) != index:
            return Conflict(Revision(current.index if current else 0))
        self._index += 1
        self._entries[key] = StoreEntry(value, self._index)
        self._wake_waiting()
        entry = self._entries[key]
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return StoreUnavailable("no answer")
        await asyncio.sleep(self.delay_s)
        return entry

    def _read(self, key: str) -> StoreEntry | StoreKeyMissing:
        return self._entries.get(key) or StoreKeyMissing(self._index)

    def _wake_waiting(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class FakeStoreClient(Store):
    """One host's way to the store."""

    def __init__(self, store: FakeStore, host_id: str):
        self.store = store
        self.host_id = host_id
        self.away = False

    async def get(self, key, wait_index=0, wait_s=0.0):
        if self.away:
            await asyncio.sleep(self.store.delay_s)
            return StoreUnavailable("cut off")
        answer = await self.store.get(key, wait_index, wait_s)
        return StoreUnavailable("cut off") if self.away else answer

    async def compare_and_swap(self, key, value, index):
        if self.away:
            await asyncio.sleep(self.store.delay_s)
            return StoreUnavailable("cut off")
        answer = await self.store.compare_and_swap(key, value, index)
        return StoreUnavailable("cut off") if self.away else answer


class LocalValues(Membership):
    """Keeps published values on this host and tells its listeners."""

    def __init__(self):
        self._values: dict[str, tuple[int, object]] = {}
        self._listeners: list[tuple[str, GossipListener]] = []

    def publish(self, key, version, value):
        if key in self._values and self._values[key][0] >= version:
            return
        self._values[key] = (version, value)
        for prefix, listener in self._listeners:
            if key.startswith(prefix):
                listener(key, version, value)

    def gossiped_value(self, key):
        return self._values.get(key)

    def subscribe(self, prefix, listener):
        self._listeners.append((prefix, listener))


class StaticMembership(LocalValues):
    """Every seed counts as live; values stay on this host."""

    def __init__(self, settings: HostSettings):
        super().__init__()
        self._hosts = {seed.host_id: seed for seed in settings.seeds}

    def live_hosts(self, zone):
        return tuple(h for h, seed in self._hosts.items() if seed.zone == zone)

    def is_live(self, host_id):
        return host_id in self._hosts

    def is_zone_reachable(self, zone):
        return True

    def address_of(self, host_id):
        seed = self._hosts.get(host_id)
        return seed.address if seed else None

    def members(self):
        return tuple(
            Member(seed.host_id, seed.zone, HostState.ALIVE, seed.address, 1)
            for seed in self._hosts.values()
        )
