"""The process of a host on the users' platform."""

import signal
import socket
import sys

from wisteriatiller.network import EventLoop
from wisteriatiller.steering import SteeringHost
from wisteriatiller.telemetry import StreamLog

from .fields import settings_path
from .packets import FlowPacketCodec
from .settingsfile import SettingsFileError, read_settings
from .store import PlatformStore

EXIT_BAD_SETTINGS = 2


def run(bound: socket.socket | None = None) -> int:
    """Run until SIGTERM; 2 if the settings cannot be used.

    ``bound`` is the socket for packets, if it is bound already.
    """
    path = settings_path()
    try:
        settings = read_settings(path)
    except SettingsFileError as error:
        print(f"wisteriatiller: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    log = StreamLog(sys.stdout.fileno())
    loop = EventLoop()
    store = PlatformStore(loop, settings)
    codec = FlowPacketCodec(settings.return_port)
    host = SteeringHost(settings, loop, codec, store, log, bound)

    def reload() -> None:
        try:
            host.reload(read_settings(path))
        except SettingsFileError as error:
            log.event("settings_rejected", detail=error)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.on_signal(number, lambda: host.stop(loop.stop))
    loop.on_signal(signal.SIGHUP, reload)
    host.start()
    loop.run()
    return 0
