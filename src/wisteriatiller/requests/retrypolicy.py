"""Whether a request may be sent to its upstream once more, and when."""

from wisteriatiller.foundation import Environment
from wisteriatiller.ids import ServiceId

from .admission import AdmissionControl
from .health import UpstreamHealth
from .interfaces import DispatchPolicy
from .queueing import Request
from .retries import (
    MAX_DISPATCHES,
    RESERVED_FOR_RETRANSMISSIONS,
    RetryBudget,
    retry_delay_s,
)


class RetryPolicy:
    """Spends the budget of repeats of one upstream."""

    def __init__(
        self,
        environment: Environment,
        service_id: ServiceId,
        health: UpstreamHealth,
        admission: AdmissionControl,
        policy: DispatchPolicy,
    ):
        self.budget = RetryBudget()
        self._environment = environment
        self._service_id = service_id
        self._health = health
        self._admission = admission
        self._policy = policy

    def try_acquire_retry(self, request: Request, reserve: float = 0.0) -> bool:
        """Whether policy and budget allow one more dispatch; spends the budget."""
        return (
            not self._health.is_down
            and not self._health.is_shedding
            and self._policy.may_retry(self._service_id, request.caller_id)
            and self.budget.try_spend(reserve)
        )

    def next_retry_delay_s(self, request: Request) -> float | None:
        """How long a refused idempotent request waits for its retry, if it gets one."""
        service_time_s = self._admission.expected_service_time_s()
        delay_s = retry_delay_s(self._environment, service_time_s)
        now_s = self._environment.clock.now_s()
        if (
            not request.head.is_idempotent
            or request.dispatches >= MAX_DISPATCHES
            or now_s + delay_s > self._admission.latest_dispatch_s(request)
            or not self.try_acquire_retry(request, RESERVED_FOR_RETRANSMISSIONS)
        ):
            return None
        return delay_s
