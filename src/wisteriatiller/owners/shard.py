"""The state of an ownership shard on the host that holds its lease."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from wisteriatiller.ids import FlowKey, ShardId, UpstreamId
from wisteriatiller.leases import ShardLeases
from wisteriatiller.requests import (
    DuplicateTable,
    Request,
    ShardContext,
    UpstreamDispatcher,
)

from .flows import FlowTable


class BackupRecorder(ABC):
    """Replicates the records of one shard to its backup."""

    @abstractmethod
    def record(self, request: Request, done: Callable[[bool], None]) -> None:
        """Replicate a request; call ``done`` with whether the backup has it."""

    @abstractmethod
    def record_final_state(self, request: Request) -> None:
        """Replicate the final state of a recorded request."""

    @abstractmethod
    async def wait_replicated(self, flow_key: FlowKey) -> bool:
        """Wait until the backup has the flow's present record; False on a timeout."""


class OwnedShard(ShardContext):
    """Flow table, duplicate table and dispatchers of a shard whose lease is held.

    ``pending_opens`` holds the datagrams that wait until their flow is opened.
    ``uncertain_until_s`` is set at a takeover without the former owner's complete
    records: a flow opened before that time may have had requests that this host does
    not know. While ``handing_over`` is set, the shard opens no flows for other
    shards. While ``frozen`` is set, dispatch is paused, the remaining state goes to
    the successor, and the shard serves no requests.
    """

    def __init__(self, shard: ShardId, leases: ShardLeases):
        self.shard = shard
        self.flows = FlowTable()
        self.duplicates = DuplicateTable()
        self.dispatchers: dict[UpstreamId, UpstreamDispatcher] = {}
        self.pending_opens: dict[FlowKey, list] = {}
        self.uncertain_until_s = 0.0
        self.handing_over = False
        self.frozen = False
        self.recorder: BackupRecorder | None = None
        self._leases = leases

    def lease_remaining_s(self) -> float:
        return self._leases.remaining_s(self.shard)

    def record_at_backup(self, request: Request, done: Callable[[bool], None]) -> None:
        if self.recorder is None:
            done(True)
        else:
            self.recorder.record(request, done)

    def record_final_state(self, request: Request) -> None:
        if self.recorder is not None and not request.head.is_idempotent:
            self.recorder.record_final_state(request)

    async def wait_replicated(self, flow_key: FlowKey) -> bool:
        """Wait until the backup has the flow's present record; False on a timeout."""
        return self.recorder is None or await self.recorder.wait_replicated(flow_key)
