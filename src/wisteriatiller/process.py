"""The process of a host: builds the host from its settings, runs and stops it."""

import asyncio
import signal

from .configstore import ConfigFollower
from .datagrams import UdpPorts
from .environment import Environment
from .exceptions import InvariantBroken
from .lease import StaticLeases
from .logs import log_event
from .membership import StaticMembership
from .metrics import NullMetrics, StatsdMetrics
from .opening import HomeChooser
from .ownership import Ownership
from .peers import TcpPeers
from .runtime import Host
from .settings import HostSettings
from .store_consul import ConsulStore
from .tasks import spawn, stop_process

EXIT_ABANDONED = 1


def run(settings: HostSettings) -> int:
    """Run a host until SIGTERM or SIGINT; return the exit status."""
    return asyncio.run(_run(settings))


async def _run(settings: HostSettings) -> int:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_handle_loop_error)
    host = build_host(settings)
    stop_requested = asyncio.Event()
    abandon_requested = asyncio.Event()

    def handle_signal() -> None:
        if stop_requested.is_set():
            abandon_requested.set()
        stop_requested.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, handle_signal)
    await host.start()
    log_event("host_ready", host=settings.host_id, zone=settings.zone)
    await stop_requested.wait()
    log_event("host_stopping", host=settings.host_id)
    stopping = spawn(host.stop(), "stop")
    abandoning = asyncio.create_task(abandon_requested.wait())
    await asyncio.wait((stopping, abandoning), return_when=asyncio.FIRST_COMPLETED)
    abandoning.cancel()
    status = 0
    if not stopping.done():
        stopping.cancel()
        log_event("host_stop_abandoned", level="warning", **host.unfinished())
        status = EXIT_ABANDONED
    await host.close()
    log_event("host_stopped", host=settings.host_id, status=status)
    return status


def build_host(settings: HostSettings) -> Host:
    """A host with the adapters for real sockets, store and statsd."""
    metrics = NullMetrics()
    if settings.statsd is not None:
        metrics = StatsdMetrics(settings.statsd, f"wisteriatiller.{settings.host_id}")
    peers = TcpPeers(settings, metrics)
    environment = Environment(
        settings=settings,
        datagrams=UdpPorts(metrics),
        peers=peers,
        store=ConsulStore(settings.store_urls),
        metrics=metrics,
    )
    membership = StaticMembership(settings)
    peers.address_of = membership.address_of
    ownership = Ownership(environment, membership)
    return Host(
        environment,
        membership,
        StaticLeases(ownership.is_first),
        ConfigFollower(environment, membership),
        HomeChooser(),
    )


def _handle_loop_error(loop: asyncio.AbstractEventLoop, context: dict) -> None:
    error = context.get("exception")
    if isinstance(error, InvariantBroken):
        stop_process(error)
    loop.default_exception_handler(context)
