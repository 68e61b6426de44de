"""Builds the JSON document that a host serves at ``/status``."""

from .runtime import Host


def host_status(host: Host) -> dict:
    """Return the identity, membership view, load and counters of a host."""
    settings = host.environment.settings
    configuration = host.source.configuration
    return {
        "host_id": settings.host_id,
        "zone": settings.zone,
        "state": "leaving" if host.leases.is_leaving else "live",
        "revision": configuration.revision,
        "members": [
            {
                "host_id": member.host_id,
                "zone": member.zone,
                "state": member.state.value,
            }
            for member in host.membership.members()
        ],
        "unfinished": host.count_unfinished(),
        "upstreams": _upstream_statuses(host),
        "counters": host.environment.metrics.counters(),
    }


def _upstream_statuses(host: Host) -> dict[str, dict]:
    """Return the flows, requests and health of each upstream that this host owns."""
    return {
        upstream_id: {
            "service": dispatcher.service.service_id,
            "open_flows": owned.flows.open_count(upstream_id),
            "in_flight": dispatcher.in_flight,
            "queued": dispatcher.queued,
            "down": dispatcher.health.is_down,
        }
        for owned in host.shards
        for upstream_id, dispatcher in owned.dispatchers.items()
    }
