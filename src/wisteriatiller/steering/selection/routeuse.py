"""Which routes of a service its clients use, by the opening packets of one host."""

from wisteriatiller.ids import ServiceId

from ..routes import ConfigView, Route
from .decayingcount import DecayingCount

# Long enough that a host of a large zone sees each route that clients use.
USE_DECAY_S = 20.0
# A more urgent route counts if it has at least this many times the flows of another. A
# configuration may hold routes that nobody uses, and single probes of them.
MIN_RELATIVE_USE = 0.2


class _RouteCount(DecayingCount):
    """The decaying count of the opening packets of a route."""

    def __init__(self, priority: int):
        super().__init__(USE_DECAY_S)
        self.priority = priority


class RouteUse:
    """Counts the flows of each route and service at this host."""

    def __init__(self, config: ConfigView):
        self._config = config
        self._counts: dict[ServiceId, dict[str, _RouteCount]] = {}

    def record(self, service: ServiceId, route: Route, now_s: float) -> None:
        """Count an opening packet of a route that may go to a service."""
        counts = self._counts.setdefault(service, {})
        count = counts.get(route.name)
        if count is None or count.priority != route.priority:
            count = counts[route.name] = _RouteCount(route.priority)
        count.add(now_s)

    def is_most_urgent(self, service: ServiceId, route: Route, now_s: float) -> bool:
        """Whether no route that clients use is more urgent than this one.

        The configuration decides while this host has seen flows of one priority only.
        """
        counts = self._counts.get(service, {})
        if len({count.priority for count in counts.values()}) < 2:
            return self._config.is_most_urgent(route, service)
        own = counts.get(route.name)
        minimum = MIN_RELATIVE_USE * (0.0 if own is None else own.value(now_s))
        return not any(
            count.priority < route.priority and count.value(now_s) >= minimum
            for count in counts.values()
        )
