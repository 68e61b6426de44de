"""The admin API of a host, over HTTP with JSON answers.

``/status`` returns the state of the host, ``/revision`` the configuration that it runs,
and ``/report`` the outcomes of its requests. The host passes a callable for each path::

    admin = AdminServer(settings.admin_listen, {"/status": host.status})
    admin.start()
"""

import asyncio
import json
from collections.abc import Callable, Iterable, Mapping

from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from wisteriatiller.foundation import log_event
from wisteriatiller.ids import Address, HostId
from wisteriatiller.outcomes import Reason, Unreachable

from .configfollower import ConfigFollower
from .platformhosts import PlatformHost

# Valid requests have no body, so a larger request is a fault or an attack.
MAX_REQUEST_BYTES = 16_384
IDLE_TIMEOUT_S = 30.0
MAX_ANSWER_BYTES = 8_000_000
# Commands query all hosts; this bounds their open sockets at 1,700 hosts.
MAX_CONCURRENT_REQUESTS = 100

Provider = Callable[[], Mapping]


class AdminServer:
    """Serves the result of one provider per path as JSON."""

    def __init__(self, listen: Address, providers: Mapping[str, Provider]):
        self._listen = listen
        routes = [
            (path, _Handler, {"path": path, "provider": provider})
            for path, provider in providers.items()
        ]
        application = Application(routes, log_function=lambda handler: None)
        self._server = HTTPServer(
            application,
            max_buffer_size=MAX_REQUEST_BYTES,
            max_body_size=MAX_REQUEST_BYTES,
            max_header_size=MAX_REQUEST_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )

    def start(self) -> None:
        self._server.listen(self._listen.port, self._listen.ip)

    async def stop(self) -> None:
        self._server.stop()
        await self._server.close_all_connections()


class _Handler(RequestHandler):
    def initialize(self, path: str, provider: Provider):
        self._path = path
        self._provider = provider

    def get(self):
        try:
            body = json.dumps(self._provider(), default=str)
        except Exception as error:
            # A failing provider must not stop the host.
            log_event("admin_failed", level="error", path=self._path, detail=error)
            self.send_error(500)
            return
        self.set_header("Content-Type", "application/json")
        self.finish(body)

    def write_error(self, status_code, **_):
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps({"error": status_code}))


def revision_status(host_id: HostId, follower: ConfigFollower) -> dict:
    """Return the content of ``/revision``."""
    record = follower.record
    return {
        "host_id": host_id,
        "revision": record.revision,
        "submission_id": record.submission_id,
        "history": list(record.history),
        "watches_store": follower.watches_store(),
        "store_away": follower.is_store_unavailable,
    }


class AdminClient:
    """Queries the admin APIs of hosts."""

    def __init__(self):
        self._client = AsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CONCURRENT_REQUESTS,
            max_body_size=MAX_ANSWER_BYTES,
        )

    def close(self) -> None:
        self._client.close()

    async def fetch(
        self, address: Address, path: str, timeout_s: float
    ) -> dict | Unreachable:
        """Return the JSON object at a path of one host, or ``Unreachable``."""
        request = HTTPRequest(
            f"http://{address}{path}",
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
        )
        try:
            response = await self._client.fetch(request)
            answer = json.loads(response.body)
        except (HTTPError, OSError, ValueError, RecursionError):
            return Unreachable(Reason.TIMEOUT)
        return answer if isinstance(answer, dict) else Unreachable(Reason.TIMEOUT)

    async def fetch_all(
        self, hosts: Iterable[PlatformHost], path: str, timeout_s: float
    ) -> dict[HostId, dict | Unreachable]:
        """Fetch a path from all hosts concurrently; return the answers by host id."""
        hosts = tuple(hosts)
        answers = await asyncio.gather(
            *(self.fetch(host.admin, path, timeout_s) for host in hosts)
        )
        return {
            host.host_id: answer for host, answer in zip(hosts, answers, strict=True)
        }
