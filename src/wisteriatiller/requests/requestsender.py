"""Dispatch, retransmission and timeout of requests at their upstream."""

import asyncio
from collections.abc import Callable

from wisteriatiller.configuration import Upstream
from wisteriatiller.exceptions import check_invariant
from wisteriatiller.foundation import Environment
from wisteriatiller.outcomes import Reason, Refused

from .admission import AdmissionControl
from .completion import RequestCompletion
from .duplicates import RequestState
from .health import UpstreamHealth
from .inflight import InFlightRequests
from .interfaces import ShardContext
from .queueing import Request
from .retries import MAX_DISPATCHES, MIN_RETRANSMISSION_SERVICE_TIMES
from .retrypolicy import RetryPolicy

# A non-idempotent request is not dispatched with less lease time left than this. Its
# deadline ends with the lease, and the upstream would refuse most requests with so
# short a deadline.
MIN_LEASE_S = 0.05
# Network time allowed for an answer after the deadline given to the upstream.
ANSWER_GRACE_S = 0.1


class RequestSender:
    """Sends requests, retransmits idempotent ones and times them out.

    ``dispatch_queued`` is called after a timeout, which frees a slot.
    """

    def __init__(
        self,
        environment: Environment,
        upstream: Upstream,
        shard: ShardContext,
        health: UpstreamHealth,
        admission: AdmissionControl,
        in_flight: InFlightRequests,
        retry_policy: RetryPolicy,
        completion: RequestCompletion,
        dispatch_queued: Callable[[], None],
    ):
        self.upstream = upstream
        self._environment = environment
        self._shard = shard
        self._health = health
        self._admission = admission
        self._in_flight = in_flight
        self._retry_policy = retry_policy
        self._completion = completion
        self._dispatch_queued = dispatch_queued

    def dispatch(self, request: Request) -> None:
        """Send a request to the upstream, or refuse it if too little lease is left."""
        # The upstream must not start the request later than this.
        start_by_s = request.deadline_s
        now_s = self._now_s()
        if not request.head.is_idempotent:
            lease_s = self._shard.lease_remaining_s()
            if lease_s < MIN_LEASE_S:
                self._completion.finish_refused(request, Refused(Reason.NO_LEASE))
                return
            start_by_s = min(start_by_s, now_s + lease_s)
            check_invariant(
                request.dispatches == 0,
                "non_idempotent_dispatched_once",
                upstream=self.upstream.upstream_id,
            )
        self._in_flight.assign_message_id(request)
        request.record.state = RequestState.DISPATCHED
        request.may_have_run = True
        request.dispatches += 1
        request.dispatched_s = now_s
        self._in_flight.add(request)
        check_invariant(
            len(self._in_flight) <= self.upstream.slots,
            "slots_not_exceeded",
            upstream=self.upstream.upstream_id,
        )
        # A started request may outlast the lease under which it was sent. Either the
        # renewed lease or the successor's records prevent a second run.
        self._set_timers(request, request.deadline_s - now_s)
        self._in_flight.send(request, start_by_s)

    def _set_timers(self, request: Request, remaining_s: float) -> None:
        loop = asyncio.get_running_loop()
        wait_s = remaining_s + ANSWER_GRACE_S
        timers = [loop.call_later(wait_s, self._time_out, request)]
        # A retransmission before an answer can be expected would only cost budget.
        expected_s = (
            MIN_RETRANSMISSION_SERVICE_TIMES * self._admission.expected_service_time_s()
        )
        if request.head.is_idempotent and remaining_s / 2 >= expected_s:
            timers.append(loop.call_later(remaining_s / 2, self._retransmit, request))
        self._in_flight.set_timers(request, timers)

    def _retransmit(self, request: Request) -> None:
        """Retransmit an unanswered idempotent request under the same message id."""
        if (
            request not in self._in_flight
            or request.dispatches >= MAX_DISPATCHES
            or not self._retry_policy.try_acquire_retry(request)
        ):
            return
        request.dispatches += 1
        request.retransmitted = True
        self._in_flight.send(request, request.deadline_s)

    def _time_out(self, request: Request) -> None:
        if request not in self._in_flight:
            return
        self._in_flight.release(request, answered=False)
        self._health.record_failure(self._now_s() - request.dispatched_s)
        self._in_flight.send_cancel(request)
        self._completion.finish_unknown(request, Reason.TIMEOUT)
        self._dispatch_queued()

    def _now_s(self) -> float:
        return self._environment.clock.now_s()
