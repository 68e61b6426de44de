"""Dispatch of requests to one upstream by its owner."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable

from . import coapcodec, proxyheader
from .coapcodec import CoapHead, MessageType
from .config import Service, Upstream
from .duplicates import (
    FINAL_STATES,
    DuplicateTable,
    RequestKey,
    RequestRecord,
    RequestState,
)
from .environment import Environment
from .exceptions import check_invariant
from .health import UpstreamHealth
from .ids import CallerId, FlowKey
from .outcomes import OutcomeUnknown, Reason, Refused
from .queueing import FairQueue, Request

# A non-idempotent request is not sent with less lease left than this, since the
# upstream would refuse most of them for their short deadline.
MIN_LEASE_S = 0.05
# Time an answer may take on the network beyond the deadline given to the upstream.
ANSWER_GRACE_S = 0.1


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
        self._queue = FairQueue()
        self._in_flight: dict[RequestKey, Request] = {}
        self._timers: dict[RequestKey, asyncio.TimerHandle] = {}
        self._paused = False

    @property
    def in_flight(self) -> int:
        return len(self._in_flight)

    @property
    def queued(self) -> int:
        return len(self._queue)

    def handle(self, flow_key: FlowKey, caller_id: CallerId, payload: bytes) -> None:
        """Take a datagram of a caller whose flow is open on this upstream."""
        head = coapcodec.read_head(payload)
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
        request = self._match(flow_key, head)
        if request is None:
            self._environment.metrics.count("dispatch.late_answers")
            return
        self._release(request)
        if head.is_refusal:
            self._finish(request, RequestState.REFUSED, payload)
        else:
            self.health.succeeded(self._now_s() - request.dispatched_s)
            self._finish(request, RequestState.ANSWERED, payload)
        self.pump()

    def pump(self) -> None:
        """Dispatch queued requests while slots are free."""
        while self._queue and not self._paused and self._has_free_slot():
            request = self._queue.pop()
            if self._now_s() >= request.deadline_s:
                self._finish_refused(request, Refused(Reason.DEADLINE))
            else:
                self._dispatch(request)

    def reconfigure(self, service: Service, upstream: Upstream) -> None:
        """Take the service and upstream of a newer configuration."""
        self.service = service
        self.upstream = upstream
        self.pump()

    def pause(self) -> None:
        """Stop dispatching; requests in flight go on."""
        self._paused = True

    def _admit(self, flow_key, caller_id, head, payload) -> None:
        request = self._new_request(flow_key, caller_id, head, payload)
        self._duplicates.put(request.key, request.record)
        if head.is_idempotent:
            self._enqueue(request)
        else:
            self._gate.record_at_backup(
                request, lambda recorded: self._recorded(request, recorded)
            )

    def _recorded(self, request: Request, recorded: bool) -> None:
        if recorded:
            request.record.state = RequestState.RECORDED
            self._enqueue(request)
        else:
            self._finish_refused(request, Refused(Reason.NO_BACKUP))

    def _enqueue(self, request: Request) -> None:
        self._queue.push(request)
        self.pump()

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
        deadline_s = request.deadline_s
        now_s = self._now_s()
        if not request.head.is_idempotent:
            lease_s = self._gate.lease_remaining_s()
            if lease_s < MIN_LEASE_S:
                self._finish_refused(request, Refused(Reason.NO_LEASE))
                return
            deadline_s = min(deadline_s, now_s + lease_s)
        header = proxyheader.make_header(request.flow_key)
        upstream_deadline_ms = self.health.upstream_clock_ms(deadline_s)
        if upstream_deadline_ms is not None:
            header = proxyheader.with_deadline(header, upstream_deadline_ms)
        elif not request.head.is_idempotent:
            # Without the upstream's clock a delayed send could not be fenced.
            self._finish_refused(request, Refused(Reason.UPSTREAM_UNREACHABLE))
            return
        request.record.state = RequestState.DISPATCHED
        request.dispatched_s = now_s
        self._in_flight[request.key] = request
        check_invariant(
            len(self._in_flight) <= self.upstream.slots,
            "slots_not_exceeded",
            upstream=self.upstream.upstream_id,
        )
        self._timers[request.key] = asyncio.get_running_loop().call_later(
            deadline_s - now_s + ANSWER_GRACE_S, self._time_out, request
        )
        self._send(header + request.payload)

    def _match(self, flow_key: FlowKey, head: CoapHead) -> Request | None:
        if head.message_type is MessageType.ACK:
            request = self._in_flight.get(RequestKey(flow_key, head.message_id))
            if request is not None and request.head.token == head.token:
                return request
            return None
        for request in self._in_flight.values():
            if request.flow_key == flow_key and request.head.token == head.token:
                return request
        return None

    def _time_out(self, request: Request) -> None:
        if request.key not in self._in_flight:
            return
        self._release(request)
        self.health.failed()
        cancel = proxyheader.with_cancel(proxyheader.make_header(request.flow_key))
        self._send(cancel + request.payload)
        self._finish_unknown(request, Reason.TIMEOUT)
        self.pump()

    def _release(self, request: Request) -> None:
        del self._in_flight[request.key]
        self._timers.pop(request.key).cancel()

    def _finish_refused(self, request: Request, outcome: Refused) -> None:
        check_invariant(
            request.record.state is not RequestState.DISPATCHED,
            "not_run_was_not_dispatched",
            upstream=self.upstream.upstream_id,
        )
        answer = coapcodec.refusal(request.head, outcome)
        self._finish(request, RequestState.REFUSED, answer)

    def _finish_unknown(self, request: Request, reason: Reason) -> None:
        answer = coapcodec.outcome_unknown(request.head, OutcomeUnknown(reason))
        self._finish(request, RequestState.UNKNOWN, answer)

    def _finish(self, request: Request, state: RequestState, answer: bytes) -> None:
        check_invariant(
            request.record.state not in FINAL_STATES,
            "one_final_answer",
            upstream=self.upstream.upstream_id,
        )
        request.record.state = state
        request.record.answer = answer
        self._gate.finished(request)
        self._answer(request.flow_key, answer)
        self._environment.metrics.count(f"requests.{state.value}")

    def _now_s(self) -> float:
        return self._environment.clock.now_s()
