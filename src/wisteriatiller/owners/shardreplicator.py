"""What an owner sends to the backup of one of its shards.

A change marks its key, and the next batch carries the present record of each marked
key. A new backup gets everything by marking every key.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from wisteriatiller.foundation import Environment, log_event, spawn
from wisteriatiller.ids import FlowKey, HostId
from wisteriatiller.leases import MajorityLeases
from wisteriatiller.requests import FINAL_STATES, Request, RequestKey
from wisteriatiller.transport import CoapHead

from .backups import (
    ReplicaDropped,
    ReplicaPart,
    pack_flow,
    pack_request,
)
from .shard import BackupRecorder, OwnedShard

RECORD_TIMEOUT_S = 0.5
# A new owner first brings a backup up to date.
FIRST_RECORD_TIMEOUT_S = 2.0
SETTLE_TIMEOUT_S = 0.15
CHUNK_KEYS = 1000

RecordKey = FlowKey | RequestKey
Done = Callable[[bool], None]


@dataclass(slots=True)
class _Waiter:
    key: RecordKey
    done: Done
    request: Request | None = None
    timer: asyncio.TimerHandle | None = None


@dataclass(slots=True)
class _Stream:
    """What one backup host has yet to get of one shard."""

    dirty: dict[RecordKey, None] = field(default_factory=dict)
    in_flight: dict[RecordKey, None] = field(default_factory=dict)
    reset: bool = True
    synchronised: bool = False
    sent_complete: bool = False
    # Keys that the host must have before the grantors may note it as the backup.
    missing: set[RecordKey] | None = None
    registering: bool = False

    def has(self, key: RecordKey) -> bool:
        return self.synchronised and key not in self.dirty and key not in self.in_flight

    def take(self) -> list[RecordKey]:
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

    def lost(self) -> None:
        """The batch was not acknowledged; its keys go again."""
        self.dirty.update(self.in_flight)
        self.in_flight = {}

    def acknowledged(self) -> dict[RecordKey, None]:
        keys, self.in_flight = self.in_flight, {}
        self.reset = False
        self.synchronised = self.synchronised or self.sent_complete
        if self.missing is not None:
            self.missing.difference_update(keys)
        return keys


class ShardReplicator(BackupRecorder):
    """The owner's side of the replication of one shard.

    A request is recorded once every host in ``required`` has it: the backup that the
    grantors know, which is ``noted``, and the next one while that changes.
    """

    def __init__(
        self,
        environment: Environment,
        leases: MajorityLeases,
        owned: OwnedShard,
        epoch: int,
        wake: Callable[[HostId, bool], None],
    ):
        self.owned = owned
        self.epoch = epoch
        self.heads: dict[RequestKey, CoapHead] = {}
        self.streams: dict[HostId, _Stream] = {}
        self.required: set[HostId] = set()
        self.noted: HostId | None = None
        self._wanted: HostId | None = None
        self.held_since_s = environment.clock.now_s()
        self._environment = environment
        self._leases = leases
        self._wake = wake
        self._waiters: dict[RecordKey, list[_Waiter]] = {}
        # Every non-idempotent request that the duplicate table may hold.
        self._request_keys: dict[RequestKey, None] = dict.fromkeys(
            key for key, record in owned.duplicates if record.state in FINAL_STATES
        )
        owned.flows.on_change = self._flow_changed
        owned.recorder = self

    # Recording

    def record(self, request, done):
        self.heads[request.key] = request.head
        self._request_keys[request.key] = None
        if self._leases.is_sole_grantor:
            self._mark(request.key, urgent=False)
            done(True)
            return
        self._mark(request.key, urgent=True)
        now_s = self._environment.clock.now_s()
        since_start_s = now_s - self.held_since_s
        timeout_s = max(RECORD_TIMEOUT_S, FIRST_RECORD_TIMEOUT_S - since_start_s)
        self._wait(_Waiter(request.key, done, request), timeout_s)

    def record_final_state(self, request):
        self.heads.pop(request.key, None)
        self._request_keys[request.key] = None
        self._mark(request.key, urgent=False)

    async def wait_replicated(self, flow_key):
        if not self.required:
            # No host counts as the backup, so a successor will know that records
            # are missing.
            return True
        future = asyncio.get_running_loop().create_future()

        def finish(replicated: bool) -> None:
            if not future.done():
                future.set_result(replicated)

        for host_id in self.required:
            self._wake(host_id, True)
        self._wait(_Waiter(flow_key, finish), SETTLE_TIMEOUT_S)
        return await future

    def suspend(self) -> list[tuple[Request, Done]]:
        """Stop waiting for records; return the requests that wait for theirs."""
        waiters = [waiter for group in self._waiters.values() for waiter in group]
        self._waiters.clear()
        for waiter in waiters:
            waiter.timer.cancel()
            if waiter.request is None:
                waiter.done(False)
        return [(w.request, w.done) for w in waiters if w.request is not None]

    def close(self) -> None:
        self.suspend()
        self.owned.flows.on_change = lambda flow_key: None
        self.owned.recorder = None

    def _wait(self, waiter: _Waiter, timeout_s: float) -> None:
        waiter.timer = asyncio.get_running_loop().call_later(
            timeout_s, self._give_up, waiter
        )
        self._waiters.setdefault(waiter.key, []).append(waiter)
        self._check(waiter.key)

    def _give_up(self, waiter: _Waiter) -> None:
        group = self._waiters.get(waiter.key, [])
        if waiter in group:
            group.remove(waiter)
            if not group:
                del self._waiters[waiter.key]
            self._environment.metrics.count("replication.timeouts")
            waiter.done(False)

    def _check(self, key: RecordKey) -> None:
        if key not in self._waiters or not self.required:
            return
        if all(self.streams[host_id].has(key) for host_id in self.required):
            for waiter in self._waiters.pop(key):
                waiter.timer.cancel()
                waiter.done(True)

    def _check_all(self) -> None:
        for key in list(self._waiters):
            self._check(key)

    def _flow_changed(self, flow_key: FlowKey) -> None:
        self._mark(flow_key, urgent=False)

    def _mark(self, key: RecordKey, urgent: bool) -> None:
        for host_id, stream in self.streams.items():
            stream.dirty[key] = None
            self._wake(host_id, urgent)

    # Streams

    def choose(self, wanted: HostId | None) -> None:
        """Stream to the wanted backup, and to those still required."""
        self._wanted = wanted
        for host_id in list(self.streams):
            if host_id != wanted and host_id not in self.required:
                del self.streams[host_id]
                shard = self.owned.shard
                dropped = ReplicaDropped(shard.zone, shard.index, self.epoch)
                self._environment.peers.send(host_id, dropped)
        if wanted is not None and wanted not in self.streams:
            self.streams[wanted] = _Stream()
            self.restart(wanted)
        if wanted is not None:
            self._advance(wanted)

    def restart(self, host_id: HostId) -> None:
        """Send everything from the start."""
        stream = self.streams[host_id] = _Stream()
        stream.dirty.update((flow_key, None) for flow_key, _ in self.owned.flows)
        known = self.owned.duplicates
        self._request_keys = {
            key: None for key in self._request_keys if known.get(key) is not None
        }
        stream.dirty.update(self._request_keys)
        self._wake(host_id, True)

    def build_part(self, host_id: HostId) -> ReplicaPart:
        stream = self.streams[host_id]
        now_s = self._environment.clock.now_s()
        flows, requests = [], []
        for key in stream.take():
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
            host_id in self.required,
            max(0, int((self.owned.uncertain_until_s - now_s) * 1000)),
            flows,
            requests,
        )

    def acknowledged(self, host_id: HostId) -> None:
        stream = self.streams.get(host_id)
        if stream is None:
            return
        was_synchronised = stream.synchronised
        keys = stream.acknowledged()
        if stream.synchronised and not was_synchronised:
            self._check_all()
        else:
            for key in keys:
                self._check(key)
        self._advance(host_id)

    def lost(self, host_id: HostId) -> None:
        stream = self.streams.get(host_id)
        if stream is not None:
            stream.lost()

    def is_noted(self, host_id: HostId) -> bool:
        """Whether the host is the noted backup."""
        stream = self.streams.get(host_id)
        is_only = self.noted == host_id and self.required == {host_id}
        return is_only and stream is not None and stream.synchronised

    def has_all(self, host_id: HostId) -> bool:
        """Whether the host is the noted backup and nothing waits to be sent to it."""
        if not self.is_noted(host_id):
            return False
        self._wake(host_id, True)
        stream = self.streams[host_id]
        return not stream.dirty and not stream.in_flight

    def _advance(self, host_id: HostId) -> None:
        """Let the grantors note the wanted host as the backup once it has all."""
        stream = self.streams[host_id]
        if host_id != self._wanted or not stream.synchronised or self.is_noted(host_id):
            return
        if stream.missing is None:
            # From now on, nothing is dispatched that this host does not have. What
            # was dispatched before must reach it first.
            self.required.add(host_id)
            stream.missing = {*stream.dirty, *stream.in_flight}
        if not stream.missing and not stream.registering:
            stream.registering = True
            spawn(self._register(host_id, stream), f"register backup {host_id}")

    async def _register(self, host_id: HostId, stream: _Stream) -> None:
        # The grantors may know this host from now on, even if the answer says no.
        self.noted = None
        is_noted = await self._leases.register_backup(self.owned.shard, host_id)
        stream.registering = False
        is_required = host_id in self.required and self.streams.get(host_id) is stream
        if is_noted and is_required:
            self.noted = host_id
            self.required = {host_id}
            for other in self.streams.values():
                if other is not stream:
                    # It is not required any more, so it has to catch up anew before
                    # it can be the backup.
                    other.missing = None
            log_event("backup_noted", shard=self.owned.shard, backup=host_id)
            self._check_all()
