"""Replication: the owner's records go to the backup of each of its shards.

The records are sent as they are at the time of a batch, not as a log of changes: a
change marks its key, and the next batch carries the present record of each marked
key. A new backup gets everything by marking every key. Only when it has everything
do the grantors note it as the backup, and only a noted backup counts.
"""

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

import msgpack

from .backups import (
    BackupShards,
    ReplicaAck,
    ReplicaBatch,
    ReplicaDropped,
    ReplicaPart,
    pack_flow,
    pack_request,
)
from .coapcodec import CoapHead
from .duplicates import FINAL_STATES, RequestKey
from .environment import Environment
from .ids import FlowKey, HostId, ShardId
from .lease import MajorityLeases
from .logs import log_event
from .ownership import Ownership
from .queueing import Request
from .shard import OwnedShard, ShardRecorder
from .tasks import spawn

BATCH_INTERVAL_S = 0.05
# A request waits for its record, so its batch leaves sooner; requests that arrive
# within this time share one batch.
RECORD_DELAY_S = 0.005
HEARTBEAT_S = 0.5
CHOOSE_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 0.2
# A backup that did not answer is passed over for this long.
PASS_OVER_S = 2.0
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


class ShardReplica(ShardRecorder):
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
        if self._leases.is_alone:
            self._mark(request.key, urgent=False)
            done(True)
            return
        self._mark(request.key, urgent=True)
        now_s = self._environment.clock.now_s()
        since_start_s = now_s - self.held_since_s
        timeout_s = max(RECORD_TIMEOUT_S, FIRST_RECORD_TIMEOUT_S - since_start_s)
        self._wait(_Waiter(request.key, done, request), timeout_s)

    def finished(self, request):
        self.heads.pop(request.key, None)
        self._request_keys[request.key] = None
        self._mark(request.key, urgent=False)

    async def settle(self, flow_key):
        if not self.required:
            # No host counts as the backup, so a successor will know that records
            # are missing.
            return True
        future = asyncio.get_running_loop().create_future()

        def finish(settled: bool) -> None:
            if not future.done():
                future.set_result(settled)

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


class Replicator:
    """Runs the streams to the backups of all shards that this host owns."""

    def __init__(
        self,
        environment: Environment,
        ownership: Ownership,
        leases: MajorityLeases,
    ):
        self.backups = BackupShards(environment, leases)
        leases.is_due_backup = self.backups.is_due
        self._environment = environment
        self._host_id = environment.settings.host_id
        self._zone = environment.settings.zone
        self._ownership = ownership
        self._leases = leases
        # It must differ from that of a former process, also in runs on a fixed seed.
        self._session = secrets.randbits(62) + 1
        self._replicas: dict[ShardId, ShardReplica] = {}
        self._peers: dict[HostId, _Peer] = {}
        self._passed_over_until_s: dict[HostId, float] = {}
        # Successors of shards that are being handed over.
        self.preferred: dict[ShardId, HostId] = {}

    def get(self, shard: ShardId) -> ShardReplica | None:
        return self._replicas.get(shard)

    def open(self, owned: OwnedShard, epoch: int) -> list[Request]:
        """Take over a shard whose lease was acquired, and replicate it from now on.

        Returns the requests that the former owner handed over for dispatch.
        """
        former = self._leases.former_holder(owned.shard)
        queue = self.backups.take_over(owned, former) if former else []
        self._environment.metrics.count("handover.requests_taken", len(queue))
        self._replicas[owned.shard] = ShardReplica(
            self._environment, self._leases, owned, epoch, self._wake
        )
        self._choose()
        return queue

    def close(self, shard: ShardId) -> None:
        """Stop replicating a shard whose lease was lost; keep its records."""
        replica = self._replicas.pop(shard, None)
        if replica is not None:
            replica.close()
            self.backups.keep_own(
                replica.owned, replica.epoch, replica.held_since_s, replica.heads
            )

    async def run(self) -> None:
        """Choose backups until cancelled."""
        while True:
            self._choose()
            await asyncio.sleep(CHOOSE_INTERVAL_S)

    def _choose(self) -> None:
        for shard, replica in list(self._replicas.items()):
            replica.choose(self._wanted(shard))
            for host_id in replica.streams:
                if host_id not in self._peers:
                    peer = self._peers[host_id] = _Peer()
                    peer.changed.set()
                    spawn(self._run_peer(host_id, peer), f"replicate to {host_id}")

    def _wanted(self, shard: ShardId) -> HostId | None:
        """The best-ranked live host that answers, or the best-ranked one."""
        if shard in self.preferred:
            return self.preferred[shard]
        others = [h for h in self._ownership.ranking(shard) if h != self._host_id]
        now_s = self._environment.clock.now_s()
        for host_id in others:
            if now_s >= self._passed_over_until_s.get(host_id, 0.0):
                return host_id
        return others[0] if others else None

    def _wake(self, host_id: HostId, urgent: bool) -> None:
        peer = self._peers.get(host_id)
        if peer is not None:
            peer.changed.set()
            if urgent:
                peer.urgent.set()

    async def _run_peer(self, host_id: HostId, peer: "_Peer") -> None:
        """Send batches to one backup while any shard streams to it."""
        while True:
            await peer.pause()
            replicas = [r for r in self._replicas.values() if host_id in r.streams]
            if not replicas:
                break
            while await self._send_batch(host_id, peer):
                pass
        del self._peers[host_id]

    async def _send_batch(self, host_id: HostId, peer: "_Peer") -> bool:
        """Send one batch; True if more is ready to be sent at once."""
        replicas = {
            replica.owned.shard.index: replica
            for replica in self._replicas.values()
            if host_id in replica.streams and replica.owned.lease_remaining_s() > 0
        }
        if not replicas:
            return False
        streams = {i: replica.streams[host_id] for i, replica in replicas.items()}
        parts = [replica.build_part(host_id).packed() for replica in replicas.values()]
        peer.sequence += 1
        batch = ReplicaBatch(
            self._zone,
            self._session,
            peer.sequence,
            peer.echo_ms,
            msgpack.packb(parts),
        )
        self._environment.metrics.count("replication.sent_bytes", len(batch.parts))
        self._environment.metrics.count("replication.batches")
        ack = await self._environment.peers.call(host_id, batch, CALL_TIMEOUT_S)
        if not isinstance(ack, ReplicaAck):
            self._pass_over(host_id, peer, replicas, streams)
            return False
        peer.echo_ms = ack.stamp_ms
        is_more = False
        for index, replica in replicas.items():
            # The stream may have been started anew while the batch was on its way.
            if replica.streams.get(host_id) is not streams[index]:
                continue
            if index in ack.resets:
                replica.restart(host_id)
            elif index in ack.refusals:
                replica.lost(host_id)
                self._environment.metrics.count("replication.refused")
            else:
                replica.acknowledged(host_id)
                is_more = is_more or bool(streams[index].dirty)
        return is_more and peer.is_backlogged(streams.values())

    def _pass_over(self, host_id, peer: "_Peer", replicas, streams) -> None:
        now_s = self._environment.clock.now_s()
        self._passed_over_until_s[host_id] = now_s + PASS_OVER_S
        self._environment.metrics.count("replication.unanswered")
        for index, replica in replicas.items():
            if replica.streams.get(host_id) is streams[index]:
                replica.lost(host_id)
        peer.changed.set()
        self._choose()


class _Peer:
    """The state of the stream of batches to one host."""

    def __init__(self):
        self.sequence = 0
        self.echo_ms = 0
        self.changed = asyncio.Event()
        self.urgent = asyncio.Event()

    async def pause(self) -> None:
        """Wait for changes, and a moment longer for more of them."""
        if await _set_within(self.changed, HEARTBEAT_S):
            await _set_within(self.urgent, BATCH_INTERVAL_S)
            await asyncio.sleep(RECORD_DELAY_S)
        self.changed.clear()
        self.urgent.clear()

    def is_backlogged(self, streams) -> bool:
        """Whether a whole chunk is waiting, as while a new backup catches up."""
        return any(not s.synchronised or len(s.dirty) >= CHUNK_KEYS for s in streams)


async def _set_within(event: asyncio.Event, timeout_s: float) -> bool:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
