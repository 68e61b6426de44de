"""A test harness for flow steering without a network, and builders of its inputs."""

from testbed.steeringparts import SERVICE_ADDRESS, route_config, steering_settings
from wisteriatiller.ids import NO_EPOCH, FlowKey, Revision, ServiceId, StoreEpoch
from wisteriatiller.steering import (
    ConfigVersion,
    Listing,
    Packet,
    PacketKind,
    Route,
    RouteConfig,
    ServiceAddress,
    WeightedService,
)
from wisteriatiller.steering.directory import UpstreamDirectory
from wisteriatiller.steering.listingpages import single_page
from wisteriatiller.steering.routes import ConfigView
from wisteriatiller.steering.steering import FlowSteering, SteeringObserver
from wisteriatiller.steering.upstreams import NO_TAG

OTHER_ADDRESS = ServiceAddress(bytes((198, 18, 0, 2, 1, 187)))


class RecordingObserver(SteeringObserver):
    """Records each notification of steering as a tuple that begins with its kind."""

    def __init__(self):
        self.events = []

    def flow_placed(self, packet, route, entry, reason):
        self.events.append(("opened", entry.upstream.upstream_id, reason))

    def flow_established(self, flow, waited_s):
        self.events.append(("answered", flow.upstream_id, waited_s))

    def request_answered(self, flow, waited_s):
        self.events.append(("request_answered", flow.upstream_id, waited_s))

    def packet_refused(self, packet, refusal):
        self.events.append(("refused", refusal.reason))

    def flow_reset(self, reset):
        self.events.append(("flow_reset", reset.flow))

    def packet_discarded(self, packet, discard):
        self.events.append(("discarded", discard.reason))

    def upstream_suspected(self, upstream_id, flows):
        self.events.append(("suspected", upstream_id))

    def upstream_trusted(self, upstream_id):
        self.events.append(("trusted", upstream_id))

    def unknown_tag_received(self):
        self.events.append(("tag_unknown",))


def make_listing(revision, *upstreams, unreadable=(), epoch=NO_EPOCH):
    """A listing at a store revision; ``unreadable`` are ids of unreadable entries."""
    return Listing(
        single_page(Revision(revision)),
        tuple(upstreams),
        frozenset(unreadable),
        epoch,
    )


def config_with_routes(version, count):
    """A configuration with ``count`` routes to one service, as large operators have."""
    routes = [
        Route(
            f"route-{number}",
            ServiceAddress(bytes((198, 18, number >> 8, number & 255, 1, 187))),
            (WeightedService(ServiceId("stock"), 1.0),),
        )
        for number in range(count)
    ]
    return RouteConfig(ConfigVersion(version), tuple(routes), 15_000)


def flow_key(number, service_address=SERVICE_ADDRESS):
    """The key of flow ``number``; each flow has a client address of its own."""
    client = bytes((100, 64, number >> 8 & 255, number & 255))
    return FlowKey(client + (40_000).to_bytes(2, "big") + service_address)


def opening_packet(number, retransmit_count=0, address=SERVICE_ADDRESS):
    """The opening packet of a flow that was sent ``retransmit_count`` times before."""
    return Packet(
        flow=flow_key(number, address),
        service_address=address,
        kind=PacketKind.OPENING,
        tag=NO_TAG,
        sequence=5000 + number,
        acknowledged=retransmit_count,
        payload_bytes=0,
        retransmit_count=retransmit_count,
    )


def established_packet(
    number, tag, sequence=1, acknowledged=1, payload_bytes=100, **changes
):
    """A packet after the opening one; ``changes`` replace any of its fields."""
    packet = Packet(
        flow=flow_key(number),
        service_address=SERVICE_ADDRESS,
        kind=PacketKind.ESTABLISHED,
        tag=tag,
        sequence=sequence,
        acknowledged=acknowledged,
        payload_bytes=payload_bytes,
    )
    return packet._replace(**changes)


class SteeringHarness:
    """One host's steering, with its directory, configuration and simulated clock."""

    def __init__(self, zone="a", config=None, upstreams=(), **settings):
        self.now_s = 1000.0
        self.directory = UpstreamDirectory()
        self.config_view = ConfigView()
        self.observer = RecordingObserver()
        self.steering = FlowSteering(
            steering_settings(zone, **settings),
            self.directory,
            self.config_view,
            self.observer,
        )
        self.listing_revision = 0
        self.store_epoch = StoreEpoch(1)
        self.apply_listing(*upstreams)
        self.apply_config(config or route_config(1, ("stock", 1.0)))

    def apply_listing(self, *upstreams, unreadable=(), store_healthy_s=60.0):
        """Apply the next listing and return the changes of the directory."""
        self.listing_revision += 1
        changes = self.directory.apply(
            make_listing(
                self.listing_revision,
                *upstreams,
                unreadable=unreadable,
                epoch=self.store_epoch,
            ),
            self.now_s,
            store_healthy_s,
        ).changes
        self.steering.apply_directory_changes(changes)
        return changes

    def restore_store(self):
        """Let the next listing come from a copy of the store that is much older."""
        self.store_epoch += 1
        self.listing_revision = 0

    def apply_config(self, config):
        """Put a configuration in force and confirm it as the newest."""
        self.config_view.apply(config)
        self.config_view.confirm(self.now_s)

    def steer(self, packet, after_s=0.0):
        """Advance the clock and return the decision about a packet."""
        self.now_s += after_s
        return self.steering.steer(packet, self.now_s)

    def open_flow(self, number):
        """Steer a flow's opening and first established packet; return its upstream."""
        decision = self.steer(opening_packet(number))
        self.steer(established_packet(number, decision.tag), after_s=0.01)
        return decision.upstream
