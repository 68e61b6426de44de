"""A host that steers flows: its parts, its start, reload and stop."""

import json
from collections.abc import Callable
from enum import Enum

from wisteriatiller.exceptions import MessageError
from wisteriatiller.ids import Address
from wisteriatiller.network import (
    EventLoop,
    HttpConnection,
    HttpRequest,
    HttpResponse,
    HttpResult,
    HttpServer,
    Page,
)
from wisteriatiller.telemetry import Counters, EventLog

from .datapath import DataPath
from .directory import Change, UpstreamDirectory
from .followers import ConfigFollower, DirectoryFollower
from .peers import PeerLink, PeerSync
from .ports import PacketCodec, StoreReader
from .reporting import Reporter
from .routes import ConfigView
from .settings import SteeringSettings
from .snapshots import (
    MAX_SNAPSHOT_BYTES,
    Snapshot,
    decode_snapshot,
    encode_snapshot,
    take_snapshot,
)
from .status import steering_status
from .steering import FlowSteering

READY_PATH = "/ready"
SNAPSHOT_PATH = "/snapshot"
STATUS_PATH = "/status"
METRICS_PATH = "/metrics"
EXPIRY_INTERVAL_S = 1.0


class Readiness(Enum):
    STARTING = "starting"
    READY = "ready"
    STOPPING = "stopping"


class HttpPeerLink(PeerLink):
    """Fetches snapshots from the control addresses of other hosts."""

    def __init__(self, loop: EventLoop, settings: SteeringSettings):
        self._loop = loop
        self._settings = settings

    def ask(self, peer, done):
        connection = HttpConnection(self._loop, peer, MAX_SNAPSHOT_BYTES)
        target = f"{SNAPSHOT_PATH}?{self._settings.control_listen}"
        request = HttpRequest("GET", target, self._settings.peer_timeout_s)

        def finish(result: HttpResult) -> None:
            connection.close()
            done(self._decode(result))

        connection.request(request, finish)

    def _decode(self, result: HttpResult) -> Snapshot | None:
        if not isinstance(result, HttpResponse) or result.status != 200:
            return None
        try:
            return decode_snapshot(result.body)
        except MessageError:
            return None


class _DirectoryReporter(Reporter):
    """Passes changes of the directory on to steering as well."""

    steering: FlowSteering

    def directory_applied(self, changes: list[Change], source: str) -> None:
        self.steering.directory_changed(changes)
        super().directory_applied(changes, source)


class SteeringHost:
    """Builds the parts of a host and runs them in one loop."""

    def __init__(
        self,
        settings: SteeringSettings,
        loop: EventLoop,
        codec: PacketCodec,
        store: StoreReader,
        log: EventLog,
    ):
        self.settings = settings
        self._loop = loop
        self._log = log
        self._store = store
        self._counters = Counters()
        self.readiness = Readiness.STARTING
        self.directory = UpstreamDirectory()
        self.config = ConfigView()
        reporter = _DirectoryReporter(
            log, self._counters, self.config, self.directory, loop.now_s
        )
        self.steering = FlowSteering(settings, self.directory, self.config, reporter)
        reporter.steering = self.steering
        self._config_follower = ConfigFollower(
            settings, loop, store, self.config, reporter
        )
        self._directory_follower = DirectoryFollower(
            settings, loop, store, self.directory, reporter
        )
        reporter.on_unknown_tag = self._directory_follower.hurry
        self.peers = PeerSync(
            settings,
            loop,
            HttpPeerLink(loop, settings),
            self.config,
            self.directory,
            reporter,
            self._needs_help,
        )
        self.data_path = DataPath(
            loop, settings.data_listen, codec, self.steering, self._counters
        )
        self._servers = self._serve_pages()
        self._register_gauges()

    def start(self) -> None:
        self._log.event(
            "host_started",
            host=self.settings.host_id,
            zone=self.settings.zone,
            store=self.settings.store,
            seeds=len(self.settings.seeds),
        )
        self._config_follower.start()
        self._directory_follower.start()
        if self.settings.control_listen is not None:
            self.peers.start()
        self._expire()

    def stop(self, done: Callable[[], None]) -> None:
        """Leave the rotation, go on steering until routers have moved, then end."""
        if self.readiness is Readiness.STOPPING:
            return
        self.readiness = Readiness.STOPPING
        self._log.event(
            "host_stopping",
            flows=len(self.steering.flows),
            stop_timeout_s=self.settings.stop_timeout_s,
        )
        self._loop.call_later(self.settings.stop_timeout_s, lambda: self._end(done))

    def reload(self, settings: SteeringSettings) -> None:
        """Take over what may change while the host runs."""
        changed = [
            name
            for name in settings._fields
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self._log.event("settings_reloaded", changed=",".join(changed) or "nothing")
        self.peers.add_peers(settings.seeds)
        if settings.store != self.settings.store:
            self._store.move_to(settings.store)
        self.settings = settings

    def _end(self, done: Callable[[], None]) -> None:
        self._log.event("host_stopped", flows=len(self.steering.flows))
        self.data_path.close()
        for server in self._servers:
            server.close()
        done()

    def _needs_help(self) -> bool:
        return (
            self._config_follower.is_lost()
            or self._directory_follower.is_lost()
            or not self._knows_enough()
        )

    def _knows_enough(self) -> bool:
        return self.config.config is not None and self.directory.listing is not None

    def _expire(self) -> None:
        now_s = self._loop.now_s()
        self.steering.flows.expire(now_s)
        self._loop.call_later(EXPIRY_INTERVAL_S, self._expire)

    def _serve_pages(self) -> list[HttpServer]:
        settings = self.settings
        servers = [
            HttpServer(
                self._loop, settings.ready_listen, {READY_PATH: self._ready_page}
            )
        ]
        if settings.control_listen is not None:
            pages = {SNAPSHOT_PATH: self._snapshot_page}
            servers.append(HttpServer(self._loop, settings.control_listen, pages))
        pages = {METRICS_PATH: self._metrics_page, STATUS_PATH: self._status_page}
        try:
            servers.append(HttpServer(self._loop, settings.metrics_listen, pages))
        except OSError as error:
            # A host without metrics still serves.
            self._log.event(
                "metrics_unavailable", address=settings.metrics_listen, detail=error
            )
        return servers

    def _ready_page(self, query: str) -> Page:
        if self.readiness is Readiness.STARTING and self._knows_enough():
            self.readiness = Readiness.READY
            self._log.event(
                "host_ready",
                config_version=self.config.version,
                directory_revision=self.directory.revision,
            )
        return Page(200 if self.readiness is Readiness.READY else 503)

    def _snapshot_page(self, query: str) -> Page:
        try:
            self.peers.add_peers((Address.parse(query),))
        except ValueError:
            self._counters.count("snapshots_without_sender")
        snapshot = take_snapshot(
            self.config, self.directory, self.peers.peers, self._loop.now_s()
        )
        self._counters.count("snapshots_given")
        return Page(200, encode_snapshot(snapshot), "application/msgpack")

    def _metrics_page(self, query: str) -> Page:
        return Page(200, self._counters.text().encode())

    def _status_page(self, query: str) -> Page:
        status = steering_status(self, self._loop.now_s())
        return Page(200, json.dumps(status).encode(), "application/json")

    def _register_gauges(self) -> None:
        now_s = self._loop.now_s
        gauge = self._counters.gauge
        gauge("flows", lambda: len(self.steering.flows))
        gauge("config_version", lambda: self.config.version)
        gauge("config_age_seconds", lambda: _age(self.config.age_s(now_s())))
        gauge("directory_revision", lambda: self.directory.revision)
        gauge("directory_age_seconds", lambda: _age(self.directory.age_s(now_s())))
        gauge("log_lines_left_out", lambda: self._log.left_out_total)


def _age(age_s: float | None) -> float:
    """An age as a gauge; a belief that was never confirmed has an infinite one."""
    return float("inf") if age_s is None else age_s
