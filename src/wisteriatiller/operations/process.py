"""Runs a host as an operating-system process until a signal stops it."""

import asyncio
import signal

from wisteriatiller.configuration import HostSettings
from wisteriatiller.exceptions import InvariantBroken
from wisteriatiller.foundation import (
    Environment,
    InMemoryMetrics,
    StatsdMetrics,
    build_host_report,
    log_event,
    spawn,
    stop_process,
)
from wisteriatiller.store import AdminServer, ConsulStore, revision_status
from wisteriatiller.transport import TcpPeerMessenger, UdpSocketFactory

from .runtime import Host
from .status import host_status

EXIT_STOP_ABANDONED = 1


def run(settings: HostSettings) -> int:
    """Run a host until SIGTERM or SIGINT and return the exit status.

    The status is 0 after a graceful stop, and ``EXIT_STOP_ABANDONED`` if a second
    signal cut the stop short.
    """
    return asyncio.run(HostProcess(settings).run())


class HostProcess:
    """A host with adapters for real sockets, the store and statsd, and its signals."""

    def __init__(self, settings: HostSettings):
        self._settings = settings
        self._stop_requested = asyncio.Event()
        self._abandon_requested = asyncio.Event()

    async def run(self) -> int:
        """Start the host, wait for a stop signal, and return the exit status."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(_handle_loop_error)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._request_stop)
        peers, host = self._create_host()
        await peers.start()
        await host.start()
        admin = self._start_admin(host)
        log_event("host_ready", host=self._settings.host_id, zone=self._settings.zone)
        await self._stop_requested.wait()
        log_event("host_stopping", host=self._settings.host_id)
        status = await self._stop_or_abandon(host)
        await admin.stop()
        await host.close()
        await peers.close()
        log_event("host_stopped", host=self._settings.host_id, status=status)
        return status

    def _create_host(self) -> tuple[TcpPeerMessenger, Host]:
        """Create the adapters and a host that uses them; nothing listens yet."""
        settings = self._settings
        if settings.statsd is None:
            metrics = InMemoryMetrics()
        else:
            prefix = f"wisteriatiller.{settings.host_id}"
            metrics = StatsdMetrics(settings.statsd, prefix)
            spawn(metrics.run(), "statsd")
        peers = TcpPeerMessenger(settings, metrics)
        environment = Environment(
            settings=settings,
            datagrams=UdpSocketFactory(metrics),
            peers=peers,
            store=ConsulStore(settings.store_urls),
            metrics=metrics,
        )
        host = Host(environment)
        peers.address_of = host.membership.address_of
        return peers, host

    def _start_admin(self, host: Host) -> AdminServer:
        """Start the HTTP server that answers the commands of the command line."""
        environment = host.environment
        admin = AdminServer(
            self._settings.admin_listen,
            {
                "/status": lambda: host_status(host),
                "/revision": lambda: revision_status(
                    self._settings.host_id, host.source
                ),
                "/report": lambda: build_host_report(
                    self._settings.host_id,
                    host.source.configuration,
                    environment.service_level,
                ),
            },
        )
        admin.start()
        return admin

    async def _stop_or_abandon(self, host: Host) -> int:
        """Stop the host gracefully unless a second signal abandons the stop."""
        stop_task = spawn(host.stop(), "stop")
        abandon_task = spawn(self._abandon_requested.wait(), "second signal")
        await asyncio.wait(
            (stop_task, abandon_task), return_when=asyncio.FIRST_COMPLETED
        )
        abandon_task.cancel()
        if stop_task.done():
            return 0
        stop_task.cancel()
        log_event("host_stop_abandoned", level="warning", **host.count_unfinished())
        return EXIT_STOP_ABANDONED

    def _request_stop(self) -> None:
        """Request a graceful stop, or at the second signal an immediate one."""
        if self._stop_requested.is_set():
            self._abandon_requested.set()
        self._stop_requested.set()


def _handle_loop_error(loop: asyncio.AbstractEventLoop, context: dict) -> None:
    """End the process on a broken invariant; leave other errors to the event loop."""
    exception = context.get("exception")
    if isinstance(exception, InvariantBroken):
        stop_process(exception)
    loop.default_exception_handler(context)
