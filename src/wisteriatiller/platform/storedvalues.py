"""Decodes values of the store: upstream entries and the operators' configuration."""

import json
import socket

from wisteriatiller.ids import Address, ServiceId, UpstreamId, ZoneId
from wisteriatiller.steering import (
    ConfigVersion,
    RequestKind,
    Route,
    RouteConfig,
    ServiceAddress,
    Upstream,
    UpstreamState,
    WarmupSettings,
    WeightedService,
)

from .packets import upstream_number

DEFAULT_IDLE_TIMEOUT_MS = 60_000
# JSON implementations agree on integers up to 2**53.
MAX_EXACT_INTEGER = 1 << 53
# Names of zones and services are passed on in messages between hosts.
MAX_NAME_CHARS = 100
# More slots than any upstream has would draw all new flows of its service.
MAX_SLOTS = 100_000
MAX_DESCRIBED_CHARS = 60
# "safe" requests may be repeated, "unsafe" ones may run once at most.
REQUEST_KINDS = {
    "safe": RequestKind.IDEMPOTENT,
    "download": RequestKind.DOWNLOAD,
    "unsafe": RequestKind.NON_IDEMPOTENT,
    "upload": RequestKind.UPLOAD,
}
_STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.DRAINING}


class StoredValueError(ValueError):
    """A value in the store is malformed."""


def is_valid_upstream_id(name: str) -> bool:
    """Whether a name is a valid upstream id; other writers' keys may be any text."""
    try:
        upstream_number(UpstreamId(name))
    except ValueError:
        return False
    return _is_encodable(name)


def decode_upstream(upstream_id: UpstreamId, data: bytes) -> Upstream:
    """Decode an upstream entry.

    Raises ``StoredValueError`` if a field is missing or invalid, also one that is not
    used: another writer has then left the entry.
    """
    entry = parse_object(data)
    if not is_valid_upstream_id(upstream_id):
        raise StoredValueError(f"invalid upstream id {upstream_id!a}")
    state = _STATES.get(_typed_field(entry, "state", str))
    if state is None:
        raise StoredValueError(f"state: found {_described(entry['state'])}")
    slots = _typed_field(entry, "concurrency", int)
    if not 1 <= slots <= MAX_SLOTS:
        raise StoredValueError(f"concurrency: found {slots}, expected 1 to {MAX_SLOTS}")
    _typed_field(entry, "version", str)
    _typed_field(entry, "sequence", int)
    # "born" is the start of this lifetime, in milliseconds of Unix time.
    started_ms = _typed_field(entry, "born", int) if "born" in entry else 0
    return Upstream(
        upstream_id=upstream_id,
        service=ServiceId(_name_field(entry, "service")),
        address=_parse_address(_typed_field(entry, "address", str)),
        zone=ZoneId(_name_field(entry, "zone")),
        slots=slots,
        state=state,
        cold_for_ms=int(_typed_field(entry, "warmup_left_ms", (int, float))),
        started_ms=started_ms,
    )


def decode_evacuated_zone(name: str) -> ZoneId:
    """Return the zone of a name in a key; operators' tools may write any text.

    Raises ``StoredValueError`` if it cannot be the name of a zone.
    """
    is_short = 0 < len(name) <= MAX_NAME_CHARS
    if not is_short or "/" in name or not name.isprintable():
        raise StoredValueError(f"invalid zone name {name!a}")
    return ZoneId(name)


def decode_config(data: bytes) -> RouteConfig:
    """Decode the configuration.

    Raises ``StoredValueError`` if any part of it is invalid.
    """
    config = parse_object(data)
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
        warmups=_decode_warmups(config.get("services")),
    )


def _decode_warmups(services: object) -> tuple[WarmupSettings, ...]:
    """Return the warm-ups of the services that set one; others are left out."""
    if not isinstance(services, list):
        return ()
    warmups = (
        WarmupSettings(
            ServiceId(service["name"]),
            _number_or_zero(service, "warmup_s"),
            _number_or_zero(service, "warmup_per_s"),
        )
        for service in services
        if isinstance(service, dict) and isinstance(service.get("name"), str)
    )
    return tuple(warmup for warmup in warmups if warmup.warmup_s)


def _decode_route(route: object) -> Route:
    if not isinstance(route, dict):
        raise StoredValueError("route is not a JSON object")
    # "host" is an IPv4 address, and "prefix" is a port between slashes.
    host = _parse_ip(_typed_field(route, "host", str))
    port = _typed_field(route, "prefix", str).strip("/")
    if not port.isdigit() or not 0 < int(port) < 65_536:
        raise StoredValueError(
            f"prefix: found {_described(route['prefix'])}, expected a port"
        )
    split = route.get("traffic_split")
    if split:
        if not isinstance(split, list):
            raise StoredValueError(
                f"traffic_split: found {_described(split)}, expected a list"
            )
        services = tuple(_decode_weighted_service(part) for part in split)
    else:
        services = (
            WeightedService(ServiceId(_typed_field(route, "service", str)), 1.0),
        )
    return Route(
        # The name is only logged, so characters that cannot be encoded are replaced
        # instead of rejected.
        name=str(route.get("name", "")).encode(errors="replace").decode(),
        service_address=ServiceAddress(host + int(port).to_bytes(2, "big")),
        services=services,
        # Whatever is not known to be repeatable is taken for non-idempotent.
        kind=REQUEST_KINDS.get(str(route.get("type")), RequestKind.NON_IDEMPOTENT),
        priority=int(_number_or_zero(route, "priority")),
        target_latency_ms=int(_number_or_zero(route, "target_latency_ms")),
        timeout_ms=int(_number_or_zero(route, "timeout_ms")),
    )


def _decode_weighted_service(part: object) -> WeightedService:
    if not isinstance(part, dict):
        raise StoredValueError("part of traffic_split is not a JSON object")
    weight = float(_typed_field(part, "weight", (int, float)))
    return WeightedService(ServiceId(_typed_field(part, "service", str)), weight)


def parse_object(data: bytes) -> dict:
    """Parse a JSON object; raises ``StoredValueError`` if the data is none."""
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise StoredValueError(f"malformed JSON: {error}") from None
    if not isinstance(value, dict):
        raise StoredValueError("not a JSON object")
    return value


def _typed_field(fields: dict, name: str, expected: type | tuple[type, ...]):
    value = fields.get(name)
    is_expected = isinstance(value, expected) and not isinstance(value, bool)
    if not is_expected or not _is_serializable(value):
        raise StoredValueError(f"{name}: missing or invalid, found {_described(value)}")
    return value


def _name_field(fields: dict, name: str) -> str:
    value = _typed_field(fields, name, str)
    if len(value) > MAX_NAME_CHARS:
        raise StoredValueError(f"{name}: found {len(value)} characters")
    return value


def _number_or_zero(fields: dict, name: str) -> float:
    """Return a number that steering can do without; 0 if it is missing or invalid."""
    value = fields.get(name)
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    return value if is_number and 0 <= value <= MAX_EXACT_INTEGER else 0


def _is_serializable(value: object) -> bool:
    """Whether a value can be written to logs and to messages between hosts.

    JSON numbers may exceed 64 bits, Python's parser also accepts NaN and infinity, and
    JSON strings may contain an unpaired surrogate.
    """
    if isinstance(value, str):
        return _is_encodable(value)
    if isinstance(value, (int, float)):
        return abs(value) <= MAX_EXACT_INTEGER
    return True


def _described(value: object) -> str:
    """Return the beginning of a value, or the type of one that may be nested."""
    if isinstance(value, (list, dict)):
        return f"a {type(value).__name__}"
    return ascii(value)[:MAX_DESCRIBED_CHARS]


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
        raise StoredValueError(
            f"address: found {_described(text)}, expected IP:PORT"
        ) from None
    _parse_ip(address.ip)
    # int() accepts signs, spaces, underscores and other digits.
    if not 0 < address.port < 65_536 or text != str(address):
        raise StoredValueError(f"address: found {_described(text)}, expected IP:PORT")
    return address


def _parse_ip(text: str) -> bytes:
    try:
        return socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        raise StoredValueError(f"not an IPv4 address: {_described(text)}") from None
