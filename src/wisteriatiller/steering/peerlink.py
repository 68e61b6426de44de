"""Fetches snapshots over HTTP from the control addresses of other hosts."""

from wisteriatiller.exceptions import MessageError
from wisteriatiller.ids import Address
from wisteriatiller.network import (
    EventLoop,
    HttpConnection,
    HttpRequest,
    HttpResponse,
    HttpResult,
)
from wisteriatiller.telemetry import EventLog

from .peers import PeerLink
from .settings import SteeringSettings
from .snapshots import (
    MAX_SNAPSHOT_BYTES,
    Snapshot,
    decode_snapshot,
    encode_request,
)

SNAPSHOT_PATH = "/snapshot"


class HttpPeerLink(PeerLink):
    """Keeps one connection, to the host that answered last."""

    def __init__(self, loop: EventLoop, settings: SteeringSettings, log: EventLog):
        self._loop = loop
        self._settings = settings
        self._log = log
        self._connections: dict[Address, HttpConnection] = {}

    def ask(self, peer, request, done):
        connection = self._connections.get(peer)
        if connection is None:
            connection = HttpConnection(self._loop, peer, MAX_SNAPSHOT_BYTES)
            self._connections[peer] = connection
        target = f"{SNAPSHOT_PATH}?{encode_request(request)}"
        connection.request(
            HttpRequest("GET", target, self._settings.peer_timeout_s),
            lambda result: done(self._decode(peer, result)),
        )

    def _decode(self, peer: Address, result: HttpResult) -> Snapshot | None:
        if not isinstance(result, HttpResponse) or result.status != 200:
            self._drop(peer)
            return None
        self._keep_newest(peer)
        try:
            return decode_snapshot(result.body)
        except MessageError as error:
            self._log.event("snapshot_unreadable", peer=peer, detail=error)
            return None

    def _keep_newest(self, peer: Address) -> None:
        """Keep the connection to the last host that answered, and close others."""
        for other in [other for other in self._connections if other != peer]:
            self._drop(other)

    def _drop(self, peer: Address) -> None:
        self._connections.pop(peer).close()
