"""Settings of one host, read from JSON with comments."""

from dataclasses import dataclass
from pathlib import Path

import json5

from .exceptions import SettingsError
from .ids import Address, HostId, ZoneId


@dataclass(frozen=True, slots=True)
class Seed:
    """A host that a starting host contacts first."""

    host_id: HostId
    zone: ZoneId
    address: Address


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Everything a host is told at its start."""

    host_id: HostId
    zone: ZoneId
    fabric_listen: Address
    upstream_listen: Address
    peer_listen: Address
    admin_listen: Address
    fabric_return: tuple[Address, ...]
    seeds: tuple[Seed, ...]
    store_urls: tuple[str, ...]
    peer_keys: tuple[bytes, ...]
    statsd: Address | None = None
    stop_timeout_s: float = 20.0


def load_settings(path: Path) -> HostSettings:
    """Read and check the settings file of a host."""
    try:
        raw = json5.loads(path.read_text("utf-8"))
    except (OSError, ValueError) as error:
        raise SettingsError([f"{path}: {error}"]) from error
    return HostSettings(
        host_id=HostId(raw["host_id"]),
        zone=ZoneId(raw["zone"]),
        fabric_listen=Address.parse(raw["fabric_listen"]),
        upstream_listen=Address.parse(raw["upstream_listen"]),
        peer_listen=Address.parse(raw["peer_listen"]),
        admin_listen=Address.parse(raw["admin_listen"]),
        fabric_return=tuple(map(Address.parse, raw["fabric_return"])),
        seeds=tuple(
            Seed(
                HostId(seed["host_id"]),
                ZoneId(seed["zone"]),
                Address.parse(seed["address"]),
            )
            for seed in raw["seeds"]
        ),
        store_urls=tuple(raw["store_urls"]),
        peer_keys=tuple(bytes.fromhex(key) for key in raw["peer_keys"]),
        statsd=Address.parse(raw["statsd"]) if raw.get("statsd") else None,
        stop_timeout_s=raw.get("stop_timeout_s", 20.0),
    )
