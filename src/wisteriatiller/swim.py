"""SWIM membership and gossip between the hosts.

Hosts probe each other inside their zone only. A cut between zones therefore makes a
zone unreachable, but no host of it dead. Updates ride on probes and acknowledgements
inside the zone, are pushed once to a few hosts as soon as they are learned, and cross
zones by comparisons, which also repair whatever was lost.
"""

import asyncio
from collections.abc import Callable, Iterable

import msgpack
from absl import logging

from .environment import Environment
from .exceptions import InvariantBroken, MessageError
from .gossip import (
    MAX_KEY_BYTES,
    MAX_VALUE_BYTES,
    MAX_VERSION,
    Entry,
    GossipState,
    UpdateQueue,
    make_entry,
)
from .gossipwire import (
    FIXED_BYTES,
    MAX_DATAGRAM_BYTES,
    Ack,
    Digest,
    DigestReply,
    Join,
    Ping,
    ProbeRequest,
    Push,
    StateEntries,
    Versions,
    seal,
    unseal,
)
from .ids import Address, HostId, ZoneId
from .membership import GossipListener, HostState, Member, Membership
from .messages import Message
from .ports import DatagramPort
from .tasks import spawn, stop_process

PROBE_INTERVAL_S = 0.5
ACK_TIMEOUT_S = 0.2
INDIRECT_PROBES = 3
SUSPICION_S = 2.0
# A host that only heard of a suspicion leaves it to the suspecting host for this much
# longer, and then probes for itself. A late refutation thus kills nobody.
HEARD_SUSPICION_S = SUSPICION_S + 1.0
TICK_S = 0.25
STALL_S = SUSPICION_S
COMPARE_INTERVAL_S = 1.0
ZONE_TIMEOUT_S = 5.0
# A zone that was silent for this long is pinged at each tick, so that a false verdict
# after ZONE_TIMEOUT_S needs a dozen lost exchanges in a row.
ZONE_QUIET_S = 2.0
DEAD_FORGET_S = 600.0
# Half the time a dead entry is kept, it only guards against older news. Otherwise
# hosts that forget it at slightly different times would tell each other again.
DEAD_HIDE_S = DEAD_FORGET_S / 2
JOIN_INTERVAL_S = 0.5
SEED_CHECK_INTERVAL_S = 5.0
SEEDS_AT_ONCE = 3
PUSH_DELAY_S = 0.02
PUSH_HOSTS = 2
STOP_PUSH_HOSTS = 5
MAX_EXCHANGE_DATAGRAMS = 8
MAX_ENTRIES_BYTES = 256 * 1024
MAX_NONCES = 4096

_HOST_PREFIX = "host/"
_UPDATES_BYTES = MAX_DATAGRAM_BYTES - FIXED_BYTES

# A host entry's version is its incarnation times four plus one of these, so that a
# suspicion or death outranks life in the same incarnation only.
_ALIVE, _SUSPECT, _DEAD = 0, 1, 2
_RANKS = 4

ZoneListener = Callable[[ZoneId, bool], None]


class _Host:
    """A known host, decoded from its entry."""

    __slots__ = (
        "address",
        "dead_since_s",
        "host_id",
        "incarnation",
        "leaving",
        "rank",
        "zone",
    )

    def __init__(self, host_id: HostId, version: int, value: object):
        zone, ip, port, leaving = value
        if not (
            isinstance(zone, str)
            and isinstance(ip, str)
            and type(port) is int
            and 0 < port < 65536
            and type(leaving) is bool
            and version % _RANKS <= _DEAD
        ):
            raise ValueError(f"malformed entry of host {host_id!r}")
        self.host_id = host_id
        self.zone = ZoneId(zone)
        self.address = Address(ip, port)
        self.leaving = leaving
        self.incarnation, self.rank = divmod(version, _RANKS)
        self.dead_since_s = 0.0

    @property
    def state(self) -> HostState:
        if self.rank == _DEAD:
            return HostState.DEAD
        if self.leaving:
            return HostState.LEAVING
        return HostState.SUSPECT if self.rank == _SUSPECT else HostState.ALIVE


class _Suspicion:
    """A suspected host and the time at which this host acts on it."""

    __slots__ = ("deadline_s", "own", "version")

    def __init__(self, version: int, deadline_s: float, own: bool):
        self.version = version
        self.deadline_s = deadline_s
        # Whether this host found out by its own probes.
        self.own = own


class SwimMembership(Membership):
    """Membership by the hosts' own probes.

    ::

        membership = SwimMembership(environment)
        membership.on_stall(drop_leases)
        await membership.start()
        await membership.wait_joined(timeout_s=5.0)
    """

    def __init__(self, environment: Environment):
        self._environment = environment
        self._settings = environment.settings
        self._host_id = self._settings.host_id
        self._zone = self._settings.zone
        self._clock = environment.clock
        self._random = environment.random
        self._metrics = environment.metrics
        self._keys = self._settings.peer_keys
        self._address = self._settings.peer_listen
        self._state = GossipState()
        self._queue = UpdateQueue()
        self._hosts: dict[HostId, _Host] = {}
        self._by_zone: dict[ZoneId, dict[HostId, _Host]] = {}
        self._dead: dict[HostId, None] = {}
        self._live_cache: dict[ZoneId, tuple[HostId, ...]] = {}
        self._present_cache: dict[ZoneId, tuple[_Host, ...]] = {}
        self._suspicions: dict[HostId, _Suspicion] = {}
        self._listeners: list[tuple[str, GossipListener]] = []
        self._zone_listeners: list[ZoneListener] = []
        self._stall_listeners: list[Callable[[], None]] = []
        # Waiting probes by nonce, and pings sent for another host.
        self._probes: dict[int, asyncio.Future] = {}
        self._relays: dict[int, tuple[Address, int, float]] = {}
        # Comparisons by nonce: the zone asked and when.
        self._comparisons: dict[int, tuple[ZoneId, float]] = {}
        self._zone_pings: dict[int, tuple[ZoneId, float]] = {}
        self._join_nonces: dict[int, float] = {}
        self._zone_heard_s: dict[ZoneId, float] = {}
        self._cut_zones: set[ZoneId] = set()
        self._probe_order: list[HostId] = []
        self._fresh: dict[str, None] = {}
        self._push_timer: asyncio.TimerHandle | None = None
        self._incarnation = 1
        self._leaving = False
        self._stopped = False
        self._joined = asyncio.Event()
        self._port: DatagramPort | None = None
        self._tasks: list[asyncio.Task] = []
        self._heartbeat_s = 0.0
        self._seed_check_s = 0.0
        self._handlers = {
            Ping: self._on_ping,
            Ack: self._on_ack,
            ProbeRequest: self._on_probe_request,
            Push: self._on_push,
            Join: self._on_join,
            Digest: self._on_digest,
            DigestReply: self._on_digest_reply,
            Versions: self._on_versions,
        }
        environment.peers.register(StateEntries, self._on_state_entries)
        environment.peers.register(Versions, self._on_streamed_versions)

    # Life of this host.

    async def start(self) -> None:
        """Open the socket, introduce this host to the seeds and start probing."""
        self._port = await self._environment.datagrams.open(
            self._settings.peer_listen, self._receive
        )
        self._address = getattr(self._port, "address", self._settings.peer_listen)
        self._heartbeat_s = self._seed_check_s = self._clock.now_s()
        self._announce()
        self._introduce(self._other_seeds())
        if not self._other_seeds():
            self._joined.set()
        self._tasks = [
            spawn(self._run_ticks(), "membership ticks"),
            spawn(self._run_probes(), "membership probes"),
            spawn(self._run_comparisons(), "membership comparisons"),
        ]

    async def wait_joined(self, timeout_s: float) -> bool:
        """Wait until this host has the state of a seed; False if none answered."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._joined.wait()
        except TimeoutError:
            return False
        return True

    async def leave(self) -> None:
        """Tell the others that this host is about to stop, and go on answering."""
        self._leaving = True
        self._incarnation += 1
        self._announce()
        self._push_own()

    async def stop(self) -> None:
        """Tell the others that this host is gone, and stop."""
        if self._port is not None and not self._stopped:
            self._leaving = True
            self._put_host(self._host_id, self._incarnation * _RANKS + _DEAD)
            self._push_own()
        self.close()

    def close(self) -> None:
        """Stop without a word, as a crash would."""
        self._stopped = True
        for task in self._tasks:
            task.cancel()
        if self._push_timer is not None:
            self._push_timer.cancel()
        if self._port is not None:
            self._port.close()

    def on_stall(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` first when this host finds that it did not run."""
        self._stall_listeners.append(listener)

    # What other modules ask.

    def live_hosts(self, zone):
        live = self._live_cache.get(zone)
        if live is None:
            live = self._live_cache[zone] = tuple(
                host.host_id for host in self._present(zone) if not host.leaving
            )
        return live

    def is_live(self, host_id):
        host = self._hosts.get(host_id)
        return host is not None and host.rank != _DEAD

    def address_of(self, host_id):
        # Also of a dead host: one that is only believed dead is owed its replies.
        host = self._hosts.get(host_id)
        return host.address if host else None

    def members(self):
        return tuple(
            Member(host_id, host.zone, host.state, host.address, host.incarnation)
            for host_id, host in self._hosts.items()
        )

    def zones(self) -> tuple[ZoneId, ...]:
        """Every zone with a known host that is not dead."""
        return tuple(
            dict.fromkeys(
                host.zone for host in self._hosts.values() if host.rank != _DEAD
            )
        )

    def zone_reachable(self, zone):
        return zone == self._zone or (
            zone in self._zone_heard_s and zone not in self._cut_zones
        )

    def subscribe_zones(self, listener: ZoneListener) -> None:
        """Call ``listener(zone, reachable)`` when a zone is cut off or back."""
        self._zone_listeners.append(listener)

    def publish(self, key, version, value):
        if key.startswith(_HOST_PREFIX):
            raise ValueError("host entries are published by the hosts themselves")
        packed = msgpack.packb(value)
        if len(packed) > MAX_VALUE_BYTES or len(key.encode()) > MAX_KEY_BYTES:
            raise ValueError(f"gossip value of {key!r} is too large")
        if self._state.is_newer(key, version, packed):
            self._store(make_entry(key, version, packed), spread=True)

    def value(self, key):
        entry = self._state.entries.get(key)
        return (entry.version, entry.value) if entry else None

    def subscribe(self, prefix, listener):
        self._listeners.append((prefix, listener))

    # Entries.

    def _announce(self) -> None:
        self._put_host(self._host_id, self._incarnation * _RANKS + _ALIVE)

    def _put_host(self, host_id: HostId, version: int) -> None:
        """Change the version of a host's entry; build the value for this host."""
        key = _HOST_PREFIX + host_id
        if host_id == self._host_id:
            packed = msgpack.packb([self._zone, *self._address, self._leaving])
        else:
            packed = self._state.entries[key].packed
        entry = make_entry(key, version, packed)
        self._take_host(entry, _Host(host_id, version, entry.value), spread=True)

    def _own_entry(self) -> list[Entry]:
        return [self._state.entries[_HOST_PREFIX + self._host_id]]

    def _take_updates(self, updates: Iterable, spread: bool) -> None:
        """Apply updates from another host; malformed ones are dropped."""
        for update in updates:
            try:
                read = self._read_update(update)
            except (ValueError, TypeError) as error:
                self._metrics.count("membership.dropped_malformed_update")
                logging.log_every_n_seconds(
                    logging.WARNING, "event=update_dropped detail=%r", 10, str(error)
                )
                continue
            if read is not None:
                entry, host, age_s = read
                if host is None:
                    self._store(entry, spread)
                elif host.host_id == self._host_id:
                    self._refute(host)
                else:
                    self._take_host(entry, host, spread, age_s)

    def _read_update(self, update) -> tuple[Entry, _Host | None, float] | None:
        """Check an update and decode it if it is news."""
        key, version, packed, age_ms = update
        if not (
            isinstance(key, str)
            and type(version) is int
            and 0 <= version <= MAX_VERSION
            and isinstance(packed, bytes)
            and type(age_ms) is int
        ):
            raise ValueError("update with fields of the wrong type")
        if not self._state.is_newer(key, version, packed):
            return None
        if len(key) > MAX_KEY_BYTES or len(packed) > MAX_VALUE_BYTES:
            raise ValueError("update is too large")
        entry = make_entry(key, version, packed)
        host = None
        if key.startswith(_HOST_PREFIX):
            host = _Host(_host_of(key), version, entry.value)
        return entry, host, age_ms / 1000

    def _refute(self, host: _Host) -> None:
        """Outrank what others say about this host, or said about a former process."""
        if not self._stopped:
            self._metrics.count("membership.refutations")
            self._incarnation = max(self._incarnation, host.incarnation) + 1
            self._announce()

    def _take_host(
        self, entry: Entry, host: _Host, spread: bool, age_s: float = 0.0
    ) -> None:
        host_id = host.host_id
        former = self._hosts.get(host_id)
        if host.rank == _DEAD:
            if former is None and age_s >= DEAD_HIDE_S:
                return
            host.dead_since_s = self._clock.now_s() - age_s
            self._dead[host_id] = None
        else:
            self._dead.pop(host_id, None)
        if former is not None:
            self._drop_from_zone(former)
        self._hosts[host_id] = host
        self._by_zone.setdefault(host.zone, {})[host_id] = host
        self._live_cache.pop(host.zone, None)
        self._present_cache.pop(host.zone, None)
        if host.zone != self._zone:
            self._zone_heard_s.setdefault(host.zone, self._clock.now_s())
        self._follow_suspicion(host, entry.version)
        self._log_change(host, former)
        self._store(entry, spread)

    def _drop_from_zone(self, host: _Host) -> None:
        del self._by_zone[host.zone][host.host_id]
        self._live_cache.pop(host.zone, None)
        self._present_cache.pop(host.zone, None)

    def _follow_suspicion(self, host: _Host, version: int) -> None:
        if host.rank != _SUSPECT or host.zone != self._zone:
            self._suspicions.pop(host.host_id, None)
            return
        suspicion = self._suspicions.get(host.host_id)
        if suspicion is None or suspicion.version != version:
            self._suspicions[host.host_id] = _Suspicion(
                version, self._clock.now_s() + HEARD_SUSPICION_S, own=False
            )

    def _log_change(self, host: _Host, former: _Host | None) -> None:
        if former is None or former.state != host.state:
            self._metrics.count(f"membership.became_{host.state.value}")
            logging.info(
                "event=host_state host=%s zone=%s state=%s incarnation=%d",
                host.host_id,
                host.zone,
                host.state.value,
                host.incarnation,
            )

    def _store(self, entry: Entry, spread: bool) -> None:
        self._state.put(entry)
        if spread and entry.size_bytes <= _UPDATES_BYTES:
            self._queue.add(entry.key, len(self._present(self._zone)))
            self._fresh[entry.key] = None
            if self._push_timer is None and self._port is not None:
                self._push_timer = asyncio.get_running_loop().call_later(
                    PUSH_DELAY_S, self._push_fresh
                )
        for prefix, listener in self._listeners:
            if entry.key.startswith(prefix):
                self._notify(listener, entry.key, entry.version, entry.value)

    def _notify(self, listener: Callable, *details) -> None:
        """Call a listener; a fault in it must not stop the protocol."""
        try:
            listener(*details)
        except InvariantBroken as error:
            stop_process(error)
        except Exception:
            self._metrics.count("membership.listener_errors")
            logging.exception("event=listener_failed")

    def _wire(self, entries: Iterable[Entry]) -> tuple:
        """Entries as updates, with the age of dead hosts."""
        updates = []
        for entry in entries:
            age_ms = 0
            if entry.key.startswith(_HOST_PREFIX):
                host = self._hosts[_host_of(entry.key)]
                if host.rank == _DEAD:
                    age_ms = int((self._clock.now_s() - host.dead_since_s) * 1000)
            updates.append((entry.key, entry.version, entry.packed, age_ms))
        return tuple(updates)

    def _present(self, zone: ZoneId) -> tuple[_Host, ...]:
        """Hosts of the zone that are not dead, in a stable order."""
        present = self._present_cache.get(zone)
        if present is None:
            known = self._by_zone.get(zone, {}).values()
            hosts = [host for host in known if host.rank != _DEAD]
            hosts.sort(key=lambda host: host.host_id)
            present = self._present_cache[zone] = tuple(hosts)
        return present

    def _others(self, zone: ZoneId) -> list[_Host]:
        return [host for host in self._present(zone) if host.host_id != self._host_id]

    # Datagrams.

    def _send(self, address: Address, value: Message) -> None:
        data = seal(self._keys, address, value)
        self._metrics.count("membership.datagrams_sent")
        self._metrics.count("membership.bytes_sent", len(data))
        self._port.send(data, address)

    def _receive(self, data: bytes, source: Address) -> None:
        self._check_stall()
        self._metrics.count("membership.datagrams_received")
        self._metrics.count("membership.bytes_received", len(data))
        try:
            received = unseal(self._keys, self._address, data)
            handler = self._handlers.get(type(received))
            if handler is None:
                raise MessageError(f"{type(received).__name__} in a datagram")
        except MessageError as error:
            self._metrics.count("membership.dropped_datagrams")
            logging.log_every_n_seconds(
                logging.WARNING,
                "event=datagram_dropped source=%s detail=%r",
                10,
                source,
                str(error),
            )
            return
        if type(received) is not Versions:
            self._take_updates(received.updates, spread=True)
        handler(received, source)

    def _piggyback(self, target: _Host | None = None) -> tuple:
        """Updates for a datagram to a host of this zone.

        A host that is suspected or dead here is told so, since it has to refute it.
        """
        entries = self._about(target)
        budget_bytes = _UPDATES_BYTES - sum(entry.size_bytes for entry in entries)
        return self._wire(entries + self._queue.take(self._state, budget_bytes))

    def _about(self, host: _Host | None) -> list[Entry]:
        if host is None or host.rank == _ALIVE:
            return []
        return [self._state.entries[_HOST_PREFIX + host.host_id]]

    def _nonce(self) -> int:
        return self._random.getrandbits(48) + 1

    # Probes.

    async def _run_probes(self) -> None:
        await asyncio.sleep(self._random.uniform(0, PROBE_INTERVAL_S))
        while True:
            target = self._next_probe()
            if target is None:
                await asyncio.sleep(PROBE_INTERVAL_S)
            else:
                await self._probe(target)

    def _next_probe(self) -> _Host | None:
        """The next host of a shuffled round over the zone.

        A round bounds the time until a host is probed, which drawing anew each time
        would not.
        """
        while self._probe_order:
            host = self._hosts.get(self._probe_order.pop())
            if host is not None and host.rank != _DEAD and host.zone == self._zone:
                return host
        self._probe_order = [host.host_id for host in self._others(self._zone)]
        self._random.shuffle(self._probe_order)
        return self._hosts[self._probe_order.pop()] if self._probe_order else None

    async def _probe(self, target: _Host) -> None:
        """Probe a host for one interval; suspect it if nothing came back."""
        nonce = self._nonce()
        answer = asyncio.get_running_loop().create_future()
        self._probes[nonce] = answer
        try:
            self._send(
                target.address, Ping(self._host_id, nonce, self._piggyback(target))
            )
            await asyncio.sleep(ACK_TIMEOUT_S)
            if not answer.done():
                self._probe_indirectly(target, nonce)
            await asyncio.sleep(PROBE_INTERVAL_S - ACK_TIMEOUT_S)
        finally:
            del self._probes[nonce]
        if not answer.done() and not self._check_stall():
            self._suspect(target.host_id)

    def _probe_indirectly(self, target: _Host, nonce: int) -> None:
        helpers = [
            host for host in self._others(self._zone) if host.host_id != target.host_id
        ]
        for helper in self._random.sample(helpers, min(INDIRECT_PROBES, len(helpers))):
            updates = self._piggyback(target)
            request = ProbeRequest(self._host_id, nonce, target.host_id, updates)
            self._send(helper.address, request)

    def _suspect(self, host_id: HostId) -> None:
        """Start or take over the suspicion of a host that did not answer."""
        host = self._hosts.get(host_id)
        if host is None or host.rank == _DEAD:
            return
        if host.rank == _ALIVE:
            self._put_host(host_id, host.incarnation * _RANKS + _SUSPECT)
        suspicion = self._suspicions.get(host_id)
        if suspicion is not None and not suspicion.own:
            suspicion.own = True
            suspicion.deadline_s = self._clock.now_s() + SUSPICION_S

    def _check_suspicions(self) -> None:
        now_s = self._clock.now_s()
        for host_id, suspicion in tuple(self._suspicions.items()):
            host = self._hosts[host_id]
            if now_s >= suspicion.deadline_s and suspicion.own:
                del self._suspicions[host_id]
                self._put_host(host_id, host.incarnation * _RANKS + _DEAD)
                continue
            if now_s >= suspicion.deadline_s:
                self._suspect(host_id)
            if suspicion.own:
                # The suspected host answers with its refutation.
                nonce = self._nonce()
                ping = Ping(self._host_id, nonce, self._piggyback(host))
                self._send(host.address, ping)
                self._probe_indirectly(host, nonce)

    def _on_ping(self, ping: Ping, source: Address) -> None:
        updates = self._reply_updates(ping)
        self._send(source, Ack(self._host_id, ping.nonce, updates))
        if ping.sender not in self._hosts:
            wanted = (_HOST_PREFIX + ping.sender,)
            self._send(source, Push(self._host_id, 0, (), wanted))

    def _reply_updates(self, received) -> tuple:
        """Updates for the sender of a probe, with what it has to refute.

        If the sender told us about ourselves, the answer carries our own entry.
        """
        sender = self._hosts.get(received.sender)
        entries = self._about(sender)
        own_key = _HOST_PREFIX + self._host_id
        if any(
            isinstance(update, tuple) and update[:1] == (own_key,)
            for update in received.updates
        ):
            entries = entries + self._own_entry()
        if sender is None or sender.zone != self._zone:
            return self._wire(entries)
        budget_bytes = _UPDATES_BYTES - sum(entry.size_bytes for entry in entries)
        return self._wire(entries + self._queue.take(self._state, budget_bytes))

    def _on_ack(self, ack: Ack, source: Address) -> None:
        answer = self._probes.get(ack.nonce)
        if answer is not None and not answer.done():
            answer.set_result(None)
        relay = self._relays.pop(ack.nonce, None)
        if relay is not None:
            requester, nonce, _ = relay
            # The target's entry goes along, as it may refute the requester's view.
            entry = self._state.entries.get(_HOST_PREFIX + ack.sender)
            updates = self._wire([entry] if entry else [])
            self._send(requester, Ack(self._host_id, nonce, updates))
        if self._join_nonces.pop(ack.nonce, None) is not None:
            self._compare_with(self._hosts.get(ack.sender), joining=True)
        contact = self._zone_pings.pop(ack.nonce, None)
        if contact is not None:
            self._hear_from(contact[0])

    def _on_probe_request(self, request: ProbeRequest, source: Address) -> None:
        target = self._hosts.get(request.target)
        if target is None or len(self._relays) >= MAX_NONCES:
            return
        nonce = self._nonce()
        self._relays[nonce] = (source, request.nonce, self._clock.now_s())
        self._send(target.address, Ping(self._host_id, nonce, self._piggyback(target)))

    # Spreading updates.

    def _push_fresh(self) -> None:
        """Send what was just learned to a few hosts at once."""
        self._push_timer = None
        fresh = [self._state.entries[key] for key in self._fresh]
        self._fresh.clear()
        self._push(_fitting(fresh, _UPDATES_BYTES), PUSH_HOSTS)

    def _push(self, entries: list[Entry], count: int) -> None:
        if self._port is None or not entries:
            return
        zone = self._random_zone()
        self._push_to(entries, self._pick_others(count, [zone] if zone else []))

    def _push_own(self) -> None:
        """Tell some hosts of every zone what this host says of itself.

        It may be gone before it could repeat that, and nobody probes a host that is
        alone in its zone.
        """
        if self._port is not None:
            zones = [zone for zone in self._zone_heard_s if self._present(zone)]
            targets = self._pick_others(STOP_PUSH_HOSTS, zones)
            # A second host of each other zone, since a datagram may be lost.
            targets += self._pick_others(0, zones)
            self._push_to(self._own_entry(), targets)

    def _pick_others(self, count: int, zones: Iterable[ZoneId]) -> list[_Host]:
        """Random hosts of this zone, and one of each of the other zones given."""
        others = self._others(self._zone)
        targets = self._random.sample(others, min(count, len(others)))
        targets += [self._random.choice(self._present(zone)) for zone in zones]
        return targets

    def _push_to(self, entries: list[Entry], targets: list[_Host]) -> None:
        value = Push(self._host_id, 0, self._wire(entries), ())
        for target in targets:
            self._send(target.address, value)

    def _on_push(self, push: Push, source: Address) -> None:
        if push.nonce in self._comparisons:
            self._joined.set()
        wanted = [
            entry
            for key in push.wanted
            if isinstance(key, str)
            and (entry := self._state.entries.get(key)) is not None
            and not entry.hidden
        ]
        if wanted:
            self._send_entries(push.sender, source, wanted, 0)

    def _on_state_entries(self, sender: HostId, entries: StateEntries) -> None:
        if self._stopped:
            return
        # What comes in bulk is known to others, who find it by comparison too.
        # Spreading it would occupy the datagrams for minutes.
        self._take_updates(entries.updates, spread=False)
        if entries.nonce in self._comparisons:
            self._joined.set()

    def _send_entries(
        self,
        host_id: HostId,
        address: Address,
        entries: list[Entry],
        nonce: int,
        wanted: tuple[str, ...] = (),
    ) -> None:
        """Send entries in datagrams, or over the peer streams if they are many."""
        size_bytes = sum(entry.size_bytes for entry in entries)
        largest = max((entry.size_bytes for entry in entries), default=0)
        if largest > _UPDATES_BYTES or (
            size_bytes > MAX_EXCHANGE_DATAGRAMS * _UPDATES_BYTES
        ):
            while entries:
                part = _fitting(entries, MAX_ENTRIES_BYTES)
                entries = entries[len(part) :]
                self._send_stream(host_id, StateEntries(nonce, self._wire(part)))
        while entries:
            part = _fitting(entries, _UPDATES_BYTES)
            entries = entries[len(part) :]
            self._send(address, Push(self._host_id, nonce, self._wire(part), ()))
        while wanted:
            part = _fitting_keys(wanted)
            wanted = wanted[len(part) :]
            self._send(address, Push(self._host_id, nonce, (), part))

    def _send_stream(self, host_id: HostId, value: Message) -> None:
        self._metrics.count("membership.stream_messages_sent")
        self._environment.peers.send(host_id, value)

    # Comparisons between zones.

    async def _run_comparisons(self) -> None:
        await asyncio.sleep(self._random.uniform(0, COMPARE_INTERVAL_S))
        while True:
            self._compare_with(self._random_partner())
            await asyncio.sleep(COMPARE_INTERVAL_S)

    def _random_zone(self) -> ZoneId | None:
        """A reachable other zone."""
        zones = [
            zone
            for zone in self._zone_heard_s
            if zone not in self._cut_zones and self._present(zone)
        ]
        return self._random.choice(zones) if zones else None

    def _random_partner(self) -> _Host | None:
        """A host of another zone, or of this one if no other is reachable."""
        zone = self._random_zone()
        hosts = self._others(self._zone) if zone is None else self._present(zone)
        return self._random.choice(hosts) if hosts else None

    def _compare_with(self, host: _Host | None, joining: bool = False) -> None:
        if host is None or len(self._comparisons) >= MAX_NONCES:
            return
        nonce = self._nonce()
        self._comparisons[nonce] = (host.zone, self._clock.now_s())
        entries = self._about(host) + (self._own_entry() if joining else [])
        digest = Digest(self._host_id, nonce, self._state.root, self._wire(entries))
        self._send(host.address, digest)

    def _on_digest(self, digest: Digest, source: Address) -> None:
        sender = self._hosts.get(digest.sender)
        same = digest.root == self._state.root
        sums = b"" if same else self._state.bucket_sums()
        updates = self._wire(self._about(sender))
        reply = DigestReply(self._host_id, digest.nonce, sums, updates)
        self._send(source, reply)
        if sender is not None and sender.zone in self._cut_zones:
            # What reaches us may be the first sign that the cut is over.
            self._compare_with(sender)

    def _on_digest_reply(self, reply: DigestReply, source: Address) -> None:
        comparison = self._comparisons.get(reply.nonce)
        if comparison is None:
            return
        self._hear_from(comparison[0])
        if not reply.sums:
            self._joined.set()
            return
        try:
            buckets = self._state.differing_buckets(reply.sums)
        except ValueError:
            self._metrics.count("membership.dropped_datagrams")
            return
        self._send_versions(reply.sender, source, reply.nonce, buckets)

    def _send_versions(
        self, host_id: HostId, address: Address, nonce: int, buckets: list[int]
    ) -> None:
        """Send the versions in buckets that differ, in as few datagrams as fit."""
        parts: list[tuple[list[int], list]] = [([], [])]
        size_bytes = 0
        streamed = False
        for bucket in buckets:
            versions = self._state.versions(bucket)
            bucket_bytes = 2 + sum(len(key) + 20 for key, _, _ in versions)
            streamed = streamed or bucket_bytes > _UPDATES_BYTES
            if size_bytes + bucket_bytes > _UPDATES_BYTES:
                parts.append(([], []))
                size_bytes = 0
            size_bytes += bucket_bytes
            parts[-1][0].append(bucket)
            parts[-1][1].extend(versions)
        if streamed or len(parts) > MAX_EXCHANGE_DATAGRAMS:
            versions = tuple(item for part in parts for item in part[1])
            value = Versions(self._host_id, nonce, bytes(buckets), versions)
            self._send_stream(host_id, value)
            return
        for part_buckets, versions in parts:
            value = Versions(self._host_id, nonce, bytes(part_buckets), tuple(versions))
            self._send(address, value)

    def _on_streamed_versions(self, sender: HostId, versions: Versions) -> None:
        host = self._hosts.get(sender)
        if host is not None and not self._stopped:
            self._on_versions(versions, host.address)

    def _on_versions(self, received: Versions, source: Address) -> None:
        try:
            newer, wanted = self._state.compare(received.buckets, received.versions)
        except (ValueError, TypeError, IndexError):
            self._metrics.count("membership.dropped_datagrams")
            return
        self._send_entries(
            received.sender, source, newer, received.nonce, tuple(wanted)
        )

    def _hear_from(self, zone: ZoneId) -> None:
        if zone == self._zone:
            return
        self._zone_heard_s[zone] = self._clock.now_s()
        if zone in self._cut_zones:
            self._cut_zones.discard(zone)
            self._report_zone(zone, reachable=True)

    def _report_zone(self, zone: ZoneId, reachable: bool) -> None:
        logging.info("event=zone zone=%s reachable=%s", zone, reachable)
        self._metrics.count(f"membership.zone_{'back' if reachable else 'cut'}")
        for listener in self._zone_listeners:
            self._notify(listener, zone, reachable)

    # Seeds.

    def _other_seeds(self) -> list[Address]:
        return [
            seed.address
            for seed in self._settings.seeds
            if seed.address != self._address
        ]

    def _introduce(self, addresses: list[Address]) -> None:
        """Send this host's entry to addresses whose hosts may be unknown."""
        for address in self._random.sample(
            addresses, min(SEEDS_AT_ONCE, len(addresses))
        ):
            nonce = self._nonce()
            self._join_nonces[nonce] = self._clock.now_s()
            join = Join(self._host_id, nonce, self._wire(self._own_entry()))
            self._send(address, join)

    def _on_join(self, join: Join, source: Address) -> None:
        # What is known of the sender may stem from a former process with its id.
        entries = self._own_entry()
        known = self._state.entries.get(_HOST_PREFIX + join.sender)
        if known is not None and join.sender != self._host_id:
            entries.append(known)
        self._send(source, Ack(self._host_id, join.nonce, self._wire(entries)))

    def _check_seeds(self) -> None:
        """Contact seeds until joined, and later seeds that no live host uses.

        The latter, and one dead host each time, joins groups that hold each other
        dead, also where they forgot each other or where all seeds are gone.
        """
        now_s = self._clock.now_s()
        joined = self._joined.is_set()
        interval_s = SEED_CHECK_INTERVAL_S if joined else JOIN_INTERVAL_S
        if now_s - self._seed_check_s < interval_s:
            return
        self._seed_check_s = now_s
        seeds = self._other_seeds()
        if joined:
            used = {host.address for host in self._hosts.values() if host.rank != _DEAD}
            seeds = [address for address in seeds if address not in used]
            seeds = self._random.sample(seeds, min(1, len(seeds)))
            dead = [host_id for host_id in self._dead if host_id != self._host_id]
            if dead:
                seeds.append(self._hosts[self._random.choice(dead)].address)
        self._introduce(seeds)

    # Periodic checks.

    async def _run_ticks(self) -> None:
        while True:
            self._check_stall()
            self._heartbeat_s = self._clock.now_s()
            self._check_suspicions()
            self._check_zones()
            self._check_seeds()
            self._check_dead()
            self._drop_old_nonces()
            await asyncio.sleep(TICK_S)

    def _check_stall(self) -> bool:
        """Whether this host did not run for longer than the suspicion time.

        Everything that this host measured before is then worthless, and others may
        have declared it dead. It drops its leases before anything else.
        """
        now_s = self._clock.now_s()
        stalled_s = now_s - self._heartbeat_s
        if stalled_s <= STALL_S:
            return False
        self._heartbeat_s = now_s
        logging.warning("event=stalled duration_s=%.3f", stalled_s)
        self._metrics.count("membership.stalls")
        for listener in self._stall_listeners:
            self._notify(listener)
        for suspicion in self._suspicions.values():
            suspicion.own = False
            suspicion.deadline_s = now_s + HEARD_SUSPICION_S
        for zone in self._zone_heard_s:
            self._zone_heard_s[zone] = now_s
        for answer in self._probes.values():
            if not answer.done():
                answer.set_result(None)
        self._incarnation += 1
        self._announce()
        self._introduce(self._other_seeds())
        self._compare_with(self._random_partner())
        return True

    def _check_zones(self) -> None:
        now_s = self._clock.now_s()
        for zone, heard_s in tuple(self._zone_heard_s.items()):
            hosts = self._present(zone)
            if not hosts:
                del self._zone_heard_s[zone]
                self._cut_zones.discard(zone)
                continue
            silent_s = now_s - heard_s
            if silent_s > ZONE_TIMEOUT_S and zone not in self._cut_zones:
                self._cut_zones.add(zone)
                self._report_zone(zone, reachable=False)
            if zone in self._cut_zones:
                self._compare_with(self._random.choice(hosts))
            elif silent_s > ZONE_QUIET_S:
                self._ping_zone(self._random.choice(hosts))

    def _ping_zone(self, host: _Host) -> None:
        nonce = self._nonce()
        self._zone_pings[nonce] = (host.zone, self._clock.now_s())
        updates = self._wire(self._about(host))
        self._send(host.address, Ping(self._host_id, nonce, updates))

    def _check_dead(self) -> None:
        now_s = self._clock.now_s()
        for host_id in tuple(self._dead):
            host = self._hosts[host_id]
            age_s = now_s - host.dead_since_s
            key = _HOST_PREFIX + host_id
            if age_s >= DEAD_FORGET_S:
                self._drop_from_zone(host)
                del self._hosts[host_id]
                del self._dead[host_id]
                self._state.forget(key)
            elif age_s >= DEAD_HIDE_S:
                self._state.hide(key)

    def _drop_old_nonces(self) -> None:
        oldest_s = self._clock.now_s() - ZONE_TIMEOUT_S
        for nonces, sent_s in (
            (self._relays, lambda item: item[2]),
            (self._comparisons, lambda item: item[1]),
            (self._zone_pings, lambda item: item[1]),
            (self._join_nonces, lambda item: item),
        ):
            # Dictionaries keep the order of insertion, so the oldest come first.
            while nonces and sent_s(nonces[next(iter(nonces))]) < oldest_s:
                del nonces[next(iter(nonces))]


def _host_of(key: str) -> HostId:
    return HostId(key[len(_HOST_PREFIX) :])


def _fitting(entries: list[Entry], budget_bytes: int) -> list[Entry]:
    """The first entries that fit, at least one if there is any."""
    size_bytes = 0
    for index, entry in enumerate(entries):
        size_bytes += entry.size_bytes
        if size_bytes > budget_bytes and index:
            return entries[:index]
    return entries


def _fitting_keys(keys: tuple[str, ...]) -> tuple[str, ...]:
    size_bytes = 0
    for index, key in enumerate(keys):
        size_bytes += len(key.encode()) + 3
        if size_bytes > _UPDATES_BYTES and index:
            return keys[:index]
    return keys
