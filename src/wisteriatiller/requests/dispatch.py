"""Dispatch of requests to one upstream, on the host that owns its shard."""

import asyncio
from collections.abc import Callable

from wisteriatiller.configuration import RequestMode, Service, Upstream
from wisteriatiller.exceptions import check_invariant
from wisteriatiller.foundation import Environment
from wisteriatiller.ids import CallerId, FlowKey, UpstreamId
from wisteriatiller.outcomes import Reason, Refused
from wisteriatiller.transport import CoapHeader, MessageType, coapcodec, proxyheader

from .admission import AdmissionControl
from .completion import RequestCompletion
from .duplicates import (
    FINAL_STATES,
    DuplicateTable,
    RequestKey,
    RequestRecord,
    RequestState,
)
from .health import HealthEvent, UpstreamHealth
from .inflight import InFlightRequests, payload_for_caller
from .interfaces import DispatchPolicy, ShardContext
from .queueexpiry import MIN_EXPIRY_WAIT_S, QueueExpiry
from .queueing import FairQueue, Request
from .requestsender import RequestSender
from .retries import (
    RetryBudget,
)
from .retrypolicy import RetryPolicy


class UpstreamDispatcher:
    """Admits, queues and dispatches the requests to one upstream.

    It deduplicates retransmitted requests, limits the requests in flight to the
    upstream's slots and retries refused ones. ``send`` sends a datagram to the
    upstream, ``answer`` sends a payload to the caller of a flow.
    """

    def __init__(
        self,
        environment: Environment,
        service: Service,
        upstream: Upstream,
        duplicates: DuplicateTable,
        shard: ShardContext,
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
        self._shard = shard
        self._send = send
        self._answer = answer
        self._policy = policy or DispatchPolicy()
        self._queue = FairQueue()
        # Requests without a final answer: queued, waiting for a retry or in flight.
        self._open_requests: dict[RequestKey, Request] = {}
        self._in_flight = InFlightRequests(environment, duplicates, health, send)
        self._paused = False
        self._awaiting_retry: set[Request] = set()
        self.admission = AdmissionControl(
            environment,
            service,
            upstream,
            health,
            self._queue,
            self._in_flight.requests,
        )
        self._retry_policy = RetryPolicy(
            environment, service.service_id, health, self.admission, self._policy
        )
        self._completion = RequestCompletion(
            environment, upstream, shard, self._open_requests, answer
        )
        self._sender = RequestSender(
            environment,
            upstream,
            shard,
            health,
            self.admission,
            self._in_flight,
            self._retry_policy,
            self._completion,
            self.dispatch_queued,
        )
        self._expiry = QueueExpiry(
            environment,
            self._queue,
            self.admission,
            lambda request: self._refuse(request, Reason.DEADLINE),
        )
        if service.mode is RequestMode.COAP:
            health.count_in_flight = lambda: len(self._in_flight)
        health.subscribe(self._on_health_change)

    @property
    def in_flight(self) -> int:
        """The number of requests in flight."""
        return len(self._in_flight)

    @property
    def retry_budget(self) -> RetryBudget:
        """The budget of retries and retransmissions."""
        return self._retry_policy.budget

    @property
    def queued(self) -> int:
        """The number of queued requests."""
        return len(self._queue)

    def handle(self, flow_key: FlowKey, caller_id: CallerId, payload: bytes) -> None:
        """Handle a datagram from a caller whose flow is open on this upstream."""
        head = coapcodec.decode_header(payload)
        if head.message_type is MessageType.RST and self._cancel(flow_key, head):
            return
        if not head.is_request:
            self._send(proxyheader.make_header(flow_key) + payload)
            return
        record = self._duplicates.get(RequestKey(flow_key, head.message_id))
        if record is not None:
            self._answer_duplicate(flow_key, record)
            return
        self._admit(flow_key, caller_id, head, payload)

    def has_seen(self, flow_key: FlowKey, head: CoapHeader) -> bool:
        """Whether this request or an earlier copy of it arrived here."""
        key = RequestKey(flow_key, head.message_id)
        return self._duplicates.get(key) is not None

    def answer_unknown(
        self, flow_key: FlowKey, head: CoapHeader, reason: Reason
    ) -> None:
        """Answer a request that may have run with "outcome unknown"."""
        request = self._new_request(flow_key, CallerId(""), head, b"")
        self._duplicates.put(request.key, request.record)
        self._completion.finish_unknown(request, reason)

    def refuse(self, flow_key: FlowKey, head: CoapHeader, outcome: Refused) -> None:
        """Answer a new request with a refusal, without queueing it."""
        request = self._new_request(flow_key, CallerId(""), head, b"")
        self._duplicates.put(request.key, request.record)
        self._completion.finish_refused(request, outcome)

    def handle_response(self, flow_key: FlowKey, payload: bytes) -> None:
        """Handle a datagram from the upstream."""
        head = coapcodec.decode_header(payload)
        if not head.is_response:
            self._answer(flow_key, payload)
            return
        request = self._in_flight.find_request(flow_key, head)
        if request is None:
            self._environment.metrics.count("dispatch.late_answers")
            return
        if head.is_refusal:
            self._handle_upstream_refusal(request, head, payload)
        else:
            self._in_flight.release(request, answered=True)
            self.health.record_success(self._now_s() - request.dispatched_s)
            self._retry_policy.budget.record_success()
            self._completion.finish(
                request,
                RequestState.ANSWERED,
                payload_for_caller(request, head, payload),
            )
        self.dispatch_queued()

    def dispatch_queued(self) -> None:
        """Dispatch queued requests while slots are free."""
        while self._queue and self._may_dispatch() and self._has_free_slot():
            evicted = self._queue.evict_over_share()
            if evicted is not None:
                self._refuse(evicted, Reason.OVER_SHARE)
                continue
            request = self._queue.pop()
            if self._now_s() > self.admission.latest_dispatch_s(request):
                self._refuse(request, Reason.DEADLINE)
            else:
                self._sender.dispatch(request)
        self._expiry.arm()

    def _may_dispatch(self) -> bool:
        """Whether the lease is held and the upstream's clock offset is known.

        The deadline on the upstream's clock fences each request: the upstream does
        not start it later. A new owner knows the clock offset only after the first
        probe answer, so requests wait for it.
        """
        now_s = self._now_s()
        return (
            not self._paused
            and self._shard.lease_remaining_s() > 0
            and self.health.upstream_clock_ms(now_s) is not None
        )

    def close(self) -> None:
        """Stop for good: no request is answered or dispatched any more."""
        self._paused = self._expiry.is_paused = True
        self._awaiting_retry.clear()
        for request in list(self._in_flight.requests):
            self._in_flight.release(request, answered=False)
        self._expiry.cancel()

    def reconfigure(self, service: Service, upstream: Upstream) -> None:
        """Apply the service and the upstream of a newer configuration."""
        self.service = service
        self.upstream = self._sender.upstream = upstream
        self.health.slow_start_s = service.slow_start_s
        self.admission.reconfigure(service, upstream)
        self.dispatch_queued()

    def pressure(self) -> float:
        """The queueing pressure from 0 to 1; 1 if the upstream is down or shedding."""
        if self.health.is_down or self.health.is_shedding:
            return 1.0
        return self.admission.pressure()

    def pause(self) -> None:
        """Stop dispatching; requests in flight continue.

        Requests that wait for a retry are queued at once, so that a hand-over finds
        every request either in the queue or in flight.
        """
        self._paused = self._expiry.is_paused = True
        for request in list(self._awaiting_retry):
            self._requeue_for_retry(request)

    def resume(self) -> None:
        """Dispatch again after ``pause``."""
        self._paused = self._expiry.is_paused = False
        self.dispatch_queued()

    def remove_open_requests(self) -> list[Request]:
        """Remove and return the requests without a final answer.

        Requires a paused dispatcher with nothing in flight: a request that is handed
        over must not run under this owner any more.
        """
        check_invariant(
            self._paused and not self._in_flight,
            "open_requests_not_in_flight",
            upstream=self.upstream.upstream_id,
        )
        requests = list(self._open_requests.values())
        self._open_requests.clear()
        while self._queue:
            self._queue.pop()
        return requests

    def requeue(self, request: Request) -> None:
        """Queue a request that was removed here or at a former owner."""
        request.record.state = RequestState.QUEUED
        self._duplicates.put(request.key, request.record)
        self._accept(request)

    def _admit(self, flow_key, caller_id, head, payload) -> None:
        request = self._new_request(flow_key, caller_id, head, payload)
        self._duplicates.put(request.key, request.record)
        refused = self._refusal_on_arrival(caller_id)
        if refused is not None:
            self._completion.finish_refused(request, refused)
            return
        self._accept(request)

    def _accept(self, request: Request) -> None:
        """Queue an admitted request, after recording it at the backup if it must be."""
        self._open_requests[request.key] = request
        if request.head.is_idempotent:
            self._enqueue(request)
        else:
            self._shard.record_at_backup(
                request, lambda recorded: self._on_recorded_at_backup(request, recorded)
            )

    def _refusal_on_arrival(self, caller_id: CallerId) -> Refused | None:
        """The refusal of a new request by policy or admission; None if admitted."""
        reason = self._policy.early_refusal_reason(self.service.service_id)
        if reason is not None:
            return self.admission.make_refusal(reason)
        return self.admission.refusal_for(caller_id)

    def _on_recorded_at_backup(self, request: Request, recorded: bool) -> None:
        if request.record.state is not RequestState.QUEUED:
            # The caller has cancelled the request in the meantime.
            return
        if recorded:
            request.record.state = RequestState.RECORDED
            self._enqueue(request)
        else:
            self._completion.finish_refused(request, Refused(Reason.NO_BACKUP))

    def _enqueue(self, request: Request) -> None:
        if self.health.is_down:
            self._refuse(request, Reason.UPSTREAM_DOWN)
            return
        self._queue.push(request)
        self.dispatch_queued()
        overflow = self.admission.overflow_request()
        if overflow is not None:
            self._queue.remove(overflow)
            self._refuse(overflow, Reason.QUEUE_FULL)

    def _on_health_change(self, upstream_id: UpstreamId, event: HealthEvent) -> None:
        if event is HealthEvent.DOWN:
            while self._queue:
                self._refuse(self._queue.pop(), Reason.UPSTREAM_DOWN)
        elif event is HealthEvent.UP:
            self.dispatch_queued()

    def _cancel(self, flow_key: FlowKey, head: CoapHeader) -> bool:
        """Cancel a request for its caller; False if it is not open here."""
        request = self._open_requests.get(RequestKey(flow_key, head.message_id))
        if request is None:
            return False
        if request in self._in_flight:
            self._in_flight.release(request, answered=False)
            self._in_flight.send_cancel(request)
            self._completion.finish_unknown(request, Reason.CANCELLED)
            self.dispatch_queued()
        else:
            self._queue.remove(request)
            self._awaiting_retry.discard(request)
            self._refuse(request, Reason.CANCELLED)
        return True

    def _new_request(self, flow_key, caller_id, head, payload) -> Request:
        now_s = self._now_s()
        record = RequestRecord(RequestState.QUEUED, self.upstream.upstream_id, now_s)
        deadline_s = now_s + self.service.deadline_ms / 1000
        return Request(flow_key, caller_id, head, payload, now_s, deadline_s, record)

    def _answer_duplicate(self, flow_key: FlowKey, record: RequestRecord) -> None:
        # A duplicate of a request in progress gets no empty ACK. It would stop the
        # caller's retransmissions, and a lost answer would not be requested again.
        if record.state in FINAL_STATES:
            self._answer(flow_key, record.answer)

    def _has_free_slot(self) -> bool:
        return len(self._in_flight) < min(
            self.upstream.slots, self.health.allowed_in_flight(self.upstream.slots)
        )

    def _handle_upstream_refusal(
        self, request: Request, head: CoapHeader, payload: bytes
    ) -> None:
        self._in_flight.release(request, answered=True)
        self.health.record_refusal()
        # A separate response does not identify the dispatch that it answers, and one of
        # two copies may have run although the other was refused.
        if request.retransmitted or (
            request.dispatches > 1 and head.message_type is not MessageType.ACK
        ):
            retry_after_s = 60.0 if head.max_age_s is None else head.max_age_s
            self._completion.finish_unknown(
                request, Reason.UPSTREAM_SHED, retry_after_s
            )
            return
        request.may_have_run = False
        if self._schedule_retry(request):
            return
        self._completion.finish(
            request, RequestState.REFUSED, payload_for_caller(request, head, payload)
        )

    def _schedule_retry(self, request: Request) -> bool:
        """Schedule a retry of a refused request; False if it may not be retried."""
        delay_s = (
            None if self._paused else self._retry_policy.next_retry_delay_s(request)
        )
        if delay_s is None:
            return False
        request.record.state = RequestState.QUEUED
        self._awaiting_retry.add(request)
        asyncio.get_running_loop().call_later(delay_s, self._requeue_for_retry, request)
        return True

    def _requeue_for_retry(self, request: Request) -> None:
        if request in self._awaiting_retry:
            self._awaiting_retry.remove(request)
            # The expiry timer checks requests in the order in which they were queued.
            # There, this one is now the last despite its earlier deadline.
            wait_s = self.admission.latest_dispatch_s(request) - self._now_s()
            asyncio.get_running_loop().call_later(
                max(MIN_EXPIRY_WAIT_S, wait_s), self._expire_retry, request
            )
            self._enqueue(request)

    def _expire_retry(self, request: Request) -> None:
        if not self._paused and self._queue.remove(request):
            self._refuse(request, Reason.DEADLINE)

    def _refuse(self, request: Request, reason: Reason) -> None:
        self._completion.finish_refused(request, self.admission.make_refusal(reason))

    def _now_s(self) -> float:
        return self._environment.clock.now_s()
