"""Backups: replicas of other owners' shards, which this host takes over from."""

from dataclasses import dataclass, field

import msgpack

from wisteriatiller.foundation import Environment, Message, log_event, message
from wisteriatiller.ids import FlowKey, HostId, ShardId, UpstreamId
from wisteriatiller.leases import PreviousHolder, ShardLeases
from wisteriatiller.outcomes import OutcomeUnknown, Reason
from wisteriatiller.requests import (
    EXCHANGE_LIFETIME_S,
    FINAL_STATES,
    DuplicateTable,
    Request,
    RequestKey,
    RequestRecord,
    RequestState,
)
from wisteriatiller.transport import CoapHeader, MessageType, coapcodec

from .flows import FlowRecord, FlowState, FlowTable
from .shard import OwnedShard

# A backup that is no longer updated is kept until no request in it may be retransmitted
# any more.
BACKUP_LIFETIME_S = 300.0
# A backup seeks the lease of its shard while the owner has been silent for more than
# the first and less than the second of these times.
TAKEOVER_MIN_SILENCE_S = 1.2
TAKEOVER_MAX_SILENCE_S = 10.0
# The clock rates of two hosts are assumed to differ by less than this fraction.
MAX_CLOCK_RATE_DIFFERENCE = 0.1

_FLOW_STATES = tuple(FlowState)
_REQUEST_STATES = tuple(RequestState)


@message(50)
class ReplicaBatch(Message):
    """Carries changed records of several shards to a backup.

    ``echo_ms`` is the ``stamp_ms`` of the last ``ReplicaAck``: at that time of the
    receiver's clock, the sender still held the leases. ``parts`` is a msgpack array of
    ``ReplicaPart`` fields.
    """

    zone: str
    session: int
    sequence: int
    echo_ms: int
    parts: bytes


@message(51)
class ReplicaAck(Message):
    """Acknowledges a ``ReplicaBatch``.

    ``resets`` names the shards of which the receiver needs all records again,
    ``refusals`` those of which it knows a higher epoch.
    """

    stamp_ms: int
    resets: tuple
    refusals: tuple


@message(56)
class ReplicaDropped(Message):
    """Tells a host that it is no longer the backup of a shard."""

    zone: str
    index: int
    epoch: int


@dataclass(slots=True)
class ReplicaPart:
    """The changed records of one shard in a batch.

    ``reset`` makes the receiver discard its records first. ``complete`` is set if the
    receiver has all records after this part. ``required`` is set if the owner
    dispatches a request only after this receiver has acknowledged its record.
    """

    index: int
    epoch: int
    reset: bool
    complete: bool
    required: bool
    uncertain_ms: int
    flows: list
    requests: list

    def to_list(self) -> list:
        """The fields in the order of ``ReplicaPart``."""
        return [
            self.index,
            self.epoch,
            self.reset,
            self.complete,
            self.required,
            self.uncertain_ms,
            self.flows,
            self.requests,
        ]


def pack_flow(flow_key: FlowKey, record: FlowRecord | None, now_s: float) -> tuple:
    """A flow's entry in a part; without a record, it removes the flow."""
    if record is None:
        return (flow_key,)
    uncertain_ms = max(0, int((record.uncertain_until_s - now_s) * 1000))
    return (
        flow_key,
        _FLOW_STATES.index(record.state),
        record.upstream_id,
        uncertain_ms,
        record.loss_reported,
        record.was_open_here,
    )


def pack_request(
    key: RequestKey, record: RequestRecord, head: CoapHeader | None, now_s: float
) -> tuple:
    """A request's entry in a part; ``head`` is given until it has a final state."""
    packed_head = None
    if head is not None:
        packed_head = (head.message_type.value, head.code, head.token)
    return (
        key.flow_key,
        key.message_id,
        _REQUEST_STATES.index(record.state),
        record.upstream_id,
        max(0, int((now_s - record.created_s) * 1000)),
        record.answer,
        packed_head,
    )


@dataclass(slots=True)
class BackupShard:
    """The replica of one shard, as its owner sent it.

    ``lease_confirmed_s`` is the latest time at which the owner is known to have held
    the lease.
    """

    owner: HostId
    epoch: int
    last_heard_s: float
    complete: bool = False
    required: bool = False
    lease_confirmed_s: float = 0.0
    uncertain_until_s: float = 0.0
    flows: FlowTable = field(default_factory=FlowTable)
    duplicates: DuplicateTable = field(default_factory=DuplicateTable)
    heads: dict[RequestKey, CoapHeader] = field(default_factory=dict)
    # The queue of a planned handover; it is valid only after the former owner has
    # reported that it gave up the lease.
    queue: list[Request] = field(default_factory=list)
    queued_at_s: float = 0.0
    handover_number: int = 0
    lease_given_up: bool = False

    def apply(self, part: ReplicaPart, now_s: float) -> None:
        """Store the changed records of a part."""
        self.uncertain_until_s = now_s + part.uncertain_ms / 1000
        for entry in part.flows:
            self._apply_flow(now_s, *entry)
        for entry in part.requests:
            self._apply_request(now_s, *entry)
        self.complete = self.complete or part.complete
        self.required = part.required

    def _apply_flow(self, now_s, flow_key, state=None, upstream_id="", *rest) -> None:
        """Store or remove a flow by an entry of ``pack_flow``."""
        if state is None:
            self.flows.remove(FlowKey(flow_key))
            return
        uncertain_ms, loss_reported, was_open_here = rest
        record = FlowRecord(
            _FLOW_STATES[state],
            UpstreamId(upstream_id),
            now_s,
            now_s + uncertain_ms / 1000 if uncertain_ms else 0.0,
            loss_reported,
            was_open_here,
        )
        self.flows.put(FlowKey(flow_key), record)

    def _apply_request(
        self, now_s, flow_key, message_id, state, upstream_id, age_ms, answer, head
    ) -> None:
        """Store a request by an entry of ``pack_request``."""
        key = RequestKey(FlowKey(flow_key), message_id)
        record = RequestRecord(
            _REQUEST_STATES[state],
            UpstreamId(upstream_id),
            now_s - age_ms / 1000,
            answer,
        )
        self.duplicates.put(key, record)
        if head is None:
            self.heads.pop(key, None)
        else:
            message_type, code, token = head
            self.heads[key] = CoapHeader(
                MessageType(message_type), code, message_id, token
            )

    def is_complete_for(
        self, former: PreviousHolder, own_host_id: HostId, now_s: float
    ) -> bool:
        """Whether this replica has all records of the former lease holder.

        Unless they are this host's own, the grantors must name this host as the
        backup. Their memory must reach back to the last time at which the owner was
        known to hold the lease.
        """
        if (former.epoch, former.holder) != (self.epoch, self.owner):
            return False
        if self.owner != own_host_id and former.backup != own_host_id:
            return False
        needed_s = (now_s - self.lease_confirmed_s) * (1 + MAX_CLOCK_RATE_DIFFERENCE)
        return self.complete and former.remembered_s >= needed_s


class BackupShards:
    """The replicas that this host holds, by shard."""

    def __init__(self, environment: Environment, leases: ShardLeases):
        self._environment = environment
        self._leases = leases
        self._host_id = environment.settings.host_id
        self._zone = environment.settings.zone
        self._backups: dict[ShardId, BackupShard] = {}
        self._sequences: dict[HostId, tuple[int, int]] = {}
        environment.peers.register(ReplicaBatch, self._handle_batch)
        environment.peers.register(ReplicaDropped, self._handle_dropped)

    def get(self, shard: ShardId) -> BackupShard | None:
        """The replica of a shard, if this host holds one."""
        return self._backups.get(shard)

    def should_take_over(self, shard: ShardId) -> bool:
        """Whether this host should seek the lease of a shard whose owner is silent."""
        backup = self._backups.get(shard)
        if backup is None or not backup.complete or backup.owner == self._host_id:
            return False
        silent_s = self._now_s() - backup.last_heard_s
        return (
            backup.required
            and TAKEOVER_MIN_SILENCE_S < silent_s < TAKEOVER_MAX_SILENCE_S
        )

    def keep_former_records(
        self, owned: OwnedShard, epoch: int, held_since_s: float, heads
    ):
        """Keep the records of a shard whose lease this host lost.

        They are still complete if this host acquires the lease again and no other
        host has held it in between.
        """
        known = self._backups.get(owned.shard)
        if known is not None and known.epoch > epoch:
            return
        self._backups[owned.shard] = BackupShard(
            owner=self._host_id,
            epoch=epoch,
            last_heard_s=self._now_s(),
            complete=True,
            lease_confirmed_s=held_since_s,
            uncertain_until_s=owned.uncertain_until_s,
            flows=owned.flows,
            duplicates=owned.duplicates,
            heads=heads,
        )

    def take_over(self, owned: OwnedShard, former: PreviousHolder) -> list[Request]:
        """Restore a shard from its replica; return the queue that was handed over.

        Requests that may have run get the answer "outcome unknown". If records may be
        missing, so do requests of flows that were opened before, for as long as a
        caller may retransmit them.
        """
        now_s = self._now_s()
        backup = self._backups.pop(owned.shard, None)
        is_complete = former.never_held
        queue = []
        if backup is not None:
            is_complete = is_complete or backup.is_complete_for(
                former, self._host_id, now_s
            )
            if is_complete and backup.lease_given_up:
                queue = backup.queue
            self._restore_records(owned, backup, {request.key for request in queue})
        if not is_complete:
            owned.uncertain_until_s = now_s + EXCHANGE_LIFETIME_S
            for _, record in owned.flows:
                record.uncertain_until_s = owned.uncertain_until_s
        log_event(
            "shard_taken_over",
            shard=owned.shard,
            complete=is_complete,
            flows=len(owned.flows),
            requests=len(owned.duplicates),
            queued=len(queue),
        )
        return queue

    def _restore_records(
        self, owned: OwnedShard, backup: BackupShard, queued: set[RequestKey]
    ) -> None:
        """Copy the records; set requests that may have run to "outcome unknown"."""
        now_s = self._now_s()
        owned.uncertain_until_s = backup.uncertain_until_s
        for flow_key, record in backup.flows:
            record.last_seen_s = now_s
            owned.flows.put(flow_key, record)
        for key, record in backup.duplicates:
            if record.state not in FINAL_STATES and key not in queued:
                head = backup.heads.get(key)
                if head is None:
                    # Only an idempotent request has no head; it may run again.
                    continue
                outcome = OutcomeUnknown(Reason.OWNER_CHANGED)
                record.answer = coapcodec.encode_outcome_unknown(head, outcome)
                record.state = RequestState.UNKNOWN
                self._environment.metrics.count("requests.unknown_after_takeover")
            owned.duplicates.put(key, record)

    def _handle_batch(self, sender: HostId, batch: ReplicaBatch) -> ReplicaAck | None:
        if batch.zone != self._zone:
            return None
        session, sequence = self._sequences.get(sender, (0, 0))
        if batch.session == session and batch.sequence <= sequence:
            # A delayed batch would overwrite later changes.
            return None
        self._sequences[sender] = (batch.session, batch.sequence)
        resets, refusals = [], []
        for fields in msgpack.unpackb(batch.parts):
            part = ReplicaPart(*fields)
            backup = self._backup_for_part(sender, part, resets, refusals)
            if backup is None:
                continue
            backup.last_heard_s = self._now_s()
            backup.apply(part, backup.last_heard_s)
            if part.required and batch.echo_ms:
                backup.lease_confirmed_s = max(
                    backup.lease_confirmed_s, batch.echo_ms / 1000
                )
        self._expire_backups()
        stamp_ms = int(self._now_s() * 1000)
        return ReplicaAck(stamp_ms, tuple(resets), tuple(refusals))

    def _handle_dropped(self, sender: HostId, dropped: ReplicaDropped) -> None:
        # Otherwise this host would consider the owner silent, and seek the lease during
        # a handover to another host.
        backup = self._backups.get(ShardId(self._zone, dropped.index))
        if backup is not None and (backup.owner, backup.epoch) == (
            sender,
            dropped.epoch,
        ):
            backup.required = False

    def _backup_for_part(
        self, sender: HostId, part: ReplicaPart, resets: list, refusals: list
    ) -> BackupShard | None:
        """The replica that a part updates.

        Without one, the part's index is added to ``resets`` or ``refusals``.
        """
        shard = ShardId(self._zone, part.index)
        backup = self._backups.get(shard)
        known_epoch = max(backup.epoch if backup else 0, self._leases.epoch(shard))
        if part.epoch < known_epoch:
            refusals.append(part.index)
            return None
        if part.reset:
            backup = BackupShard(sender, part.epoch, self._now_s())
            self._backups[shard] = backup
        elif backup is None or (backup.owner, backup.epoch) != (sender, part.epoch):
            resets.append(part.index)
            return None
        return backup

    def _expire_backups(self) -> None:
        """Remove old request records, and replicas that are no longer updated."""
        now_s = self._now_s()
        for shard, backup in list(self._backups.items()):
            backup.duplicates.expire(now_s)
            if now_s - backup.last_heard_s > BACKUP_LIFETIME_S:
                del self._backups[shard]

    def _now_s(self) -> float:
        return self._environment.clock.now_s()
