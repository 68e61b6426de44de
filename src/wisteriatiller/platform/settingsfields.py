"""The lines of the settings file, before they are checked.

The process reads them before it loads anything else; see ``__main__``.
"""

import os

SETTINGS_PATH_VARIABLE = "WISTERIATILLER_CONFIG"
DEFAULT_SETTINGS_PATH = "/etc/wisteriatiller/boot.conf"
# Where the routers send the clients' packets.
DATA_LISTEN_FIELD = "listen_addrs.datagram_addr"


def settings_path() -> str:
    return os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH)


def read_fields(path: str) -> dict[str, str]:
    """Read lines of the form ``a.b=value``."""
    with open(path, encoding="utf-8") as file:
        return parse_fields(file.read())


def parse_fields(text: str) -> dict[str, str]:
    pairs = (line.split("=", 1) for line in text.splitlines() if "=" in line)
    return {name.strip(): value.strip() for name, value in pairs}
