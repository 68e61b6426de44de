"""Early refusal at services whose dependencies cannot take more requests."""

from wisteriatiller.configuration import ConfigSource, Configuration
from wisteriatiller.foundation import Environment
from wisteriatiller.ids import CallerId, ServiceId
from wisteriatiller.outcomes import Reason
from wisteriatiller.requests import DispatchPolicy

from .loads import LoadTable, dependencies

# Requests are refused with a probability that rises from 0 at this pressure to 1 at
# full pressure. Refusing all or none would swing with the second's delay of the
# summaries and leave the dependency idle every other moment.
REFUSE_FROM = 0.5
PRESSURE_LIFETIME_S = 0.2


class BackpressurePolicy(DispatchPolicy):
    """Refuses early by the pressure of dependencies, and retries at the front only."""

    def __init__(
        self, environment: Environment, source: ConfigSource, load_table: LoadTable
    ):
        self._environment = environment
        self._source = source
        self._load_table = load_table
        self._pressures: dict[ServiceId, tuple[float, float]] = {}
        self._inner_ips: dict[ServiceId, set[str]] = {}
        self._inner_of: Configuration | None = None

    def early_refusal_reason(self, service_id: ServiceId) -> Reason | None:
        pressure = self.pressure_of_dependencies(service_id)
        if pressure <= REFUSE_FROM:
            return None
        refused_share = (pressure - REFUSE_FROM) / (1 - REFUSE_FROM)
        if self._environment.random.random() < refused_share:
            return Reason.DEPENDENCY
        return None

    def may_retry(self, service_id: ServiceId, caller_id: CallerId) -> bool:
        configuration = self._source.configuration
        if self._inner_of is not configuration:
            self._inner_of = configuration
            self._inner_ips = _ips_of_dependents(configuration)
        return caller_id not in self._inner_ips.get(service_id, ())

    def pressure_of_dependencies(self, service_id: ServiceId) -> float:
        """The highest pressure of the services on which the service depends."""
        now_s = self._environment.clock.now_s()
        made_s, pressure = self._pressures.get(service_id, (float("-inf"), 0.0))
        if now_s - made_s > PRESSURE_LIFETIME_S:
            configuration = self._source.configuration
            pressure = max(
                (
                    self.pressure_of(other)
                    for other in dependencies(configuration, service_id)
                ),
                default=0.0,
            )
            self._pressures[service_id] = (now_s, pressure)
        return pressure

    def pressure_of(self, service_id: ServiceId) -> float:
        """The weighted mean pressure of a service's upstreams.

        Upstreams of which nothing is known count neither way: silence of the owners
        is no reason to refuse requests.
        """
        service = self._source.configuration.services.get(service_id)
        if service is None:
            return 1.0
        pressure = weight = 0.0
        for upstream in service.upstreams.values():
            load = self._load_table.load_of(upstream.upstream_id)
            if load is not None:
                pressure += upstream.weight * load.pressure
                weight += upstream.weight
        return pressure / weight if weight else 0.0


def _ips_of_dependents(configuration: Configuration) -> dict[ServiceId, set[str]]:
    """For each service, the IP numbers of upstreams that call it for their callers."""
    found: dict[ServiceId, set[str]] = {}
    for service in configuration.services.values():
        ips = {upstream.address.ip for upstream in service.upstreams.values()}
        for dependency in service.depends_on:
            found.setdefault(dependency, set()).update(ips)
    return found
