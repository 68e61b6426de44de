"""The owner's side of the replication of one shard to its backup.

A change marks its key as dirty, and the next batch carries the present record of each
dirty key. For a new backup, all keys are marked.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from wisteriatiller.foundation import Environment, log_event, spawn
from wisteriatiller.ids import FlowKey, HostId
from wisteriatiller.leases import MajorityLeases
from wisteriatiller.requests import FINAL_STATES, Request, RequestKey
from wisteriatiller.transport import CoapHeader

from .backups import (
    ReplicaDropped,
    ReplicaPart,
    pack_flow,
    pack_request,
)
from .shard import BackupRecorder, OwnedShard

RECORD_TIMEOUT_S = 0.5
# A new owner has to synchronise a backup first, so requests may wait for their records
# until this time after the takeover.
FIRST_RECORD_TIMEOUT_S = 2.0
FLOW_RECORD_TIMEOUT_S = 0.15
CHUNK_KEYS = 1000

RecordKey = FlowKey | RequestKey
DoneCallback = Callable[[bool], None]


@dataclass(slots=True)
class _Waiter:
    """A caller that waits until the required backups have the record of a key."""

    key: RecordKey
    done: DoneCallback
    request: Request | None = None
    timer: asyncio.TimerHandle | None = None


@dataclass(slots=True)
class _BackupStream:
    """What one backup has acknowledged of one shard, and what it has not.

    ``dirty`` holds the keys to send, and ``in_flight`` those of the batch under way.
    ``reset`` is set until the backup has acknowledged the first part. ``synchronised``
    is set once it has had every record of the shard.
    """

    dirty: dict[RecordKey, None] = field(default_factory=dict)
    in_flight: dict[RecordKey, None] = field(default_factory=dict)
    reset: bool = True
    synchronised: bool = False
    sent_complete: bool = False
    # Keys that the host must acknowledge before it is registered as the backup.
    unacknowledged: set[RecordKey] | None = None
    registering: bool = False

    def is_acknowledged(self, key: RecordKey) -> bool:
        """Whether the backup has acknowledged the present record of the key."""
        return self.synchronised and key not in self.dirty and key not in self.in_flight

    def take_chunk(self) -> list[RecordKey]:
        """Move up to ``CHUNK_KEYS`` dirty keys into the batch under way."""
        keys = []
        for key in self.dirty:
            if len(keys) == CHUNK_KEYS:
                break
            keys.append(key)
        for key in keys:
            del self.dirty[key]
        self.in_flight = dict.fromkeys(keys)
        self.sent_complete = not self.dirty
        return keys

    def requeue_in_flight(self) -> None:
        """Mark the keys of an unacknowledged batch as dirty again."""
        self.dirty.update(self.in_flight)
        self.in_flight = {}

    def acknowledge_in_flight(self) -> dict[RecordKey, None]:
        """Record that the backup has the batch; return the keys of the batch."""
        keys, self.in_flight = self.in_flight, {}
        self.reset = False
        self.synchronised = self.synchronised or self.sent_complete
        if self.unacknowledged is not None:
            self.unacknowledged.difference_update(keys)
        return keys


class ShardReplicator(BackupRecorder):
    """Tracks which records the backups of one shard lack, and who waits for them.

    A record is replicated once every host in ``required_backups`` has acknowledged
    it: the backup that the grantors have registered, ``registered_backup``, and
    during a change of backup also the next one.
    """

    def __init__(
        self,
        environment: Environment,
        leases: MajorityLeases,
        owned: OwnedShard,
        epoch: int,
        wake_sender: Callable[[HostId, bool], None],
    ):
        self.owned = owned
        self.epoch = epoch
        self.heads: dict[RequestKey, CoapHeader] = {}
        self.streams: dict[HostId, _BackupStream] = {}
        self.required_backups: set[HostId] = set()
        self.registered_backup: HostId | None = None
        self._wanted_backup: HostId | None = None
        self.held_since_s = environment.clock.now_s()
        self._environment = environment
        self._leases = leases
        self._wake_sender = wake_sender
        self._waiters: dict[RecordKey, list[_Waiter]] = {}
        # The keys of all non-idempotent requests that the duplicate table may hold.
        self._request_keys: dict[RequestKey, None] = dict.fromkeys(
            key for key, record in owned.duplicates if record.state in FINAL_STATES
        )
        owned.flows.on_change = self._mark_flow_dirty
        owned.recorder = self

    # Recording

    def record(self, request, done):
        self.heads[request.key] = request.head
        self._request_keys[request.key] = None
        if self._leases.is_sole_grantor:
            self._mark_dirty(request.key, urgent=False)
            done(True)
            return
        self._mark_dirty(request.key, urgent=True)
        now_s = self._environment.clock.now_s()
        since_takeover_s = now_s - self.held_since_s
        timeout_s = max(RECORD_TIMEOUT_S, FIRST_RECORD_TIMEOUT_S - since_takeover_s)
        self._add_waiter(_Waiter(request.key, done, request), timeout_s)

    def record_final_state(self, request):
        self.heads.pop(request.key, None)
        self._request_keys[request.key] = None
        self._mark_dirty(request.key, urgent=False)

    async def wait_replicated(self, flow_key):
        if not self.required_backups:
            # No host is registered as the backup, so a successor will know that its
            # records are incomplete.
            return True
        future = asyncio.get_running_loop().create_future()

        def set_result(replicated: bool) -> None:
            if not future.done():
                future.set_result(replicated)

        for host_id in self.required_backups:
            self._wake_sender(host_id, True)
        self._add_waiter(_Waiter(flow_key, set_result), FLOW_RECORD_TIMEOUT_S)
        return await future

    def cancel_waiters(self) -> list[tuple[Request, DoneCallback]]:
        """Cancel all waiters; return the requests among them with their callbacks."""
        waiters = [waiter for group in self._waiters.values() for waiter in group]
        self._waiters.clear()
        for waiter in waiters:
            waiter.timer.cancel()
            if waiter.request is None:
                waiter.done(False)
        return [(w.request, w.done) for w in waiters if w.request is not None]

    def close(self) -> None:
        """Detach from the shard and cancel all waiters."""
        self.cancel_waiters()
        self.owned.flows.on_change = lambda flow_key: None
        self.owned.recorder = None

    def _add_waiter(self, waiter: _Waiter, timeout_s: float) -> None:
        """Call the waiter back on replication of its key or after the timeout."""
        waiter.timer = asyncio.get_running_loop().call_later(
            timeout_s, self._time_out, waiter
        )
        self._waiters.setdefault(waiter.key, []).append(waiter)
        self._complete_waiters(waiter.key)

    def _time_out(self, waiter: _Waiter) -> None:
        """Report the failure to a waiter whose key was not replicated in time."""
        group = self._waiters.get(waiter.key, [])
        if waiter in group:
            group.remove(waiter)
            if not group:
                del self._waiters[waiter.key]
            self._environment.metrics.count("replication.timeouts")
            waiter.done(False)

    def _complete_waiters(self, key: RecordKey) -> None:
        """Complete the waiters of a key that all required backups have."""
        if key not in self._waiters or not self.required_backups:
            return
        if all(
            self.streams[host_id].is_acknowledged(key)
            for host_id in self.required_backups
        ):
            for waiter in self._waiters.pop(key):
                waiter.timer.cancel()
                waiter.done(True)

    def _complete_all_waiters(self) -> None:
        for key in list(self._waiters):
            self._complete_waiters(key)

    def _mark_flow_dirty(self, flow_key: FlowKey) -> None:
        self._mark_dirty(flow_key, urgent=False)

    def _mark_dirty(self, key: RecordKey, urgent: bool) -> None:
        """Send the present record of the key with the next batch of each stream."""
        for host_id, stream in self.streams.items():
            stream.dirty[key] = None
            self._wake_sender(host_id, urgent)

    # Streams

    def set_backup(self, wanted: HostId | None) -> None:
        """Stream to the wanted backup, and to those that are still required."""
        self._wanted_backup = wanted
        for host_id in list(self.streams):
            if host_id != wanted and host_id not in self.required_backups:
                del self.streams[host_id]
                shard = self.owned.shard
                dropped = ReplicaDropped(shard.zone, shard.index, self.epoch)
                self._environment.peers.send(host_id, dropped)
        if wanted is not None and wanted not in self.streams:
            self.streams[wanted] = _BackupStream()
            self.restart_stream(wanted)
        if wanted is not None:
            self._register_when_synchronised(wanted)

    def restart_stream(self, host_id: HostId) -> None:
        """Reset the stream to a backup, so that it gets all records again."""
        stream = self.streams[host_id] = _BackupStream()
        stream.dirty.update((flow_key, None) for flow_key, _ in self.owned.flows)
        known = self.owned.duplicates
        self._request_keys = {
            key: None for key in self._request_keys if known.get(key) is not None
        }
        stream.dirty.update(self._request_keys)
        self._wake_sender(host_id, True)

    def build_part(self, host_id: HostId) -> ReplicaPart:
        """The shard's part of the next batch to a backup."""
        stream = self.streams[host_id]
        now_s = self._environment.clock.now_s()
        flows, requests = [], []
        for key in stream.take_chunk():
            if isinstance(key, RequestKey):
                record = self.owned.duplicates.get(key)
                if record is not None:
                    head = self.heads.get(key)
                    requests.append(pack_request(key, record, head, now_s))
            else:
                flows.append(pack_flow(key, self.owned.flows.get(key), now_s))
        return ReplicaPart(
            self.owned.shard.index,
            self.epoch,
            stream.reset,
            stream.sent_complete,
            host_id in self.required_backups,
            max(0, int((self.owned.uncertain_until_s - now_s) * 1000)),
            flows,
            requests,
        )

    def acknowledge_batch(self, host_id: HostId) -> None:
        """Record that a backup has the last batch, and complete the waiters for it."""
        stream = self.streams.get(host_id)
        if stream is None:
            return
        was_synchronised = stream.synchronised
        keys = stream.acknowledge_in_flight()
        if stream.synchronised and not was_synchronised:
            self._complete_all_waiters()
        else:
            for key in keys:
                self._complete_waiters(key)
        self._register_when_synchronised(host_id)

    def requeue_batch(self, host_id: HostId) -> None:
        """Send the last batch to a backup again, since it was not acknowledged."""
        stream = self.streams.get(host_id)
        if stream is not None:
            stream.requeue_in_flight()

    def is_registered_backup(self, host_id: HostId) -> bool:
        """Whether the host is the registered and only required backup, and in sync."""
        stream = self.streams.get(host_id)
        is_only_backup = (
            self.registered_backup == host_id and self.required_backups == {host_id}
        )
        return is_only_backup and stream is not None and stream.synchronised

    def is_up_to_date(self, host_id: HostId) -> bool:
        """Whether the host is the registered backup and has acknowledged everything."""
        if not self.is_registered_backup(host_id):
            return False
        self._wake_sender(host_id, True)
        stream = self.streams[host_id]
        return not stream.dirty and not stream.in_flight

    def _register_when_synchronised(self, host_id: HostId) -> None:
        """Register the wanted host as the backup once it has all records."""
        stream = self.streams[host_id]
        if (
            host_id != self._wanted_backup
            or not stream.synchronised
            or self.is_registered_backup(host_id)
        ):
            return
        if stream.unacknowledged is None:
            # From now on, a request is dispatched only after this host has its record.
            # The records of earlier dispatches must reach it before registration.
            self.required_backups.add(host_id)
            stream.unacknowledged = {*stream.dirty, *stream.in_flight}
        if not stream.unacknowledged and not stream.registering:
            stream.registering = True
            spawn(self._register(host_id, stream), f"register backup {host_id}")

    async def _register(self, host_id: HostId, stream: _BackupStream) -> None:
        """Have the grantors register the host as the only backup of the shard."""
        # The grantors may have registered this host even if the call fails.
        self.registered_backup = None
        is_registered_backup = await self._leases.register_backup(
            self.owned.shard, host_id
        )
        stream.registering = False
        is_required = (
            host_id in self.required_backups and self.streams.get(host_id) is stream
        )
        if is_registered_backup and is_required:
            self.registered_backup = host_id
            self.required_backups = {host_id}
            for other in self.streams.values():
                if other is not stream:
                    # Dispatch no longer waits for this host, so it has to catch up
                    # again before it can be registered.
                    other.unacknowledged = None
            log_event("backup_noted", shard=self.owned.shard, backup=host_id)
            self._complete_all_waiters()
