"""The home of a flow: the upstream that rendezvous hashing selects for it."""

from wisteriatiller.configuration import ConfigSource
from wisteriatiller.ids import FlowKey, ServiceId, UpstreamId
from wisteriatiller.membership import Membership


class HomeResolver:
    """Computes homes from the configuration in force and the reachable zones.

    While the zone of a flow's home is unreachable, the next upstream in rendezvous
    order whose zone is reachable takes its place.
    """

    def __init__(self, source: ConfigSource, membership: Membership):
        self._source = source
        self._membership = membership

    def home(self, service_id: ServiceId, flow_key: FlowKey) -> UpstreamId | None:
        """The home of the flow, reachable or not; None if no upstream takes flows."""
        return self._source.configuration.placement_tables[service_id].home(flow_key)

    def reachable_home(
        self, service_id: ServiceId, flow_key: FlowKey
    ) -> UpstreamId | None:
        """The home of the flow, or the upstream that takes its place.

        If no upstream is reachable, this is the home.
        """
        home = self.home(service_id, flow_key)
        if home is None or self.is_reachable(home):
            return home
        ranked = self._source.configuration.placement_tables[service_id].ranked(
            flow_key
        )
        return next((other for other in ranked if self.is_reachable(other)), home)

    def is_reachable(self, upstream_id: UpstreamId) -> bool:
        """Whether this host reaches the zone of the upstream."""
        upstream = self._source.configuration.upstreams[upstream_id]
        return self._membership.is_zone_reachable(upstream.zone)
