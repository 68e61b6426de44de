"""Planned handover of ownership shards, without broken flows or repeated requests.

The order of the steps makes each request run at most once:

1. The successor becomes the registered backup, so that it has flows, duplicate table
   and answers.
2. Dispatch pauses until the requests in flight have their answers.
3. The queue goes to the successor, which may not use it yet.
4. The owner gives up the lease locally and tells the successor, for which the queue
   is valid from then on.
5. The grantors are told, and the successor acquires the lease.
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
# A host that returns must have ranked first for a shard for this long to get it.
STABLE_S = 5.0
# A failed handover is retried after this time.
RETRY_S = 5.0
POLL_INTERVAL_S = 0.01
# Limits the wait of each step: for a new backup to have all records, and for the
# requests in flight to end.
STEP_TIMEOUT_S = 5.0
OFFER_TIMEOUT_S = 1.0
QUEUE_TIMEOUT_S = 0.5
GIVEN_UP_TIMEOUT_S = 0.3
GIVEN_UP_ATTEMPTS = 5
# The successor seeks the lease at this interval for this long; after that, it is left
# to the regular candidacy.
SEEK_INTERVAL_S = 0.02
SEEK_FOR_S = 4.0


@message(52)
class HandoverOffer(Message):
    """Asks a host whether it can take over a shard now."""

    zone: str
    index: int
    epoch: int


@message(53)
class HandoverReply(Message):
    """Answers a step of a handover with whether the receiver agrees to it."""

    agreed: bool


@message(54)
class HandoverQueue(Message):
    """Carries the requests that wait for dispatch, as a msgpack array.

    They are valid only after a ``HandoverGivenUp`` with the same number.
    """

    zone: str
    index: int
    epoch: int
    number: int
    requests: bytes


@message(55)
class HandoverGivenUp(Message):
    """Reports that the sender gave up the lease and dispatches nothing any more."""

    zone: str
    index: int
    epoch: int
    number: int


def pack_queue(requests: list[Request], now_s: float) -> bytes:
    """Encode requests that were never dispatched or that their upstream refused."""
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
    """Decode the requests of ``pack_queue``, with times relative to ``now_s``."""
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
        coapcodec.decode_header(payload),
        payload,
        received_s,
        now_s + left_ms / 1000,
        record,
        dispatches=dispatches,
    )


class Handover:
    """Hands shards over to higher-ranked hosts, and takes those of other hosts."""

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
        self._ranks_first_since_s: dict[ShardId, tuple[HostId, float]] = {}
        self._retry_at_s: dict[ShardId, float] = {}
        self._acquiring: set[ShardId] = set()
        self._next_number = secrets.randbits(48) + 1
        # A host hands over one shard at a time, so that at most one is paused.
        self._handover_lock = asyncio.Lock()
        peers = environment.peers
        peers.register(HandoverOffer, self._handle_offer)
        peers.register(HandoverQueue, self._handle_queue)
        peers.register(HandoverGivenUp, self._handle_given_up)

    async def run(self) -> None:
        """Hand shards over to hosts that stably rank first, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._leases.is_leaving:
                continue
            for owned in self._shards:
                successor = self._stable_successor(owned.shard)
                if successor is not None:
                    await self.hand_over(owned, successor)

    async def hand_over_all(self, timeout_s: float) -> bool:
        """Hand over every shard; False if some remain after the timeout.

        A shard that another host is handing over to this one is waited for, since no
        other host would seek its lease at once. If no host can take a shard, its
        queued requests are served first and then its lease is released.
        """
        self._leases.is_leaving = True
        try:
            async with asyncio.timeout(timeout_s):
                while list(self._shards) or self._acquiring:
                    for owned in self._shards:
                        await self._hand_over_or_release(owned)
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            return False
        return True

    async def _hand_over_or_release(self, owned: OwnedShard) -> None:
        """Hand a shard over, or release its lease if it is idle and has no backup."""
        successor = self._ownership.backup(owned.shard)
        if successor is not None:
            await self.hand_over(owned, successor)
        elif not any(d.in_flight or d.queued for d in owned.dispatchers.values()):
            await self._leases.release(owned.shard)

    async def hand_over(self, owned: OwnedShard, successor: HostId) -> bool:
        """Hand a shard over to a host of the zone; True if the lease was given up."""
        async with self._handover_lock:
            shard_replicator = self._replicator.get(owned.shard)
            if shard_replicator is None or shard_replicator.owned is not owned:
                return False
            owned.handing_over = True
            try:
                given_up = await self._run_handover(owned, shard_replicator, successor)
            finally:
                owned.handing_over = False
        if not given_up:
            self._retry_at_s[owned.shard] = self._now_s() + RETRY_S
            self._environment.metrics.count("handover.failed")
        return given_up

    async def _run_handover(
        self, owned: OwnedShard, shard_replicator: ShardReplicator, successor: HostId
    ) -> bool:
        """Run the steps; on failure, restore the requests and resume dispatch."""
        offer = HandoverOffer(self._zone, owned.shard.index, shard_replicator.epoch)
        if not await self._request_agreement(successor, offer, OFFER_TIMEOUT_S):
            return False
        self._replicator.handover_successors[owned.shard] = successor
        open_requests: list[tuple[UpstreamDispatcher, Request]] = []
        try:
            if not await self._wait_until(
                owned, lambda: shard_replicator.is_registered_backup(successor)
            ):
                return False
            started_s = self._now_s()
            if not await self._wait_until(owned, lambda: _pause_dispatch(owned)):
                return False
            owned.frozen = True
            shard_replicator.cancel_waiters()
            for dispatcher in owned.dispatchers.values():
                open_requests += [
                    (dispatcher, request)
                    for request in dispatcher.remove_open_requests()
                ]
            if not await self._wait_until(
                owned, lambda: shard_replicator.is_up_to_date(successor)
            ):
                return False
            queue = self._pack_handover_queue(
                owned, shard_replicator, [request for _, request in open_requests]
            )
            if not await self._request_agreement(successor, queue, QUEUE_TIMEOUT_S):
                return False
            if owned.lease_remaining_s() <= 0:
                return False
            # From here on, only the successor may dispatch these requests.
            queued, open_requests = len(open_requests), []
            epoch = self._leases.release_locally(owned.shard)
            await self._announce_given_up(owned.shard, epoch, queue.number, successor)
            log_event(
                "shard_handed_over",
                shard=owned.shard,
                successor=successor,
                queued=queued,
                paused_ms=int((self._now_s() - started_s) * 1000),
            )
            return True
        finally:
            self._replicator.handover_successors.pop(owned.shard, None)
            owned.frozen = False
            if self._replicator.get(owned.shard) is shard_replicator:
                for dispatcher in owned.dispatchers.values():
                    dispatcher.resume()
                for dispatcher, request in open_requests:
                    dispatcher.requeue(request)

    def _pack_handover_queue(
        self, owned, shard_replicator, requests: list[Request]
    ) -> HandoverQueue:
        """The queue message, with the next handover number."""
        number = self._next_number
        self._next_number += 1
        packed = pack_queue(requests, self._now_s())
        return HandoverQueue(
            self._zone, owned.shard.index, shard_replicator.epoch, number, packed
        )

    async def _announce_given_up(
        self, shard: ShardId, epoch: int, number: int, successor: HostId
    ) -> None:
        """Tell the successor, then the grantors, that the lease was given up."""
        given_up = HandoverGivenUp(self._zone, shard.index, epoch, number)
        for _ in range(GIVEN_UP_ATTEMPTS):
            if await self._request_agreement(successor, given_up, GIVEN_UP_TIMEOUT_S):
                break
        await self._leases.release_at_grantors(shard, epoch)

    async def _wait_until(
        self, owned: OwnedShard, condition: Callable[[], bool]
    ) -> bool:
        """Wait for a condition; False on a timeout or if the lease is lost."""
        deadline_s = self._now_s() + STEP_TIMEOUT_S
        while owned.lease_remaining_s() > 0 and self._now_s() < deadline_s:
            if condition():
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    async def _request_agreement(
        self, host_id: HostId, step: Message, timeout_s: float
    ) -> bool:
        """Send a step's message; True if the host answers that it agrees."""
        reply = await self._environment.peers.call(host_id, step, timeout_s)
        return isinstance(reply, HandoverReply) and reply.agreed

    def _stable_successor(self, shard: ShardId) -> HostId | None:
        """Another host that has ranked first for long enough and may be tried now."""
        ranking = self._ownership.ranking(shard)
        now_s = self._now_s()
        first = ranking[0] if ranking else self._host_id
        known, since_s = self._ranks_first_since_s.get(shard, (None, 0.0))
        if known != first:
            self._ranks_first_since_s[shard] = (first, now_s)
            return None
        is_due = now_s >= max(since_s + STABLE_S, self._retry_at_s.get(shard, 0.0))
        return first if first != self._host_id and is_due else None

    # The successor's side

    async def _handle_offer(self, sender: HostId, offer: HandoverOffer):
        """Agree if this host is in the zone, not leaving and able to get the lease."""
        is_willing = offer.zone == self._zone and not self._leases.is_leaving
        # Without answers of most grantors, this host could not acquire the lease.
        agreed = is_willing and await self._leases.reaches_majority()
        return HandoverReply(agreed)

    def _handle_queue(self, sender: HostId, queue: HandoverQueue) -> HandoverReply:
        """Store the queue with the backup; it is not valid yet."""
        backup = self._backup_of_sender(sender, queue)
        if backup is None or self._leases.is_leaving:
            return HandoverReply(False)
        try:
            backup.queue = unpack_queue(queue.requests, self._now_s())
        except (MessageError, ValueError, TypeError):
            return HandoverReply(False)
        backup.handover_number = queue.number
        backup.queued_at_s = self._now_s()
        return HandoverReply(True)

    def _handle_given_up(
        self, sender: HostId, message: HandoverGivenUp
    ) -> HandoverReply:
        """Mark the queue as valid and start to seek the lease."""
        backup = self._backup_of_sender(sender, message)
        if backup is None or backup.handover_number != message.number:
            return HandoverReply(False)
        if not backup.lease_given_up:
            backup.lease_given_up = True
            # The owner still held its lease after this host had stored the queue. So
            # even a grantor that restarted shortly before remembers far enough back.
            backup.lease_confirmed_s = max(backup.lease_confirmed_s, backup.queued_at_s)
            shard = ShardId(self._zone, message.index)
            spawn(self._acquire_lease(shard), f"acquire {shard}")
        return HandoverReply(True)

    def _backup_of_sender(self, sender: HostId, step):
        """The backup of the step's shard, if the sender is its owner at that epoch."""
        backup = self._replicator.backups.get(ShardId(self._zone, step.index))
        if step.zone != self._zone or backup is None:
            return None
        if (backup.owner, backup.epoch) != (sender, step.epoch):
            return None
        return backup

    async def _acquire_lease(self, shard: ShardId) -> None:
        """Seek the lease of a shard that was given up for this host."""
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


def _pause_dispatch(owned: OwnedShard) -> bool:
    """Pause the shard's dispatchers; True once no request is in flight."""
    for dispatcher in owned.dispatchers.values():
        dispatcher.pause()
    return not any(d.in_flight for d in owned.dispatchers.values())
