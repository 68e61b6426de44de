"""Snapshots of the state that hosts share, and their encoding.

A snapshot omits state that is not newer than what its request names.
``msgpack`` and ``zlib`` are imported with the first snapshot, since a host can serve
without them.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple, TypeVar

from wisteriatiller.exceptions import MessageError
from wisteriatiller.ids import (
    Address,
    Revision,
    ServiceId,
    StoreEpoch,
    StorePosition,
    UpstreamId,
    ZoneId,
)

from .evacuation import EvacuationState
from .evidence import (
    ServiceLoad,
    SilentUpstream,
    ZoneFindings,
)
from .listingpages import ListingPage, are_valid
from .packets import ServiceAddress
from .routes import (
    ConfigVersion,
    RequestKind,
    Route,
    RouteConfig,
    WarmupSettings,
    WeightedService,
)
from .upstreams import ListingDelta, ListingVersion, Tag, Upstream, UpstreamState

MAX_SNAPSHOT_BYTES = 8_000_000
FORMAT_VERSION = 9
# Compressing smaller parts would save less than a packet.
MIN_COMPRESSED_BYTES = 1_200
COMPRESSION_LEVEL = 1
# Enough for the deltas from recent listings, the whole listing and the configuration.
MAX_ENCODED_PARTS = 16
_Part = TypeVar("_Part", RouteConfig, ListingDelta)
_UNCOMPRESSED_MARKER = b"p"
_COMPRESSED_MARKER = b"c"


class Snapshot(NamedTuple):
    """The state of a host; ``config`` and ``listing_delta`` are None if not newer.

    ``listing_version`` and ``newest_position`` tell which listing the host has.
    ``is_fresh`` says that other hosts may follow this one as their reader, and
    ``has_lost_store`` that its calls to the store fail. ``reader`` is the host that
    reads the store for it. ``store_healthy_s`` is how long the store has been read
    without a failure. An age is None if there is no such state. ``findings`` holds what
    the host's zone has found out of upstreams. ``evacuations`` is None if the host
    knows of none, or if zones are not evacuated in this deployment.
    """

    config_version: ConfigVersion
    config: RouteConfig | None
    config_age_s: float | None
    listing_version: ListingVersion
    newest_position: StorePosition
    listing_delta: ListingDelta | None
    listing_age_s: float | None
    listing_confirmed_age_s: float | None
    store_healthy_s: float
    is_fresh: bool
    has_lost_store: bool
    reader: Address | None
    peers: tuple[tuple[Address, ZoneId], ...]
    findings: ZoneFindings
    evacuations: EvacuationState | None


class SnapshotEncoder:
    """Encodes snapshots and caches their large parts, which many hosts ask for."""

    def __init__(self):
        # The key is the id of the part. The value keeps the part alive, so that no
        # other object can get the same id.
        self._encoded: OrderedDict[int, tuple[object, bytes]] = OrderedDict()

    def encode(self, snapshot: Snapshot) -> bytes:
        import msgpack

        fields = snapshot._replace(
            config=self._encode_part(snapshot.config, _encode_config),
            listing_delta=self._encode_part(snapshot.listing_delta, _encode_delta),
            peers=[[*address, zone] for address, zone in snapshot.peers],
            findings=_encode_findings(snapshot.findings),
            evacuations=_encode_evacuations(snapshot.evacuations),
        )
        return msgpack.packb([FORMAT_VERSION, *fields], use_single_float=True)

    def _encode_part(
        self, part: _Part | None, encode: Callable[[_Part], list]
    ) -> bytes | None:
        if part is None:
            return None
        known = self._encoded.get(id(part))
        if known is not None:
            self._encoded.move_to_end(id(part))
            return known[1]
        import msgpack

        data = _compress(msgpack.packb(encode(part)))
        self._encoded[id(part)] = part, data
        if len(self._encoded) > MAX_ENCODED_PARTS:
            self._encoded.popitem(last=False)
        return data


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a snapshot; raises ``MessageError`` if it is invalid."""
    import msgpack

    try:
        version, *fields = msgpack.unpackb(data)
        if version != FORMAT_VERSION:
            raise MessageError(
                f"snapshot has format version {version}, expected {FORMAT_VERSION}"
            )
        return _decode_fields(Snapshot(*fields))
    except (ValueError, TypeError, LookupError, msgpack.UnpackException) as error:
        raise MessageError(f"unreadable snapshot: {error!r}") from error


def _compress(data: bytes) -> bytes:
    """Compress large data; the first byte tells whether it is compressed."""
    if len(data) < MIN_COMPRESSED_BYTES:
        return _UNCOMPRESSED_MARKER + data
    import zlib

    return _COMPRESSED_MARKER + zlib.compress(data, COMPRESSION_LEVEL)


def _decompress(data: bytes) -> bytes:
    marker, data = data[:1], data[1:]
    if marker == _UNCOMPRESSED_MARKER:
        return data
    if marker != _COMPRESSED_MARKER:
        raise MessageError(f"unknown compression marker {marker!r} in a snapshot")
    import zlib

    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, MAX_SNAPSHOT_BYTES)
    except zlib.error as error:
        raise MessageError(f"cannot decompress snapshot: {error}") from error
    if not decompressor.eof:
        raise MessageError("compressed snapshot is truncated or too large")
    return plain


def _decode_fields(raw: Snapshot) -> Snapshot:
    return Snapshot(
        config_version=ConfigVersion(int(raw.config_version)),
        config=_decode_config(_unpack(raw.config)),
        config_age_s=_decode_age_s(raw.config_age_s),
        listing_version=ListingVersion(int(raw.listing_version)),
        newest_position=_decode_position(raw.newest_position),
        listing_delta=_decode_delta(_unpack(raw.listing_delta)),
        listing_age_s=_decode_age_s(raw.listing_age_s),
        listing_confirmed_age_s=_decode_age_s(raw.listing_confirmed_age_s),
        store_healthy_s=max(0.0, float(raw.store_healthy_s)),
        is_fresh=bool(raw.is_fresh),
        has_lost_store=bool(raw.has_lost_store),
        reader=None if raw.reader is None else Address(*raw.reader),
        peers=tuple(
            (Address(str(ip), int(port)), ZoneId(str(zone)))
            for ip, port, zone in raw.peers
        ),
        findings=_decode_findings(*raw.findings),
        evacuations=_decode_evacuations(raw.evacuations),
    )


def _decode_position(fields: list) -> StorePosition:
    epoch, revision = fields
    return StorePosition(StoreEpoch(int(epoch)), Revision(int(revision)))


def _encode_evacuations(state: EvacuationState | None) -> list | None:
    if state is None:
        return None
    fields = state._replace(
        zones=list(state.zones),
        retained=list(state.retained),
        removed=list(state.removed),
    )
    return list(fields)


def _decode_evacuations(fields: list | None) -> EvacuationState | None:
    if fields is None:
        return None
    position, zones, retained, removed, epoch_age_s, age_s = fields
    return EvacuationState(
        position=_decode_position(position),
        zones=_decode_zones(zones),
        retained=_decode_zones(retained),
        removed=_decode_zones(removed),
        epoch_age_s=max(0.0, float(epoch_age_s)),
        age_s=max(0.0, float(age_s)),
    )


def _decode_zones(names: list) -> frozenset[ZoneId]:
    return frozenset(ZoneId(str(name)) for name in names)


def _encode_findings(findings: ZoneFindings) -> list:
    return [
        list(findings.shares.items()),
        list(findings.silent),
        [list(load) for load in findings.loads],
        list(findings.warmup_quotas.items()),
        [list(silent) for silent in findings.silent_upstreams],
    ]


def _decode_findings(
    shares: list,
    silent: list,
    loads: list,
    warmup_quotas: list,
    silent_upstreams: list,
) -> ZoneFindings:
    return ZoneFindings(
        shares={Tag(int(tag)): _decode_fraction(part) for tag, part in shares},
        silent=frozenset(Tag(int(tag)) for tag in silent),
        loads=tuple(_decode_load(*load) for load in loads),
        warmup_quotas={Tag(int(tag)): int(flows) for tag, flows in warmup_quotas},
        silent_upstreams=tuple(
            _decode_silent_upstream(*fields) for fields in silent_upstreams
        ),
    )


def _decode_silent_upstream(
    tag, started_ms, silent_ms, trial_host, trial_number
) -> SilentUpstream:
    return SilentUpstream(
        tag=Tag(int(tag)),
        started_ms=int(started_ms),
        silent_ms=max(0, int(silent_ms)),
        trial_host=None if trial_host is None else _decode_address(*trial_host),
        trial_number=int(trial_number),
    )


def _decode_address(ip, port) -> Address:
    return Address(str(ip), int(port))


def _decode_load(
    reporting_zone, service, upstream_zone, in_flight, answers, openings, age_s
) -> ServiceLoad:
    return ServiceLoad(
        reporting_zone=ZoneId(str(reporting_zone)),
        service=ServiceId(str(service)),
        upstream_zone=ZoneId(str(upstream_zone)),
        in_flight=max(0, int(in_flight)),
        answers_per_s=max(0.0, float(answers)),
        openings_per_s=max(0.0, float(openings)),
        age_s=max(0.0, float(age_s)),
    )


def _decode_fraction(part: object) -> float:
    return min(1.0, max(0.0, float(part)))


def _decode_age_s(value: object) -> float | None:
    return None if value is None else max(0.0, float(value))


def _unpack(data: bytes | None) -> list | None:
    import msgpack

    return None if data is None else msgpack.unpackb(_decompress(data))


def _encode_config(config: RouteConfig) -> list:
    routes = [
        list(
            route._replace(
                services=[list(part) for part in route.services], kind=route.kind.value
            )
        )
        for route in config.routes
    ]
    warmups = [list(warmup) for warmup in config.warmups]
    return [config.version, routes, config.idle_timeout_ms, warmups]


def _decode_config(fields: list | None) -> RouteConfig | None:
    if fields is None:
        return None
    version, routes, idle_timeout_ms, warmups = fields
    return RouteConfig(
        version=ConfigVersion(int(version)),
        routes=tuple(_decode_route(*route) for route in routes),
        idle_timeout_ms=int(idle_timeout_ms),
        warmups=tuple(
            WarmupSettings(ServiceId(str(service)), float(warmup_s), float(per_s))
            for service, warmup_s, per_s in warmups
        ),
    )


def _decode_route(
    name, service_address, services, kind, priority, target_latency_ms, timeout_ms
) -> Route:
    return Route(
        name=str(name),
        service_address=ServiceAddress(bytes(service_address)),
        services=tuple(
            WeightedService(ServiceId(str(service)), float(weight))
            for service, weight in services
        ),
        kind=RequestKind(kind),
        priority=int(priority),
        target_latency_ms=int(target_latency_ms),
        timeout_ms=int(timeout_ms),
    )


def _encode_delta(delta: ListingDelta) -> list:
    upstreams = [
        list(upstream._replace(state=upstream.state.value))
        for upstream in delta.upstreams
    ]
    fields = delta._replace(
        pages=[list(page) for page in delta.pages],
        upstreams=upstreams,
        unreadable=list(delta.unreadable),
        removed=list(delta.removed),
    )
    return list(fields)


def _decode_delta(fields: list | None) -> ListingDelta | None:
    if fields is None:
        return None
    base, pages, upstreams, unreadable, removed, epoch = fields
    return ListingDelta(
        base=None if base is None else ListingVersion(int(base)),
        pages=_decode_pages(pages),
        upstreams=tuple(_decode_upstream(*upstream) for upstream in upstreams),
        unreadable=frozenset(UpstreamId(str(name)) for name in unreadable),
        removed=frozenset(UpstreamId(str(name)) for name in removed),
        epoch=StoreEpoch(int(epoch)),
    )


def _decode_pages(fields: list) -> tuple[ListingPage, ...]:
    pages = tuple(
        ListingPage(Revision(int(revision)), last_id) for revision, last_id in fields
    )
    has_valid_ids = all(isinstance(page.last_id, bytes | None) for page in pages)
    if not has_valid_ids or not are_valid(pages):
        raise MessageError("pages of a listing do not cover all ids")
    return pages


def _decode_upstream(
    upstream_id, service, address, zone, slots, state, cold_for_ms, started_ms
) -> Upstream:
    ip, port = address
    return Upstream(
        upstream_id=UpstreamId(str(upstream_id)),
        service=ServiceId(str(service)),
        address=Address(str(ip), int(port)),
        zone=ZoneId(str(zone)),
        slots=int(slots),
        state=UpstreamState(state),
        cold_for_ms=int(cold_for_ms),
        started_ms=int(started_ms),
    )
