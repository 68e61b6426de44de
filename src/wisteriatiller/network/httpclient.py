"""An HTTP client that opens a new connection for each request.

An idle connection may be dead without a sign of it, and a duplicated response that
arrives late would be taken for that of the next request on the connection.
"""

import socket
from collections.abc import Callable, Mapping
from enum import Enum
from typing import NamedTuple

from httptools import HttpParserError, HttpResponseParser

from wisteriatiller.ids import Address

from .loop import EventLoop, Timer

RECEIVE_BYTES = 262_144


class FailureReason(Enum):
    """Why a request got no response; the values are written to logs."""

    TIMEOUT = "timeout"
    CLOSED = "closed"
    MALFORMED = "broken"
    TOO_LARGE = "too_large"


class HttpRequest(NamedTuple):
    """A GET request.

    ``timeout_s`` limits the time until the next byte of the response. The whole of a
    large response may take longer over a link of low bandwidth.
    """

    target: str
    timeout_s: float


class HttpResponse(NamedTuple):
    """A complete response; the names of its headers are in lower case."""

    status: int
    body: bytes
    headers: Mapping[str, str]


class HttpFailure(NamedTuple):
    """No complete response was received; the request may have been processed."""

    reason: FailureReason
    detail: str


HttpResult = HttpResponse | HttpFailure


class HttpClient:
    """Sends one request at a time to one address.

    The callback is called from the event loop, never from within ``request``. The next
    request may start after the callback of the previous one was called.
    """

    def __init__(self, loop: EventLoop, address: Address, max_body_bytes: int):
        self._loop = loop
        self._address = address
        self._max_body_bytes = max_body_bytes
        self._socket: socket.socket | None = None
        self._unsent_data = b""
        self._on_result: Callable[[HttpResult], None] | None = None
        self._timer: Timer | None = None
        self._timeout_s = 0.0
        self._deadline_s = 0.0
        self._parser: HttpResponseParser | None = None
        self._body = bytearray()
        self._headers: dict[str, str] = {}
        self._is_complete = False
        # Whether a second response started on the connection.
        self._has_extra_response = False

    def request(
        self, request: HttpRequest, on_result: Callable[[HttpResult], None]
    ) -> None:
        if self._on_result is not None:
            raise RuntimeError("the client has a request in progress")
        self._on_result = on_result
        self._parser = HttpResponseParser(self)
        self._body = bytearray()
        self._headers = {}
        self._is_complete = False
        self._has_extra_response = False
        self._unsent_data = self._encode_request(request)
        self._timeout_s = request.timeout_s
        self._start_timer()
        self._connect()

    def close(self) -> None:
        """Abort a request in progress; its callback is not called."""
        if self._timer is not None:
            self._timer.cancel()
        self._on_result = None
        self._disconnect()

    def on_message_begin(self) -> None:
        """Called by the parser at the start of a response."""
        self._has_extra_response = self._is_complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser with a header of the response."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Called by the parser with a part of the body."""
        self._body += data

    def on_message_complete(self) -> None:
        """Called by the parser at the end of the response."""
        self._is_complete = True

    def _start_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._deadline_s = self._loop.now_s() + self._timeout_s
        self._timer = self._loop.call_later(self._timeout_s, self._on_timeout)

    def _encode_request(self, request: HttpRequest) -> bytes:
        head = f"GET {request.target} HTTP/1.1\r\nHost: {self._address}\r\n\r\n"
        return head.encode()

    def _connect(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            self._socket.connect(self._address)
        except BlockingIOError:
            self._loop.watch(self._socket, None, self._on_writable)
        except OSError as error:
            self._fail_later(FailureReason.CLOSED, str(error))
        else:
            self._on_writable()

    def _on_writable(self) -> None:
        try:
            sent = self._socket.send(self._unsent_data)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self._fail_later(FailureReason.CLOSED, str(error))
            return
        self._unsent_data = self._unsent_data[sent:]
        self._loop.watch(
            self._socket,
            self._on_readable,
            self._on_writable if self._unsent_data else None,
        )

    def _on_readable(self) -> None:
        try:
            data = self._socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(FailureReason.CLOSED, str(error))
            return
        if not data:
            self._fail(
                FailureReason.CLOSED, "connection closed before the end of the response"
            )
            return
        if self._loop.now_s() > self._deadline_s:
            # This process was paused while the response waited in the socket.
            self._on_timeout()
            return
        self._parse(data)

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except HttpParserError as error:
            self._fail(FailureReason.MALFORMED, str(error))
            return
        if self._has_extra_response:
            self._fail(FailureReason.MALFORMED, "unexpected second response")
        elif len(self._body) > self._max_body_bytes:
            self._fail(
                FailureReason.TOO_LARGE, f"body over {self._max_body_bytes} bytes"
            )
        elif self._is_complete:
            self._complete()
        else:
            self._start_timer()

    def _complete(self) -> None:
        response = HttpResponse(
            self._parser.get_status_code(), bytes(self._body), self._headers
        )
        self._body = bytearray()
        self._disconnect()
        self._deliver(response)

    def _on_timeout(self) -> None:
        self._fail(FailureReason.TIMEOUT, f"no data within {self._timeout_s:g} s")

    def _fail_later(self, reason: FailureReason, detail: str) -> None:
        # The callback must not be called before request() returns.
        self._disconnect()
        self._timer.cancel()
        self._timer = self._loop.call_later(0.0, lambda: self._fail(reason, detail))

    def _fail(self, reason: FailureReason, detail: str) -> None:
        self._disconnect()
        self._deliver(HttpFailure(reason, detail))

    def _deliver(self, result: HttpResult) -> None:
        on_result, self._on_result = self._on_result, None
        if self._timer is not None:
            self._timer.cancel()
        if on_result is not None:
            on_result(result)

    def _disconnect(self) -> None:
        if self._socket is not None:
            self._loop.watch(self._socket, None)
            self._socket.close()
            self._socket = None
