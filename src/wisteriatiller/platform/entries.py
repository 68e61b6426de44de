"""Decodes the entries of upstreams and the operators' configuration."""

import json
import socket

from wisteriatiller.ids import Address, ServiceId, UpstreamId, ZoneId
from wisteriatiller.steering import (
    ConfigVersion,
    Route,
    RouteConfig,
    ServiceAddress,
    Upstream,
    UpstreamState,
    WeightedService,
)

from .packets import intended_number

DEFAULT_IDLE_TIMEOUT_MS = 60_000
# JSON readers agree on integers up to here.
MAX_NUMBER = 1 << 53
_STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.DRAINING}


class EntryError(ValueError):
    """Bytes in the store that do not say what they should."""


def names_upstream(name: str) -> bool:
    """Whether an upstream can have this name; other writers' keys may be any text."""
    try:
        intended_number(UpstreamId(name))
    except ValueError:
        return False
    return _is_encodable(name)


def decode_upstream(upstream_id: UpstreamId, data: bytes) -> Upstream:
    """Read one entry; ``EntryError`` if any field is missing or of another type."""
    entry = _object(data)
    if not names_upstream(upstream_id):
        raise EntryError(f"no upstream has the name {upstream_id!a}")
    state = _STATES.get(_typed(entry, "state", str))
    if state is None:
        raise EntryError(f"unknown state {entry['state']!r}")
    slots = _typed(entry, "concurrency", int)
    if slots < 1:
        raise EntryError("concurrency below 1")
    # "born" is the start of this lifetime, in milliseconds of Unix time.
    started_ms = _typed(entry, "born", int) if "born" in entry else 0
    return Upstream(
        upstream_id=upstream_id,
        service=ServiceId(_typed(entry, "service", str)),
        address=_address(_typed(entry, "address", str)),
        zone=ZoneId(_typed(entry, "zone", str)),
        slots=slots,
        state=state,
        cold_for_ms=int(_typed(entry, "warmup_left_ms", (int, float))),
        started_ms=started_ms,
    )


def decode_config(data: bytes) -> RouteConfig:
    """Read the configuration; ``EntryError`` if it cannot be used as a whole."""
    config = _object(data)
    limits = config.get("limits")
    idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS
    if isinstance(limits, dict) and "idle_timeout_ms" in limits:
        idle_timeout_ms = int(_typed(limits, "idle_timeout_ms", (int, float)))
    return RouteConfig(
        version=ConfigVersion(_typed(config, "version", int)),
        routes=tuple(_route(route) for route in _typed(config, "routes", list)),
        idle_timeout_ms=idle_timeout_ms,
    )


def _route(route: object) -> Route:
    if not isinstance(route, dict):
        raise EntryError("a route is no object")
    # "host" is an IP number and "prefix" a port between slashes.
    host = _ip(_typed(route, "host", str))
    port = _typed(route, "prefix", str).strip("/")
    if not port.isdigit() or not 0 < int(port) < 65_536:
        raise EntryError(f"no port in prefix {route['prefix']!r}")
    split = route.get("traffic_split")
    if split:
        services = tuple(_weighted_service(part) for part in split)
    else:
        services = (WeightedService(ServiceId(_typed(route, "service", str)), 1.0),)
    return Route(
        # Only logs show it.
        name=str(route.get("name", "")).encode(errors="replace").decode(),
        service_address=ServiceAddress(host + int(port).to_bytes(2, "big")),
        services=services,
    )


def _weighted_service(part: object) -> WeightedService:
    if not isinstance(part, dict):
        raise EntryError("a part of a split is no object")
    weight = float(_typed(part, "weight", (int, float)))
    return WeightedService(ServiceId(_typed(part, "service", str)), weight)


def _object(data: bytes) -> dict:
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise EntryError(f"no JSON: {error}") from None
    if not isinstance(value, dict):
        raise EntryError("no JSON object")
    return value


def _typed(fields: dict, name: str, expected: type | tuple[type, ...]):
    value = fields.get(name)
    is_expected = isinstance(value, expected) and not isinstance(value, bool)
    if not is_expected or not _can_be_told(value):
        raise EntryError(f"{name}: found {value!a}")
    return value


def _can_be_told(value: object) -> bool:
    """Whether a value fits into logs and into the messages between hosts.

    JSON numbers may be too large for 64 bits, Python reads NaN and infinity too, and
    JSON text may hold half of a surrogate pair.
    """
    if isinstance(value, str):
        return _is_encodable(value)
    if isinstance(value, (int, float)):
        return abs(value) <= MAX_NUMBER
    return True


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _address(text: str) -> Address:
    try:
        address = Address.parse(text)
    except ValueError:
        raise EntryError(f"address: found {text!r}") from None
    _ip(address.ip)
    if not 0 < address.port < 65_536:
        raise EntryError(f"address: found {text!r}")
    return address


def _ip(text: str) -> bytes:
    try:
        return socket.inet_pton(socket.AF_INET, text)
    except (OSError, UnicodeEncodeError):
        raise EntryError(f"no IP number: {text!r}") from None
