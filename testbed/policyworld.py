"""Owners with real queueing, admission and placement before fake upstreams.

The parts between callers and owners (fabric, ingress, peer streams) are left out;
everything runs on virtual time in one process::

    world = World(Sizes(upstreams=7, slots=3), seed=1)
    world.start()
    flow = world.open_flow(caller=17)
    flow.request(lambda result: print(result.outcome, result.latency_s))
"""

import asyncio
import collections
import json
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace

import looptime

from wisteriatiller.configuration.config import (
    ConfigSource,
    Configuration,
    RequestMode,
    Service,
    Upstream,
)
from wisteriatiller.foundation.environment import Environment
from wisteriatiller.foundation.interfaces import DatagramSocket, PeerMessenger
from wisteriatiller.foundation.metrics import InMemoryMetrics
from wisteriatiller.ids import (
    Address,
    CallerId,
    FlowKey,
    HostId,
    Revision,
    ServiceId,
    UpstreamId,
    ZoneId,
)
from wisteriatiller.leases.shardleases import ShardLeases
from wisteriatiller.owners.backpressure import BackpressurePolicy
from wisteriatiller.owners.balance import BoundedLoadChooser
from wisteriatiller.owners.flows import FlowRecord, FlowState
from wisteriatiller.owners.loads import LoadTable
from wisteriatiller.owners.shardtable import ShardTable
from wisteriatiller.requests.health import PROBE_INTERVAL_S
from wisteriatiller.transport import coapcodec, proxyheader

# Owners and their upstreams are in the same zone; other owners are not.
UPSTREAM_DELAY_S = 0.0003
PEER_DELAY_S = 0.0015
COLD_SPEED = 0.2
CODE_CONTENT = 0x45
CODE_UNAVAILABLE = 0xA3
CODE_TIMEOUT = 0xA4
CODE_GET = 1
CODE_POST = 2
ALL_CALLERS = CallerId("all")

_virtual_loop = looptime.make_event_loop_class(asyncio.SelectorEventLoop)


class StaticLeases(ShardLeases):
    """The first-ranked host of a shard holds its lease for good."""

    def __init__(self, is_first):
        self._is_first = is_first

    def remaining_s(self, shard):
        return 3.0 if self._is_first(shard) else 0.0

    def epoch(self, shard):
        return 1 if self._is_first(shard) else 0

    async def release(self, shard):
        return None


def run_virtual(coroutine):
    """Run a coroutine on virtual time."""
    factory = lambda: _virtual_loop(start=1000.0, noop_cycles=0)  # noqa: E731
    with asyncio.Runner(loop_factory=factory) as runner:
        return runner.run(coroutine)


def coap_message(
    kind: int, code: int, message_id: int, token: bytes, rest=b""
) -> bytes:
    """A CoAP message; ``kind`` is 0 for CON, 2 for ACK and 3 for RST."""
    head = bytes((0x40 | kind << 4 | len(token), code))
    return head + message_id.to_bytes(2, "big") + token + rest


def refusal_message(message_id: int, token: bytes, max_age_s: int) -> bytes:
    return coap_message(
        2, CODE_UNAVAILABLE, message_id, token, bytes((0xD1, 1, max_age_s))
    )


def _flow_key(ip: str, port: int, service: Address) -> FlowKey:
    return FlowKey(
        socket.inet_aton(ip)
        + socket.inet_aton(service.ip)
        + port.to_bytes(2, "big")
        + service.port.to_bytes(2, "big")
    )


@dataclass
class Sizes:
    """The size and pace of one service."""

    upstreams: int
    slots: int
    mean_s: float = 0.02
    deadline_ms: int = 2000
    flow_idle_s: int = 300
    slow_start_s: int = 10


@dataclass
class Result:
    """The final answer to a request."""

    outcome: str
    latency_s: float
    retry_after_s: float = 0.0


class FakeUpstream:
    """An upstream with slots, faults and reports, and its own record."""

    def __init__(self, world: "World", upstream: Upstream, mean_s: float):
        self.upstream = upstream
        self.mean_s = mean_s
        self.speed = 1.0
        self.cold_until_s = 0.0
        self.cold_s = 10.0
        self.silent = False
        self.refuse_share = 0.0
        self.loss_share = 0.0
        self.deduplicates = True
        self.late_share = 0.0
        self.twice_share = 0.0
        self.disorder_s = 0.0
        self.report_factor = 1.0
        self.report_state: str | None = None
        self.report_lag_s = 0.0
        self.work: Callable[[Callable[[int], None]], None] | None = None
        self.started = 0
        self.started_keys: list[tuple[FlowKey, int]] = []
        self.answered = 0
        self.received_in_total = 0
        self.over_slots = 0
        self.max_running = 0
        self.busy_s = 0.0
        self.open_flows = 0
        self.clock_start_s = asyncio.get_running_loop().time() - 1.0
        self._loop = asyncio.get_running_loop()
        self._random = random.Random(f"{world.seed} {upstream.upstream_id}")
        self._world = world
        self._running: dict[tuple[FlowKey, int], asyncio.TimerHandle | None] = {}
        self._queue: collections.deque = collections.deque()
        self._seen: dict[tuple[FlowKey, int], bytes] = {}
        self._changed_s = self._loop.time()
        self._reports: collections.deque = collections.deque()

    def reset_record(self) -> None:
        self._count_busy()
        self.busy_s = 0.0
        self.started = self.answered = self.over_slots = 0
        self.max_running = len(self._running)

    def busy(self) -> float:
        self._count_busy()
        return self.busy_s

    def restart(self, cold_s: float) -> None:
        """Lose everything and come back cold."""
        self._count_busy()
        for timer in self._running.values():
            if timer is not None:
                timer.cancel()
        self._running.clear()
        self._queue.clear()
        self._seen.clear()
        self.silent = False
        self.cold_s = cold_s
        self.cold_until_s = self._loop.time() + cold_s
        self.clock_start_s = self._loop.time()

    def receive(self, data: bytes) -> None:
        if self.silent:
            return
        header, payload = proxyheader.split(data)
        if header[12] == proxyheader.COMMAND_LOCAL:
            self._answer_probe(proxyheader.parse(header))
            return
        key = (proxyheader.flow_key(header), int.from_bytes(payload[2:4], "big"))
        if header[-3:-2] == bytes((proxyheader.TLV_CANCEL,)):
            self._cancel(key)
            return
        self.received_in_total += 1
        if self._random.random() < self.loss_share:
            return
        if key in self._seen and self.deduplicates:
            if self._seen[key]:
                self._send(key, self._seen[key])
            return
        self._seen[key] = b""
        if self._random.random() < self.refuse_share:
            self._refuse(key, payload)
        elif len(self._running) < self.upstream.slots:
            self._start(key, payload)
        else:
            self.over_slots += 1
            self._queue.append((key, payload))

    def _start(self, key, payload: bytes) -> None:
        self._count_busy()
        self.started += 1
        self.started_keys.append(key)
        if self.work is not None:
            self._running[key] = None
            self.work(lambda max_age_s: self._worked(key, payload, max_age_s))
        else:
            self._run(key, payload)
        self.max_running = max(self.max_running, len(self._running))

    def _worked(self, key, payload: bytes, max_age_s: int) -> None:
        """Go on after a dependency answered, or refused if ``max_age_s`` is set."""
        if key not in self._running:
            return
        if max_age_s:
            self._count_busy()
            del self._running[key]
            self._refuse(key, payload, max_age_s)
            self._start_queued()
        else:
            self._run(key, payload)

    def _run(self, key, payload: bytes) -> None:
        speed = self.speed
        rest_s = self.cold_until_s - self._loop.time()
        if rest_s > 0:
            speed *= COLD_SPEED + (1 - COLD_SPEED) * (1 - rest_s / self.cold_s)
        draw_s = self.mean_s / 2 + self._random.expovariate(2 / self.mean_s)
        self._running[key] = self._loop.call_later(
            draw_s / speed, self._finish, key, payload
        )

    def _finish(self, key, payload: bytes) -> None:
        self._count_busy()
        del self._running[key]
        self.answered += 1
        token = payload[4 : 4 + (payload[0] & 15)]
        body = payload[4 + len(token) :] or b"\xffdone"
        answer = coap_message(2, CODE_CONTENT, key[1], token, body)
        self._seen[key] = answer
        self._send(key, answer)
        if self._random.random() < self.twice_share:
            self._send(key, answer)
        self._start_queued()

    def _start_queued(self) -> None:
        while self._queue and len(self._running) < self.upstream.slots:
            self._start(*self._queue.popleft())

    def _refuse(self, key, payload: bytes, max_age_s: int = 1) -> None:
        token = payload[4 : 4 + (payload[0] & 15)]
        self._seen[key] = refusal_message(key[1], token, max_age_s)
        self._send(key, self._seen[key])

    def _cancel(self, key) -> None:
        self._queue = collections.deque(item for item in self._queue if item[0] != key)
        if key in self._running:
            self._count_busy()
            timer = self._running.pop(key)
            if timer is not None:
                timer.cancel()
            self._start_queued()

    def _send(self, key, payload: bytes) -> None:
        if not self.silent:
            delay_s = UPSTREAM_DELAY_S + self._random.random() * self.disorder_s
            if self._random.random() < self.late_share:
                delay_s += self._random.uniform(0, 4)
            self._loop.call_later(
                delay_s,
                self._world.from_upstream,
                self.upstream,
                key[0],
                payload,
            )

    def _answer_probe(self, header: proxyheader.LocalHeader) -> None:
        clock_ms = int((self._loop.time() - self.clock_start_s) * 1000)
        tlv = {
            proxyheader.TLV_NONCE: header.tlv[proxyheader.TLV_NONCE],
            proxyheader.TLV_CLOCK: clock_ms.to_bytes(8, "big"),
            proxyheader.TLV_REPORT: json.dumps(self._report()).encode(),
        }
        answer = proxyheader.parse(proxyheader.pack_local(tlv))
        self._loop.call_later(
            UPSTREAM_DELAY_S, self._world.probe_answer, self.upstream, answer
        )

    def _report(self) -> dict:
        now_s = self._loop.time()
        state = "cold" if now_s < self.cold_until_s else "ready"
        report = {
            "busy_slots": round(len(self._running) * self.report_factor),
            "queued": round(len(self._queue) * self.report_factor),
            "state": self.report_state or state,
        }
        self._reports.append((now_s, report))
        while len(self._reports) > 1 and (
            self._reports[1][0] <= now_s - self.report_lag_s
        ):
            self._reports.popleft()
        return self._reports[0][1]

    def _count_busy(self) -> None:
        now_s = self._loop.time()
        self.busy_s += len(self._running) * (now_s - self._changed_s)
        self._changed_s = now_s


class Flow:
    """A flow of a caller on an upstream."""

    __slots__ = (
        "_next_id",
        "_waiting",
        "_world",
        "balancer",
        "caller_id",
        "flow_key",
        "upstream",
    )

    def __init__(self, world: "World", flow_key: FlowKey, upstream: Upstream, balancer):
        self.upstream = upstream
        self.flow_key = flow_key
        self.balancer = balancer
        self.caller_id = CallerId(proxyheader.source(flow_key).ip)
        self._world = world
        self._next_id = world.random.randrange(1 << 16)
        self._waiting: dict[bytes, tuple[float, Callable[[Result], None]]] = {}

    def request(self, done: Callable[[Result], None], code: int = CODE_GET) -> bytes:
        """Send a request; returns its bytes, which ``repeat`` sends again."""
        self._next_id = (self._next_id + 1) & 0xFFFF
        token = self._world.next_token()
        self._waiting[token] = (self._world.now_s(), done)
        payload = coap_message(0, code, self._next_id, token)
        self.repeat(payload)
        return payload

    def repeat(self, payload: bytes) -> None:
        world = self._world
        caller_id = ALL_CALLERS if world.first_in_first_out else self.caller_id
        dispatcher = world.dispatcher(self.upstream.upstream_id)
        dispatcher.handle(self.flow_key, caller_id, payload)

    def cancel(self, payload: bytes) -> None:
        self.repeat(bytes((0x70, 0)) + payload[2:4])

    def answered(self, payload: bytes) -> None:
        waiting = self._waiting.pop(payload[4 : 4 + (payload[0] & 15)], None)
        if waiting is None:
            return
        sent_s, done = waiting
        latency_s = self._world.now_s() - sent_s
        if payload[1] == CODE_CONTENT:
            done(Result("answered", latency_s))
            return
        outcome = "refused" if payload[1] == CODE_UNAVAILABLE else "unknown"
        head = coapcodec.decode_header(payload)
        done(Result(outcome, latency_s, head.max_age_s))


class FixedSource(ConfigSource):
    """A configuration that does not change."""

    def __init__(self, configuration: Configuration):
        self._configuration = configuration

    @property
    def configuration(self):
        return self._configuration

    def subscribe(self, listener):
        return None

    async def catch_up(self, host_id, revision, timeout_s):
        return True


class FixedOwnership:
    """Each upstream's shard has its own owner."""

    def __init__(self, owners: dict):
        self._owners = owners

    def owner(self, shard):
        return self._owners[shard]


class DirectPeers(PeerMessenger):
    """Hands messages to the other owners after the network delay."""

    def __init__(self, host_id: HostId, peers: dict[HostId, "DirectPeers"]):
        self._host_id = host_id
        self._peers = peers
        self._handlers: dict[type, Callable] = {}
        self.sent = 0
        peers[host_id] = self

    def register(self, message_type, handler):
        self._handlers[message_type] = handler

    def send(self, host_id, message):
        self.sent += 1
        handler = self._peers[host_id]._handlers[type(message)]
        asyncio.get_running_loop().call_later(
            PEER_DELAY_S, handler, self._host_id, message
        )

    async def call(self, host_id, message, timeout_s):
        raise NotImplementedError


class _UpstreamPort(DatagramSocket):
    def __init__(self, world: "World"):
        self._world = world

    def send(self, data, address):
        upstream = self._world.by_address[address]
        self._world.note_sent(upstream, data)
        asyncio.get_running_loop().call_later(UPSTREAM_DELAY_S, upstream.receive, data)

    def close(self):
        return None


@dataclass
class OwnerParts:
    """The parts of one owner."""

    environment: Environment
    shards: ShardTable
    load_table: LoadTable
    chooser: BoundedLoadChooser


@dataclass
class World:
    """Services, their upstreams and owners, and a placement policy.

    ``policy`` is one of ``bounded`` (the program's own), ``hash``,
    ``least_connections`` and ``two_choices``; the last two count per balancer.
    """

    sizes: dict[str, Sizes]
    seed: int
    policy: str = "bounded"
    balancers: int = 18
    depends_on: dict[str, tuple[str, ...]] = field(default_factory=dict)
    first_in_first_out: bool = False

    def __post_init__(self):
        self.random = random.Random(f"world {self.seed}")
        self.flows: dict[FlowKey, Flow] = {}
        self.on_answer: Callable[[FlowKey, bytes], None] = lambda key, payload: None
        self.on_sent: Callable[[FakeUpstream, bytes], None] | None = None
        self.owners: dict[UpstreamId, OwnerParts] = {}
        self.upstreams: dict[UpstreamId, FakeUpstream] = {}
        self.by_address: dict[Address, FakeUpstream] = {}
        self.away_from_home = 0
        self.opened = 0
        self._tasks: list[asyncio.Task] = []
        self._token = 0
        self._counts = [collections.Counter() for _ in range(self.balancers)]

    def start(self) -> None:
        """Build everything and start probes and load summaries."""
        services = {
            ServiceId(name): self._service(number, name, sizes)
            for number, (name, sizes) in enumerate(self.sizes.items())
        }
        self.configuration = Configuration(Revision(1), services)
        self.source = FixedSource(self.configuration)
        peers: dict[HostId, DirectPeers] = {}
        owners = {}
        for service in services.values():
            for upstream in service.upstreams.values():
                shard = self.configuration.shard_of(upstream)
                owners[shard] = HostId(f"host-{upstream.upstream_id}")
        for service in services.values():
            for upstream in service.upstreams.values():
                fake = FakeUpstream(
                    self, upstream, self.sizes[service.service_id].mean_s
                )
                self.upstreams[upstream.upstream_id] = fake
                self.by_address[upstream.address] = fake
                self._add_owner(upstream, FixedOwnership(owners), peers)
        self._tasks.append(asyncio.get_running_loop().create_task(self._upkeep()))

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        for owner in self.owners.values():
            for owned in owner.shards:
                owner.shards.remove(owned.shard)

    def _service(self, number: int, name: str, sizes: Sizes) -> Service:
        upstreams = {}
        for index in range(sizes.upstreams):
            upstream_id = UpstreamId(f"{name}-{index + 1}")
            upstreams[upstream_id] = Upstream(
                upstream_id,
                ServiceId(name),
                Address(f"10.{20 + number}.{index >> 8}.{index & 255}", 7001),
                # One zone for each upstream gives each its own shard and owner.
                ZoneId(f"zone-{upstream_id}"),
                sizes.slots,
            )
        return Service(
            ServiceId(name),
            Address(f"10.10.0.{number + 1}", 5683),
            RequestMode.COAP,
            upstreams,
            tuple(map(ServiceId, self.depends_on.get(name, ()))),
            sizes.deadline_ms,
            sizes.flow_idle_s,
            sizes.slow_start_s,
        )

    def _add_owner(self, upstream: Upstream, ownership, peers) -> None:
        host_id = HostId(f"host-{upstream.upstream_id}")
        environment = Environment(
            settings=SimpleNamespace(host_id=host_id),
            datagrams=None,
            peers=DirectPeers(host_id, peers),
            store=None,
            metrics=InMemoryMetrics(),
            random=random.Random(f"{self.seed} {host_id}"),
        )
        leases = StaticLeases(lambda shard: True)
        shards = ShardTable(environment, self.source, leases, self._answer)
        shards.upstream_port = _UpstreamPort(self)
        shards.add(self.configuration.shard_of(upstream))
        load_table = LoadTable(environment, self.source, ownership, shards)
        shards.policy = BackpressurePolicy(environment, self.source, load_table)
        chooser = BoundedLoadChooser(environment, self.source, load_table)
        self.owners[upstream.upstream_id] = OwnerParts(
            environment, shards, load_table, chooser
        )

    async def _upkeep(self) -> None:
        """Probes and summaries; hosts have no common second."""
        for upstream_id, owner in self.owners.items():
            offset_s = self.random.random()
            for tick in (self._probe, self._summarise, self._sweep):
                asyncio.get_running_loop().call_later(
                    offset_s, self._repeat, tick, upstream_id, owner
                )

    def _repeat(self, tick, upstream_id, owner) -> None:
        tick(upstream_id, owner)
        asyncio.get_running_loop().call_later(
            PROBE_INTERVAL_S, self._repeat, tick, upstream_id, owner
        )

    def _probe(self, upstream_id, owner) -> None:
        upstream = self.configuration.upstreams[upstream_id]
        owner.shards.send(upstream, self.dispatcher(upstream_id).health.make_probe())

    def _summarise(self, upstream_id, owner) -> None:
        owner.load_table.send_summaries()

    def _sweep(self, upstream_id, owner) -> None:
        for owned in owner.shards:
            owned.duplicates.expire(self.now_s())

    # Flows

    def open_flow(self, caller: int, service: str | None = None, ip=None) -> Flow:
        """Open a flow of a caller, who may have many."""
        service_id = ServiceId(service or next(iter(self.sizes)))
        config = self.configuration.services[service_id]
        ip = ip or f"10.{100 + (caller >> 16)}.{caller >> 8 & 255}.{caller & 255}"
        port = 1024 + self.random.randrange(64000)
        key = _flow_key(ip, port, config.address)
        balancer = self.random.randrange(self.balancers)
        upstream_id = self._place(config, key, balancer)
        self._counts[balancer][upstream_id] += 1
        flow = Flow(self, key, self.configuration.upstreams[upstream_id], balancer)
        self.flows[key] = flow
        self.upstreams[upstream_id].open_flows += 1
        owned = self._owned(upstream_id)
        owned.flows.put(key, FlowRecord(FlowState.OPEN, upstream_id, self.now_s()))
        self.opened += 1
        return flow

    def close_flow(self, flow: Flow) -> None:
        upstream_id = flow.upstream.upstream_id
        if self.flows.pop(flow.flow_key, None) is not None:
            self._counts[flow.balancer][upstream_id] -= 1
            self.upstreams[upstream_id].open_flows -= 1
            self._owned(upstream_id).flows.remove(flow.flow_key)

    def _place(self, service: Service, key: FlowKey, balancer: int) -> UpstreamId:
        table = self.configuration.placement_tables[service.service_id]
        counts = self._counts[balancer]
        upstream_ids = list(service.upstreams)
        if self.policy == "least_connections":
            lowest = min(counts[item] for item in upstream_ids)
            return self.random.choice(
                [item for item in upstream_ids if counts[item] == lowest]
            )
        if self.policy == "two_choices":
            return min(self.random.sample(upstream_ids, 2), key=lambda i: counts[i])
        home = table.home(key)
        if self.policy == "hash":
            return home
        chosen = self.owners[home].chooser.choose(service, key, home)
        self.away_from_home += chosen != home
        return chosen

    def _owned(self, upstream_id: UpstreamId):
        return next(iter(self.owners[upstream_id].shards))

    def dispatcher(self, upstream_id: UpstreamId):
        upstream = self.configuration.upstreams[upstream_id]
        owner = self.owners[upstream_id]
        return owner.shards.get_dispatcher(self._owned(upstream_id), upstream)

    # Datagrams

    def _answer(self, flow_key: FlowKey, payload: bytes) -> None:
        self.on_answer(flow_key, payload)
        flow = self.flows.get(flow_key)
        if flow is not None:
            flow.answered(payload)

    def from_upstream(self, upstream: Upstream, flow_key: FlowKey, payload) -> None:
        owner = self.owners[upstream.upstream_id]
        owner.shards.handle_response(upstream, flow_key, payload)

    def probe_answer(self, upstream: Upstream, header) -> None:
        self.dispatcher(upstream.upstream_id).health.handle_probe_answer(header)

    def note_sent(self, upstream: FakeUpstream, data: bytes) -> None:
        if self.on_sent is not None and data[12] != proxyheader.COMMAND_LOCAL:
            self.on_sent(upstream, data)

    def next_token(self) -> bytes:
        self._token += 1
        return self._token.to_bytes(4, "big")

    def peek_token(self) -> bytes:
        """The token that the next request will have."""
        return (self._token + 1).to_bytes(4, "big")

    def now_s(self) -> float:
        return asyncio.get_running_loop().time()
