"""Fetches snapshots over HTTP from the control addresses of other hosts."""

from wisteriatiller.exceptions import MessageError
from wisteriatiller.ids import Address
from wisteriatiller.network import (
    EventLoop,
    HttpClient,
    HttpRequest,
    HttpResponse,
    HttpResult,
)
from wisteriatiller.telemetry import EventLog

from .peers import SnapshotClient
from .settings import SteeringSettings
from .snapshotrequests import encode_request
from .snapshots import MAX_SNAPSHOT_BYTES, Snapshot, decode_snapshot

SNAPSHOT_PATH = "/snapshot"


class HttpSnapshotClient(SnapshotClient):
    """Keeps one connection; a fetch from another host closes the current one."""

    def __init__(self, loop: EventLoop, settings: SteeringSettings, log: EventLog):
        self._loop = loop
        self._settings = settings
        self._log = log
        self._peer: Address | None = None
        self._client: HttpClient | None = None

    def fetch(self, peer, request, done):
        if peer != self._peer:
            self._connect_to(peer)
        target = f"{SNAPSHOT_PATH}?{encode_request(request)}"
        self._client.request(
            HttpRequest(target, self._settings.peer_timeout_s),
            lambda result: done(self._decode(peer, result)),
        )

    def separate(self):
        return HttpSnapshotClient(self._loop, self._settings, self._log)

    def _connect_to(self, peer: Address) -> None:
        if self._client is not None:
            self._client.close()
        self._client = HttpClient(self._loop, peer, MAX_SNAPSHOT_BYTES)
        self._peer = peer

    def _decode(self, peer: Address, result: HttpResult) -> Snapshot | None:
        if not isinstance(result, HttpResponse) or result.status != 200:
            return None
        try:
            return decode_snapshot(result.body)
        except MessageError as error:
            self._log.event("snapshot_unreadable", peer=peer, detail=error)
            return None
