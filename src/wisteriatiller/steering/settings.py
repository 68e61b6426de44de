"""Settings of a host that steers flows."""

from typing import NamedTuple

from wisteriatiller.ids import Address, HostId, ZoneId

# Longer waits would save few calls.
MAX_WATCH_WAIT_S = 4.0


class SteeringSettings(NamedTuple):
    """What a host is told at its start, and the limits it keeps.

    ``return_port`` is the port at which clients take packets. ``seeds`` are control
    addresses of hosts that may be stale. Of new flows, an upstream in another zone
    takes ``remote_weight`` of what a local one takes. A configuration has to be in
    force ``config_bound_s`` after the store took it, and an older view denies no route.
    The store may end a watch up to ``watch_slack_s`` after its wait.
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
    watch_slack_s: float = 0.5
    store_timeout_s: float = 1.0
    store_retry_s: float = 0.25
    peer_timeout_s: float = 0.6

    @property
    def watch_wait_s(self) -> float:
        """How long a watch of the configuration waits for a change.

        A watch that gets no answer hides a change for so long, and the change still
        has to be read and passed on within the bound.
        """
        return min(MAX_WATCH_WAIT_S, self.config_bound_s / 2)
