"""A stand-in of the platform's store, over HTTP/1.1.

It follows PROTOCOL.md: linearizable reads, pages of at most 500 items or 1 MB, watches
with long polls, and serializable reads that may be older.
"""

import asyncio
import base64
import json
import time
from typing import NamedTuple
from urllib.parse import parse_qs

MAX_PAGE_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000
PHRASES = {200: "OK", 400: "Bad Request", 404: "Not Found", 410: "Gone"}


class Item(NamedTuple):
    """A value and the revisions of its last change and its creation."""

    value: bytes
    revision: int
    create_revision: int


class BadRequest(ValueError):
    """A request that is no HTTP request, or lacks a parameter."""


class Store:
    """Items in memory; ``lag_s`` is how old a serializable read is."""

    def __init__(self, lag_s: float = 0.0):
        self.revision = 10
        self.items: dict[str, Item] = {}
        # Read calls as (seconds, target, status), for the record of a case.
        self.calls: list[tuple[float, str, int]] = []
        self._lag_s = lag_s
        self._events: list[dict] = []
        # Older states for serializable reads: (time of the change, revision, items).
        self._copies: list[tuple[float, int, dict[str, Item]]] = [(0.0, 10, {})]
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, ip: str) -> str:
        """Listen on a free port; return the address as text."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        return f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def put(self, key: str, value: dict | bytes) -> float:
        """Write a value; return the time of the acknowledgement."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        created = self.revision if known is None else known.create_revision
        self.items[key] = Item(data, self.revision, created)
        self._note({**self._encode(key, self.items[key])})
        return time.monotonic()

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._note({"key": key, "revision": self.revision, "tombstone": True})

    def _note(self, event: dict) -> None:
        now_s = time.monotonic()
        self._events.append(event)
        self._copies.append((now_s, self.revision, dict(self.items)))
        while len(self._copies) > 2 and self._copies[1][0] < now_s - self._lag_s - 1.0:
            self._copies.pop(0)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    @staticmethod
    def _encode(key: str, item: Item) -> dict:
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "create_revision": item.create_revision,
            "lease": 0,
        }

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                status, body = await self._answer(head)
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} {PHRASES[status]}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
                if status == 400:
                    break
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, head: bytes) -> tuple[int, dict]:
        line = head.split(b"\r\n", 1)[0].decode("latin-1")
        try:
            status, body = await self._route(line)
        except BadRequest as error:
            status, body = 400, {"error": str(error)}
        self.calls.append((time.monotonic(), line, status))
        return status, body

    async def _route(self, line: str) -> tuple[int, dict]:
        # RFC 9112: a request line is three words, so no target holds a space.
        words = line.split(" ")
        if len(words) != 3 or words[0] != "GET":
            raise BadRequest(f"malformed request line: {line[:120]!r}")
        path, _, query = words[1].partition("?")
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        try:
            if path == "/kv-key":
                return self._read_key(fields["key"])
            if path == "/kv-range":
                is_stale = fields.get("serializable") == "1"
                return self._read_page(
                    fields["prefix"], fields.get("after", ""), is_stale
                )
            if path == "/kv-watch":
                return await self._watch(
                    fields["prefix"], int(fields["after"]), int(fields["wait_ms"])
                )
        except KeyError as error:
            raise BadRequest(f"missing {error}") from error
        return 404, {}

    def _read_key(self, key: str) -> tuple[int, dict]:
        item = self.items.get(key)
        if item is None:
            return 404, {"store_revision": self.revision}
        return 200, {**self._encode(key, item), "store_revision": self.revision}

    def _read_page(self, prefix: str, after: str, is_stale: bool) -> tuple[int, dict]:
        revision, items = self.revision, self.items
        if is_stale:
            revision, items = self._stale_copy()
        keys = sorted(key for key in items if key.startswith(prefix) and key > after)
        page, size = [], 0
        for key in keys[:MAX_PAGE_ITEMS]:
            encoded = self._encode(key, items[key])
            size += len(json.dumps(encoded))
            if page and size > MAX_PAGE_BYTES:
                break
            page.append(encoded)
        body = {
            "items": page,
            "truncated": len(page) < len(keys),
            "store_revision": revision,
        }
        return 200, body

    def _stale_copy(self) -> tuple[int, dict[str, Item]]:
        until_s = time.monotonic() - self._lag_s
        older = [copy for copy in self._copies if copy[0] <= until_s]
        _, revision, items = older[-1] if older else self._copies[0]
        return revision, items

    async def _watch(self, prefix: str, after: int, wait_ms: int) -> tuple[int, dict]:
        end_s = time.monotonic() + wait_ms / 1000.0
        while True:
            changed = self._changed
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            rest_s = end_s - time.monotonic()
            if events or rest_s <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), rest_s)
            except TimeoutError:
                continue
