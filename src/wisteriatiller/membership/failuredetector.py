"""SWIM failure detection: direct and indirect probes, and suspicions."""

import asyncio
from collections.abc import Callable

from wisteriatiller.foundation import Environment
from wisteriatiller.ids import Address, HostId

from .gossipentries import GossipEntries
from .gossipmessages import Ack, Ping, ProbeRequest, Push
from .gossiptransport import GossipTransport, PendingNonces, new_nonce
from .hosttable import (
    ALIVE,
    DEAD,
    HOST_PREFIX,
    SUSPECT,
    SUSPICION_S,
    HostTable,
    KnownHost,
    host_version,
)

PROBE_INTERVAL_S = 0.5
ACK_TIMEOUT_S = 0.2
INDIRECT_PROBE_COUNT = 3


class FailureDetector:
    """Probes the hosts of this zone in turn, and answers the probes of others.

    ``recover_from_stall`` returns whether this host itself was stalled. A missing ack
    then says nothing about the probed host.
    """

    def __init__(
        self,
        environment: Environment,
        transport: GossipTransport,
        hosts: HostTable,
        entries: GossipEntries,
        recover_from_stall: Callable[[], bool],
    ):
        self._host_id = environment.settings.host_id
        self._zone = environment.settings.zone
        self._clock = environment.clock
        self._random = environment.random
        self._transport = transport
        self._hosts = hosts
        self._entries = entries
        self._recover_from_stall = recover_from_stall
        # The first maps the nonces of this host's probes to futures. The second maps
        # those of pings sent for another host to that host's address and nonce.
        self._pending_acks: dict[int, asyncio.Future] = {}
        self._relayed_pings = PendingNonces(environment)
        self._probe_order: list[HostId] = []

    async def run(self) -> None:
        """Probe one host per interval until cancelled."""
        await asyncio.sleep(self._random.uniform(0, PROBE_INTERVAL_S))
        while True:
            target = self._next_probe_target()
            if target is None:
                await asyncio.sleep(PROBE_INTERVAL_S)
            else:
                await self._probe(target)

    def mark_probes_answered(self) -> None:
        """Mark the pending probes as answered after a stall of this host."""
        for ack_future in self._pending_acks.values():
            if not ack_future.done():
                ack_future.set_result(None)

    def check_suspicions(self) -> None:
        """Act on expired suspicions, and probe the hosts under local suspicion."""
        now_s = self._clock.now_s()
        for host_id, suspicion in tuple(self._hosts.suspicions.items()):
            host = self._hosts[host_id]
            if now_s >= suspicion.deadline_s and suspicion.is_local:
                del self._hosts.suspicions[host_id]
                self._entries.set_host_version(
                    host_id, host_version(host.incarnation, DEAD)
                )
                continue
            if now_s >= suspicion.deadline_s:
                self._suspect(host_id)
            if suspicion.is_local:
                # A live host refutes the suspicion in its ack.
                nonce = new_nonce(self._random)
                self._ping(host, nonce)
                self._probe_indirectly(host, nonce)

    def expire_nonces(self) -> None:
        self._relayed_pings.expire()

    def on_ping(self, ping: Ping, source: Address) -> None:
        """Send an ack, and request the sender's entry if it is unknown here."""
        updates = self._updates_for_ack(ping)
        self._transport.send(source, Ack(self._host_id, ping.nonce, updates))
        if ping.sender not in self._hosts:
            wanted = (HOST_PREFIX + ping.sender,)
            self._transport.send(source, Push(self._host_id, 0, (), wanted))

    def on_ack(self, ack: Ack) -> None:
        """Complete this host's probe, or forward the ack of an indirect one."""
        ack_future = self._pending_acks.get(ack.nonce)
        if ack_future is not None and not ack_future.done():
            ack_future.set_result(None)
        relay = self._relayed_pings.pop(ack.nonce)
        if relay is not None:
            requester, nonce = relay
            # Includes the target's entry, which may refute the requester's suspicion.
            entry = self._entries.get(HOST_PREFIX + ack.sender)
            updates = self._entries.encode_updates([entry] if entry else [])
            self._transport.send(requester, Ack(self._host_id, nonce, updates))

    def on_probe_request(self, request: ProbeRequest, source: Address) -> None:
        """Ping the target on behalf of the requester."""
        target = self._hosts.get(request.target)
        if target is None or self._relayed_pings.is_full:
            return
        self._ping(target, self._relayed_pings.add((source, request.nonce)))

    def _next_probe_target(self) -> KnownHost | None:
        """Return the next host of a shuffled round over the zone.

        Unlike independent random choices, a round bounds the time until each host is
        probed.
        """
        while self._probe_order:
            host = self._hosts.get(self._probe_order.pop())
            if host is not None and host.rank != DEAD and host.zone == self._zone:
                return host
        self._probe_order = [host.host_id for host in self._hosts.zone_peers()]
        self._random.shuffle(self._probe_order)
        return self._hosts[self._probe_order.pop()] if self._probe_order else None

    async def _probe(self, target: KnownHost) -> None:
        """Probe a host for one interval; suspect it if no ack arrived."""
        nonce = new_nonce(self._random)
        ack_future = asyncio.get_running_loop().create_future()
        self._pending_acks[nonce] = ack_future
        try:
            self._ping(target, nonce)
            await asyncio.sleep(ACK_TIMEOUT_S)
            if not ack_future.done():
                self._probe_indirectly(target, nonce)
            await asyncio.sleep(PROBE_INTERVAL_S - ACK_TIMEOUT_S)
        finally:
            del self._pending_acks[nonce]
        if not ack_future.done() and not self._recover_from_stall():
            self._suspect(target.host_id)

    def _ping(self, host: KnownHost, nonce: int) -> None:
        updates = self._entries.piggyback_updates(host)
        self._transport.send(host.address, Ping(self._host_id, nonce, updates))

    def _probe_indirectly(self, target: KnownHost, nonce: int) -> None:
        peers = self._hosts.zone_peers()
        proxies = [host for host in peers if host.host_id != target.host_id]
        for proxy in self._random.sample(
            proxies, min(INDIRECT_PROBE_COUNT, len(proxies))
        ):
            updates = self._entries.piggyback_updates(target)
            request = ProbeRequest(self._host_id, nonce, target.host_id, updates)
            self._transport.send(proxy.address, request)

    def _suspect(self, host_id: HostId) -> None:
        """Suspect a host, or make a remote suspicion of it local."""
        host = self._hosts.get(host_id)
        if host is None or host.rank == DEAD:
            return
        if host.rank == ALIVE:
            self._entries.set_host_version(
                host_id, host_version(host.incarnation, SUSPECT)
            )
        suspicion = self._hosts.suspicions.get(host_id)
        if suspicion is not None and not suspicion.is_local:
            suspicion.is_local = True
            suspicion.deadline_s = self._clock.now_s() + SUSPICION_S

    def _updates_for_ack(self, ping: Ping) -> tuple:
        """Return updates for the ack to a ping, with any suspicion of its sender.

        If the ping carried an update about this host, the ack carries this host's own
        entry as the refutation.
        """
        sender = self._hosts.get(ping.sender)
        entries = self._entries.entries_to_refute(sender)
        own_key = HOST_PREFIX + self._host_id
        if any(
            isinstance(update, tuple) and update[:1] == (own_key,)
            for update in ping.updates
        ):
            entries = entries + self._entries.own_entries()
        if sender is None or sender.zone != self._zone:
            return self._entries.encode_updates(entries)
        return self._entries.encode_with_queued(entries)
