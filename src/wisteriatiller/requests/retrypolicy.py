"""Decides whether a request is retried or retransmitted, and when."""

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
    """The rules and the retry budget of one upstream."""

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
        """Spend a token for one more dispatch of the request.

        Returns False if the upstream is down or shedding, the policy forbids it or the
        budget is exhausted.
        """
        return (
            not self._health.is_down
            and not self._health.is_shedding
            and self._policy.may_retry(self._service_id, request.caller_id)
            and self.budget.try_spend(reserve)
        )

    def next_retry_delay_s(self, request: Request) -> float | None:
        """The delay before the retry of a refused request; None if it gets no retry."""
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
