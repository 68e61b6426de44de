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

from .packets import upstream_number

DEFAULT_IDLE_TIMEOUT_MS = 60_000
# JSON readers agree on integers up to here.
MAX_EXACT_INTEGER = 1 << 53
_STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.DRAINING}


class StoredValueError(ValueError):
    """Bytes in the store that do not say what they should."""


def is_valid_upstream_id(name: str) -> bool:
    """Whether an upstream can have this name; other writers' keys may be any text."""
    try:
        upstream_number(UpstreamId(name))
    except ValueError:
        return False
    return _is_encodable(name)


def decode_upstream(upstream_id: UpstreamId, data: bytes) -> Upstream:
    """Read one entry; ``StoredValueError`` if any field is missing or of another type."""
    entry = _parse_object(data)
    if not is_valid_upstream_id(upstream_id):
        raise StoredValueError(f"no upstream has the name {upstream_id!a}")
    state = _STATES.get(_typed_field(entry, "state", str))
    if state is None:
        raise StoredValueError(f"unknown state {entry['state']!r}")
    slots = _typed_field(entry, "concurrency", int)
    if slots < 1:
        raise StoredValueError("concurrency below 1")
    # "born" is the start of this lifetime, in milliseconds of Unix time.
    started_ms = _typed_field(entry, "born", int) if "born" in entry else 0
    return Upstream(
        upstream_id=upstream_id,
        service=ServiceId(_typed_field(entry, "service", str)),
        address=_parse_address(_typed_field(entry, "address", str)),
        zone=ZoneId(_typed_field(entry, "zone", str)),
        slots=slots,
        state=state,
        cold_for_ms=int(_typed_field(entry, "warmup_left_ms", (int, float))),
        started_ms=started_ms,
    )


def decode_config(data: bytes) -> RouteConfig:
    """Read the configuration; ``StoredValueError`` if it cannot be used as a whole."""
    config = _parse_object(data)
    limits = config.get("limits")
    idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS
    if isinstance(limits, dict) and "idle_timeout_ms" in limits:
        idle_timeout_ms = int(_typed_field(limits, "idle_timeout_ms", (int, float)))
    return RouteConfig(
        version=ConfigVersion(_typed_field(config, "version", int)),
        routes=tuple(
            _decode_route(route) for route in _typed_field(config, "routes", list)
        ),
        idle_timeout_ms=idle_timeout_ms,
    )


def _decode_route(route: object) -> Route:
    if not isinstance(route, dict):
        raise StoredValueError("a route is no object")
    # "host" is an IP number and "prefix" a port between slashes.
    host = _parse_ip(_typed_field(route, "host", str))
    port = _typed_field(route, "prefix", str).strip("/")
    if not port.isdigit() or not 0 < int(port) < 65_536:
        raise StoredValueError(f"no port in prefix {route['prefix']!r}")
    split = route.get("traffic_split")
    if split:
        services = tuple(_decode_weighted_service(part) for part in split)
    else:
        services = (
            WeightedService(ServiceId(_typed_field(route, "service", str)), 1.0),
        )
    return Route(
        # Only logs show it.
        name=str(route.get("name", "")).encode(errors="replace").decode(),
        service_address=ServiceAddress(host + int(port).to_bytes(2, "big")),
        services=services,
    )


def _decode_weighted_service(part: object) -> WeightedService:
    if not isinstance(part, dict):
        raise StoredValueError("a part of a split is no object")
    weight = float(_typed_field(part, "weight", (int, float)))
    return WeightedService(ServiceId(_typed_field(part, "service", str)), weight)


def _parse_object(data: bytes) -> dict:
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise StoredValueError(f"no JSON: {error}") from None
    if not isinstance(value, dict):
        raise StoredValueError("no JSON object")
    return value


def _typed_field(fields: dict, name: str, expected: type | tuple[type, ...]):
    value = fields.get(name)
    is_expected = isinstance(value, expected) and not isinstance(value, bool)
    if not is_expected or not _is_serializable(value):
        raise StoredValueError(f"{name}: found {value!a}")
    return value


def _is_serializable(value: object) -> bool:
    """Whether a value fits into logs and into the messages between hosts.

    JSON numbers may be too large for 64 bits, Python reads NaN and infinity too, and
    JSON text may hold half of a surrogate pair.
    """
    if isinstance(value, str):
        return _is_encodable(value)
    if isinstance(value, (int, float)):
        return abs(value) <= MAX_EXACT_INTEGER
    return True


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _parse_address(text: str) -> Address:
    try:
        address = Address.parse(text)
    except ValueError:
        raise StoredValueError(f"address: found {text!r}") from None
    _parse_ip(address.ip)
    if not 0 < address.port < 65_536:
        raise StoredValueError(f"address: found {text!r}")
    return address


def _parse_ip(text: str) -> bytes:
    try:
        return socket.inet_pton(socket.AF_INET, text)
    except (OSError, UnicodeEncodeError):
        raise StoredValueError(f"no IP number: {text!r}") from None
