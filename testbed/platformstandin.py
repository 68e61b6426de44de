"""A stand-in of the users' platform: its store over HTTP, packets and settings.

It speaks the published formats, so that the adapter and whole host processes can be
tested on loopback addresses without the users' bench.
"""

import asyncio
import base64
import json
import random
import struct
import threading
import time
from enum import Enum
from typing import NamedTuple

from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

HEADER = struct.Struct(">IIHIHHIIBBI")
SYN, ACK, FIN, RST = 8, 16, 2, 64
PAGE_ITEMS = 50
MAX_PAGE_BYTES = 1_000_000
TRICKLE_PARTS = 5
TRICKLE_PAUSE_S = 0.3


class StoreMode(Enum):
    """How the store treats calls."""

    NORMAL = "normal"
    SILENT = "silent"
    REFUSING = "refusing"
    GARBLED = "garbled"
    # Answers come in parts, as over a thin link.
    TRICKLING = "trickling"


class _Copy(NamedTuple):
    """What the store held from ``taken_at_s`` until the next change."""

    taken_at_s: float
    revision: int
    items: dict[str, tuple[bytes, int]]
    events: int


class StandInStore:
    """Items with revisions, served from a thread of its own.

    ``epoch`` is sent with each answer; it counts the restores from 1. A key stands for
    the bytes that it is made of, in which lone surrogates are bytes that are no UTF-8.
    """

    def __init__(self, ip: str, port: int = 0):
        self.mode = StoreMode.NORMAL
        # How many items a page holds at most, and the paths whose calls fail.
        self.page_items = PAGE_ITEMS
        self.refused_paths: set[str] = set()
        # How far the replicas are behind. Each page of a stale read is of one of them.
        self.replica_lags_s: tuple[float, ...] = (0.0,)
        self.history_from = 0
        self.calls: list[str] = []
        self._revision = 1
        self._items: dict[str, tuple[bytes, int]] = {}
        self.epoch = 1
        # Every write and removal, in order; a watch returns all that it has missed.
        self._events: list[dict] = []
        self._copies = [_Copy(time.monotonic(), self._revision, {}, 0)]
        # The index of the first copy that replicas of the present epoch may show.
        self._first_replica_copy = 0
        self._loop = asyncio.new_event_loop()
        self._changed: asyncio.Event | None = None
        started = threading.Event()
        self._thread = threading.Thread(
            target=self._serve, args=(ip, port, started), daemon=True
        )
        self._thread.start()
        started.wait()

    def put(self, key: str, value: dict | bytes) -> None:
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._call(self._put, key, data)

    def remove(self, key: str) -> None:
        self._call(self._put, key, None)

    def keys(self, prefix: str) -> set[str]:
        return {key for key in self._items if key.startswith(prefix)}

    def restore(self, age_s: float) -> None:
        """Go back to the copy from ``age_s`` ago; what was written since is lost."""
        self._call(self._restore, age_s)

    def close(self) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def item(self, key: str) -> dict | None:
        return _item(key, self._items[key]) if key in self._items else None

    def page(self, prefix: str, after: str, is_stale: bool = False) -> dict:
        copy = self._replica_copy() if is_stale else self._copies[-1]
        keys = sorted(
            (
                key
                for key in copy.items
                if key.startswith(prefix) and _key_bytes(key) > _key_bytes(after)
            ),
            key=_key_bytes,
        )
        items, size = [], 0
        for key in keys[: self.page_items]:
            item = _item(key, copy.items[key])
            size += len(item["value"])
            if items and size > MAX_PAGE_BYTES:
                break
            items.append(item)
        return {
            "items": items,
            "truncated": len(items) < len(keys),
            "store_revision": copy.revision,
        }

    def _replica_copy(self) -> _Copy:
        """What a replica holds that is one of the lags behind."""
        visible_until_s = time.monotonic() - random.choice(self.replica_lags_s)
        copies = self._copies[self._first_replica_copy :]
        past = [copy for copy in copies if copy.taken_at_s <= visible_until_s]
        return past[-1] if past else copies[0]

    async def wait_events(self, prefix: str, after: int, wait_s: float) -> dict | None:
        """Return the changes after a revision; None if the store has not had it."""
        end_s = self._loop.time() + wait_s
        while True:
            if not self.history_from <= after <= self._revision:
                return None
            events = [
                event
                for event in self._events
                if event["key"].startswith(prefix) and event["revision"] > after
            ]
            rest_s = end_s - self._loop.time()
            if events or rest_s <= 0:
                return {"events": events, "store_revision": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), rest_s)
            except TimeoutError:
                continue

    @property
    def revision(self) -> int:
        return self._revision

    def _put(self, key: str, data: bytes | None) -> None:
        self._revision += 1
        if data is None:
            self._items.pop(key, None)
            event = {"key": key, "revision": self._revision, "tombstone": True}
        else:
            self._items[key] = (data, self._revision)
            event = self.item(key)
        self._events.append(event)
        self._copies.append(
            _Copy(
                time.monotonic(),
                self._revision,
                dict(self._items),
                len(self._events),
            )
        )
        self._wake_watches()

    def _restore(self, age_s: float) -> None:
        taken_before_s = time.monotonic() - age_s
        while len(self._copies) > 1 and self._copies[-1].taken_at_s > taken_before_s:
            self._copies.pop()
        self._revision = self._copies[-1].revision
        self._items = dict(self._copies[-1].items)
        del self._events[self._copies[-1].events :]
        self._first_replica_copy = len(self._copies) - 1
        self.epoch += 1
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed.clear()

    def _call(self, function, *arguments) -> None:
        done = threading.Event()

        def run():
            function(*arguments)
            done.set()

        self._loop.call_soon_threadsafe(run)
        done.wait()

    def _serve(self, ip: str, port: int, started: threading.Event) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._listen(ip, port))
        started.set()
        self._loop.run_forever()
        self._server.stop()

    async def _listen(self, ip: str, port: int) -> None:
        self._changed = asyncio.Event()
        routes = [
            (f"/kv-{name}", handler, {"store": self})
            for name, handler in (
                ("key", _KeyHandler),
                ("range", _RangeHandler),
                ("watch", _WatchHandler),
            )
        ]
        self._server = HTTPServer(
            Application(routes, store=self, log_function=lambda _: None)
        )
        self._server.listen(port, ip)
        sockets = list(self._server._sockets.values())
        self.address = f"{ip}:{sockets[0].getsockname()[1]}"


class _StoreHandler(RequestHandler):
    def initialize(self, store: StandInStore):
        self.store = store

    def set_default_headers(self):
        # Called before ``initialize``, and again for error responses.
        self.set_header("Store-Era", self.application.settings["store"].epoch)

    async def get(self):
        self.store.calls.append(self.request.uri)
        if self.store.mode is StoreMode.SILENT:
            await asyncio.sleep(3600)
        elif (
            self.store.mode is StoreMode.REFUSING
            or self.request.path in self.store.refused_paths
        ):
            self.send_error(503)
        elif self.store.mode is StoreMode.GARBLED:
            self.finish(b"\x00not json")
        else:
            await self.answer()

    def value_of(self, name: str, default: str = "") -> str:
        """Return a field of the query as it was sent."""
        values = self.request.query_arguments.get(name)
        return values[0].decode(errors="surrogateescape") if values else default

    async def give(self, body: dict):
        data = json.dumps(body).encode()
        self.set_header("Content-Length", str(len(data)))
        is_trickling = self.store.mode is StoreMode.TRICKLING
        size = len(data) // TRICKLE_PARTS + 1 if is_trickling else len(data)
        for start in range(0, len(data), size):
            self.write(data[start : start + size])
            try:
                await self.flush()
            except StreamClosedError:
                # The client has given up, or its link was cut.
                return
            if is_trickling:
                await asyncio.sleep(TRICKLE_PAUSE_S)


class _KeyHandler(_StoreHandler):
    async def answer(self):
        item = self.store.item(self.value_of("key"))
        if item is None:
            self.send_error(404)
        else:
            await self.give({**item, "store_revision": self.store.revision})


class _RangeHandler(_StoreHandler):
    async def answer(self):
        is_stale = self.value_of("serializable") == "1"
        page = self.store.page(
            self.value_of("prefix"), self.value_of("after"), is_stale
        )
        await self.give(page)


class _WatchHandler(_StoreHandler):
    async def answer(self):
        after = int(self.value_of("after"))
        wait_s = int(self.value_of("wait_ms")) / 1000
        prefix = self.value_of("prefix")
        events = await self.store.wait_events(prefix, after, wait_s)
        if events is None:
            self.send_error(410)
        else:
            self.set_default_headers()
            await self.give(events)


def _item(key: str, stored: tuple[bytes, int]) -> dict:
    value, revision = stored
    return {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "revision": revision,
        "create_revision": revision,
        "lease": 0,
    }


def _key_bytes(key: str) -> bytes:
    return key.encode(errors="surrogateescape")


def pack_packet(
    source: str,
    service: str,
    flags: int,
    echo: int = 0,
    seq: int = 0,
    ack: int = 0,
    data: bytes = b"",
) -> bytes:
    """A packet between two addresses of the form IP:PORT."""
    (src, sport), (dst, dport) = map(_numbers, (source, service))
    head = HEADER.pack(
        echo, src, sport, dst, dport, len(data), seq, ack, flags, 0, 0xA1B2C3D5
    )
    return head + data


def _numbers(address: str) -> tuple[int, int]:
    ip, _, port = address.rpartition(":")
    number = int.from_bytes(bytes(map(int, ip.split("."))), "big")
    return number, int(port)


def entry(service: str, address: str, **changes) -> dict:
    """What an upstream writes about itself."""
    made = {
        "service": service,
        "address": address,
        "zone": "zone-a",
        "version": "v1",
        "concurrency": 3,
        "state": "ready",
        "warmup_left_ms": 0,
        "sequence": 4,
        "born": 1_790_000_000_000,
    }
    return {**made, **changes}


def configuration(version: int, *routes: dict) -> dict:
    return {
        "version": version,
        "routes": list(routes),
        "services": [],
        "limits": {"idle_timeout_ms": 15000},
    }


def route(host: str, port: int, service: str, **changes) -> dict:
    made = {"name": "r-1", "host": host, "prefix": f"/{port}/", "service": service}
    return {**made, **changes}


def settings_text(ip: str, store: str, seeds: str = "", **changes: str) -> str:
    """The settings file of one host; a field that is None is left out."""
    fields = {
        "node_name": "frontend-zone-a-1",
        "zone": "zone-a",
        "listen_addrs.datagram_addr": f"{ip}:8172",
        "listen_addrs.ready_addr": f"{ip}:8167",
        "listen_addrs.control": f"{ip}:8166",
        "seeds": seeds,
        "bounds.grace_s": "6",
        "platform.address": store,
        "platform.value_bytes": "1048576",
        "fields.of.later.versions": "1,2",
    }
    fields |= {name.replace("__", "."): value for name, value in changes.items()}
    lines = [f"{name}={value}" for name, value in fields.items() if value is not None]
    return "\n".join(lines) + "\n"
