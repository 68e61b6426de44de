"""Small JSON-over-HTTP servers for the admin addresses of the stand-ins."""

import asyncio
import dataclasses
import inspect
import json
import signal
from collections.abc import Callable

import tornado.httpserver
import tornado.web

from wisteriatiller.ids import Address

MAX_BODY_BYTES = 8 * 1024 * 1024


class JsonHandler(tornado.web.RequestHandler):
    """Answers GET from ``read`` and PUT from ``write``; both return JSON values."""

    def initialize(self, read=None, write=None):
        self._read = read
        self._write = write

    async def get(self):
        await self._answer(self._read)

    async def put(self):
        body = json.loads(self.request.body) if self.request.body else None
        await self._answer(self._write, body)

    async def _answer(self, function, *arguments):
        if function is None:
            raise tornado.web.HTTPError(405)
        try:
            result = function(*arguments)
            if inspect.isawaitable(result):
                result = await result
        except (KeyError, TypeError, ValueError) as error:
            self.set_status(400)
            result = {"error": f"{type(error).__name__}: {error}"}
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(result))


def route(path: str, read: Callable | None = None, write: Callable | None = None):
    """A tornado route that answers with JSON."""
    return (path, JsonHandler, {"read": read, "write": write})


def serve(address: Address, routes: list) -> tornado.httpserver.HTTPServer:
    application = tornado.web.Application(routes, log_function=lambda handler: None)
    server = tornado.httpserver.HTTPServer(application, max_body_size=MAX_BODY_BYTES)
    server.listen(address.port, address=address.ip)
    return server


def update_faults(faults, changes: dict) -> dict:
    """Set the named fields of a faults dataclass and return all of its fields."""
    names = {field.name for field in dataclasses.fields(faults)}
    for name, value in (changes or {}).items():
        if name not in names:
            raise ValueError(f"unknown fault {name!r}; allowed: {sorted(names)}")
        setattr(faults, name, value)
    return dataclasses.asdict(faults)


async def wait_for_stop() -> None:
    """Return at SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
