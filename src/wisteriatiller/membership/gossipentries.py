"""Applies and publishes gossip entries, including this host's own host entry."""

from collections.abc import Callable, Iterable

import msgpack

from wisteriatiller.foundation import Environment, log_event_limited, notify_listener
from wisteriatiller.ids import HostId

from .gossipmessages import MAX_UPDATES_BYTES
from .gossipstate import (
    MAX_KEY_BYTES,
    MAX_VALUE_BYTES,
    MAX_VERSION,
    DisseminationQueue,
    Entry,
    GossipState,
    make_entry,
)
from .gossiptransport import GossipTransport
from .hosttable import (
    ALIVE,
    DEAD,
    HOST_PREFIX,
    TOMBSTONE_COMPARED_S,
    TOMBSTONE_LIFETIME_S,
    HostTable,
    KnownHost,
    host_id_of,
    host_version,
)
from .membership import GossipListener
from .zonereachability import ZoneReachability


class GossipEntries:
    """Holds the gossip state, applies updates to it and queues them for dissemination.

    Updates that contradict this host's own entry are refuted by a higher incarnation.
    """

    def __init__(
        self,
        environment: Environment,
        transport: GossipTransport,
        hosts: HostTable,
        zones: ZoneReachability,
    ):
        self.state = GossipState()
        self.incarnation = 1
        self.leaving = False
        self.closed = False
        # Called with the key of each entry that is queued for dissemination.
        self.on_update_queued: Callable[[str], None] = lambda key: None
        self._host_id = environment.settings.host_id
        self._zone = environment.settings.zone
        self._clock = environment.clock
        self._metrics = environment.metrics
        self._transport = transport
        self._hosts = hosts
        self._zones = zones
        self._queue = DisseminationQueue()
        self._listeners: list[tuple[str, GossipListener]] = []

    def get(self, key: str) -> Entry | None:
        return self.state.entries.get(key)

    def subscribe(self, prefix: str, listener: GossipListener) -> None:
        self._listeners.append((prefix, listener))

    def publish(self, key: str, version: int, value: object) -> None:
        """Store and disseminate a value under a key that is not a host entry."""
        if key.startswith(HOST_PREFIX):
            raise ValueError("host entries are published by the hosts themselves")
        packed_value = msgpack.packb(value)
        if len(packed_value) > MAX_VALUE_BYTES or len(key.encode()) > MAX_KEY_BYTES:
            raise ValueError(f"gossip value of {key!r} is too large")
        if self.state.is_newer(key, version, packed_value):
            self._apply_entry(make_entry(key, version, packed_value), disseminate=True)

    # Entries of hosts.

    def announce(self, rank: int = ALIVE) -> None:
        """Publish this host's entry in its current incarnation."""
        self.set_host_version(self._host_id, host_version(self.incarnation, rank))

    def set_host_version(self, host_id: HostId, version: int) -> None:
        """Publish a host's entry under a new version.

        The value of this host's own entry is rebuilt from its current state.
        """
        key = HOST_PREFIX + host_id
        if host_id == self._host_id:
            packed_value = msgpack.packb(
                [self._zone, *self._transport.address, self.leaving]
            )
        else:
            packed_value = self.state.entries[key].packed_value
        entry = make_entry(key, version, packed_value)
        self._apply_host_entry(
            entry, KnownHost(host_id, version, entry.value), disseminate=True
        )

    def own_entries(self) -> list[Entry]:
        """Return a list with this host's own entry."""
        return [self.state.entries[HOST_PREFIX + self._host_id]]

    def entries_to_refute(self, host: KnownHost | None) -> list[Entry]:
        """Return the suspicion or death that ``host`` has to refute, if any."""
        if host is None or host.rank == ALIVE:
            return []
        return [self.state.entries[HOST_PREFIX + host.host_id]]

    def expire_tombstones(self) -> None:
        """Exclude old tombstones from comparison, and remove expired ones."""
        now_s = self._clock.now_s()
        for host_id in tuple(self._hosts.dead_host_ids):
            host = self._hosts[host_id]
            age_s = now_s - host.dead_since_s
            if age_s >= TOMBSTONE_LIFETIME_S:
                self._hosts.remove(host)
                self.state.remove(HOST_PREFIX + host_id)
            elif age_s >= TOMBSTONE_COMPARED_S:
                self.state.exclude_from_comparison(HOST_PREFIX + host_id)

    # Updates from and to others.

    def apply_updates(self, updates: Iterable, disseminate: bool) -> None:
        """Apply updates from another host and drop malformed ones."""
        for update in updates:
            try:
                decoded = self._decode_if_newer(update)
            except (ValueError, TypeError) as error:
                self._metrics.count("membership.dropped_malformed_update")
                log_event_limited("update_dropped", level="warning", detail=error)
                continue
            if decoded is not None:
                entry, host, age_s = decoded
                if host is None:
                    self._apply_entry(entry, disseminate)
                elif host.host_id == self._host_id:
                    self._refute(host)
                else:
                    self._apply_host_entry(entry, host, disseminate, age_s)

    def encode_updates(self, entries: Iterable[Entry]) -> tuple:
        """Encode entries as updates, with the time since death for dead hosts."""
        updates = []
        for entry in entries:
            age_ms = 0
            if entry.key.startswith(HOST_PREFIX):
                host = self._hosts[host_id_of(entry.key)]
                if host.rank == DEAD:
                    age_ms = int((self._clock.now_s() - host.dead_since_s) * 1000)
            updates.append((entry.key, entry.version, entry.packed_value, age_ms))
        return tuple(updates)

    def encode_with_queued(self, entries: list[Entry]) -> tuple:
        """Encode entries and as many queued updates as fit into one datagram."""
        budget_bytes = MAX_UPDATES_BYTES - sum(entry.size_bytes for entry in entries)
        return self.encode_updates(entries + self._queue.take(self.state, budget_bytes))

    def piggyback_updates(self, target: KnownHost) -> tuple:
        """Return updates to piggyback on a datagram to, or about, a host of this zone.

        They include the suspicion or death of ``target``, so that it can refute it.
        """
        return self.encode_with_queued(self.entries_to_refute(target))

    def _decode_if_newer(self, update) -> tuple[Entry, KnownHost | None, float] | None:
        """Validate an update and decode it if it is newer than the known entry."""
        key, version, packed_value, age_ms = update
        if not (
            isinstance(key, str)
            and type(version) is int
            and 0 <= version <= MAX_VERSION
            and isinstance(packed_value, bytes)
            and type(age_ms) is int
        ):
            raise ValueError("update has fields of the wrong type")
        if not self.state.is_newer(key, version, packed_value):
            return None
        if len(key) > MAX_KEY_BYTES or len(packed_value) > MAX_VALUE_BYTES:
            raise ValueError("update is too large")
        entry = make_entry(key, version, packed_value)
        host = None
        if key.startswith(HOST_PREFIX):
            host = KnownHost(host_id_of(key), version, entry.value)
        return entry, host, age_ms / 1000

    def _refute(self, host: KnownHost) -> None:
        """Override an update about this host or an earlier process with its id."""
        if not self.closed:
            self._metrics.count("membership.refutations")
            self.incarnation = max(self.incarnation, host.incarnation) + 1
            self.announce()

    def _apply_host_entry(
        self, entry: Entry, host: KnownHost, disseminate: bool, age_s: float = 0.0
    ) -> None:
        is_new = host.host_id not in self._hosts
        if host.rank == DEAD and is_new and age_s >= TOMBSTONE_COMPARED_S:
            return
        self._hosts.put(host, entry.version, age_s)
        self._zones.add_zone(host.zone)
        self._apply_entry(entry, disseminate)

    def _apply_entry(self, entry: Entry, disseminate: bool) -> None:
        self.state.put(entry)
        if disseminate and entry.size_bytes <= MAX_UPDATES_BYTES:
            self._queue.add(entry.key, len(self._hosts.hosts_not_dead(self._zone)))
            self.on_update_queued(entry.key)
        for prefix, listener in self._listeners:
            if entry.key.startswith(prefix):
                notify_listener(
                    self._metrics, listener, entry.key, entry.version, entry.value
                )
