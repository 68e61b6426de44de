"""Snapshots that hosts give each other while one of them lacks the store.

A snapshot holds the configuration and the listing of upstreams with their versions
and ages. The receiver takes over only what is newer than its own.
"""

from typing import NamedTuple

import msgpack

from wisteriatiller.exceptions import MessageError
from wisteriatiller.ids import Address, Revision, ServiceId, UpstreamId, ZoneId

from .directory import UpstreamDirectory
from .packets import ServiceAddress
from .routes import ConfigVersion, ConfigView, Route, RouteConfig, WeightedService
from .upstreams import Listing, Upstream, UpstreamState

MAX_SNAPSHOT_BYTES = 8_000_000
FORMAT = 1


class Snapshot(NamedTuple):
    """What a host knows; a part that it lacks is None.

    ``steady_s`` says for how long the host has read the store without a failure.
    """

    config: RouteConfig | None
    config_age_s: float
    listing: Listing | None
    listing_age_s: float
    steady_s: float
    peers: tuple[Address, ...]


def take_snapshot(
    view: ConfigView,
    directory: UpstreamDirectory,
    peers: tuple[Address, ...],
    now_s: float,
) -> Snapshot:
    """The snapshot of a host at ``now_s``."""
    has_config = view.config is not None and view.confirmed_at_s is not None
    has_listing = directory.listing is not None
    return Snapshot(
        config=view.config if has_config else None,
        config_age_s=now_s - view.confirmed_at_s if has_config else 0.0,
        listing=directory.listing,
        listing_age_s=now_s - directory.applied_at_s if has_listing else 0.0,
        steady_s=directory.steady_s(now_s),
        peers=peers,
    )


def encode_snapshot(snapshot: Snapshot) -> bytes:
    return msgpack.packb(
        [
            FORMAT,
            _encode_config(snapshot.config),
            snapshot.config_age_s,
            _encode_listing(snapshot.listing),
            snapshot.listing_age_s,
            snapshot.steady_s,
            [list(peer) for peer in snapshot.peers],
        ]
    )


def decode_snapshot(data: bytes) -> Snapshot:
    """Read a snapshot; ``MessageError`` if it is none."""
    try:
        form, config, config_age_s, listing, listing_age_s, steady_s, peers = (
            msgpack.unpackb(data)
        )
        if form != FORMAT:
            raise MessageError(f"snapshot of format {form}, expected {FORMAT}")
        return Snapshot(
            config=_decode_config(config),
            config_age_s=max(0.0, float(config_age_s)),
            listing=_decode_listing(listing),
            listing_age_s=max(0.0, float(listing_age_s)),
            steady_s=max(0.0, float(steady_s)),
            peers=tuple(Address(str(ip), int(port)) for ip, port in peers),
        )
    except (ValueError, TypeError, LookupError, msgpack.UnpackException) as error:
        raise MessageError(f"unreadable snapshot: {error!r}") from error


def _encode_config(config: RouteConfig | None) -> list | None:
    if config is None:
        return None
    routes = [
        [route.name, route.service_address, [list(part) for part in route.services]]
        for route in config.routes
    ]
    return [config.version, routes, config.idle_timeout_ms]


def _decode_config(fields: list | None) -> RouteConfig | None:
    if fields is None:
        return None
    version, routes, idle_timeout_ms = fields
    return RouteConfig(
        version=ConfigVersion(int(version)),
        routes=tuple(
            Route(
                name=str(name),
                service_address=ServiceAddress(bytes(service_address)),
                services=tuple(
                    WeightedService(ServiceId(str(service)), float(weight))
                    for service, weight in services
                ),
            )
            for name, service_address, services in routes
        ),
        idle_timeout_ms=int(idle_timeout_ms),
    )


def _encode_listing(listing: Listing | None) -> list | None:
    if listing is None:
        return None
    upstreams = [
        [*upstream._replace(address=list(upstream.address), state=upstream.state.value)]
        for upstream in listing.upstreams
    ]
    return [listing.revision, upstreams, list(listing.unreadable)]


def _decode_listing(fields: list | None) -> Listing | None:
    if fields is None:
        return None
    revision, upstreams, unreadable = fields
    return Listing(
        revision=Revision(int(revision)),
        upstreams=tuple(_decode_upstream(*upstream) for upstream in upstreams),
        unreadable=frozenset(UpstreamId(str(name)) for name in unreadable),
    )


def _decode_upstream(
    upstream_id, service, address, zone, slots, state, warmup_left_ms, started_ms
) -> Upstream:
    ip, port = address
    return Upstream(
        upstream_id=UpstreamId(str(upstream_id)),
        service=ServiceId(str(service)),
        address=Address(str(ip), int(port)),
        zone=ZoneId(str(zone)),
        slots=int(slots),
        state=UpstreamState(state),
        warmup_left_ms=int(warmup_left_ms),
        started_ms=int(started_ms),
    )
