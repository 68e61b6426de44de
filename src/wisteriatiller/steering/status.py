"""The content of a host's status page."""

from typing import TYPE_CHECKING

from .directory import DirectoryEntry
from .evacuation import EvacuationView
from .steering import FlowSteering

if TYPE_CHECKING:
    from .host import SteeringHost


def steering_status(host: "SteeringHost", now_s: float) -> dict:
    """Return the host's view of configuration, upstreams and peers as JSON values."""
    return {
        "host_id": host.settings.host_id,
        "zone": host.settings.zone,
        "readiness": host.readiness.value,
        "config": {
            "version": host.config.version,
            "age_s": host.config.age_s(now_s),
            "routes": 0
            if host.config.config is None
            else len(host.config.config.routes),
        },
        "directory": {
            "epoch": host.directory.position.epoch,
            "revision": host.directory.position.revision,
            "age_s": host.directory.age_s(now_s),
            "steady_s": host.directory.store_healthy_s(now_s),
        },
        "evacuated": (
            _evacuation_status(host.evacuations, now_s)
            if host.settings.has_evacuations
            else None
        ),
        "flows": len(host.steering.flows),
        "upstreams": [
            _upstream_status(entry, host.steering) for entry in host.directory.entries()
        ],
        "source": host.sharing.source.value,
        "peers": [f"{peer.zone}/{peer.address}" for peer in host.registry.known()],
    }


def _evacuation_status(view: EvacuationView, now_s: float) -> dict:
    return {
        "epoch": view.position.epoch,
        "revision": view.position.revision,
        "age_s": view.age_s(now_s),
        "zones": [
            {
                "zone": zone,
                "since_s": now_s - view.in_force_since_s(zone),
                "is_retained": zone in view.retained,
            }
            for zone in sorted(view.in_force)
        ],
    }


def _upstream_status(entry: DirectoryEntry, steering: FlowSteering) -> dict:
    upstream = entry.upstream
    return {
        "upstream_id": upstream.upstream_id,
        "service": upstream.service,
        "address": str(upstream.address),
        "zone": upstream.zone,
        "slots": upstream.slots,
        "state": upstream.state.value,
        "presence": entry.presence.value,
        "verdict": steering.outliers.health_of(upstream.upstream_id).state.value,
        "open_flows": steering.flows.open_flow_count(upstream.upstream_id),
    }
