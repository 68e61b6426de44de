"""Routes, and the view of the newest configuration, which never goes back."""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple, NewType

from wisteriatiller.ids import FlowKey, ServiceId
from wisteriatiller.placement import PlacementTable

from .packets import ServiceAddress

ConfigVersion = NewType("ConfigVersion", int)

NO_VERSION = ConfigVersion(0)


class WeightedService(NamedTuple):
    service: ServiceId
    weight: float


class RequestKind(Enum):
    """What the requests of a route do, and whether clients may repeat them."""

    IDEMPOTENT = "idempotent"
    DOWNLOAD = "download"
    NON_IDEMPOTENT = "non_idempotent"
    UPLOAD = "upload"

    @property
    def is_idempotent(self) -> bool:
        return self in (RequestKind.IDEMPOTENT, RequestKind.DOWNLOAD)


class Route(NamedTuple):
    """Where new flows of one service address may go, and what they carry.

    ``priority`` 0 is the most urgent. ``target_latency_ms`` is the time within which
    callers want an answer, and ``timeout_ms`` that after which it is of no use; 0 if
    the configuration does not say.
    """

    name: str
    service_address: ServiceAddress
    services: tuple[WeightedService, ...]
    kind: RequestKind = RequestKind.NON_IDEMPOTENT
    priority: int = 0
    target_latency_ms: int = 0
    timeout_ms: int = 0


class WarmupSettings(NamedTuple):
    """How the upstreams of a service warm up after a start.

    ``warmup_s`` is how long it takes, and ``flows_per_s`` how many new flows an
    upstream bears meanwhile; 0 means no limit.
    """

    service: ServiceId
    warmup_s: float
    flows_per_s: float


class RouteConfig(NamedTuple):
    """The part of one configuration version that steering needs."""

    version: ConfigVersion
    routes: tuple[Route, ...]
    idle_timeout_ms: int
    warmups: tuple[WarmupSettings, ...] = ()


class ConfigView:
    """The newest configuration that this process has seen.

    ``apply`` ignores a version that is not newer and returns False, so that a late or
    stale read never reverts a change.
    """

    def __init__(self):
        self.version = NO_VERSION
        self.config: RouteConfig | None = None
        self.confirmed_at_s: float | None = None
        self._routes: dict[ServiceAddress, Route] = {}
        self._warmups: dict[ServiceId, WarmupSettings] = {}
        self._top_priorities: dict[ServiceId, int] = {}
        self._placement_tables: dict[ServiceAddress, PlacementTable] = {}

    def apply(self, config: RouteConfig) -> bool:
        if config.version <= self.version:
            return False
        self.version = config.version
        self.config = config
        self._routes = {route.service_address: route for route in config.routes}
        self._warmups = {warmup.service: warmup for warmup in config.warmups}
        self._top_priorities = _top_priorities(config.routes)
        self._placement_tables.clear()
        return True

    def confirm(self, now_s: float) -> None:
        """Record that the store had nothing newer at ``now_s``."""
        self.confirmed_at_s = now_s

    def age_s(self, now_s: float) -> float | None:
        """Seconds since the view was last known to be the newest; None if never."""
        return None if self.confirmed_at_s is None else now_s - self.confirmed_at_s

    def route(self, service_address: ServiceAddress) -> Route | None:
        return self._routes.get(service_address)

    def warmup_of(self, service: ServiceId) -> WarmupSettings | None:
        """How upstreams of a service warm up; None if nothing is configured."""
        return self._warmups.get(service)

    def names_service(self, service: ServiceId) -> bool:
        """Whether some route sends flows to the service."""
        return service in self._top_priorities

    def is_most_urgent(self, route: Route, service: ServiceId) -> bool:
        """Whether no route that uses the service is more urgent than this one."""
        return route.priority <= self._top_priorities.get(service, route.priority)

    def ranked_services(self, route: Route, flow: FlowKey) -> list[ServiceId]:
        """The services of the route, ranked for a flow: its preferred one first."""
        if len(route.services) == 1:
            return [route.services[0].service]
        table = self._placement_tables.get(route.service_address)
        if table is None:
            table = PlacementTable(route.services)
            self._placement_tables[route.service_address] = table
        return table.ranked(flow)


def _top_priorities(routes: Iterable[Route]) -> dict[ServiceId, int]:
    """The priority of the most urgent route of each service."""
    found: dict[ServiceId, int] = {}
    for route in routes:
        for service, _ in route.services:
            found[service] = min(route.priority, found.get(service, route.priority))
    return found
