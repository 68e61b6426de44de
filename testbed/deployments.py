"""The two users' deployments, as operators' texts and as stand-in upstreams."""

import json
from dataclasses import dataclass, field, replace

ZONES = ("quimper", "brest", "rennes")


@dataclass(frozen=True)
class UpstreamPlan:
    """One upstream of a service."""

    upstream_id: str
    zone: str
    address: str
    slots: int
    drain: bool = False


@dataclass(frozen=True)
class ServicePlan:
    """One service with its upstreams and the service time of the stand-ins."""

    name: str
    address: str
    mean_ms: float
    upstreams: tuple[UpstreamPlan, ...]
    depends_on: tuple[str, ...] = ()
    deadline_ms: int = 2000


@dataclass(frozen=True)
class Deployment:
    """All services of one configuration."""

    services: tuple[ServicePlan, ...] = field(default_factory=tuple)

    def text(self) -> str:
        """The operators' text."""
        services = {
            service.name: {
                "address": service.address,
                "requests": "coap",
                "depends_on": list(service.depends_on),
                "deadline_ms": service.deadline_ms,
                "upstreams": {
                    upstream.upstream_id: {
                        "address": upstream.address,
                        "zone": upstream.zone,
                        "slots": upstream.slots,
                        "drain": upstream.drain,
                    }
                    for upstream in service.upstreams
                },
            }
            for service in self.services
        }
        return json.dumps({"services": services}, indent=2)

    def drained(self, upstream_id: str) -> "Deployment":
        """The deployment with one upstream draining."""
        return Deployment(
            tuple(
                replace(
                    service,
                    upstreams=tuple(
                        replace(upstream, drain=True)
                        if upstream.upstream_id == upstream_id
                        else upstream
                        for upstream in service.upstreams
                    ),
                )
                for service in self.services
            )
        )

    def service(self, name: str) -> ServicePlan:
        return next(service for service in self.services if service.name == name)

    def zones(self) -> list[str]:
        return sorted({u.zone for s in self.services for u in s.upstreams})

    def upstream_arguments(self, zone: str) -> list[str]:
        """The command line of the stand-in that runs the upstreams of a zone."""
        arguments = []
        for service in self.services:
            arguments += [
                "--service",
                f"{service.name}={service.address},mean_ms={service.mean_ms:g}",
            ]
            for upstream in service.upstreams:
                if upstream.zone == zone:
                    arguments += [
                        "--upstream",
                        f"{upstream.upstream_id}={upstream.address},"
                        f"service={service.name},zone={zone},slots={upstream.slots}",
                    ]
        return arguments


def service_plan(
    subnet: str, index: int, name: str, count: int, slots: int, mean_ms: float, **more
) -> ServicePlan:
    """A service whose upstreams are spread evenly over the zones."""
    upstreams = tuple(
        UpstreamPlan(
            f"{name}-{number + 1}",
            ZONES[(number + index) % len(ZONES)],
            f"{subnet}.{100 + index}.{number + 1}:9000",
            slots,
        )
        for number in range(count)
    )
    address = f"{subnet}.200.{index + 1}:5683"
    return ServicePlan(name, address, mean_ms, upstreams, **more)


def both_users(subnet: str, mean_ms: float = 10.0) -> Deployment:
    """Today's deployments of both users in one configuration.

    Both users are placed in the same three zones, so that nine balancers in three
    zones serve all four services.
    """
    return Deployment(
        (
            service_plan(
                subnet,
                0,
                "stock-browser",
                7,
                3,
                mean_ms,
                depends_on=("sheet-service",),
            ),
            service_plan(subnet, 1, "sheet-service", 3, 3, mean_ms),
            service_plan(
                subnet, 2, "printer-hub", 7, 2, mean_ms, depends_on=("artwork-store",)
            ),
            service_plan(subnet, 3, "artwork-store", 3, 2, mean_ms),
        )
    )
