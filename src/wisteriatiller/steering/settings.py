"""Settings of a host that steers flows."""

from typing import NamedTuple

from wisteriatiller.ids import Address, HostId, ZoneId

# Longer long polls would save few calls.
MAX_WATCH_WAIT_S = 4.0
# Part of the bound of drains in which a host can read the store itself, once more if a
# connection fails at once.
OWN_READ_S = 0.5


class SteeringSettings(NamedTuple):
    """Addresses, timeouts and limits of a host.

    ``return_port`` is the port on which clients receive packets. ``seeds`` are control
    addresses of other hosts, some of which may be outdated. ``remote_weight`` is the
    weight of an upstream in another zone, relative to a local one, for new flows. A
    configuration must be applied within ``config_bound_s`` of its write to the store,
    and a view that was last confirmed longer ago rejects no flow for lack of a route.
    A drain must be known ``drain_bound_s`` after its write to the store.
    The store may answer a watch up to ``watch_slack_s`` after the end of its wait.
    ``uses_zone_findings`` lets the hosts of a zone judge upstreams together; without it
    they only share the response times of slow ones. An evacuation of a zone must be
    applied within ``evacuation_bound_s``; None if zones are not evacuated here. A cold
    upstream may get ``warmup_overage`` times its service's rate of new flows, and
    ``warmup_slack_flows`` more, in any second. ``refuses_on_overload`` lets hosts
    refuse flows of a service whose upstreams are all full; otherwise only upstreams
    reject.
    """

    host_id: HostId
    zone: ZoneId
    data_listen: Address
    ready_listen: Address
    control_listen: Address | None
    metrics_listen: Address
    return_port: int
    store: Address
    seeds: tuple[Address, ...]
    stop_timeout_s: float
    max_value_bytes: int
    flow_idle_s: float = 60.0
    remote_weight: float = 0.02
    listing_interval_s: float = 0.7
    share_interval_s: float = 0.6
    config_bound_s: float = 3.0
    drain_bound_s: float = 3.0
    watch_slack_s: float = 0.5
    store_timeout_s: float = 1.0
    store_retry_s: float = 0.25
    peer_timeout_s: float = 0.6
    uses_zone_findings: bool = False
    evacuation_bound_s: float | None = None
    warmup_overage: float = 1.0
    warmup_slack_flows: float = 0.0
    refuses_on_overload: bool = False

    @property
    def has_evacuations(self) -> bool:
        return self.evacuation_bound_s is not None

    @property
    def listing_deadline_s(self) -> float:
        """Return the age of a listing at which a host reads the store itself."""
        return max(self.drain_bound_s / 2, self.drain_bound_s - OWN_READ_S)

    @property
    def watched_bound_s(self) -> float:
        """Return the smallest bound of what one watch of the store returns."""
        return min(self.config_bound_s, self.evacuation_bound_s or float("inf"))

    @property
    def watch_wait_s(self) -> float:
        """Return the long-poll timeout of a watch of the configuration.

        A watch whose answer is lost hides a change for this long, and the change must
        still be read and passed on to other hosts within ``watched_bound_s``.
        """
        return min(MAX_WATCH_WAIT_S, self.watched_bound_s / 2)
