"""SWIM membership and gossip between the hosts.

Hosts probe only hosts of their own zone, so a partition between zones makes a zone
unreachable without declaring its hosts dead. Updates are piggybacked on probes and acks
inside the zone and pushed once to a few hosts as soon as they are received.
Anti-entropy carries them between zones and repairs whatever was lost.
"""

import asyncio
from collections.abc import Callable

from wisteriatiller.foundation import Environment, log_event, notify_listener, spawn
from wisteriatiller.ids import Address, ZoneId

from .antientropy import AntiEntropy
from .eagerpush import EagerPusher
from .failuredetector import FailureDetector
from .gossipentries import GossipEntries
from .gossipmessages import (
    Ack,
    Digest,
    DigestReply,
    Join,
    Ping,
    ProbeRequest,
    Push,
    StateEntries,
    Versions,
)
from .gossiptransport import GossipTransport
from .hosttable import DEAD, SUSPICION_S, HostTable
from .membership import Member, Membership
from .seedjoin import SeedJoiner
from .zonereachability import ZoneListener, ZoneReachability

CHECK_INTERVAL_S = 0.25
STALL_THRESHOLD_S = SUSPICION_S


class SwimMembership(Membership):
    """SWIM membership; wires up the failure detector, gossip and anti-entropy.

    ::

        membership = SwimMembership(environment)
        membership.subscribe_stalls(drop_leases)
        await membership.start()
        await membership.wait_joined(timeout_s=5.0)
    """

    def __init__(self, environment: Environment):
        self._environment = environment
        self._clock = environment.clock
        self._metrics = environment.metrics
        self._transport = transport = GossipTransport(environment)
        self._hosts = hosts = HostTable(environment)
        self._zones = zones = ZoneReachability(environment, hosts)
        self._entries = entries = GossipEntries(environment, transport, hosts, zones)
        self._eager_pusher = EagerPusher(environment, transport, hosts, zones, entries)
        self._anti_entropy = AntiEntropy(environment, transport, hosts, zones, entries)
        self._seed_joiner = SeedJoiner(
            environment, transport, hosts, entries, self._anti_entropy
        )
        self._failure_detector = FailureDetector(
            environment, transport, hosts, entries, self._recover_from_stall
        )
        self._stall_listeners: list[Callable[[], None]] = []
        self._tasks: list[asyncio.Task] = []
        self._last_tick_s = 0.0
        self._handlers = {
            Ping: self._failure_detector.on_ping,
            Ack: self._on_ack,
            ProbeRequest: self._failure_detector.on_probe_request,
            Push: self._anti_entropy.on_push,
            Join: self._seed_joiner.on_join,
            Digest: self._anti_entropy.on_digest,
            DigestReply: self._anti_entropy.on_digest_reply,
            Versions: self._anti_entropy.on_versions,
        }
        peers = environment.peers
        peers.register(StateEntries, self._anti_entropy.on_state_entries)
        peers.register(Versions, self._anti_entropy.on_streamed_versions)

    # Lifecycle.

    async def start(self) -> None:
        """Open the socket, contact the seeds and start the periodic tasks."""
        await self._transport.open(self._on_datagram)
        self._last_tick_s = self._clock.now_s()
        self._entries.announce()
        self._seed_joiner.start()
        self._tasks = [
            spawn(self._run_periodic_checks(), "membership periodic checks"),
            spawn(self._failure_detector.run(), "membership probes"),
            spawn(self._anti_entropy.run(), "membership anti-entropy"),
        ]

    async def wait_joined(self, timeout_s: float) -> bool:
        """Wait for the full gossip state of a seed; return False on timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._anti_entropy.joined.wait()
        except TimeoutError:
            return False
        return True

    async def leave(self) -> None:
        """Announce that this host is leaving; it still answers probes."""
        self._entries.leaving = True
        self._entries.incarnation += 1
        self._entries.announce()
        self._eager_pusher.push_own_entry()

    async def stop(self) -> None:
        """Announce that this host is dead, and close."""
        if self._transport.is_open and not self._entries.closed:
            self._entries.leaving = True
            self._entries.announce(DEAD)
            self._eager_pusher.push_own_entry()
        self.close()

    def close(self) -> None:
        """Stop without an announcement, as a crash would."""
        self._entries.closed = True
        for task in self._tasks:
            task.cancel()
        self._eager_pusher.close()
        self._transport.close()

    def subscribe_stalls(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` first whenever this host detects that it was stalled."""
        self._stall_listeners.append(listener)

    # Queries and gossip of the Membership interface.

    def live_hosts(self, zone):
        return self._hosts.live_host_ids(zone)

    def is_live(self, host_id):
        host = self._hosts.get(host_id)
        return host is not None and host.rank != DEAD

    def address_of(self, host_id):
        # Includes dead hosts: replies still go to a host that is falsely held dead.
        host = self._hosts.get(host_id)
        return host.address if host else None

    def members(self):
        return tuple(
            Member(host.host_id, host.zone, host.state, host.address, host.incarnation)
            for host in self._hosts
        )

    def zones(self) -> tuple[ZoneId, ...]:
        """Return every zone with a known host that is not dead."""
        return tuple(
            dict.fromkeys(host.zone for host in self._hosts if host.rank != DEAD)
        )

    def is_zone_reachable(self, zone):
        return self._zones.is_reachable(zone)

    def subscribe_zones(self, listener: ZoneListener) -> None:
        """Call ``listener(zone, reachable)`` when a zone's reachability changes."""
        self._zones.subscribe(listener)

    def publish(self, key, version, value):
        self._entries.publish(key, version, value)

    def gossiped_value(self, key):
        entry = self._entries.get(key)
        return (entry.version, entry.value) if entry else None

    def subscribe(self, prefix, listener):
        self._entries.subscribe(prefix, listener)

    # Datagrams.

    def _on_datagram(self, data: bytes, source: Address) -> None:
        self._recover_from_stall()
        received = self._transport.decode(data, source, self._handlers)
        if received is None:
            return
        if type(received) is not Versions:
            self._entries.apply_updates(received.updates, disseminate=True)
        self._handlers[type(received)](received, source)

    def _on_ack(self, ack: Ack, source: Address) -> None:
        self._failure_detector.on_ack(ack)
        self._seed_joiner.on_ack(ack)
        self._anti_entropy.on_ack(ack)

    # Periodic checks.

    async def _run_periodic_checks(self) -> None:
        while True:
            self._recover_from_stall()
            self._last_tick_s = self._clock.now_s()
            self._failure_detector.check_suspicions()
            self._anti_entropy.check_zones()
            self._seed_joiner.contact_if_due()
            self._entries.expire_tombstones()
            for component in (
                self._failure_detector,
                self._anti_entropy,
                self._seed_joiner,
            ):
                component.expire_nonces()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _recover_from_stall(self) -> bool:
        """Return whether this host was stalled, after handling that.

        A stall is a pause of more than ``STALL_THRESHOLD_S``. Timeouts that were
        running are then meaningless, and other hosts may have declared this host dead.
        The stall listeners run first, since they drop the leases of this host.
        """
        now_s = self._clock.now_s()
        stalled_s = now_s - self._last_tick_s
        if stalled_s <= STALL_THRESHOLD_S:
            return False
        self._last_tick_s = now_s
        log_event("stalled", level="warning", duration_s=stalled_s)
        self._metrics.count("membership.stalls")
        for listener in self._stall_listeners:
            notify_listener(self._metrics, listener)
        self._hosts.restart_suspicions()
        self._zones.reset_timers()
        self._failure_detector.mark_probes_answered()
        self._entries.incarnation += 1
        self._entries.announce()
        self._seed_joiner.join_seeds()
        self._anti_entropy.start_exchange(self._zones.random_exchange_partner())
        return True
