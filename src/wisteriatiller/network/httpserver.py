"""A small HTTP server for the pages of a host; it supports GET only."""

import socket
from collections.abc import Callable, Mapping
from typing import NamedTuple

from httptools import HttpParserError, HttpRequestParser

from wisteriatiller.ids import Address

from .loop import EventLoop, Timer

MAX_REQUEST_BYTES = 16_384
MAX_CONNECTIONS = 512
IDLE_TIMEOUT_S = 30.0
# When a zone starts, all of its hosts may connect at once.
BACKLOG = 512
MAX_ACCEPTS_PER_ITERATION = 32

_PHRASES = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed"}


class Page(NamedTuple):
    """The response to a request for a path."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"


# Called with the query string of the request.
PageHandler = Callable[[str], Page]


class HttpServer:
    """Serves pages by path at one address."""

    def __init__(
        self, loop: EventLoop, listen: Address, pages: Mapping[str, PageHandler]
    ):
        self._loop = loop
        self._pages = pages
        self._connections: dict[_Connection, None] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind(listen)
        self._socket.listen(BACKLOG)
        self.address = Address(*self._socket.getsockname())
        loop.watch(self._socket, self._accept)

    def close(self) -> None:
        self._loop.watch(self._socket, None)
        self._socket.close()
        for connection in list(self._connections):
            connection.close()

    def handle_request(self, method: str, target: str) -> Page:
        """Return the response to one request."""
        path, _, query = target.partition("?")
        handler = self._pages.get(path)
        if handler is None:
            return Page(404)
        if method != "GET":
            return Page(405)
        return handler(query)

    def remove_connection(self, connection: "_Connection") -> None:
        self._connections.pop(connection, None)

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            try:
                accepted, _ = self._socket.accept()
            except OSError:
                # No connection is pending, or the client closed it before accept.
                return
            self._add_connection(accepted)

    def _add_connection(self, accepted: socket.socket) -> None:
        if len(self._connections) >= MAX_CONNECTIONS:
            oldest = next(iter(self._connections))
            oldest.close()
        self._connections[_Connection(self._loop, accepted, self)] = None


class _Connection:
    """One accepted connection, with any number of sequential requests."""

    def __init__(self, loop: EventLoop, accepted: socket.socket, server: HttpServer):
        self._loop = loop
        self._socket = accepted
        self._server = server
        self._socket.setblocking(False)
        self._unsent = b""
        self._received_bytes = 0
        self._target = b""
        self._parser = HttpRequestParser(self)
        self._idle_timer: Timer = loop.call_later(IDLE_TIMEOUT_S, self.close)
        loop.watch(self._socket, self._on_readable)

    def close(self) -> None:
        self._idle_timer.cancel()
        self._loop.watch(self._socket, None)
        self._socket.close()
        self._server.remove_connection(self)

    def on_url(self, url: bytes) -> None:
        """Called by the parser with a part of the request target."""
        self._target += url

    def on_message_complete(self) -> None:
        """Called by the parser at the end of a request."""
        method = self._parser.get_method().decode("ascii", "replace")
        page = self._server.handle_request(
            method, self._target.decode("ascii", "replace")
        )
        head = (
            f"HTTP/1.1 {page.status} {_PHRASES.get(page.status, 'Unavailable')}\r\n"
            f"Content-Type: {page.content_type}\r\n"
            f"Content-Length: {len(page.body)}\r\n\r\n"
        )
        self._unsent += head.encode() + page.body
        self._target = b""
        self._received_bytes = 0

    def _on_readable(self) -> None:
        try:
            data = self._socket.recv(MAX_REQUEST_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self._received_bytes += len(data)
        if not data or self._received_bytes > MAX_REQUEST_BYTES:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            self.close()
            return
        self._restart_idle_timer()
        self._send_pending()

    def _restart_idle_timer(self) -> None:
        self._idle_timer.cancel()
        self._idle_timer = self._loop.call_later(IDLE_TIMEOUT_S, self.close)

    def _send_pending(self) -> None:
        if not self._unsent:
            return
        try:
            sent = self._socket.send(self._unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close()
            return
        self._unsent = self._unsent[sent:]
        self._loop.watch(
            self._socket,
            self._on_readable,
            self._send_pending if self._unsent else None,
        )
