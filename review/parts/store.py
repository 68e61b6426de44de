"""A stand-in of the platform's store.

Writes and plain reads are linearizable. A read with ``serializable`` = 1 is served by
one of several replicas, each of which is a certain time behind; the calls of one
listing may reach different replicas, since each page is a call of its own.
"""

import base64
import json
import random
import threading
import time
from collections import deque
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 50
HISTORY_S = 20.0


class _Version(NamedTuple):
    at_s: float
    revision: int
    items: dict[str, tuple[bytes, int]]


class Store:
    """Items with revisions, served over HTTP at a free port of ``ip``."""

    def __init__(self, ip: str, replica_lags_s: tuple[float, ...] = (0.0,)):
        self._lags_s = replica_lags_s
        self._rng = random.Random(1)
        self._changed = threading.Condition()
        self._versions = deque([_Version(time.monotonic(), 1, {})])
        self._events: deque[tuple[float, dict]] = deque()
        self.counts = {"kv-key": 0, "kv-range": 0, "kv-watch": 0, "stale": 0}
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                parts = urlsplit(self.path)
                query = {
                    name: values[0] for name, values in parse_qs(parts.query).items()
                }
                status, body = store._answer(parts.path.lstrip("/"), query)
                data = json.dumps(body).encode()
                try:
                    self.send_response(status)
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Content-Length", str(len(data)))
                    self.send_header("Store-Era", "1")
                    self.end_headers()
                    self.wfile.write(data)
                except OSError:
                    # The caller has given up.
                    self.close_connection = True

            def log_message(self, *arguments):
                pass

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                pass

        self._server = Server((ip, 0), Handler)
        self.address = f"{ip}:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()

    def put(self, key: str, value: dict) -> int:
        return self._write(key, json.dumps(value).encode())

    def remove(self, key: str) -> int:
        return self._write(key, None)

    def _write(self, key: str, data: bytes | None) -> int:
        with self._changed:
            now_s = time.monotonic()
            newest = self._versions[-1]
            revision = newest.revision + 1
            items = dict(newest.items)
            if data is None:
                items.pop(key, None)
                event = {"key": key, "revision": revision, "tombstone": True}
            else:
                items[key] = (data, revision)
                event = _item(key, items[key])
            self._versions.append(_Version(now_s, revision, items))
            self._events.append((now_s, event))
            while self._versions[1].at_s < now_s - HISTORY_S:
                self._versions.popleft()
            while self._events[0][0] < now_s - HISTORY_S:
                self._events.popleft()
            self._changed.notify_all()
            return revision

    def _answer(self, call: str, query: dict[str, str]) -> tuple[int, dict]:
        self.counts[call] = self.counts.get(call, 0) + 1
        if call == "kv-key":
            return self._read_key(query["key"])
        if call == "kv-range":
            return 200, self._read_range(query)
        if call == "kv-watch":
            return self._watch(query)
        return 404, {}

    def _read_key(self, key: str) -> tuple[int, dict]:
        version = self._versions[-1]
        if key not in version.items:
            return 404, {"store_revision": version.revision}
        item = _item(key, version.items[key])
        return 200, {**item, "store_revision": version.revision}

    def _read_range(self, query: dict[str, str]) -> dict:
        version = self._version_for(query.get("serializable") == "1")
        prefix, after = query["prefix"], query.get("after", "")
        keys = sorted(
            key for key in version.items if key.startswith(prefix) and key > after
        )
        return {
            "items": [_item(key, version.items[key]) for key in keys[:PAGE_ITEMS]],
            "truncated": len(keys) > PAGE_ITEMS,
            "store_revision": version.revision,
        }

    def _version_for(self, is_stale: bool) -> _Version:
        with self._changed:
            if not is_stale:
                return self._versions[-1]
            self.counts["stale"] += 1
            until_s = time.monotonic() - self._rng.choice(self._lags_s)
            found = self._versions[0]
            for version in self._versions:
                if version.at_s > until_s:
                    break
                found = version
            return found

    def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        prefix, after = query["prefix"], int(query["after"])
        end_s = time.monotonic() + int(query["wait_ms"]) / 1000.0
        with self._changed:
            while True:
                if after + 1 < self._versions[0].revision:
                    return 410, {}
                events = [
                    event
                    for _, event in self._events
                    if event["revision"] > after and event["key"].startswith(prefix)
                ]
                rest_s = end_s - time.monotonic()
                if events or rest_s <= 0:
                    revision = self._versions[-1].revision
                    return 200, {"events": events, "store_revision": revision}
                self._changed.wait(rest_s)


def _item(key: str, stored: tuple[bytes, int]) -> dict:
    data, revision = stored
    return {
        "key": key,
        "value": base64.b64encode(data).decode(),
        "revision": revision,
        "create_revision": revision,
        "lease": 0,
    }
