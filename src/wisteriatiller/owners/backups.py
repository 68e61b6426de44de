"""Backups: the records of other owners' shards that this host keeps for them."""

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
from wisteriatiller.transport import CoapHead, MessageType, coapcodec

from .flows import FlowRecord, FlowState, FlowTable
from .shard import OwnedShard

# Records of a shard that nobody updates any more are of use until the last request
# in them may no longer be repeated.
FORGET_AFTER_S = 300.0
# A backup seeks the lease of an owner that has been silent for the first time, until
# it has been silent for the second.
SILENT_AFTER_S = 1.2
GIVE_UP_AFTER_S = 10.0
# Clocks may differ in rate by less than this share.
CLOCK_RATE_MARGIN = 0.1

_FLOW_STATES = tuple(FlowState)
_REQUEST_STATES = tuple(RequestState)


@message(50)
class ReplicaBatch(Message):
    """Changes of the records of several shards.

    ``echo_ms`` is the ``stamp_ms`` of the last acknowledgement: the sender still held
    the leases at that time of the receiver's clock. ``parts`` is a msgpack array of
    ``ReplicaPart`` fields.
    """

    zone: str
    session: int
    sequence: int
    echo_ms: int
    parts: bytes


@message(51)
class ReplicaAck(Message):
    """Acknowledges a batch.

    ``resets`` names shards of which the receiver needs everything from the start,
    and ``refusals`` those for which it knows a higher epoch.
    """

    stamp_ms: int
    resets: tuple
    refusals: tuple


@message(56)
class ReplicaDropped(Message):
    """Tells a host that it is no longer a backup of a shard."""

    zone: str
    index: int
    epoch: int


@dataclass(slots=True)
class ReplicaPart:
    """The changes of one shard in a batch.

    ``reset`` clears what the receiver has. ``complete`` says that the receiver has
    every record after this part. ``required`` says that the owner dispatches only
    what this receiver has acknowledged.
    """

    index: int
    epoch: int
    reset: bool
    complete: bool
    required: bool
    uncertain_ms: int
    flows: list
    requests: list

    def packed(self) -> list:
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
    """A flow's entry of a part; one without a state removes the flow."""
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
    key: RequestKey, record: RequestRecord, head: CoapHead | None, now_s: float
) -> tuple:
    """A request's entry of a part; ``head`` is given while it has no final state."""
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
    """What this host knows of a shard from its owner."""

    owner: HostId
    epoch: int
    heard_s: float
    complete: bool = False
    required: bool = False
    confirmed_s: float = 0.0
    uncertain_until_s: float = 0.0
    flows: FlowTable = field(default_factory=FlowTable)
    duplicates: DuplicateTable = field(default_factory=DuplicateTable)
    heads: dict[RequestKey, CoapHead] = field(default_factory=dict)
    # The queue of a planned hand-over; it counts only once the former owner has said
    # that it gave the lease up.
    queue: list[Request] = field(default_factory=list)
    queued_at_s: float = 0.0
    handover: int = 0
    given_up: bool = False

    def apply(self, part: ReplicaPart, now_s: float) -> None:
        self.uncertain_until_s = now_s + part.uncertain_ms / 1000
        for entry in part.flows:
            self._apply_flow(now_s, *entry)
        for entry in part.requests:
            self._apply_request(now_s, *entry)
        self.complete = self.complete or part.complete
        self.required = part.required

    def _apply_flow(self, now_s, flow_key, state=None, upstream_id="", *rest) -> None:
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
            self.heads[key] = CoapHead(
                MessageType(message_type), code, message_id, token
            )

    def is_complete_after(
        self, former: PreviousHolder, me: HostId, now_s: float
    ) -> bool:
        """Whether these are all records of the holder before the present lease.

        The grantors must have named this host as the backup, and must remember every
        change since the owner was last known to hold the lease.
        """
        if (former.epoch, former.holder) != (self.epoch, self.owner):
            return False
        if self.owner != me and former.backup != me:
            return False
        needed_s = (now_s - self.confirmed_s) * (1 + CLOCK_RATE_MARGIN)
        return self.complete and former.remembered_s >= needed_s


class BackupShards:
    """The backups on this host, by shard."""

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
        return self._backups.get(shard)

    def is_due(self, shard: ShardId) -> bool:
        """Whether this host should succeed an owner that has fallen silent."""
        backup = self._backups.get(shard)
        if backup is None or not backup.complete or backup.owner == self._host_id:
            return False
        silent_s = self._now_s() - backup.heard_s
        return backup.required and SILENT_AFTER_S < silent_s < GIVE_UP_AFTER_S

    def keep_former_records(
        self, owned: OwnedShard, epoch: int, held_since_s: float, heads
    ):
        """Keep the records of a shard whose lease this host lost.

        If no other host held the lease when this host acquires it again, the records
        are still complete.
        """
        known = self._backups.get(owned.shard)
        if known is not None and known.epoch > epoch:
            return
        self._backups[owned.shard] = BackupShard(
            owner=self._host_id,
            epoch=epoch,
            heard_s=self._now_s(),
            complete=True,
            confirmed_s=held_since_s,
            uncertain_until_s=owned.uncertain_until_s,
            flows=owned.flows,
            duplicates=owned.duplicates,
            heads=heads,
        )

    def take_over(self, owned: OwnedShard, former: PreviousHolder) -> list[Request]:
        """Fill a shard from its backup; return the queue that was handed over.

        Requests that may have run become "outcome unknown". If records may be
        missing, requests of flows that were opened before are unknown for as long as
        a caller may repeat them.
        """
        now_s = self._now_s()
        backup = self._backups.pop(owned.shard, None)
        is_complete = former.never_held
        queue = []
        if backup is not None:
            is_complete = is_complete or backup.is_complete_after(
                former, self._host_id, now_s
            )
            if is_complete and backup.given_up:
                queue = backup.queue
            self._fill(owned, backup, {request.key for request in queue})
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

    def _fill(
        self, owned: OwnedShard, backup: BackupShard, queued: set[RequestKey]
    ) -> None:
        now_s = self._now_s()
        owned.uncertain_until_s = backup.uncertain_until_s
        for flow_key, record in backup.flows:
            record.last_seen_s = now_s
            owned.flows.put(flow_key, record)
        for key, record in backup.duplicates:
            if record.state not in FINAL_STATES and key not in queued:
                head = backup.heads.get(key)
                if head is None:
                    # An idempotent request, which may run again.
                    continue
                outcome = OutcomeUnknown(Reason.OWNER_CHANGED)
                record.answer = coapcodec.outcome_unknown(head, outcome)
                record.state = RequestState.UNKNOWN
                self._environment.metrics.count("requests.unknown_after_takeover")
            owned.duplicates.put(key, record)

    def _handle_batch(self, sender: HostId, batch: ReplicaBatch) -> ReplicaAck | None:
        if batch.zone != self._zone:
            return None
        session, sequence = self._sequences.get(sender, (0, 0))
        if batch.session == session and batch.sequence <= sequence:
            # A batch that was delayed would undo later changes.
            return None
        self._sequences[sender] = (batch.session, batch.sequence)
        resets, refusals = [], []
        for fields in msgpack.unpackb(batch.parts):
            part = ReplicaPart(*fields)
            backup = self._backup_for(sender, part, resets, refusals)
            if backup is None:
                continue
            backup.heard_s = self._now_s()
            backup.apply(part, backup.heard_s)
            if part.required and batch.echo_ms:
                backup.confirmed_s = max(backup.confirmed_s, batch.echo_ms / 1000)
        self._prune()
        stamp_ms = int(self._now_s() * 1000)
        return ReplicaAck(stamp_ms, tuple(resets), tuple(refusals))

    def _handle_dropped(self, sender: HostId, dropped: ReplicaDropped) -> None:
        # Otherwise this host would take the owner for silent, and seek the lease at
        # the moment of a hand-over to another host.
        backup = self._backups.get(ShardId(self._zone, dropped.index))
        if backup is not None and (backup.owner, backup.epoch) == (
            sender,
            dropped.epoch,
        ):
            backup.required = False

    def _backup_for(
        self, sender: HostId, part: ReplicaPart, resets: list, refusals: list
    ) -> BackupShard | None:
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

    def _prune(self) -> None:
        now_s = self._now_s()
        for shard, backup in list(self._backups.items()):
            backup.duplicates.expire(now_s)
            if now_s - backup.heard_s > FORGET_AFTER_S:
                del self._backups[shard]

    def _now_s(self) -> float:
        return self._environment.clock.now_s()
