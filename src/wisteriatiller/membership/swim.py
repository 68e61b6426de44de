"""SWIM membership and gossip between the hosts.

Hosts probe each other inside their zone only. A cut between zones therefore makes a
zone unreachable, but no host of it dead. Updates ride on probes and acknowledgements
inside the zone, are pushed once to a few hosts as soon as they are learned, and cross
zones by comparisons, which also repair whatever was lost.
"""

import asyncio
from collections.abc import Callable

from wisteriatiller.foundation import Environment, call_listener, log_event, spawn
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

TICK_S = 0.25
STALL_S = SUSPICION_S


class SwimMembership(Membership):
    """Membership by the hosts' own probes.

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
        self._link = link = GossipTransport(environment)
        self._hosts = hosts = HostTable(environment)
        self._zones = zones = ZoneReachability(environment, hosts)
        self._entries = entries = GossipEntries(environment, link, hosts, zones)
        self._pusher = EagerPusher(environment, link, hosts, zones, entries)
        self._comparisons = AntiEntropy(environment, link, hosts, zones, entries)
        self._seeds = SeedJoiner(environment, link, hosts, entries, self._comparisons)
        self._prober = FailureDetector(
            environment, link, hosts, entries, self._check_stall
        )
        self._stall_listeners: list[Callable[[], None]] = []
        self._tasks: list[asyncio.Task] = []
        self._heartbeat_s = 0.0
        self._handlers = {
            Ping: self._prober.on_ping,
            Ack: self._on_ack,
            ProbeRequest: self._prober.on_probe_request,
            Push: self._comparisons.on_push,
            Join: self._seeds.on_join,
            Digest: self._comparisons.on_digest,
            DigestReply: self._comparisons.on_digest_reply,
            Versions: self._comparisons.on_versions,
        }
        peers = environment.peers
        peers.register(StateEntries, self._comparisons.on_state_entries)
        peers.register(Versions, self._comparisons.on_streamed_versions)

    # Life of this host.

    async def start(self) -> None:
        """Open the socket, introduce this host to the seeds and start probing."""
        await self._link.open(self._receive)
        self._heartbeat_s = self._clock.now_s()
        self._entries.announce()
        self._seeds.start()
        self._tasks = [
            spawn(self._run_ticks(), "membership ticks"),
            spawn(self._prober.run(), "membership probes"),
            spawn(self._comparisons.run(), "membership comparisons"),
        ]

    async def wait_joined(self, timeout_s: float) -> bool:
        """Wait until this host has the state of a seed; False if none answered."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._comparisons.joined.wait()
        except TimeoutError:
            return False
        return True

    async def leave(self) -> None:
        """Tell the others that this host is about to stop, and go on answering."""
        self._entries.leaving = True
        self._entries.incarnation += 1
        self._entries.announce()
        self._pusher.push_own()

    async def stop(self) -> None:
        """Tell the others that this host is gone, and stop."""
        if self._link.is_open and not self._entries.closed:
            self._entries.leaving = True
            self._entries.announce(DEAD)
            self._pusher.push_own()
        self.close()

    def close(self) -> None:
        """Stop without a word, as a crash would."""
        self._entries.closed = True
        for task in self._tasks:
            task.cancel()
        self._pusher.close()
        self._link.close()

    def subscribe_stalls(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` first when this host finds that it did not run."""
        self._stall_listeners.append(listener)

    # What other modules ask.

    def live_hosts(self, zone):
        return self._hosts.live(zone)

    def is_live(self, host_id):
        host = self._hosts.get(host_id)
        return host is not None and host.rank != DEAD

    def address_of(self, host_id):
        # Also of a dead host: one that is only believed dead is owed its replies.
        host = self._hosts.get(host_id)
        return host.address if host else None

    def members(self):
        return tuple(
            Member(host.host_id, host.zone, host.state, host.address, host.incarnation)
            for host in self._hosts
        )

    def zones(self) -> tuple[ZoneId, ...]:
        """Every zone with a known host that is not dead."""
        return tuple(
            dict.fromkeys(host.zone for host in self._hosts if host.rank != DEAD)
        )

    def is_zone_reachable(self, zone):
        return self._zones.is_reachable(zone)

    def subscribe_zones(self, listener: ZoneListener) -> None:
        """Call ``listener(zone, reachable)`` when a zone is cut off or back."""
        self._zones.subscribe(listener)

    def publish(self, key, version, value):
        self._entries.publish(key, version, value)

    def gossiped_value(self, key):
        entry = self._entries.get(key)
        return (entry.version, entry.value) if entry else None

    def subscribe(self, prefix, listener):
        self._entries.subscribe(prefix, listener)

    # Datagrams.

    def _receive(self, data: bytes, source: Address) -> None:
        self._check_stall()
        received = self._link.read(data, source, self._handlers)
        if received is None:
            return
        if type(received) is not Versions:
            self._entries.take_updates(received.updates, spread=True)
        self._handlers[type(received)](received, source)

    def _on_ack(self, ack: Ack, source: Address) -> None:
        self._prober.on_ack(ack)
        self._seeds.on_ack(ack)
        self._comparisons.on_ack(ack)

    # Periodic checks.

    async def _run_ticks(self) -> None:
        while True:
            self._check_stall()
            self._heartbeat_s = self._clock.now_s()
            self._prober.check_suspicions()
            self._comparisons.check_zones()
            self._seeds.check()
            self._entries.forget_old_dead()
            for part in (self._prober, self._comparisons, self._seeds):
                part.drop_old_nonces()
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
        log_event("stalled", level="warning", duration_s=stalled_s)
        self._metrics.count("membership.stalls")
        for listener in self._stall_listeners:
            call_listener(self._metrics, listener)
        self._hosts.restart_suspicions()
        self._zones.restart()
        self._prober.excuse_waiting()
        self._entries.incarnation += 1
        self._entries.announce()
        self._seeds.introduce_to_seeds()
        self._comparisons.compare_with(self._zones.random_partner())
        return True
