"""Completion of requests: each gets exactly one final answer from its owner."""

from collections.abc import Callable

from wisteriatiller.configuration import Upstream
from wisteriatiller.exceptions import check_invariant
from wisteriatiller.foundation import Environment, RequestOutcome
from wisteriatiller.ids import FlowKey
from wisteriatiller.outcomes import OutcomeUnknown, Reason, Refused
from wisteriatiller.transport import coapcodec

from .duplicates import FINAL_STATES, RequestKey, RequestState
from .interfaces import ShardContext
from .queueing import Request

_OUTCOMES = {
    RequestState.ANSWERED: RequestOutcome.ANSWERED,
    RequestState.REFUSED: RequestOutcome.REFUSED,
    RequestState.UNKNOWN: RequestOutcome.OUTCOME_UNKNOWN,
}


class RequestCompletion:
    """Sends final answers and removes the requests from ``open_requests``."""

    def __init__(
        self,
        environment: Environment,
        upstream: Upstream,
        shard: ShardContext,
        open_requests: dict[RequestKey, Request],
        answer: Callable[[FlowKey, bytes], None],
    ):
        self._environment = environment
        self._upstream_id = upstream.upstream_id
        self._service_id = upstream.service_id
        self._shard = shard
        self._open_requests = open_requests
        self._answer = answer

    def finish_refused(self, request: Request, outcome: Refused) -> None:
        """Answer that the request has not run and will not run."""
        check_invariant(
            request.record.state is not RequestState.DISPATCHED
            and not request.may_have_run,
            "not_run_was_not_dispatched",
            upstream=self._upstream_id,
        )
        if self._shard.lease_remaining_s() <= 0:
            # A duplicate of the request may have run under the shard's next owner.
            self.finish_unknown(request, Reason.NO_LEASE, outcome.retry_after_s)
            return
        answer = coapcodec.encode_refusal(request.head, outcome)
        self.finish(request, RequestState.REFUSED, answer)

    def finish_unknown(
        self, request: Request, reason: Reason, retry_after_s: float = 1.0
    ) -> None:
        """Answer that the request may have run."""
        outcome = OutcomeUnknown(reason, retry_after_s)
        answer = coapcodec.encode_outcome_unknown(request.head, outcome)
        self.finish(request, RequestState.UNKNOWN, answer)

    def finish(self, request: Request, state: RequestState, answer: bytes) -> None:
        """Record the final state, send the answer and count the outcome."""
        check_invariant(
            request.record.state not in FINAL_STATES,
            "one_final_answer",
            upstream=self._upstream_id,
        )
        self._open_requests.pop(request.key, None)
        request.record.state = state
        request.record.answer = answer
        self._shard.record_final_state(request)
        self._answer(request.flow_key, answer)
        self._count_outcome(request)
        self._environment.metrics.count(f"requests.{state.value}")

    def _count_outcome(self, request: Request) -> None:
        latency_s = self._now_s() - request.received_s
        outcome = _OUTCOMES[request.record.state]
        if outcome is RequestOutcome.ANSWERED and self._now_s() > request.deadline_s:
            outcome = RequestOutcome.LATE
        ran_on = self._upstream_id if request.dispatched_s else None
        self._environment.service_level.record(
            self._service_id, outcome, ran_on, latency_s
        )

    def _now_s(self) -> float:
        return self._environment.clock.now_s()
