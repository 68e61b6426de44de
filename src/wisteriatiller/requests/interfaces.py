"""Interfaces that a dispatcher requires of the shard and of the service's policy."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from wisteriatiller.ids import CallerId, ServiceId
from wisteriatiller.outcomes import Reason

from .queueing import Request


class ShardContext(ABC):
    """The lease and the replication of the shard that contains the upstream."""

    @abstractmethod
    def lease_remaining_s(self) -> float:
        """The time left on the shard's lease; 0 if it is not held."""

    @abstractmethod
    def record_at_backup(self, request: Request, done: Callable[[bool], None]) -> None:
        """Replicate a request to the backup, then call ``done`` with the success."""

    @abstractmethod
    def record_final_state(self, request: Request) -> None:
        """Replicate the final state of a request to the backup."""


class DispatchPolicy:
    """Service-wide rules for early refusal and retries.

    The default neither refuses early nor restricts retries.
    """

    def early_refusal_reason(self, service_id: ServiceId) -> Reason | None:
        """Why a request is refused before queueing; None if it is not."""
        return None

    def may_retry(self, service_id: ServiceId, caller_id: CallerId) -> bool:
        """Whether requests of the caller may be retried here.

        It is False for requests that another service makes to serve its own callers.
        Retries at each service of a chain would multiply, so only the first service
        of the chain retries.
        """
        return True
