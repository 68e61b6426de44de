"""Anti-entropy: repairs differences between the gossip states of two hosts."""

import asyncio

from wisteriatiller.foundation import Environment
from wisteriatiller.ids import Address, HostId

from .gossipentries import GossipEntries
from .gossipmessages import (
    MAX_UPDATES_BYTES,
    Ack,
    Digest,
    DigestReply,
    Ping,
    Push,
    StateEntries,
    Versions,
)
from .gossipstate import Entry, fitting_prefix
from .gossiptransport import GossipTransport, PendingNonces
from .hosttable import HostTable, KnownHost
from .zonereachability import ZoneReachability

EXCHANGE_INTERVAL_S = 1.0
MAX_EXCHANGE_DATAGRAMS = 8
MAX_STREAM_PART_BYTES = 256 * 1024


class AntiEntropy:
    """Compares the gossip state with other hosts and exchanges differing entries.

    Partners are mostly in other zones, and their replies show which zones are
    reachable. ``joined`` is set when the first exchange finds no difference or delivers
    entries.
    """

    def __init__(
        self,
        environment: Environment,
        transport: GossipTransport,
        hosts: HostTable,
        zones: ZoneReachability,
        entries: GossipEntries,
    ):
        self.joined = asyncio.Event()
        self._host_id = environment.settings.host_id
        self._random = environment.random
        self._metrics = environment.metrics
        self._transport = transport
        self._hosts = hosts
        self._zones = zones
        self._entries = entries
        # Both map the nonce to the zone of the host that was contacted.
        self._pending_exchanges = PendingNonces(environment)
        self._pending_zone_pings = PendingNonces(environment)

    async def run(self) -> None:
        """Start an exchange with a random host once per interval until cancelled."""
        await asyncio.sleep(self._random.uniform(0, EXCHANGE_INTERVAL_S))
        while True:
            self.start_exchange(self._zones.random_exchange_partner())
            await asyncio.sleep(EXCHANGE_INTERVAL_S)

    def start_exchange(self, host: KnownHost | None, joining: bool = False) -> None:
        """Start an exchange; a joining host includes its own entry."""
        if host is None or self._pending_exchanges.is_full:
            return
        nonce = self._pending_exchanges.add(host.zone)
        entries = self._entries.entries_to_refute(host) + (
            self._entries.own_entries() if joining else []
        )
        updates = self._entries.encode_updates(entries)
        digest = Digest(self._host_id, nonce, self._entries.state.root, updates)
        self._transport.send(host.address, digest)

    def check_zones(self) -> None:
        """Update the reachability of zones, and contact those that are silent."""
        self._zones.check_reachability(
            contact_cut_zone=self.start_exchange, contact_quiet_zone=self._ping
        )

    def expire_nonces(self) -> None:
        self._pending_exchanges.expire()
        self._pending_zone_pings.expire()

    def on_ack(self, ack: Ack) -> None:
        zone = self._pending_zone_pings.pop(ack.nonce)
        if zone is not None:
            self._zones.record_answer(zone)

    def on_digest(self, digest: Digest, source: Address) -> None:
        """Reply with the bucket digests, or with none if the states are equal."""
        sender = self._hosts.get(digest.sender)
        same = digest.root == self._entries.state.root
        sums = b"" if same else self._entries.state.bucket_digests()
        updates = self._entries.encode_updates(self._entries.entries_to_refute(sender))
        reply = DigestReply(self._host_id, digest.nonce, sums, updates)
        self._transport.send(source, reply)
        if sender is not None and self._zones.is_cut_off(sender.zone):
            # A message from the zone may be the first sign that it is reachable again.
            self.start_exchange(sender)

    def on_digest_reply(self, reply: DigestReply, source: Address) -> None:
        """Send the versions of the differing buckets, if there are any."""
        zone = self._pending_exchanges.get(reply.nonce)
        if zone is None:
            return
        self._zones.record_answer(zone)
        if not reply.sums:
            self.joined.set()
            return
        try:
            buckets = self._entries.state.differing_buckets(reply.sums)
        except ValueError:
            self._metrics.count("membership.dropped_datagrams")
            return
        self._send_versions(reply.sender, source, reply.nonce, buckets)

    def on_versions(self, received: Versions, source: Address) -> None:
        """Send the entries that are newer here, and request those newer there."""
        try:
            newer, wanted = self._entries.state.diff(
                received.buckets, received.versions
            )
        except (ValueError, TypeError, IndexError):
            self._metrics.count("membership.dropped_datagrams")
            return
        self._send_entries(received.sender, source, newer, received.nonce)
        self._request_entries(source, tuple(wanted), received.nonce)

    def on_streamed_versions(self, sender: HostId, versions: Versions) -> None:
        host = self._hosts.get(sender)
        if host is not None and not self._entries.closed:
            self.on_versions(versions, host.address)

    def on_push(self, push: Push, source: Address) -> None:
        """Send the requested entries; the updates are applied already."""
        if push.nonce in self._pending_exchanges:
            self.joined.set()
        wanted = [
            entry
            for key in push.wanted
            if isinstance(key, str)
            and (entry := self._entries.get(key)) is not None
            and not entry.excluded
        ]
        if wanted:
            self._send_entries(push.sender, source, wanted, 0)

    def on_state_entries(self, sender: HostId, entries: StateEntries) -> None:
        if self._entries.closed:
            return
        # Other hosts have these entries already or get them by anti-entropy.
        # Disseminating that many would fill the datagrams for minutes.
        self._entries.apply_updates(entries.updates, disseminate=False)
        if entries.nonce in self._pending_exchanges:
            self.joined.set()

    def _ping(self, host: KnownHost) -> None:
        """Ping a host of another zone to test whether the zone is reachable."""
        nonce = self._pending_zone_pings.add(host.zone)
        updates = self._entries.encode_updates(self._entries.entries_to_refute(host))
        self._transport.send(host.address, Ping(self._host_id, nonce, updates))

    def _send_versions(
        self, host_id: HostId, address: Address, nonce: int, buckets: list[int]
    ) -> None:
        """Send the versions of differing buckets, in datagrams or over the stream."""
        parts: list[tuple[list[int], list]] = [([], [])]
        size_bytes = 0
        use_stream = False
        for bucket in buckets:
            versions = self._entries.state.bucket_versions(bucket)
            bucket_bytes = 2 + sum(len(key) + 20 for key, _, _ in versions)
            use_stream = use_stream or bucket_bytes > MAX_UPDATES_BYTES
            if size_bytes + bucket_bytes > MAX_UPDATES_BYTES:
                parts.append(([], []))
                size_bytes = 0
            size_bytes += bucket_bytes
            parts[-1][0].append(bucket)
            parts[-1][1].extend(versions)
        if use_stream or len(parts) > MAX_EXCHANGE_DATAGRAMS:
            versions = tuple(item for part in parts for item in part[1])
            value = Versions(self._host_id, nonce, bytes(buckets), versions)
            self._transport.send_over_stream(host_id, value)
            return
        for part_buckets, versions in parts:
            value = Versions(self._host_id, nonce, bytes(part_buckets), tuple(versions))
            self._transport.send(address, value)

    def _send_entries(
        self, host_id: HostId, address: Address, entries: list[Entry], nonce: int
    ) -> None:
        """Send entries in datagrams, or over the peer stream if they are too large."""
        size_bytes = sum(entry.size_bytes for entry in entries)
        largest = max((entry.size_bytes for entry in entries), default=0)
        use_stream = largest > MAX_UPDATES_BYTES or (
            size_bytes > MAX_EXCHANGE_DATAGRAMS * MAX_UPDATES_BYTES
        )
        part_bytes = MAX_STREAM_PART_BYTES if use_stream else MAX_UPDATES_BYTES
        while entries:
            part = fitting_prefix(entries, part_bytes)
            entries = entries[len(part) :]
            updates = self._entries.encode_updates(part)
            if use_stream:
                self._transport.send_over_stream(host_id, StateEntries(nonce, updates))
            else:
                self._transport.send(address, Push(self._host_id, nonce, updates, ()))

    def _request_entries(
        self, address: Address, wanted: tuple[str, ...], nonce: int
    ) -> None:
        while wanted:
            part = _fitting_key_prefix(wanted)
            wanted = wanted[len(part) :]
            self._transport.send(address, Push(self._host_id, nonce, (), part))


def _fitting_key_prefix(keys: tuple[str, ...]) -> tuple[str, ...]:
    size_bytes = 0
    for index, key in enumerate(keys):
        size_bytes += len(key.encode()) + 3
        if size_bytes > MAX_UPDATES_BYTES and index:
            return keys[:index]
    return keys
