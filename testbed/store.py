"""Stand-in of the platform's key-value service.

It answers in the shape of the published Consul KV HTTP API: blocking reads, PUT with
compare-and-swap, and sessions with a TTL::

    python -m testbed.store --listen 127.10.0.2:8500
"""

import argparse
import asyncio
import base64
import collections
import copy
import json
import uuid
from dataclasses import asdict, dataclass, field

import tornado.web

from wisteriatiller.ids import Address

from .web import route, serve, update_faults, wait_for_stop

MAX_VALUE_BYTES = 1024 * 1024
DEFAULT_WAIT_S = 300.0


@dataclass
class StoreFaults:
    """Faults of the key-value service."""

    # The service drops every connection without an answer.
    away: bool = False
    # The service accepts requests and never answers.
    hang: bool = False
    # Each answer is delayed by this much.
    slow_s: float = 0.0
    # So many of the next writes are applied, but their answers are lost.
    lose_answers: int = 0


@dataclass
class Entry:
    """A value with the indexes of the published API."""

    value: bytes
    create_index: int
    modify_index: int
    flags: int = 0
    lock_index: int = 0
    session: str | None = None

    def as_json(self, key: str) -> dict:
        result = {
            "LockIndex": self.lock_index,
            "Key": key,
            "Flags": self.flags,
            "Value": base64.b64encode(self.value).decode(),
            "CreateIndex": self.create_index,
            "ModifyIndex": self.modify_index,
        }
        if self.session:
            result["Session"] = self.session
        return result


@dataclass
class Session:
    """A session; its keys are released or deleted when the TTL passes."""

    session_id: str
    ttl_s: float
    behavior: str
    timer: asyncio.TimerHandle | None = None


@dataclass
class KeyValues:
    """The data, the index of the last change and the waiting reads."""

    entries: dict[str, Entry] = field(default_factory=dict)
    index: int = 1
    sessions: dict[str, Session] = field(default_factory=dict)
    faults: StoreFaults = field(default_factory=StoreFaults)
    counters: collections.Counter = field(default_factory=collections.Counter)
    per_second: dict[str, collections.Counter] = field(
        default_factory=lambda: collections.defaultdict(collections.Counter)
    )
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _snapshot: tuple[dict[str, Entry], int] | None = None

    def count(self, name: str) -> None:
        self.counters[name] += 1
        second = int(asyncio.get_running_loop().time())
        self.per_second[name][second] += 1

    def rates(self) -> dict:
        peaks = {name: max(c.values()) for name, c in self.per_second.items()}
        return {"total": dict(self.counters), "peak_per_second": peaks}

    def key_index(self, key: str) -> int:
        entry = self.entries.get(key)
        return entry.modify_index if entry else self.index

    async def wait_past(self, key: str, index: int, wait_s: float) -> None:
        """Return when the key changes past ``index`` or the wait is over."""
        deadline = asyncio.get_running_loop().time() + wait_s
        seen = self.entries.get(key)
        while not self.faults.away and (
            self.key_index(key) == index
            # A missing key has no index of its own: only its creation counts.
            or (seen is None and key not in self.entries and self.index >= index)
        ):
            rest_s = deadline - asyncio.get_running_loop().time()
            if rest_s <= 0:
                return
            try:
                await asyncio.wait_for(self._changed.wait(), rest_s)
            except TimeoutError:
                return

    def notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes, flags: int = 0) -> Entry:
        self.index += 1
        old = self.entries.get(key)
        entry = Entry(value, old.create_index if old else self.index, self.index, flags)
        if old:
            entry.lock_index, entry.session = old.lock_index, old.session
        self.entries[key] = entry
        self.notify()
        return entry

    def delete(self, key: str) -> None:
        if self.entries.pop(key, None):
            self.index += 1
            self.notify()

    def acquire(self, key: str, value: bytes, session_id: str) -> bool:
        entry = self.entries.get(key)
        if session_id not in self.sessions:
            raise tornado.web.HTTPError(500, reason="invalid session")
        if entry and entry.session not in (None, session_id):
            return False
        fresh = not entry or entry.session is None
        entry = self.put(key, value)
        entry.session = session_id
        entry.lock_index += fresh
        return True

    def release(self, key: str, value: bytes, session_id: str) -> bool:
        entry = self.entries.get(key)
        if not entry or entry.session != session_id:
            return False
        self.put(key, value).session = None
        return True

    def create_session(self, body: dict) -> str:
        session_id = str(uuid.uuid4())
        ttl_s = parse_duration_s(body.get("TTL") or "0s")
        behavior = body.get("Behavior", "release")
        self.sessions[session_id] = Session(session_id, ttl_s, behavior)
        self.renew_session(session_id)
        return session_id

    def renew_session(self, session_id: str) -> Session | None:
        session = self.sessions.get(session_id)
        if session is None:
            return None
        if session.timer:
            session.timer.cancel()
        if session.ttl_s:
            session.timer = asyncio.get_running_loop().call_later(
                session.ttl_s, self.end_session, session_id
            )
        return session

    def end_session(self, session_id: str) -> None:
        session = self.sessions.pop(session_id, None)
        if session is None:
            return
        if session.timer:
            session.timer.cancel()
        for key, entry in list(self.entries.items()):
            if entry.session == session_id:
                if session.behavior == "delete":
                    self.delete(key)
                else:
                    self.put(key, entry.value).session = None

    def change_faults(self, changes: dict) -> dict:
        """Set faults, or act once on ``snapshot``, ``restore`` and ``lapse``."""
        changes = dict(changes or {})
        if changes.pop("snapshot", False):
            self._snapshot = (copy.deepcopy(self.entries), self.index)
        if changes.pop("restore", False):
            entries, self.index = self._snapshot or ({}, 1)
            self.entries = copy.deepcopy(entries)
        lapsed = changes.pop("lapse", None)
        for session_id in list(self.sessions):
            if lapsed in ("all", session_id):
                self.end_session(session_id)
        result = update_faults(self.faults, changes)
        self.notify()
        return result


def parse_duration_s(text: str) -> float:
    """Read a duration such as ``500ms``, ``10s`` or ``5m``."""
    for suffix, factor in (("ms", 0.001), ("s", 1.0), ("m", 60.0)):
        if text.endswith(suffix) and text[: -len(suffix)].replace(".", "").isdigit():
            return float(text[: -len(suffix)]) * factor
    return float(text)


class FaultyHandler(tornado.web.RequestHandler):
    """Applies the faults that concern every request."""

    def initialize(self, data: KeyValues):
        self.data = data

    async def prepare(self):
        faults = self.data.faults
        if faults.away:
            self.drop()
        elif faults.hang:
            await asyncio.sleep(3600)
        elif faults.slow_s:
            await asyncio.sleep(faults.slow_s)

    def drop(self) -> None:
        """Close the connection without an answer."""
        self.request.connection.stream.close()
        raise tornado.web.Finish

    def finish_write(self, result) -> None:
        if self.data.faults.lose_answers > 0:
            self.data.faults.lose_answers -= 1
            self.drop()
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(result))


class KeyHandler(FaultyHandler):
    """``/v1/kv/KEY``."""

    async def get(self, key):
        self.data.count("reads")
        if self.get_query_argument("index", "0") != "0":
            index = int(self.get_query_argument("index"))
            wait = self.get_query_argument("wait", "")
            wait_s = parse_duration_s(wait) if wait else DEFAULT_WAIT_S
            self.data.count("watches")
            await self.data.wait_past(key, index, wait_s)
            if self.data.faults.away:
                self.drop()
        if "recurse" in self.request.query_arguments:
            found = {k: e for k, e in self.data.entries.items() if k.startswith(key)}
            index = max((e.modify_index for e in found.values()), default=0)
        else:
            found = {key: self.data.entries[key]} if key in self.data.entries else {}
            index = self.data.key_index(key)
        self.set_header("X-Consul-Index", str(index or self.data.index))
        if not found:
            self.set_status(404)
            self.finish()
        elif "raw" in self.request.query_arguments:
            self.finish(found[key].value)
        else:
            self.set_header("Content-Type", "application/json")
            self.finish(json.dumps([e.as_json(k) for k, e in sorted(found.items())]))

    def put(self, key):
        self.data.count("writes")
        value = self.request.body
        if len(value) > MAX_VALUE_BYTES:
            raise tornado.web.HTTPError(413, reason="value exceeds 1 MB")
        names = self.request.query_arguments
        query = {name: self.get_query_argument(name) for name in names}
        if "acquire" in query:
            done = self.data.acquire(key, value, query["acquire"])
        elif "release" in query:
            done = self.data.release(key, value, query["release"])
        elif "cas" in query and not self._index_matches(key, int(query["cas"])):
            self.data.count("conflicts")
            done = False
        else:
            self.data.put(key, value, int(query.get("flags", 0)))
            done = True
        self.finish_write(done)

    def delete(self, key):
        self.data.count("writes")
        cas = self.get_query_argument("cas", None)
        done = cas is None or self._index_matches(key, int(cas))
        if done:
            self.data.delete(key)
        self.finish_write(done)

    def _index_matches(self, key: str, index: int) -> bool:
        entry = self.data.entries.get(key)
        return (entry.modify_index if entry else 0) == index


class SessionHandler(FaultyHandler):
    """``/v1/session/create``, ``renew/ID``, ``destroy/ID`` and ``info/ID``."""

    def put(self, action, session_id):
        self.data.count("writes")
        if action == "create":
            body = json.loads(self.request.body) if self.request.body else {}
            self.finish_write({"ID": self.data.create_session(body)})
        elif action == "renew":
            session = self.data.renew_session(session_id)
            if session is None:
                raise tornado.web.HTTPError(404)
            self.finish_write([session_json(session)])
        elif action == "destroy":
            self.data.end_session(session_id)
            self.finish_write(True)
        else:
            raise tornado.web.HTTPError(405)

    def get(self, action, session_id):
        self.data.count("reads")
        if action != "info":
            raise tornado.web.HTTPError(405)
        session = self.data.sessions.get(session_id)
        self.finish(json.dumps([session_json(session)] if session else []))


def session_json(session: Session) -> dict:
    return {
        "ID": session.session_id,
        "TTL": f"{session.ttl_s:g}s",
        "Behavior": session.behavior,
    }


def routes(data: KeyValues) -> list:
    return [
        (r"/v1/kv/(.+)", KeyHandler, {"data": data}),
        (r"/v1/session/(\w+)/?(.*)", SessionHandler, {"data": data}),
        route("/faults", lambda: asdict(data.faults), data.change_faults),
        route("/counters", data.rates),
    ]


async def main(arguments) -> None:
    serve(arguments.listen, routes(KeyValues()))
    await wait_for_stop()


def parse_arguments():
    parser = argparse.ArgumentParser(prog="python -m testbed.store")
    parser.add_argument("--listen", type=Address.parse, required=True)
    return parser.parse_args()


if __name__ == "__main__":
    asyncio.run(main(parse_arguments()))
