"""What a valid text changes, and which of its limits contradict each other.

A valid text has no entry that can never match: ``load_text`` refuses repeated ids and
addresses, unknown dependencies and services without an upstream for new flows.
"""

from collections.abc import Iterator

from wisteriatiller.configfindings import Fields, Finding, Severity, compare_entries

from .config import Configuration, Service, Upstream

_SERVICE_REMOVED = "removed; new flows are refused, and open flows may be lost"


def find_contradictions(configuration: Configuration) -> Iterator[Finding]:
    """Yield limits that contradict each other.

    These are warnings, since ``submit`` accepts them.
    """
    for service in configuration.services.values():
        if service.flow_idle_s * 1000 < service.deadline_ms:
            yield Finding(
                Severity.WARNING,
                f"services.{service.service_id}.flow_idle_s",
                f"found {service.flow_idle_s}, shorter than deadline_ms "
                f"{service.deadline_ms}: a flow can expire while its caller waits",
            )


def find_differences(
    in_force: Configuration, submitted: Configuration
) -> Iterator[Finding]:
    """Yield what differs from the configuration in force, field by field."""
    yield from compare_entries(_limits(in_force), _limits(submitted))
    yield from compare_entries(
        _services(in_force), _services(submitted), Severity.WARNING, _SERVICE_REMOVED
    )
    yield from compare_entries(_upstreams(in_force), _upstreams(submitted))


def _limits(configuration: Configuration) -> dict[str, Fields]:
    return {"": {"shard_count": configuration.shard_count}}


def _services(configuration: Configuration) -> dict[str, Fields]:
    return {
        f"services.{service.service_id}": _service_fields(service)
        for service in configuration.services.values()
    }


def _upstreams(configuration: Configuration) -> dict[str, Fields]:
    return {
        f"services.{service.service_id}.upstreams.{upstream.upstream_id}": (
            _upstream_fields(upstream)
        )
        for service in configuration.services.values()
        for upstream in service.upstreams.values()
    }


def _service_fields(service: Service) -> Fields:
    return {
        "address": str(service.address),
        "requests": service.mode.value,
        "depends_on": sorted(service.depends_on),
        "deadline_ms": service.deadline_ms,
        "flow_idle_s": service.flow_idle_s,
        "slow_start_s": service.slow_start_s,
        "objective": service.objective,
    }


def _upstream_fields(upstream: Upstream) -> Fields:
    return {
        "address": str(upstream.address),
        "zone": upstream.zone,
        "slots": upstream.slots,
        "weight": upstream.weight,
        "drain": upstream.drain,
    }
