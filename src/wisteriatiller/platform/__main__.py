"""Entry point: ``python -m wisteriatiller.platform`` runs a host on the platform."""

import gc
import socket
import sys

from .settingsfields import DATA_LISTEN_FIELD, read_fields, settings_path


def main() -> int:
    """Bind the data socket, import the rest of the program and run it.

    On a small host the imports take a while; packets that arrive meanwhile wait in the
    socket buffer instead of being lost. Garbage collection is off during the imports:
    it finds nothing, but takes a tenth of the startup time.
    """
    gc.disable()
    data_socket = bind_data_socket_early()
    from .process import run

    gc.freeze()
    gc.enable()
    return run(data_socket)


def bind_data_socket_early() -> socket.socket | None:
    """Return the bound socket; None if the settings are invalid.

    ``run`` reads the settings again and reports the error.
    """
    try:
        ip, _, port = read_fields(settings_path())[DATA_LISTEN_FIELD].rpartition(":")
        data_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        data_socket.bind((ip, int(port)))
    except (OSError, ValueError, KeyError):
        return None
    return data_socket


if __name__ == "__main__":
    sys.exit(main())
