"""Requests in flight at one upstream, matched with its responses."""

import asyncio
from collections.abc import Callable, ValuesView

from wisteriatiller.foundation import Environment
from wisteriatiller.ids import FlowKey
from wisteriatiller.transport import CoapHeader, MessageType, proxyheader

from .duplicates import EXCHANGE_LIFETIME_S, DuplicateTable, RequestKey
from .health import UpstreamHealth
from .queueing import Request
from .retries import UpstreamMessageIds, with_message_id


class InFlightRequests:
    """Requests in flight, by the message id under which the upstream knows them."""

    def __init__(
        self,
        environment: Environment,
        duplicates: DuplicateTable,
        health: UpstreamHealth,
        send: Callable[[bytes], None],
    ):
        self._clock = environment.clock
        self._duplicates = duplicates
        self._health = health
        self._send = send
        self._message_ids = UpstreamMessageIds(environment)
        self._requests: dict[RequestKey, Request] = {}
        self._timers: dict[RequestKey, list[asyncio.TimerHandle]] = {}
        # Tokens of requests that ended without an answer, with their expiry time.
        self._abandoned_token_expiry_s: dict[tuple[FlowKey, bytes], float] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, request: Request) -> bool:
        return self._requests.get(_upstream_key(request)) is request

    @property
    def requests(self) -> ValuesView[Request]:
        """A live view of the requests in flight."""
        return self._requests.values()

    def assign_message_id(self, request: Request) -> None:
        """Set the message id for the upstream.

        It is the caller's own id unless the upstream has seen that id before.
        """
        flow_key, message_id = request.key
        if request.dispatches > 0 or self._message_ids.is_allocated(
            flow_key, message_id
        ):
            message_id = self._message_ids.allocate(
                flow_key,
                lambda other: (
                    self._duplicates.get(RequestKey(flow_key, other)) is not None
                ),
            )
        request.upstream_message_id = message_id
        request.retransmitted = False

    def add(self, request: Request) -> None:
        """Register a request under its message id for the upstream."""
        self._requests[_upstream_key(request)] = request

    def set_timers(self, request: Request, timers: list[asyncio.TimerHandle]) -> None:
        """Register timers to be cancelled when the request is released."""
        self._timers[_upstream_key(request)] = timers

    def release(self, request: Request, answered: bool) -> None:
        """Remove a request and cancel its timers.

        If it was not answered, its token is remembered, since a late answer may come.
        """
        key = _upstream_key(request)
        del self._requests[key]
        for timer in self._timers.pop(key):
            timer.cancel()
        if not answered:
            self._expire_abandoned_tokens()
            token_key = (request.flow_key, request.head.token)
            self._abandoned_token_expiry_s.pop(token_key, None)
            self._abandoned_token_expiry_s[token_key] = (
                self._clock.now_s() + EXCHANGE_LIFETIME_S
            )

    def _expire_abandoned_tokens(self) -> None:
        """Drop the tokens, oldest first, for which no late answer can come any more."""
        now_s = self._clock.now_s()
        while self._abandoned_token_expiry_s:
            oldest = next(iter(self._abandoned_token_expiry_s))
            if self._abandoned_token_expiry_s[oldest] > now_s:
                return
            del self._abandoned_token_expiry_s[oldest]

    def find_request(self, flow_key: FlowKey, head: CoapHeader) -> Request | None:
        """The request that a response of the upstream answers; None if unknown.

        A separate response carries only the token. If the caller used that token
        before, for a request that ended without an answer, the response may be a late
        one to that request, so it matches none.
        """
        if head.message_type is MessageType.ACK:
            request = self._requests.get(RequestKey(flow_key, head.message_id))
            if request is not None and request.head.token == head.token:
                return request
            return None
        self._expire_abandoned_tokens()
        if (flow_key, head.token) in self._abandoned_token_expiry_s:
            return None
        for request in self._requests.values():
            if request.flow_key == flow_key and request.head.token == head.token:
                return request
        return None

    def send(self, request: Request, deadline_s: float) -> None:
        """Send a request, with the deadline converted to the upstream's clock."""
        header = proxyheader.make_header(request.flow_key)
        upstream_deadline_ms = self._health.upstream_clock_ms(deadline_s)
        if upstream_deadline_ms is not None:
            header = proxyheader.with_deadline(header, upstream_deadline_ms)
        self._send(header + _payload_for_upstream(request))

    def send_cancel(self, request: Request) -> None:
        """Tell the upstream that nobody waits for the request any more."""
        header = proxyheader.with_cancel(proxyheader.make_header(request.flow_key))
        self._send(header + _payload_for_upstream(request))


def payload_for_caller(request: Request, head: CoapHeader, payload: bytes) -> bytes:
    """A response of the upstream, with the message id that the caller used."""
    if (
        head.message_type is not MessageType.ACK
        or head.message_id == request.head.message_id
    ):
        return payload
    return with_message_id(payload, request.head.message_id)


def _payload_for_upstream(request: Request) -> bytes:
    if request.upstream_message_id == request.head.message_id:
        return request.payload
    return with_message_id(request.payload, request.upstream_message_id)


def _upstream_key(request: Request) -> RequestKey:
    return RequestKey(request.flow_key, request.upstream_message_id)
