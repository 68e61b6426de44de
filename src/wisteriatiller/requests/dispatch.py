"""Dispatch of requests to one upstream by its owner."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable

from wisteriatiller.configuration import RequestMode, Service, Upstream
from wisteriatiller.exceptions import check_invariant
from wisteriatiller.foundation import Environment, RequestOutcome
from wisteriatiller.ids import CallerId, FlowKey, ServiceId, UpstreamId
from wisteriatiller.outcomes import OutcomeUnknown, Reason, Refused
from wisteriatiller.transport import CoapHead, MessageType, coapcodec, proxyheader

from .admission import Admission
from .duplicates import (
    FINAL_STATES,
    DuplicateTable,
    RequestKey,
    RequestRecord,
    RequestState,
)
from .health import HealthEvent, UpstreamHealth
from .inflight import InFlightRequests, payload_for_caller
from .queueing import FairQueue, Request
from .retries import (
    KEPT_FOR_UNANSWERED,
    MAX_DISPATCHES,
    MIN_RESEND_SERVICE_TIMES,
    RetryBudget,
    retry_delay_s,
)

# A non-idempotent request is not sent with less lease left than this, since the
# upstream would refuse most of them for their short deadline.
MIN_LEASE_S = 0.05
# Time an answer may take on the network beyond the deadline given to the upstream.
ANSWER_GRACE_S = 0.1
# The shortest wait between two looks at the oldest queued request.
MIN_EXPIRY_WAIT_S = 0.001


_OUTCOMES = {
    RequestState.ANSWERED: RequestOutcome.ANSWERED,
    RequestState.REFUSED: RequestOutcome.REFUSED,
    RequestState.UNKNOWN: RequestOutcome.OUTCOME_UNKNOWN,
}


class DispatchGate(ABC):
    """What the owner of the shard allows a dispatcher to do."""

    @abstractmethod
    def lease_remaining_s(self) -> float:
        """Time left on the shard's lease; 0 if it is not held."""

    @abstractmethod
    def record_at_backup(self, request: Request, done: Callable[[bool], None]) -> None:
        """Record a request at the backup and call ``done`` with the result."""

    @abstractmethod
    def finished(self, request: Request) -> None:
        """Note a final state, so that the backup learns of it."""


class DispatchPolicy:
    """What the surroundings of a dispatcher add to its decisions.

    The default neither refuses for dependencies nor limits who may be retried.
    """

    def refuse_early(self, service_id: ServiceId) -> Reason | None:
        """Why requests of the service are refused before queueing, if they are."""
        return None

    def may_retry(self, service_id: ServiceId, caller_id: CallerId) -> bool:
        """Whether the caller's requests may be repeated here.

        It is False for requests that another service makes while it serves its own
        callers: those are repeated at the front only.
        """
        return True


class UpstreamDispatcher:
    """Queue, slots and duplicates of one upstream.

    ``send`` takes a datagram for the upstream and ``answer`` a flow and the payload
    for its caller.
    """

    def __init__(
        self,
        environment: Environment,
        service: Service,
        upstream: Upstream,
        duplicates: DuplicateTable,
        gate: DispatchGate,
        health: UpstreamHealth,
        send: Callable[[bytes], None],
        answer: Callable[[FlowKey, bytes], None],
        policy: DispatchPolicy | None = None,
    ):
        check_invariant(
            upstream.service_id == service.service_id,
            "upstream_of_service",
            upstream=upstream.upstream_id,
            service=service.service_id,
        )
        self.service = service
        self.upstream = upstream
        self.health = health
        self._environment = environment
        self._duplicates = duplicates
        self._gate = gate
        self._send = send
        self._answer = answer
        self._policy = policy or DispatchPolicy()
        self._queue = FairQueue()
        # Requests without a final answer.
        self._open: dict[RequestKey, Request] = {}
        self._in_flight = InFlightRequests(environment, duplicates, health, send)
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._paused = False
        self._retrying: set[Request] = set()
        self.retry_budget = RetryBudget()
        self.admission = Admission(
            environment,
            service,
            upstream,
            health,
            self._queue,
            self._in_flight.requests,
        )
        if service.mode is RequestMode.COAP:
            health.in_flight = lambda: len(self._in_flight)
        health.subscribe(self._health_changed)

    @property
    def in_flight(self) -> int:
        return len(self._in_flight)

    @property
    def queued(self) -> int:
        return len(self._queue)

    def handle(self, flow_key: FlowKey, caller_id: CallerId, payload: bytes) -> None:
        """Take a datagram of a caller whose flow is open on this upstream."""
        head = coapcodec.read_head(payload)
        if head.message_type is MessageType.RST and self._cancel(flow_key, head):
            return
        if not head.is_request:
            self._send(proxyheader.make_header(flow_key) + payload)
            return
        record = self._duplicates.get(RequestKey(flow_key, head.message_id))
        if record is not None:
            self._repeat(flow_key, record)
            return
        self._admit(flow_key, caller_id, head, payload)

    def knows(self, flow_key: FlowKey, head: CoapHead) -> bool:
        """Whether the request or an earlier copy of it was seen here."""
        key = RequestKey(flow_key, head.message_id)
        return self._duplicates.get(key) is not None

    def answer_unknown(self, flow_key: FlowKey, head: CoapHead, reason: Reason) -> None:
        """Give a request that may have run its final answer."""
        request = self._new_request(flow_key, CallerId(""), head, b"")
        self._duplicates.put(request.key, request.record)
        self._finish_unknown(request, reason)

    def refuse(self, flow_key: FlowKey, head: CoapHead, outcome: Refused) -> None:
        """Give a new request that is not run its final answer."""
        request = self._new_request(flow_key, CallerId(""), head, b"")
        self._duplicates.put(request.key, request.record)
        self._finish_refused(request, outcome)

    def handle_response(self, flow_key: FlowKey, payload: bytes) -> None:
        """Take a datagram of the upstream."""
        head = coapcodec.read_head(payload)
        if not head.is_response:
            self._answer(flow_key, payload)
            return
        request = self._in_flight.match(flow_key, head)
        if request is None:
            self._environment.metrics.count("dispatch.late_answers")
            return
        if head.is_refusal:
            self._upstream_refused(request, head, payload)
        else:
            self._in_flight.release(request, answered=True)
            self.health.succeeded(self._now_s() - request.dispatched_s)
            self.retry_budget.succeeded()
            self._finish(
                request,
                RequestState.ANSWERED,
                payload_for_caller(request, head, payload),
            )
        self.pump()

    def pump(self) -> None:
        """Dispatch queued requests while slots are free."""
        while self._queue and self._may_dispatch() and self._has_free_slot():
            displaced = self._queue.displace()
            if displaced is not None:
                self._refuse(displaced, Reason.OVER_SHARE)
                continue
            request = self._queue.pop()
            if self._now_s() > self.admission.latest_dispatch_s(request):
                self._refuse(request, Reason.DEADLINE)
            else:
                self._dispatch(request)
        self._arm_expiry()

    def _may_dispatch(self) -> bool:
        """Whether the lease is held and the upstream's clock is known.

        Without the clock, a new owner's request could not carry a deadline that
        fences it, so requests wait for the first probe answer.
        """
        now_s = self._now_s()
        return (
            not self._paused
            and self._gate.lease_remaining_s() > 0
            and self.health.upstream_clock_ms(now_s) is not None
        )

    def close(self) -> None:
        """End all timers; nothing is answered or dispatched any more."""
        self._paused = True
        self._retrying.clear()
        for request in list(self._in_flight.requests):
            self._in_flight.release(request, answered=False)
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()

    def reconfigure(self, service: Service, upstream: Upstream) -> None:
        """Take the service and upstream of a newer configuration."""
        self.service = service
        self.upstream = upstream
        self.health.slow_start_s = service.slow_start_s
        self.admission.reconfigure(service, upstream)
        self.pump()

    def pressure(self) -> float:
        """From 0 to 1: how much of the time up to the deadline is backlog."""
        if self.health.is_down or self.health.is_shedding:
            return 1.0
        return self.admission.pressure()

    def pause(self) -> None:
        """Stop dispatching; requests in flight go on.

        Requests that wait for a retry join the queue at once, so that a hand-over
        finds every request either in the queue or in flight.
        """
        self._paused = True
        for request in list(self._retrying):
            self._retry(request)

    def resume(self) -> None:
        """Go on after ``pause``."""
        self._paused = False
        self.pump()

    def take_open(self) -> list[Request]:
        """Remove and return the requests without a final answer.

        Only for a paused dispatcher with nothing in flight: none of them may run
        under this owner any more.
        """
        check_invariant(
            self._paused and not self._in_flight,
            "open_requests_not_in_flight",
            upstream=self.upstream.upstream_id,
        )
        requests = list(self._open.values())
        self._open.clear()
        while self._queue:
            self._queue.pop()
        return requests

    def restore(self, request: Request) -> None:
        """Queue a request that was taken here or at a former owner."""
        request.record.state = RequestState.QUEUED
        self._duplicates.put(request.key, request.record)
        self._take_in(request)

    def _admit(self, flow_key, caller_id, head, payload) -> None:
        request = self._new_request(flow_key, caller_id, head, payload)
        self._duplicates.put(request.key, request.record)
        refused = self._refusal(caller_id)
        if refused is not None:
            self._finish_refused(request, refused)
            return
        self._take_in(request)

    def _take_in(self, request: Request) -> None:
        self._open[request.key] = request
        if request.head.is_idempotent:
            self._enqueue(request)
        else:
            self._gate.record_at_backup(
                request, lambda recorded: self._recorded(request, recorded)
            )

    def _refusal(self, caller_id: CallerId) -> Refused | None:
        reason = self._policy.refuse_early(self.service.service_id)
        if reason is not None:
            return self.admission.refuse(reason)
        return self.admission.decide(caller_id)

    def _recorded(self, request: Request, recorded: bool) -> None:
        if request.record.state is not RequestState.QUEUED:
            # The caller cancelled it meanwhile.
            return
        if recorded:
            request.record.state = RequestState.RECORDED
            self._enqueue(request)
        else:
            self._finish_refused(request, Refused(Reason.NO_BACKUP))

    def _enqueue(self, request: Request) -> None:
        if self.health.is_down:
            self._refuse(request, Reason.UPSTREAM_DOWN)
            return
        self._queue.push(request)
        self.pump()
        overflow = self.admission.overflow()
        if overflow is not None:
            self._queue.remove(overflow)
            self._refuse(overflow, Reason.QUEUE_FULL)

    def _arm_expiry(self) -> None:
        """Wake up when the oldest queued request can no longer be answered in time."""
        oldest = self._queue.oldest()
        if oldest is None or self._paused or self._expiry_timer is not None:
            return
        wait_s = self.admission.latest_dispatch_s(oldest) - self._now_s()
        self._expiry_timer = asyncio.get_running_loop().call_later(
            max(MIN_EXPIRY_WAIT_S, wait_s), self._expire
        )

    def _expire(self) -> None:
        self._expiry_timer = None
        while not self._paused:
            oldest = self._queue.oldest()
            if oldest is None or self._now_s() < self.admission.latest_dispatch_s(
                oldest
            ):
                break
            self._queue.remove(oldest)
            self._refuse(oldest, Reason.DEADLINE)
        self._arm_expiry()

    def _health_changed(self, upstream_id: UpstreamId, event: HealthEvent) -> None:
        if event is HealthEvent.DOWN:
            while self._queue:
                self._refuse(self._queue.pop(), Reason.UPSTREAM_DOWN)
        elif event is HealthEvent.UP:
            self.pump()

    def _cancel(self, flow_key: FlowKey, head: CoapHead) -> bool:
        """End a request that its caller gave up; False if it is not open here."""
        request = self._open.get(RequestKey(flow_key, head.message_id))
        if request is None:
            return False
        if request in self._in_flight:
            self._in_flight.release(request, answered=False)
            self._in_flight.send_cancel(request)
            self._finish_unknown(request, Reason.CANCELLED)
            self.pump()
        else:
            self._queue.remove(request)
            self._retrying.discard(request)
            self._refuse(request, Reason.CANCELLED)
        return True

    def _new_request(self, flow_key, caller_id, head, payload) -> Request:
        now_s = self._now_s()
        record = RequestRecord(RequestState.QUEUED, self.upstream.upstream_id, now_s)
        deadline_s = now_s + self.service.deadline_ms / 1000
        return Request(flow_key, caller_id, head, payload, now_s, deadline_s, record)

    def _repeat(self, flow_key: FlowKey, record: RequestRecord) -> None:
        # A repeat of a request in progress gets no empty ACK: it would end the
        # caller's retransmission, and a lost answer would not be asked for again.
        if record.state in FINAL_STATES:
            self._answer(flow_key, record.answer)

    def _has_free_slot(self) -> bool:
        return len(self._in_flight) < min(
            self.upstream.slots, self.health.allowed_in_flight(self.upstream.slots)
        )

    def _dispatch(self, request: Request) -> None:
        # The upstream must not start the request later than this.
        start_by_s = request.deadline_s
        now_s = self._now_s()
        if not request.head.is_idempotent:
            lease_s = self._gate.lease_remaining_s()
            if lease_s < MIN_LEASE_S:
                self._finish_refused(request, Refused(Reason.NO_LEASE))
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
        # Once started, a request may outlast the lease that it was sent under: the
        # renewed lease or the successor's records keep it from running again.
        self._set_timers(request, request.deadline_s - now_s)
        self._in_flight.send(request, start_by_s)

    def _set_timers(self, request: Request, remaining_s: float) -> None:
        loop = asyncio.get_running_loop()
        wait_s = remaining_s + ANSWER_GRACE_S
        timers = [loop.call_later(wait_s, self._time_out, request)]
        # Sent again before an answer can be expected, it would only cost the budget.
        expected_s = MIN_RESEND_SERVICE_TIMES * self.admission.service_time_s()
        if request.head.is_idempotent and remaining_s / 2 >= expected_s:
            timers.append(loop.call_later(remaining_s / 2, self._resend, request))
        self._in_flight.set_timers(request, timers)

    def _resend(self, request: Request) -> None:
        """Send an unanswered idempotent request again, under the same message id."""
        if (
            request not in self._in_flight
            or request.dispatches >= MAX_DISPATCHES
            or not self._may_repeat(request)
        ):
            return
        request.dispatches += 1
        request.resent = True
        self._in_flight.send(request, request.deadline_s)

    def _may_repeat(self, request: Request, keep: float = 0.0) -> bool:
        """Whether policy and budget allow one more dispatch; spends the budget."""
        return (
            not self.health.is_down
            and not self.health.is_shedding
            and self._policy.may_retry(self.service.service_id, request.caller_id)
            and self.retry_budget.take(keep)
        )

    def _upstream_refused(
        self, request: Request, head: CoapHead, payload: bytes
    ) -> None:
        self._in_flight.release(request, answered=True)
        self.health.refused()
        # A separate answer does not say which dispatch it belongs to, and one of two
        # copies may have run although the other was refused.
        if request.resent or (
            request.dispatches > 1 and head.message_type is not MessageType.ACK
        ):
            retry_after_s = 60.0 if head.max_age_s is None else head.max_age_s
            self._finish_unknown(request, Reason.UPSTREAM_SHED, retry_after_s)
            return
        request.may_have_run = False
        if self._retry_later(request):
            return
        self._finish(
            request, RequestState.REFUSED, payload_for_caller(request, head, payload)
        )

    def _retry_later(self, request: Request) -> bool:
        """Queue a refused idempotent request again if there is time and budget."""
        service_time_s = self.admission.service_time_s()
        delay_s = retry_delay_s(self._environment, service_time_s)
        if (
            not request.head.is_idempotent
            or self._paused
            or request.dispatches >= MAX_DISPATCHES
            or self._now_s() + delay_s > self.admission.latest_dispatch_s(request)
            or not self._may_repeat(request, KEPT_FOR_UNANSWERED)
        ):
            return False
        request.record.state = RequestState.QUEUED
        self._retrying.add(request)
        asyncio.get_running_loop().call_later(delay_s, self._retry, request)
        return True

    def _retry(self, request: Request) -> None:
        if request in self._retrying:
            self._retrying.remove(request)
            # The expiry timer follows the order of arrival, in which this request,
            # with its earlier deadline, is now the last one.
            wait_s = self.admission.latest_dispatch_s(request) - self._now_s()
            asyncio.get_running_loop().call_later(
                max(MIN_EXPIRY_WAIT_S, wait_s), self._expire_retry, request
            )
            self._enqueue(request)

    def _expire_retry(self, request: Request) -> None:
        if not self._paused and self._queue.remove(request):
            self._refuse(request, Reason.DEADLINE)

    def _time_out(self, request: Request) -> None:
        if request not in self._in_flight:
            return
        self._in_flight.release(request, answered=False)
        self.health.failed(self._now_s() - request.dispatched_s)
        self._in_flight.send_cancel(request)
        self._finish_unknown(request, Reason.TIMEOUT)
        self.pump()

    def _refuse(self, request: Request, reason: Reason) -> None:
        self._finish_refused(request, self.admission.refuse(reason))

    def _finish_refused(self, request: Request, outcome: Refused) -> None:
        check_invariant(
            request.record.state is not RequestState.DISPATCHED
            and not request.may_have_run,
            "not_run_was_not_dispatched",
            upstream=self.upstream.upstream_id,
        )
        if self._gate.lease_remaining_s() <= 0:
            # A repeat of the request may have run under the shard's next owner.
            self._finish_unknown(request, Reason.NO_LEASE, outcome.retry_after_s)
            return
        answer = coapcodec.refusal(request.head, outcome)
        self._finish(request, RequestState.REFUSED, answer)

    def _finish_unknown(
        self, request: Request, reason: Reason, retry_after_s: float = 1.0
    ) -> None:
        outcome = OutcomeUnknown(reason, retry_after_s)
        answer = coapcodec.outcome_unknown(request.head, outcome)
        self._finish(request, RequestState.UNKNOWN, answer)

    def _finish(self, request: Request, state: RequestState, answer: bytes) -> None:
        check_invariant(
            request.record.state not in FINAL_STATES,
            "one_final_answer",
            upstream=self.upstream.upstream_id,
        )
        self._open.pop(request.key, None)
        request.record.state = state
        request.record.answer = answer
        self._gate.finished(request)
        self._answer(request.flow_key, answer)
        self._count(request)
        self._environment.metrics.count(f"requests.{state.value}")

    def _count(self, request: Request) -> None:
        latency_s = self._now_s() - request.received_s
        outcome = _OUTCOMES[request.record.state]
        if outcome is RequestOutcome.ANSWERED and self._now_s() > request.deadline_s:
            outcome = RequestOutcome.LATE
        ran_on = self.upstream.upstream_id if request.dispatched_s else None
        self._environment.service_level.record(
            self.service.service_id, outcome, ran_on, latency_s
        )

    def _now_s(self) -> float:
        return self._environment.clock.now_s()
