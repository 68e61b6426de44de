"""The interface of the leases that a host holds on ownership shards."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from wisteriatiller.ids import ShardId

LeaseListener = Callable[[ShardId, int], None]


class ShardLeases(ABC):
    """The leases that this host holds.

    ``on_acquired`` is called with the shard and the epoch of a new lease, ``on_lost``
    with those of a lease that expired or was released.
    """

    on_acquired: LeaseListener = staticmethod(lambda shard, epoch: None)
    on_lost: LeaseListener = staticmethod(lambda shard, epoch: None)

    @abstractmethod
    def remaining_s(self, shard: ShardId) -> float:
        """The time left on this host's clock; 0 if the lease is not held."""

    @abstractmethod
    def epoch(self, shard: ShardId) -> int:
        """The epoch of the held lease; 0 if the lease is not held."""

    @abstractmethod
    async def release(self, shard: ShardId) -> None:
        """Release the lease at the grantors, so that a successor need not wait."""
