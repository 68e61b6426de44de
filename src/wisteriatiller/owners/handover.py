"""Planned hand-over of ownership shards: nothing is cut and nothing runs twice.

The order of the steps makes each request run at most once. The successor becomes the
noted backup, so it has flows, duplicates and answers. Dispatch pauses, and requests in
flight get their answers. The queue goes to the successor, which may not use it yet.
The owner gives the lease up on its side and tells the successor so; only that makes
the queue count. Then the grantors are told, and the successor acquires the lease.
"""

import asyncio
import secrets
from collections.abc import Callable

import msgpack

from wisteriatiller.exceptions import MessageError
from wisteriatiller.foundation import Environment, Message, log_event, message, spawn
from wisteriatiller.ids import CallerId, FlowKey, HostId, ShardId, UpstreamId
from wisteriatiller.leases import MajorityLeases, Ownership
from wisteriatiller.requests import (
    Request,
    RequestRecord,
    RequestState,
    UpstreamDispatcher,
)
from wisteriatiller.transport import coapcodec

from .replication import Replicator
from .shard import OwnedShard
from .shardreplicator import ShardReplicator
from .shardtable import ShardTable

CHECK_INTERVAL_S = 1.0
# A host that came back must stay the first in rank for this long.
STABLE_S = 5.0
# After a hand-over that failed, the next is tried after this time.
RETRY_S = 5.0
POLL_S = 0.01
# Bounds each step: a new backup gets everything, or the requests in flight end.
STEP_TIMEOUT_S = 5.0
OFFER_TIMEOUT_S = 1.0
QUEUE_TIMEOUT_S = 0.5
GIVEN_UP_TIMEOUT_S = 0.3
GIVEN_UP_TRIES = 5
# The successor tries this often, for this long; then the usual candidacy goes on.
SEEK_INTERVAL_S = 0.02
SEEK_FOR_S = 4.0


@message(52)
class HandoverOffer(Message):
    """Asks whether a host can take a shard now."""

    zone: str
    index: int
    epoch: int


@message(53)
class HandoverReply(Message):
    """Whether the receiver agrees with a step of a hand-over."""

    agreed: bool


@message(54)
class HandoverQueue(Message):
    """The requests that wait for dispatch, as a msgpack array.

    They count only after ``HandoverGivenUp`` with the same number.
    """

    zone: str
    index: int
    epoch: int
    number: int
    requests: bytes


@message(55)
class HandoverGivenUp(Message):
    """The sender dispatches nothing of the shard any more."""

    zone: str
    index: int
    epoch: int
    number: int


def pack_queue(requests: list[Request], now_s: float) -> bytes:
    """Requests that were never dispatched, or that their upstream refused to start."""
    return msgpack.packb(
        [
            (
                request.flow_key,
                request.caller_id,
                request.payload,
                request.record.upstream_id,
                request.record.state is RequestState.RECORDED,
                int((now_s - request.received_s) * 1000),
                int((request.deadline_s - now_s) * 1000),
                request.dispatches,
            )
            for request in requests
        ]
    )


def unpack_queue(data: bytes, now_s: float) -> list[Request]:
    return [_unpack_request(now_s, *entry) for entry in msgpack.unpackb(data)]


def _unpack_request(
    now_s, flow_key, caller, payload, upstream, recorded, age_ms, left_ms, dispatches
) -> Request:
    received_s = now_s - age_ms / 1000
    state = RequestState.RECORDED if recorded else RequestState.QUEUED
    record = RequestRecord(state, UpstreamId(upstream), received_s)
    return Request(
        FlowKey(flow_key),
        CallerId(caller),
        coapcodec.read_head(payload),
        payload,
        received_s,
        now_s + left_ms / 1000,
        record,
        dispatches=dispatches,
    )


class Handover:
    """Gives shards to better-ranked hosts and takes those that others give."""

    def __init__(
        self,
        environment: Environment,
        ownership: Ownership,
        leases: MajorityLeases,
        shards: ShardTable,
        replicator: Replicator,
    ):
        self._environment = environment
        self._host_id = environment.settings.host_id
        self._zone = environment.settings.zone
        self._ownership = ownership
        self._leases = leases
        self._shards = shards
        self._replicator = replicator
        self._first_since_s: dict[ShardId, tuple[HostId, float]] = {}
        self._retry_at_s: dict[ShardId, float] = {}
        self._acquiring: set[ShardId] = set()
        self._next_number = secrets.randbits(48) + 1
        # At most one hand-over at a time leaves a host, so that only one shard at a
        # time is paused.
        self._one_at_a_time = asyncio.Lock()
        peers = environment.peers
        peers.register(HandoverOffer, self._handle_offer)
        peers.register(HandoverQueue, self._handle_queue)
        peers.register(HandoverGivenUp, self._handle_given_up)

    async def run(self) -> None:
        """Move shards to higher-ranked hosts that are stable, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._leases.is_leaving:
                continue
            for owned in self._shards:
                successor = self._stable_first(owned.shard)
                if successor is not None:
                    await self.hand_over(owned, successor)

    async def hand_over_all(self, timeout_s: float) -> bool:
        """Hand over every shard; False if some remain after the timeout.

        A shard that is just being handed to this host is waited for, since nobody
        else would seek its lease at once.
        Without a host to take a shard, its queue is worked off.
        """
        self._leases.is_leaving = True
        try:
            async with asyncio.timeout(timeout_s):
                while list(self._shards) or self._acquiring:
                    for owned in self._shards:
                        await self._leave(owned)
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            return False
        return True

    async def _leave(self, owned: OwnedShard) -> None:
        successor = self._ownership.backup(owned.shard)
        if successor is not None:
            await self.hand_over(owned, successor)
        elif not any(d.in_flight or d.queued for d in owned.dispatchers.values()):
            await self._leases.release(owned.shard)

    async def hand_over(self, owned: OwnedShard, successor: HostId) -> bool:
        """Give a shard to another host of the zone; True if it was given up."""
        async with self._one_at_a_time:
            replica = self._replicator.get(owned.shard)
            if replica is None or replica.owned is not owned:
                return False
            owned.handing_over = True
            try:
                given_up = await self._hand_over(owned, replica, successor)
            finally:
                owned.handing_over = False
        if not given_up:
            self._retry_at_s[owned.shard] = self._now_s() + RETRY_S
            self._environment.metrics.count("handover.failed")
        return given_up

    async def _hand_over(
        self, owned: OwnedShard, replica: ShardReplicator, successor: HostId
    ) -> bool:
        offer = HandoverOffer(self._zone, owned.shard.index, replica.epoch)
        if not await self._agrees(successor, offer, OFFER_TIMEOUT_S):
            return False
        self._replicator.preferred[owned.shard] = successor
        taken: list[tuple[UpstreamDispatcher, Request]] = []
        try:
            if not await self._until(owned, lambda: replica.is_noted(successor)):
                return False
            started_s = self._now_s()
            if not await self._until(owned, lambda: _pause(owned)):
                return False
            owned.frozen = True
            replica.suspend()
            for dispatcher in owned.dispatchers.values():
                taken += [
                    (dispatcher, request)
                    for request in dispatcher.remove_open_requests()
                ]
            if not await self._until(owned, lambda: replica.has_all(successor)):
                return False
            queue = self._pack(owned, replica, [request for _, request in taken])
            if not await self._agrees(successor, queue, QUEUE_TIMEOUT_S):
                return False
            if owned.lease_remaining_s() <= 0:
                return False
            # From here on, only the successor may dispatch these requests.
            queued, taken = len(taken), []
            epoch = self._leases.release_locally(owned.shard)
            await self._finish(owned.shard, epoch, queue.number, successor)
            log_event(
                "shard_handed_over",
                shard=owned.shard,
                successor=successor,
                queued=queued,
                paused_ms=int((self._now_s() - started_s) * 1000),
            )
            return True
        finally:
            self._replicator.preferred.pop(owned.shard, None)
            owned.frozen = False
            if self._replicator.get(owned.shard) is replica:
                for dispatcher in owned.dispatchers.values():
                    dispatcher.resume()
                for dispatcher, request in taken:
                    dispatcher.requeue(request)

    def _pack(self, owned, replica, requests: list[Request]) -> HandoverQueue:
        number = self._next_number
        self._next_number += 1
        packed = pack_queue(requests, self._now_s())
        return HandoverQueue(
            self._zone, owned.shard.index, replica.epoch, number, packed
        )

    async def _finish(
        self, shard: ShardId, epoch: int, number: int, successor: HostId
    ) -> None:
        given_up = HandoverGivenUp(self._zone, shard.index, epoch, number)
        for _ in range(GIVEN_UP_TRIES):
            if await self._agrees(successor, given_up, GIVEN_UP_TIMEOUT_S):
                break
        await self._leases.release_at_grantors(shard, epoch)

    async def _until(self, owned: OwnedShard, condition: Callable[[], bool]) -> bool:
        """Wait for a condition while the lease is held; False if it takes too long."""
        deadline_s = self._now_s() + STEP_TIMEOUT_S
        while owned.lease_remaining_s() > 0 and self._now_s() < deadline_s:
            if condition():
                return True
            await asyncio.sleep(POLL_S)
        return False

    async def _agrees(self, host_id: HostId, step: Message, timeout_s: float) -> bool:
        reply = await self._environment.peers.call(host_id, step, timeout_s)
        return isinstance(reply, HandoverReply) and reply.agreed

    def _stable_first(self, shard: ShardId) -> HostId | None:
        """The first host in rank, if it is another one and has been for a while."""
        ranking = self._ownership.ranking(shard)
        now_s = self._now_s()
        first = ranking[0] if ranking else self._host_id
        known, since_s = self._first_since_s.get(shard, (None, 0.0))
        if known != first:
            self._first_since_s[shard] = (first, now_s)
            return None
        is_due = now_s >= max(since_s + STABLE_S, self._retry_at_s.get(shard, 0.0))
        return first if first != self._host_id and is_due else None

    # The successor's side

    async def _handle_offer(self, sender: HostId, offer: HandoverOffer):
        is_willing = offer.zone == self._zone and not self._leases.is_leaving
        # A host that the grantors do not answer could not acquire the lease.
        agreed = is_willing and await self._leases.reaches_majority()
        return HandoverReply(agreed)

    def _handle_queue(self, sender: HostId, queue: HandoverQueue) -> HandoverReply:
        backup = self._backup(sender, queue)
        if backup is None or self._leases.is_leaving:
            return HandoverReply(False)
        try:
            backup.queue = unpack_queue(queue.requests, self._now_s())
        except (MessageError, ValueError, TypeError):
            return HandoverReply(False)
        backup.handover = queue.number
        backup.queued_at_s = self._now_s()
        return HandoverReply(True)

    def _handle_given_up(
        self, sender: HostId, message: HandoverGivenUp
    ) -> HandoverReply:
        backup = self._backup(sender, message)
        if backup is None or backup.handover != message.number:
            return HandoverReply(False)
        if not backup.given_up:
            backup.given_up = True
            # The owner checked its lease after this host had taken the queue. A
            # grantor that restarted shortly before then remembers long enough.
            backup.confirmed_s = max(backup.confirmed_s, backup.queued_at_s)
            shard = ShardId(self._zone, message.index)
            spawn(self._acquire(shard), f"acquire {shard}")
        return HandoverReply(True)

    def _backup(self, sender: HostId, step):
        backup = self._replicator.backups.get(ShardId(self._zone, step.index))
        if step.zone != self._zone or backup is None:
            return None
        if (backup.owner, backup.epoch) != (sender, step.epoch):
            return None
        return backup

    async def _acquire(self, shard: ShardId) -> None:
        deadline_s = self._now_s() + SEEK_FOR_S
        self._acquiring.add(shard)
        try:
            while self._now_s() < deadline_s and not await self._leases.try_acquire(
                shard
            ):
                await asyncio.sleep(SEEK_INTERVAL_S)
        finally:
            self._acquiring.discard(shard)

    def _now_s(self) -> float:
        return self._environment.clock.now_s()


def _pause(owned: OwnedShard) -> bool:
    """Stop dispatching; True once no request is in flight."""
    for dispatcher in owned.dispatchers.values():
        dispatcher.pause()
    return not any(d.in_flight for d in owned.dispatchers.values())
