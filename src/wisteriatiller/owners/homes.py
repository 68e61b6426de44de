"""The home of a flow among the upstreams that this host can reach."""

from wisteriatiller.configuration import ConfigSource
from wisteriatiller.ids import FlowKey, ServiceId, UpstreamId
from wisteriatiller.membership import Membership


class HomeResolver:
    """Computes homes from the configuration in force and the reachable zones.

    While the zone of a flow's home is cut off, the next upstream in rendezvous order
    in a reachable zone stands in for it.
    """

    def __init__(self, source: ConfigSource, membership: Membership):
        self._source = source
        self._membership = membership

    def home(self, service_id: ServiceId, flow_key: FlowKey) -> UpstreamId | None:
        """The home of the flow, whether it can be reached or not."""
        return self._source.configuration.tables[service_id].home(flow_key)

    def reachable_home(
        self, service_id: ServiceId, flow_key: FlowKey
    ) -> UpstreamId | None:
        """The home of the flow, or the upstream that stands in for it."""
        home = self.home(service_id, flow_key)
        if home is None or self.is_reachable(home):
            return home
        ranked = self._source.configuration.tables[service_id].ranked(flow_key)
        return next((other for other in ranked if self.is_reachable(other)), home)

    def is_reachable(self, upstream_id: UpstreamId) -> bool:
        upstream = self._source.configuration.upstreams[upstream_id]
        return self._membership.zone_reachable(upstream.zone)
