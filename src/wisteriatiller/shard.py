"""The state of one ownership shard on the host that owns it."""

from collections.abc import Callable

from .dispatch import DispatchGate, UpstreamDispatcher
from .duplicates import DuplicateTable
from .flows import FlowTable
from .ids import FlowKey, ShardId, UpstreamId
from .lease import ShardLeases
from .queueing import Request


class OwnedShard(DispatchGate):
    """Flows, duplicates and dispatchers of a shard while its lease is held.

    ``uncertain_until_s`` is set when the former owner's records are missing: a flow
    opened here before that time may have had requests that this host does not know.
    """

    def __init__(self, shard: ShardId, leases: ShardLeases):
        self.shard = shard
        self.flows = FlowTable()
        self.duplicates = DuplicateTable()
        self.dispatchers: dict[UpstreamId, UpstreamDispatcher] = {}
        self.opening: dict[FlowKey, list] = {}
        self.uncertain_until_s = 0.0
        self.stopping = False
        self._leases = leases

    def lease_remaining_s(self) -> float:
        return self._leases.remaining_s(self.shard)

    def record_at_backup(self, request: Request, done: Callable[[bool], None]) -> None:
        done(True)

    def finished(self, request: Request) -> None:
        return None
