"""Reads the fields of the settings file, without validating them.

This module has few imports, so that ``__main__`` can bind the data socket before the
rest of the program is loaded.
"""

import os

SETTINGS_PATH_VARIABLE = "WISTERIATILLER_CONFIG"
DEFAULT_SETTINGS_PATH = "/etc/wisteriatiller/boot.conf"
# The field with the address to which the routers send client packets.
DATA_LISTEN_FIELD = "listen_addrs.datagram_addr"


def settings_path() -> str:
    return os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH)


def read_fields(path: str) -> dict[str, str]:
    """Read a file with lines of the form ``a.b=value``."""
    with open(path, encoding="utf-8") as file:
        return parse_fields(file.read())


def parse_fields(text: str) -> dict[str, str]:
    pairs = (line.split("=", 1) for line in text.splitlines() if "=" in line)
    return {name.strip(): value.strip() for name, value in pairs}
