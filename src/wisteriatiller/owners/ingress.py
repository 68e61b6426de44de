"""The ingress: receives callers' datagrams from the fabric and routes them."""

from dataclasses import dataclass

from wisteriatiller.configuration import (
    ConfigSource,
    Configuration,
    RequestMode,
    Service,
)
from wisteriatiller.exceptions import MessageError
from wisteriatiller.foundation import DatagramSocket, Environment
from wisteriatiller.ids import Address, FlowKey, HostId, UpstreamId
from wisteriatiller.transport import proxyheader

from .flowmessages import Forward, PinFlow
from .homes import HomeResolver
from .owner import Owner

# At this interval, a datagram of a pinned opaque flow goes through the owner instead of
# straight to the upstream. Without that, the owner's record of the flow would expire as
# idle.
PIN_REFRESH_S = 30.0
MAX_PINS = 200_000
MAX_REMOTE_FLOWS = 200_000


@dataclass(slots=True)
class Pin:
    """The upstream to which an ingress sends the datagrams of a flow.

    ``direct`` is set for opaque services: their datagrams bypass the owner.
    """

    upstream_id: UpstreamId
    address: Address
    direct: bool
    idle_s: float
    refresh_at_s: float
    last_used_s: float


class RecentFlows:
    """When flows were last seen, for the ``limit`` most recent ones, by their hash."""

    def __init__(self, limit: int):
        self._limit = limit
        self._seen_s: dict[int, float] = {}

    def add(self, flow_key: FlowKey, now_s: float) -> None:
        """Record that the flow was seen now; evict the least recent above the limit."""
        key = hash(flow_key)
        # Reinsertion moves the flow to the end, so that the least recent is first.
        self._seen_s.pop(key, None)
        self._seen_s[key] = now_s
        if len(self._seen_s) > self._limit:
            del self._seen_s[next(iter(self._seen_s))]

    def seen_since(self, flow_key: FlowKey, since_s: float) -> bool:
        """Whether the flow was seen at or after ``since_s``."""
        return self._seen_s.get(hash(flow_key), 0.0) >= since_s


class Ingress:
    """Routes flows to their homes, and pinned flows to the upstreams owners named."""

    def __init__(
        self,
        environment: Environment,
        source: ConfigSource,
        homes: HomeResolver,
        owner: Owner,
    ):
        self.fabric_port: DatagramSocket | None = None
        self.upstream_port: DatagramSocket | None = None
        self._environment = environment
        self._host_id = environment.settings.host_id
        self._source = source
        self._homes = homes
        self._owner = owner
        self._pins: dict[bytes, Pin] = {}
        self._remote_flows = RecentFlows(MAX_REMOTE_FLOWS)
        self._next_return_index = 0
        self.last_datagram_s = environment.clock.now_s()
        source.subscribe(self._reconfigure_pins)
        owner.pin_flow = self.pin
        environment.peers.register(PinFlow, self._handle_pin)

    def receive(self, data: bytes, address: Address) -> None:
        """Handle a datagram from the fabric."""
        now_s = self.last_datagram_s = self._environment.clock.now_s()
        # A header equal to a pinned one is valid, so most datagrams need no parsing.
        pin = self._pins.get(data[: proxyheader.IPV4_HEADER_BYTES])
        if pin is not None and self._send_direct(pin, data, now_s):
            return
        try:
            header, payload = proxyheader.split(data)
            pin = self._active_pin(header, now_s)
            if pin is not None and self._send_direct(pin, data, now_s):
                return
            self._forward_to_owner(header, payload, pin)
        except MessageError:
            self._environment.metrics.count("ingress.bad_datagrams")

    def answer(self, flow_key: FlowKey, payload: bytes) -> None:
        """Send a payload to the caller of a flow through the fabric."""
        header = proxyheader.make_header(proxyheader.reversed_key(flow_key))
        returns = self._environment.settings.fabric_return
        self._next_return_index = (self._next_return_index + 1) % len(returns)
        self.fabric_port.send(header + payload, returns[self._next_return_index])

    def pin(self, flow_key: FlowKey, upstream_id: UpstreamId) -> None:
        """Send the flow's datagrams to the upstream from now on."""
        configuration = self._source.configuration
        upstream = configuration.upstreams.get(upstream_id)
        if upstream is None or upstream.service_id not in configuration.services:
            return
        if len(self._pins) >= MAX_PINS:
            self._pins.pop(next(iter(self._pins)))
        now_s = self._environment.clock.now_s()
        service = configuration.services[upstream.service_id]
        header = proxyheader.make_header(flow_key)
        self._pins.pop(header, None)
        self._pins[header] = Pin(
            upstream_id,
            upstream.address,
            service.mode is RequestMode.OPAQUE,
            service.flow_idle_s,
            now_s + PIN_REFRESH_S,
            now_s,
        )

    def _active_pin(self, header: bytes, now_s: float) -> Pin | None:
        """The pin of a flow; one that was idle for too long is removed."""
        pin = self._pins.get(header)
        if pin is None:
            return None
        if now_s - pin.last_used_s > pin.idle_s:
            del self._pins[header]
            return None
        pin.last_used_s = now_s
        return pin

    def _send_direct(self, pin: Pin, data: bytes, now_s: float) -> bool:
        """Send a datagram of an opaque flow straight to its upstream.

        Returns False if the pin is not direct, is due for a refresh or was idle for
        too long.
        """
        if (
            not pin.direct
            or now_s >= pin.refresh_at_s
            or now_s - pin.last_used_s > pin.idle_s
        ):
            return False
        pin.last_used_s = now_s
        self.upstream_port.send(data, pin.address)
        return True

    def _forward_to_owner(self, header: bytes, payload: bytes, pin: Pin | None) -> None:
        """Give a datagram to the owner, with the pinned upstream or the flow's home."""
        flow_key = proxyheader.flow_key(header)
        configuration = self._source.configuration
        service = configuration.service_by_address.get(
            proxyheader.destination(flow_key)
        )
        if service is None:
            raise MessageError("no service has the destination address")
        if pin is not None:
            upstream_id = pin.upstream_id
        else:
            upstream_id = self._choose_upstream(service, flow_key)
        if upstream_id is None:
            # No upstream takes new flows; the owner of any of them refuses this one.
            upstream_id = next(iter(service.upstreams))
        forward = Forward(
            flow_key,
            upstream_id,
            configuration.revision,
            self._host_id,
            pin is not None,
            "",
            0,
            0,
            payload,
        )
        self._owner.receive(self._host_id, forward)

    def _choose_upstream(
        self, service: Service, flow_key: FlowKey
    ) -> UpstreamId | None:
        """The upstream for a flow without a pin.

        If the zone of its home is unreachable, a new flow goes to a reachable
        upstream. A flow that was seen before that keeps its home, and its requests get
        an error until the zone is reachable again.
        """
        home = self._homes.home(service.service_id, flow_key)
        if home is None:
            return None
        upstream = self._source.configuration.upstreams[home]
        if upstream.zone == self._environment.settings.zone:
            return home
        now_s = self._environment.clock.now_s()
        if self._homes.is_reachable(home):
            self._remote_flows.add(flow_key, now_s)
            return home
        if self._remote_flows.seen_since(flow_key, now_s - service.flow_idle_s):
            return home
        return self._homes.reachable_home(service.service_id, flow_key)

    def _handle_pin(self, sender: HostId, message: PinFlow) -> None:
        self.pin(FlowKey(message.flow_key), UpstreamId(message.upstream_id))

    def _reconfigure_pins(self, configuration: Configuration) -> None:
        """Remove the pins whose upstream is not in the addressed service any more."""
        for header, pin in list(self._pins.items()):
            address = proxyheader.destination(proxyheader.flow_key(header))
            service = configuration.service_by_address.get(address)
            upstream = configuration.upstreams.get(pin.upstream_id)
            if (
                service is None
                or upstream is None
                or upstream.service_id != service.service_id
            ):
                del self._pins[header]
            else:
                pin.direct = service.mode is RequestMode.OPAQUE
