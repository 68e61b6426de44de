"""Backpressure: early refusal while a dependency cannot take more requests."""

from wisteriatiller.configuration import ConfigSource, Configuration
from wisteriatiller.foundation import Environment
from wisteriatiller.ids import CallerId, ServiceId
from wisteriatiller.outcomes import Reason
from wisteriatiller.requests import DispatchPolicy

from .loads import LoadTable, transitive_dependencies

# The probability of a refusal rises from 0 at this pressure to 1 at full pressure.
# Load summaries are about a second late, so that refusing either all requests or none
# would oscillate and repeatedly leave the dependency idle.
MIN_REFUSAL_PRESSURE = 0.5
PRESSURE_CACHE_LIFETIME_S = 0.2


class BackpressurePolicy(DispatchPolicy):
    """Refuses requests early under backpressure, and retries only at the front.

    Requests from an upstream of a dependent service are not retried: retries are up to
    the service that the original caller addressed.
    """

    def __init__(
        self, environment: Environment, source: ConfigSource, load_table: LoadTable
    ):
        self._environment = environment
        self._source = source
        self._load_table = load_table
        self._pressures: dict[ServiceId, tuple[float, float]] = {}
        self._dependent_ips: dict[ServiceId, set[str]] = {}
        self._dependent_ips_configuration: Configuration | None = None

    def early_refusal_reason(self, service_id: ServiceId) -> Reason | None:
        pressure = self.pressure_of_dependencies(service_id)
        if pressure <= MIN_REFUSAL_PRESSURE:
            return None
        refused_share = (pressure - MIN_REFUSAL_PRESSURE) / (1 - MIN_REFUSAL_PRESSURE)
        if self._environment.random.random() < refused_share:
            return Reason.DEPENDENCY
        return None

    def may_retry(self, service_id: ServiceId, caller_id: CallerId) -> bool:
        configuration = self._source.configuration
        if self._dependent_ips_configuration is not configuration:
            self._dependent_ips_configuration = configuration
            self._dependent_ips = _ips_of_dependents(configuration)
        return caller_id not in self._dependent_ips.get(service_id, ())

    def pressure_of_dependencies(self, service_id: ServiceId) -> float:
        """The highest pressure of all services on which the service depends."""
        now_s = self._environment.clock.now_s()
        computed_s, pressure = self._pressures.get(service_id, (float("-inf"), 0.0))
        if now_s - computed_s > PRESSURE_CACHE_LIFETIME_S:
            configuration = self._source.configuration
            pressure = max(
                (
                    self.pressure_of(other)
                    for other in transitive_dependencies(configuration, service_id)
                ),
                default=0.0,
            )
            self._pressures[service_id] = (now_s, pressure)
        return pressure

    def pressure_of(self, service_id: ServiceId) -> float:
        """The mean pressure of a service's upstreams, by weight.

        Upstreams without a known load are left out: missing summaries are no reason to
        refuse requests.
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
    """For each service, the IP addresses of the upstreams that depend on it."""
    found: dict[ServiceId, set[str]] = {}
    for service in configuration.services.values():
        ips = {upstream.address.ip for upstream in service.upstreams.values()}
        for dependency in service.depends_on:
            found.setdefault(dependency, set()).update(ips)
    return found
