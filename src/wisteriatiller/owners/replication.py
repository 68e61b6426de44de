"""Replication: the owner's records go to the backup of each of its shards.

The records are sent as they are at the time of a batch, not as a log of changes: a
change marks its key, and the next batch carries the present record of each marked
key. A new backup gets everything by marking every key. Only when it has everything
do the grantors note it as the backup, and only a noted backup counts.
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
# A request waits for its record, so its batch leaves sooner; requests that arrive
# within this time share one batch.
RECORD_DELAY_S = 0.005
HEARTBEAT_S = 0.5
CHOOSE_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 0.2
# A backup that did not answer is passed over for this long.
PASS_OVER_S = 2.0


class Replicator:
    """Runs the streams to the backups of all shards that this host owns."""

    def __init__(
        self,
        environment: Environment,
        ownership: Ownership,
        leases: MajorityLeases,
    ):
        self.backups = BackupShards(environment, leases)
        leases.is_failover_due = self.backups.is_due
        self._environment = environment
        self._host_id = environment.settings.host_id
        self._zone = environment.settings.zone
        self._ownership = ownership
        self._leases = leases
        # It must differ from that of a former process, also in runs on a fixed seed.
        self._session = secrets.randbits(62) + 1
        self._replicas: dict[ShardId, ShardReplicator] = {}
        self._peers: dict[HostId, _Peer] = {}
        self._passed_over_until_s: dict[HostId, float] = {}
        # Successors of shards that are being handed over.
        self.preferred: dict[ShardId, HostId] = {}

    def get(self, shard: ShardId) -> ShardReplicator | None:
        return self._replicas.get(shard)

    def start_shard(self, owned: OwnedShard, epoch: int) -> list[Request]:
        """Take over a shard whose lease was acquired, and replicate it from now on.

        Returns the requests that the former owner handed over for dispatch.
        """
        former = self._leases.previous_holder(owned.shard)
        queue = self.backups.take_over(owned, former) if former else []
        self._environment.metrics.count("handover.requests_taken", len(queue))
        self._replicas[owned.shard] = ShardReplicator(
            self._environment, self._leases, owned, epoch, self._wake
        )
        self._choose()
        return queue

    def stop_shard(self, shard: ShardId) -> None:
        """Stop replicating a shard whose lease was lost; keep its records."""
        replica = self._replicas.pop(shard, None)
        if replica is not None:
            replica.close()
            self.backups.keep_former_records(
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
