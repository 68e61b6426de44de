"""Runs the process of a host on the users' platform."""

import os
import signal
import socket
import sys
from collections.abc import Callable

from wisteriatiller.network import EventLoop
from wisteriatiller.steering import SteeringHost
from wisteriatiller.telemetry import StreamLog

from .packets import FlowPacketCodec
from .settingsfields import settings_path
from .settingsfile import SettingsFileError, read_settings
from .store import PlatformStore

EXIT_BAD_SETTINGS = 2
SETTINGS_CHECK_INTERVAL_S = 5.0
# The time of the last change and the size.
FileVersion = tuple[int, int]


def run(data_socket: socket.socket | None = None) -> int:
    """Run a host until SIGTERM or SIGINT; return the exit status.

    ``data_socket`` is used if the socket for packets is bound already.
    """
    path = settings_path()
    version = _file_version(path)
    try:
        settings = read_settings(path)
    except SettingsFileError as error:
        print(f"wisteriatiller: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    log = StreamLog(sys.stdout.fileno())
    loop = EventLoop()
    store = PlatformStore(loop, settings)
    codec = FlowPacketCodec(settings.return_port)
    host = SteeringHost(settings, loop, codec, store, log, data_socket)

    def reload() -> None:
        try:
            host.reload(read_settings(path))
        except SettingsFileError as error:
            log.event("settings_rejected", detail=error)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lambda: host.stop(loop.stop))
    loop.add_signal_handler(signal.SIGHUP, reload)
    watch_file(loop, path, version, reload)
    host.start()
    loop.run()
    return 0


def watch_file(
    loop: EventLoop,
    path: str,
    last_version: FileVersion | None,
    on_change: Callable[[], None],
) -> None:
    """Poll a file and call back after changes, since not each comes with a SIGHUP.

    ``last_version`` is from before the file was read, so that a change since then is
    found by the first check, which comes at once.
    """

    def check() -> None:
        nonlocal last_version
        version = _file_version(path)
        if version != last_version:
            last_version = version
            on_change()
        loop.call_later(SETTINGS_CHECK_INTERVAL_S, check)

    loop.call_later(0.0, check)


def _file_version(path: str) -> FileVersion | None:
    try:
        status = os.stat(path)
    except OSError:
        # The file is being replaced; a later check sees the new one.
        return None
    return status.st_mtime_ns, status.st_size
