"""Routes, and the view of the newest configuration, which never goes back."""

from typing import NamedTuple, NewType

from wisteriatiller.ids import FlowKey, ServiceId
from wisteriatiller.placement import PlacementTable

from .packets import ServiceAddress

ConfigVersion = NewType("ConfigVersion", int)

NO_VERSION = ConfigVersion(0)


class WeightedService(NamedTuple):
    service: ServiceId
    weight: float


class Route(NamedTuple):
    """Where new flows of one service address may go."""

    name: str
    service_address: ServiceAddress
    services: tuple[WeightedService, ...]


class RouteConfig(NamedTuple):
    """The part of one configuration version that steering needs."""

    version: ConfigVersion
    routes: tuple[Route, ...]
    idle_timeout_ms: int


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
        self._placement_tables: dict[ServiceAddress, PlacementTable] = {}

    def apply(self, config: RouteConfig) -> bool:
        if config.version <= self.version:
            return False
        self.version = config.version
        self.config = config
        self._routes = {route.service_address: route for route in config.routes}
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

    def ranked_services(self, route: Route, flow: FlowKey) -> list[ServiceId]:
        """The services of the route, ranked for a flow: its preferred one first."""
        if len(route.services) == 1:
            return [route.services[0].service]
        table = self._placement_tables.get(route.service_address)
        if table is None:
            table = PlacementTable(route.services)
            self._placement_tables[route.service_address] = table
        return table.ranked(flow)
