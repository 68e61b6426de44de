"""``python -m wisteriatiller.platform`` runs a host on the users' platform."""

import gc
import socket
import sys

from .settingsfields import DATA_LISTEN_FIELD, read_fields, settings_path


def main() -> int:
    """Bind the socket for packets, load the program and run it.

    Packets that arrive while a small host loads wait in the socket instead of being
    lost. Loading makes no garbage, but looking for some takes a tenth of the start.
    """
    gc.disable()
    data_socket = bind_data_socket_early()
    from .process import run

    gc.freeze()
    gc.enable()
    return run(data_socket)


def bind_data_socket_early() -> socket.socket | None:
    """The bound socket; None if the settings are unusable, which ``run`` reports."""
    try:
        ip, _, port = read_fields(settings_path())[DATA_LISTEN_FIELD].rpartition(":")
        data_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        data_socket.bind((ip, int(port)))
    except (OSError, ValueError, KeyError):
        return None
    return data_socket


if __name__ == "__main__":
    sys.exit(main())
