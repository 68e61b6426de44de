"""What the owner of a shard and its surroundings allow a dispatcher to do."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from wisteriatiller.ids import CallerId, ServiceId
from wisteriatiller.outcomes import Reason

from .queueing import Request


class ShardContext(ABC):
    """What the owner of the shard allows a dispatcher to do."""

    @abstractmethod
    def lease_remaining_s(self) -> float:
        """Time left on the shard's lease; 0 if it is not held."""

    @abstractmethod
    def record_at_backup(self, request: Request, done: Callable[[bool], None]) -> None:
        """Record a request at the backup and call ``done`` with the result."""

    @abstractmethod
    def record_final_state(self, request: Request) -> None:
        """Note a final state, so that the backup learns of it."""


class DispatchPolicy:
    """What the surroundings of a dispatcher add to its decisions.

    The default neither refuses for dependencies nor limits who may be retried.
    """

    def early_refusal_reason(self, service_id: ServiceId) -> Reason | None:
        """Why requests of the service are refused before queueing, if they are."""
        return None

    def may_retry(self, service_id: ServiceId, caller_id: CallerId) -> bool:
        """Whether the caller's requests may be repeated here.

        It is False for requests that another service makes while it serves its own
        callers: those are repeated at the front only.
        """
        return True
