"""The state of one ownership shard on the host that owns it."""

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
    """Keeps the records of a shard at its backup."""

    @abstractmethod
    def record(self, request: Request, done: Callable[[bool], None]) -> None:
        """Record a request and call ``done`` with the result."""

    @abstractmethod
    def finished(self, request: Request) -> None:
        """Note that a recorded request has its final state."""

    @abstractmethod
    async def settle(self, flow_key: FlowKey) -> bool:
        """Wait until the backup knows a flow as it is now; False if it fails."""


class OwnedShard(ShardContext):
    """Flows, duplicates and dispatchers of a shard while its lease is held.

    ``uncertain_until_s`` is set when the former owner's records are missing: a flow
    opened here before that time may have had requests that this host does not know.
    A ``stopping`` shard is being handed over and takes no flows of other shards. A
    ``frozen`` one has sent its last state to the successor and serves nothing.
    """

    def __init__(self, shard: ShardId, leases: ShardLeases):
        self.shard = shard
        self.flows = FlowTable()
        self.duplicates = DuplicateTable()
        self.dispatchers: dict[UpstreamId, UpstreamDispatcher] = {}
        self.opening: dict[FlowKey, list] = {}
        self.uncertain_until_s = 0.0
        self.stopping = False
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
            self.recorder.finished(request)

    async def settle(self, flow_key: FlowKey) -> bool:
        """Wait until the backup knows a flow as it is now; False if it fails."""
        return self.recorder is None or await self.recorder.settle(flow_key)
