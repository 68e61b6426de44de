"""Replication of the owner's records to the backup of each of its shards.

A batch carries the present records, not a log of changes: a change marks its key as
dirty, and the next batch carries the present record of each dirty key. For a new
backup, all keys are marked. Only when it has all records do the grantors register it
as the backup, and only a registered backup is relied on at a takeover.
"""

import asyncio
import secrets

import msgpack

from wisteriatiller.foundation import Environment, spawn
from wisteriatiller.ids import HostId, ShardId
from wisteriatiller.leases import MajorityLeases, Ownership
from wisteriatiller.requests import Request

from .backups import (
    BackupShards,
    ReplicaAck,
    ReplicaBatch,
)
from .shard import OwnedShard
from .shardreplicator import CHUNK_KEYS, ShardReplicator

BATCH_INTERVAL_S = 0.05
# A request waits until its record is replicated, so its batch is sent after this time
# instead; requests that arrive within it share one batch.
RECORD_DELAY_S = 0.005
HEARTBEAT_S = 0.5
SELECT_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 0.2
# A backup that did not answer is not selected again for this long.
UNRESPONSIVE_S = 2.0


class Replicator:
    """Selects the backups of all owned shards and sends them batches of records."""

    def __init__(
        self,
        environment: Environment,
        ownership: Ownership,
        leases: MajorityLeases,
    ):
        self.backups = BackupShards(environment, leases)
        leases.is_failover_due = self.backups.should_take_over
        self._environment = environment
        self._host_id = environment.settings.host_id
        self._zone = environment.settings.zone
        self._ownership = ownership
        self._leases = leases
        # Must differ from that of an earlier process, even in tests with a fixed seed.
        self._session = secrets.randbits(62) + 1
        self._replicators: dict[ShardId, ShardReplicator] = {}
        self._peers: dict[HostId, _PeerStream] = {}
        self._unresponsive_until_s: dict[HostId, float] = {}
        # The successors of shards that are being handed over: they are the backups.
        self.handover_successors: dict[ShardId, HostId] = {}

    def get(self, shard: ShardId) -> ShardReplicator | None:
        """The replicator of a shard, if this host owns it."""
        return self._replicators.get(shard)

    def start_shard(self, owned: OwnedShard, epoch: int) -> list[Request]:
        """Restore a shard whose lease was acquired, and start its replication.

        Returns the queued requests that the former owner handed over.
        """
        former = self._leases.previous_holder(owned.shard)
        queue = self.backups.take_over(owned, former) if former else []
        self._environment.metrics.count("handover.requests_taken", len(queue))
        self._replicators[owned.shard] = ShardReplicator(
            self._environment, self._leases, owned, epoch, self._wake
        )
        self._update_backups()
        return queue

    def stop_shard(self, shard: ShardId) -> None:
        """Stop replicating a shard whose lease was lost; keep its records."""
        replicator = self._replicators.pop(shard, None)
        if replicator is not None:
            replicator.close()
            self.backups.keep_former_records(
                replicator.owned,
                replicator.epoch,
                replicator.held_since_s,
                replicator.heads,
            )

    async def run(self) -> None:
        """Update the selected backups until cancelled."""
        while True:
            self._update_backups()
            await asyncio.sleep(SELECT_INTERVAL_S)

    def _update_backups(self) -> None:
        """Select the backup of each shard and start the streams that it needs."""
        for shard, replicator in list(self._replicators.items()):
            replicator.set_backup(self._select_backup(shard))
            for host_id in replicator.streams:
                if host_id not in self._peers:
                    peer = self._peers[host_id] = _PeerStream()
                    peer.changed.set()
                    spawn(self._run_peer(host_id, peer), f"replicate to {host_id}")

    def _select_backup(self, shard: ShardId) -> HostId | None:
        """The successor in a handover, else the best-ranked live host that answers.

        If none answers, it is the best-ranked live host.
        """
        if shard in self.handover_successors:
            return self.handover_successors[shard]
        others = [h for h in self._ownership.ranking(shard) if h != self._host_id]
        now_s = self._environment.clock.now_s()
        for host_id in others:
            if now_s >= self._unresponsive_until_s.get(host_id, 0.0):
                return host_id
        return others[0] if others else None

    def _wake(self, host_id: HostId, urgent: bool) -> None:
        """Have the stream to a host send its next batch, sooner if it is urgent."""
        peer = self._peers.get(host_id)
        if peer is not None:
            peer.changed.set()
            if urgent:
                peer.urgent.set()

    async def _run_peer(self, host_id: HostId, peer: "_PeerStream") -> None:
        """Send batches to one host while it is a backup of any shard."""
        while True:
            await peer.wait_for_changes()
            replicators = [
                r for r in self._replicators.values() if host_id in r.streams
            ]
            if not replicators:
                break
            while await self._send_batch(host_id, peer):
                pass
        del self._peers[host_id]

    async def _send_batch(self, host_id: HostId, peer: "_PeerStream") -> bool:
        """Send one batch; True if the next one should follow at once."""
        replicators = {
            replicator.owned.shard.index: replicator
            for replicator in self._replicators.values()
            if host_id in replicator.streams
            and replicator.owned.lease_remaining_s() > 0
        }
        if not replicators:
            return False
        streams = {
            i: replicator.streams[host_id] for i, replicator in replicators.items()
        }
        parts = [
            replicator.build_part(host_id).to_list()
            for replicator in replicators.values()
        ]
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
            self._mark_unresponsive(host_id, peer, replicators, streams)
            return False
        peer.echo_ms = ack.stamp_ms
        has_more = False
        for index, replicator in replicators.items():
            # The stream may have been restarted while the batch was in flight.
            if replicator.streams.get(host_id) is not streams[index]:
                continue
            if index in ack.resets:
                replicator.restart_stream(host_id)
            elif index in ack.refusals:
                replicator.requeue_batch(host_id)
                self._environment.metrics.count("replication.refused")
            else:
                replicator.acknowledge_batch(host_id)
                has_more = has_more or bool(streams[index].dirty)
        return has_more and peer.is_backlogged(streams.values())

    def _mark_unresponsive(
        self, host_id, peer: "_PeerStream", replicators, streams
    ) -> None:
        """Handle a batch without an answer: requeue it and select other backups."""
        now_s = self._environment.clock.now_s()
        self._unresponsive_until_s[host_id] = now_s + UNRESPONSIVE_S
        self._environment.metrics.count("replication.unanswered")
        for index, replicator in replicators.items():
            if replicator.streams.get(host_id) is streams[index]:
                replicator.requeue_batch(host_id)
        peer.changed.set()
        self._update_backups()


class _PeerStream:
    """The state of the batches sent to one host."""

    def __init__(self):
        self.sequence = 0
        self.echo_ms = 0
        self.changed = asyncio.Event()
        self.urgent = asyncio.Event()

    async def wait_for_changes(self) -> None:
        """Wait for changes and collect more of them, or until a heartbeat is due."""
        if await _wait_set(self.changed, HEARTBEAT_S):
            await _wait_set(self.urgent, BATCH_INTERVAL_S)
            await asyncio.sleep(RECORD_DELAY_S)
        self.changed.clear()
        self.urgent.clear()

    def is_backlogged(self, streams) -> bool:
        """Whether a backup is catching up or a full chunk of keys is waiting."""
        return any(not s.synchronised or len(s.dirty) >= CHUNK_KEYS for s in streams)


async def _wait_set(event: asyncio.Event, timeout_s: float) -> bool:
    """Wait for the event; False on a timeout."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
