"""A host that steers flows: wiring, startup, reload and shutdown."""

import json
import socket
from collections.abc import Callable
from enum import Enum

from wisteriatiller.exceptions import MessageError
from wisteriatiller.network import EventLoop, HttpServer, Page
from wisteriatiller.telemetry import Counters, EventLog

from .configwatcher import ConfigWatcher
from .datapath import DataPath, bind_data_socket
from .directory import UpstreamDirectory
from .directorypoller import DirectoryPoller
from .evacuationupdates import EvacuationUpdater
from .evidence import ZoneEvidence
from .listingdeadline import ListingDeadline
from .peers import UNKNOWN_ZONE, Peer, PeerRegistry
from .ports import PacketCodec, StoreReader
from .reporting import Reporter
from .routes import ConfigView
from .settings import SteeringSettings
from .sharedstate import SharedState
from .sharing import ReadSharing
from .snapshotclient import SNAPSHOT_PATH, HttpSnapshotClient
from .snapshotrequests import decode_request
from .snapshots import SnapshotEncoder
from .status import steering_status
from .steering import FlowSteering
from .storepolling import StateObserver

READY_PATH = "/ready"
STATUS_PATH = "/status"
METRICS_PATH = "/metrics"
FLOW_EXPIRY_INTERVAL_S = 1.0
# How often flows of silent upstreams are reset. Each step is limited, so that the
# packets of a host with a thin link do not wait behind thousands of resets.
FLOW_RESET_INTERVAL_S = 0.1
# Limits the wait for current state at the start or after a pause. Clients retransmit
# packets that wait longer anyway.
MAX_SUSPEND_S = 0.4
# How often a host checks after a pause whether its state is current again.
RESUME_CHECK_INTERVAL_S = 0.02


class Readiness(Enum):
    """The lifecycle of a host; only a ready one passes the routers' health check."""

    STARTING = "starting"
    READY = "ready"
    STOPPING = "stopping"


class _StateRelay(StateObserver):
    """Passes updates of the state on to steering and to the reporter."""

    def __init__(
        self, reporter: Reporter, steering: FlowSteering, on_update: Callable[[], None]
    ):
        self._reporter = reporter
        self._steering = steering
        self._on_update = on_update

    def config_applied(self, view, source, unconfirmed_s):
        self._reporter.config_applied(view, source, unconfirmed_s)
        self._on_update()

    def config_named(self, version, peer, is_deferred):
        self._reporter.config_named(version, peer, is_deferred)

    def evacuations_applied(self, view, source, unconfirmed_s):
        self._reporter.evacuations_applied(view, source, unconfirmed_s)
        self._on_update()

    def evacuation_keys_ignored(self, keys):
        self._reporter.evacuation_keys_ignored(keys)

    def directory_applied(self, changes, source):
        self._steering.apply_directory_changes(changes)
        self._reporter.directory_applied(changes, source)
        self._on_update()

    def config_invalid(self, answer):
        self._reporter.config_invalid(answer)

    def store_failed(self, call, failure, failures, waited_s):
        self._reporter.store_failed(call, failure, failures, waited_s)

    def store_answered(self, call, waited_s, epoch):
        self._reporter.store_answered(call, waited_s, epoch)

    def listing_rejected(self, outdated, source):
        self._reporter.listing_rejected(outdated, source)

    def listing_overdue(self, age_s):
        self._reporter.listing_overdue(age_s)


class SteeringHost:
    """Wires the components of a host together and runs them in one event loop.

    ``data_socket`` is used if the socket for packets is bound already.
    """

    def __init__(
        self,
        settings: SteeringSettings,
        loop: EventLoop,
        codec: PacketCodec,
        store: StoreReader,
        log: EventLog,
        data_socket: socket.socket | None = None,
    ):
        self.settings = settings
        self._loop = loop
        self._log = log
        self._store = store
        self._counters = Counters()
        self.readiness = Readiness.STARTING
        self.directory = UpstreamDirectory()
        self.config = ConfigView()
        reporter = Reporter(
            log, self._counters, self.config, self.directory, loop.now_s
        )
        self.steering = FlowSteering(settings, self.directory, self.config, reporter)
        observer = _StateRelay(reporter, self.steering, self._check_ready)
        own_peer = Peer(settings.control_listen or settings.ready_listen, settings.zone)
        self.registry = PeerRegistry(own_peer)
        self._shared = SharedState(settings, self.config, self.directory, self.registry)
        self.evacuations = self._shared.evacuations
        updater = EvacuationUpdater(loop, self.evacuations, self.directory, observer)
        config_watcher = ConfigWatcher(
            settings, loop, store, self.config, observer, updater
        )
        directory_poller = DirectoryPoller(
            settings, loop, store, self.directory, observer
        )
        reporter.on_unknown_tag = directory_poller.refresh_now
        self._listing_deadline = ListingDeadline(
            settings, loop, self.directory, directory_poller, observer
        )
        self.sharing = ReadSharing(
            settings,
            loop,
            HttpSnapshotClient(loop, settings, log),
            self._shared,
            ZoneEvidence(
                settings,
                own_peer.address,
                self.directory,
                self.steering.recorder,
                self.steering.findings,
                reporter,
                self.config,
            ),
            (config_watcher, directory_poller),
            updater,
            observer,
            reporter.source_changed,
        )
        data_socket = data_socket or bind_data_socket(settings.data_listen)
        self.data_path = DataPath(
            loop, data_socket, codec, self.steering, self._counters
        )
        self._snapshots = SnapshotEncoder()
        loop.on_pause = self._on_pause
        self._servers = self._start_servers()
        self._register_gauges()

    def start(self) -> None:
        self._log.event(
            "host_started",
            host=self.settings.host_id,
            zone=self.settings.zone,
            store=self.settings.store,
            seeds=len(self.settings.seeds),
        )
        self._add_seeds(self.settings)
        self.sharing.start()
        self._listing_deadline.check_repeatedly()
        self._expire_flows()
        if self.settings.uses_zone_findings:
            self._reset_silent_flows()
        self._loop.call_later(MAX_SUSPEND_S, self._end_startup_wait)

    def stop(self, done: Callable[[], None]) -> None:
        """Fail the readiness check, keep steering for the stop timeout, then close.

        In that time the routers take the host out of rotation. ``done`` is called at
        the end.
        """
        if self.readiness is Readiness.STOPPING:
            return
        self.readiness = Readiness.STOPPING
        self._log.event(
            "host_stopping",
            flows=len(self.steering.flows),
            stop_timeout_s=self.settings.stop_timeout_s,
        )
        self._loop.call_later(
            self.settings.stop_timeout_s, lambda: self._shut_down(done)
        )

    def reload(self, settings: SteeringSettings) -> None:
        """Apply new seeds, a new address of the store and a new stop timeout.

        The components keep their other settings until a restart.
        """
        changed = [
            name
            for name in settings._fields
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self._log.event("settings_reloaded", changed=",".join(changed) or "nothing")
        self._add_seeds(settings)
        if settings.store != self.settings.store:
            self._store.set_address(settings.store)
        self.settings = settings

    def _shut_down(self, done: Callable[[], None]) -> None:
        self._log.event("host_stopped", flows=len(self.steering.flows))
        self.data_path.close()
        for server in self._servers:
            server.close()
        done()

    def _check_ready(self) -> None:
        if self.readiness is not Readiness.STARTING or not self._shared.is_complete():
            return
        self.readiness = Readiness.READY
        self._log.event(
            "host_ready",
            config_version=self.config.version,
            directory_revision=self.directory.position.revision,
        )
        self.data_path.start()

    def _end_startup_wait(self) -> None:
        """Start steering even if the host still lacks its initial state."""
        if self.readiness is Readiness.STARTING:
            self.data_path.start()

    def _on_pause(self, paused_s: float) -> None:
        """Suspend steering after a pause until the state is current again.

        Meanwhile the configuration may have changed, and upstreams may have left.
        """
        self._counters.count("pauses")
        self._log.event(
            "host_paused",
            paused_ms=round(1000.0 * paused_s),
            readiness=self.readiness.value,
            flows=len(self.steering.flows),
        )
        if self.readiness is Readiness.STARTING:
            return
        self.data_path.suspend()
        self._resume_when_current(self._loop.now_s() + MAX_SUSPEND_S)

    def _resume_when_current(self, deadline_s: float) -> None:
        now_s = self._loop.now_s()
        if now_s >= deadline_s or self._shared.is_recent(now_s):
            self.data_path.start()
            return
        self._loop.call_later(
            RESUME_CHECK_INTERVAL_S, lambda: self._resume_when_current(deadline_s)
        )

    def _add_seeds(self, settings: SteeringSettings) -> None:
        seeds = (Peer(address, UNKNOWN_ZONE) for address in settings.seeds)
        self.registry.add_all(seeds, self._loop.now_s())

    def _expire_flows(self) -> None:
        now_s = self._loop.now_s()
        self.steering.flows.expire(now_s)
        self._loop.call_later(FLOW_EXPIRY_INTERVAL_S, self._expire_flows)

    def _reset_silent_flows(self) -> None:
        """Reset flows of silent upstreams, unless waiting packets may show progress."""
        if not self.data_path.is_behind:
            self.data_path.send_resets(self.steering.take_resets(self._loop.now_s()))
        self._loop.call_later(FLOW_RESET_INTERVAL_S, self._reset_silent_flows)

    def _start_servers(self) -> list[HttpServer]:
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
            # Metrics are optional; the host steers without them.
            self._log.event(
                "metrics_unavailable", address=settings.metrics_listen, detail=error
            )
        return servers

    def _ready_page(self, query: str) -> Page:
        return Page(200 if self.readiness is Readiness.READY else 503)

    def _snapshot_page(self, query: str) -> Page:
        try:
            request = decode_request(query)
        except MessageError as error:
            return Page(400, str(error).encode())
        snapshot = self.sharing.build_snapshot(request)
        self._counters.count("snapshots_given")
        return Page(200, self._snapshots.encode(snapshot), "application/msgpack")

    def _metrics_page(self, query: str) -> Page:
        return Page(200, self._counters.render().encode())

    def _status_page(self, query: str) -> Page:
        status = steering_status(self, self._loop.now_s())
        return Page(200, json.dumps(status).encode(), "application/json")

    def _register_gauges(self) -> None:
        now_s = self._loop.now_s
        gauge = self._counters.register_gauge
        gauge("flows", lambda: len(self.steering.flows))
        gauge("config_version", lambda: self.config.version)
        gauge("config_age_seconds", lambda: _age(self.config.age_s(now_s())))
        if self.settings.has_evacuations:
            gauge("evacuated_zones", lambda: len(self.evacuations.in_force))
        gauge("directory_epoch", lambda: self.directory.position.epoch)
        gauge("directory_revision", lambda: self.directory.position.revision)
        gauge("directory_age_seconds", lambda: _age(self.directory.age_s(now_s())))
        gauge("zone_utilization", lambda: self.steering.selector.zone_utilization())
        gauge("log_lines_left_out", lambda: self._log.dropped_lines_total)


def _age(age_s: float | None) -> float:
    """Return an age for a gauge; infinity for state that was never confirmed."""
    return float("inf") if age_s is None else age_s
