"""A stand-in of the platform's store: reads, stale reads and watches over HTTP."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 500
# Enough for the changes of some seconds.
MAX_COPIES = 400


class Store:
    """Items with revisions; a stale read is ``stale_s`` behind.

    The operator and the backends write with ``put`` and ``remove``, whose return is the
    store's acknowledgement.
    """

    def __init__(self):
        self.epoch = 1
        self.stale_s = 0.0
        # What the store held after each change, with its time.
        self._copies: list[tuple[float, int, dict[str, dict]]] = []
        self.calls: list[tuple[float, str, str]] = []
        self._revision = 1
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._changed = asyncio.Event()
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self, ip: str) -> None:
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        self._server.close()

    def put(self, key: str, value: dict | bytes) -> None:
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self._revision,
            "create_revision": self._revision,
            "lease": 0,
        }
        if key in self._items:
            item["create_revision"] = self._items[key]["create_revision"]
        self._items[key] = item
        self._record(item)

    def remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            event = {"key": key, "revision": self._revision, "tombstone": True}
            self._record(event)

    def _record(self, event: dict) -> None:
        self._events.append(event)
        self._copies.append((time.monotonic(), self._revision, dict(self._items)))
        del self._copies[:-MAX_COPIES]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                status, body = await self._answer(line.split()[1].decode())
                data = json.dumps(body).encode()
                head = (
                    f"HTTP/1.1 {status} {'OK' if status == 200 else 'No'}\r\n"
                    f"Content-Type: application/json\r\nStore-Era: {self.epoch}\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, IndexError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, target: str) -> tuple[int, dict]:
        parts = urlsplit(target)
        fields = {
            name: values[0]
            for name, values in parse_qs(parts.query, errors="surrogateescape").items()
        }
        if parts.path == "/kv-key":
            item = self._items.get(fields["key"])
            revision = {"store_revision": self._revision}
            return (404, revision) if item is None else (200, {**item, **revision})
        if parts.path == "/kv-range":
            is_stale = fields.get("serializable") == "1"
            return 200, self._page(fields["prefix"], fields.get("after", ""), is_stale)
        if parts.path == "/kv-watch":
            return await self._watch(fields)
        return 404, {}

    def _page(self, prefix: str, after: str, is_stale: bool) -> dict:
        revision, items = self._stale_copy() if is_stale else self._now()
        keys = sorted(key for key in items if key.startswith(prefix))
        keys = [key for key in keys if key > after]
        return {
            "items": [items[key] for key in keys[:PAGE_ITEMS]],
            "truncated": len(keys) > PAGE_ITEMS,
            "store_revision": revision,
        }

    def _now(self) -> tuple[int, dict[str, dict]]:
        return self._revision, self._items

    def _stale_copy(self) -> tuple[int, dict[str, dict]]:
        until_s = time.monotonic() - self.stale_s
        past = [copy for copy in self._copies if copy[0] <= until_s]
        return past[-1][1:] if past else self._now()

    async def _watch(self, fields: dict[str, str]) -> tuple[int, dict]:
        after, prefix = int(fields["after"]), fields["prefix"]
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(fields["wait_ms"]) / 1000.0
        if after > self._revision:
            return 410, {}
        while True:
            changed = self._changed
            events = [
                event
                for event in self._events
                if event["key"].startswith(prefix) and event["revision"] > after
            ]
            left_s = end_s - loop.time()
            if events or left_s <= 0:
                return 200, {"events": events, "store_revision": self._revision}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue
