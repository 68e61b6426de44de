"""Both ends of flows: clients that send packets to hosts, upstreams that get them.

The ends check what they see. A ``Finding`` names a promise that a host has broken.
"""

import random
import selectors
import socket
import time
from typing import NamedTuple

from wisteriatiller.steering.packets import SEQUENCE_RANGE

from .hostfleet import DATA_PORT, FleetHost, HostFleet
from .platformstandin import ACK, FIN, HEADER, RST, SYN, pack_packet
from .steeringparts import COPY_TIMES_S, OPENING_LIMIT_S

SERVICE = "198.18.0.1:443"
PACKET_INTERVAL_S = 0.12
REQUEST = b"hello"
FLOW_LENGTH_S = 4.0
# Packets of a flow come through another host with this chance.
MOVE_CHANCE = 0.3
INTENDED_BYTES = 8
# So few that a port is used again some seconds after its former flow has ended.
PORTS = range(1025, 1925)
# A reset of an open flow is as near as this to what its client has acknowledged.
RESET_WINDOW_BYTES = 76_800


class Finding(NamedTuple):
    """A broken promise, with what shows it."""

    promise: str
    detail: str


class UpstreamEnd:
    """The socket of an upstream, and what became of it."""

    def __init__(self, ip: str, number: int, service: str):
        self.number = number
        self.service = service
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, 0))
        self.socket.setblocking(False)
        self.address = f"{ip}:{self.socket.getsockname()[1]}"
        self.is_alive = True
        self.draining_at_s: float | None = None

    @property
    def key(self) -> str:
        return f"servers/i-{self.number:x}"


class ClientFlow:
    """One flow as its client knows it."""

    def __init__(self, source: str, now_s: float):
        self.source = source
        self.begun_at_s = now_s
        self.copies = 0
        self.home: UpstreamEnd | None = None
        self.host: FleetHost | None = None
        self.tag = 0
        self.sequence = random.randrange(1 << 31)
        self.acknowledged = random.randrange(1 << 31)
        # Whether the last request is not acknowledged yet.
        self.has_request = False
        self.next_at_s = now_s
        # Packets without their tag, with the time at which each was sent.
        self.sent: dict[bytes, float] = {}

    def is_named_by(self, reset_sequence: int) -> bool:
        """Whether the sequence number of a reset is near what the client expects."""
        distance = (reset_sequence - self.acknowledged) % SEQUENCE_RANGE
        return min(distance, SEQUENCE_RANGE - distance) <= RESET_WINDOW_BYTES

    def is_over(self, now_s: float) -> bool:
        age_s = now_s - self.begun_at_s
        limit_s = OPENING_LIMIT_S if self.home is None else FLOW_LENGTH_S
        return age_s > limit_s


class Counts:
    """What the ends have seen, as a whole and since ``mark``."""

    def __init__(self):
        self.opened = self.failed = self.sent = self.arrived = 0

    def line(self) -> str:
        return (
            f"opened={self.opened} failed={self.failed} "
            f"sent={self.sent} arrived={self.arrived}"
        )


class FlowEnds:
    """Runs the clients and upstreams in one thread, turn by turn."""

    def __init__(self, fleet: HostFleet, client_ip: str, rng: random.Random):
        self._fleet = fleet
        self._rng = rng
        self._client_ip = client_ip
        self._port_index = 0
        self._flows: dict[str, ClientFlow] = {}
        # The last flow that ended at each source. Its packets may still arrive.
        self._former_flows: dict[str, ClientFlow] = {}
        # The share of opening packets that are lost on their way to a host.
        self.lost_openings_share = 0.0
        # Its own, so that the moves of a seed stay what they are.
        self._loss_rng = random.Random(f"losses of {client_ip}")
        self._upstreams: dict[int, UpstreamEnd] = {}
        self.counts = Counts()
        self.findings: list[Finding] = []
        self.on_opening = lambda upstream, host, sent_at_s: None
        self._selector = selectors.DefaultSelector()
        self._client = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._client.bind((client_ip, DATA_PORT))
        self._client.setblocking(False)
        self._selector.register(self._client, selectors.EVENT_READ, None)

    def add_upstream(self, upstream: UpstreamEnd) -> None:
        self._upstreams[upstream.number] = upstream
        self._selector.register(upstream.socket, selectors.EVENT_READ, upstream)

    def close(self) -> None:
        for upstream in self._upstreams.values():
            upstream.socket.close()
        self._client.close()
        self._selector.close()

    def begin_flow(self) -> None:
        """Begin a flow from the next port, unless its former flow still lasts."""
        port = PORTS[self._port_index % len(PORTS)]
        self._port_index += 1
        source = f"{self._client_ip}:{port}"
        if source not in self._flows:
            self._flows[source] = ClientFlow(source, time.monotonic())

    def turn(self, wait_s: float) -> None:
        """Take what has come, send what is due."""
        for key, _ in self._selector.select(wait_s):
            if key.data is None:
                self._read(self._client, self._take_reset)
            else:
                self._read(
                    key.data.socket,
                    lambda data, ip, upstream=key.data: self._take(data, ip, upstream),
                )
        now_s = time.monotonic()
        for flow in list(self._flows.values()):
            self._serve(flow, now_s)

    def end_flows_of(self, upstream: UpstreamEnd) -> None:
        """Clients leave the flows of an upstream that has ended."""
        for flow in list(self._flows.values()):
            if flow.home is upstream:
                self._forget(flow)

    def _read(self, read_from: socket.socket, take) -> None:
        while True:
            try:
                data, (ip, _) = read_from.recvfrom(2000)
            except BlockingIOError:
                return
            take(data, ip)

    def _serve(self, flow: ClientFlow, now_s: float) -> None:
        if flow.is_over(now_s):
            self._end(flow)
        elif flow.home is None:
            age_s = now_s - flow.begun_at_s
            is_due = flow.copies < len(COPY_TIMES_S)
            if is_due and age_s >= COPY_TIMES_S[flow.copies]:
                self._send(flow, SYN, flow.copies)
                flow.copies += 1
        elif now_s >= flow.next_at_s:
            flow.next_at_s = now_s + PACKET_INTERVAL_S
            self.counts.sent += 1
            self._send_next(flow)

    def _send_next(self, flow: ClientFlow) -> None:
        """Send a request, or acknowledge the answer to it in a packet without data."""
        if flow.has_request:
            flow.acknowledged += 700
            self._send(flow, ACK, flow.acknowledged)
        else:
            self._send(flow, ACK, flow.acknowledged, REQUEST)
            flow.sequence += len(REQUEST)
        flow.has_request = not flow.has_request

    def _end(self, flow: ClientFlow) -> None:
        self._forget(flow)
        if flow.home is None:
            self.counts.failed += 1
        else:
            self._send(flow, FIN | ACK, flow.acknowledged)

    def _forget(self, flow: ClientFlow) -> None:
        del self._flows[flow.source]
        self._former_flows[flow.source] = flow

    def _send(
        self, flow: ClientFlow, flags: int, acknowledged: int, data: bytes = b""
    ) -> None:
        if (
            flow.host is None
            or self._rng.random() < MOVE_CHANCE
            or not flow.host.is_ready
        ):
            flow.host = self._fleet.route(self._rng)
        packet = pack_packet(
            flow.source, SERVICE, flags, flow.tag, flow.sequence, acknowledged, data
        )
        flow.sent[packet[4:]] = time.monotonic()
        if flags & SYN and self._loss_rng.random() < self.lost_openings_share:
            return
        self._client.sendto(packet, (flow.host.ip, DATA_PORT))

    def _take(self, data: bytes, ip: str, upstream: UpstreamEnd) -> None:
        """A packet has reached an upstream's socket."""
        intended = int.from_bytes(data[:INTENDED_BYTES], "big")
        packet = data[INTENDED_BYTES:]
        if intended != upstream.number or not upstream.is_alive:
            return
        flow = self._flows.get(_source(packet))
        if flow is None:
            return
        sent_at_s = flow.sent.get(packet[4:])
        former = self._former_flows.get(flow.source)
        if sent_at_s is None and former is not None and packet[4:] in former.sent:
            return
        if sent_at_s is None:
            self._find("unchanged packets", f"{flow.source} at i-{upstream.number:x}")
            return
        is_opening = HEADER.unpack_from(packet)[8] & SYN
        if not is_opening:
            self._take_data(flow, upstream, ip)
            return
        self.on_opening(upstream, self._fleet.by_ip(ip), sent_at_s)
        if flow.home is None:
            flow.home = upstream
            flow.tag = int.from_bytes(packet[:4], "big")
            self.counts.opened += 1

    def _take_data(self, flow: ClientFlow, upstream: UpstreamEnd, ip: str) -> None:
        if upstream is not flow.home:
            homes = f"i-{flow.home.number:x} and i-{upstream.number:x}"
            self._find("flows stay", f"{flow.source} at {homes} through {ip}")
            return
        self.counts.arrived += 1

    def _take_reset(self, data: bytes, ip: str) -> None:
        _, _, _, dst, dport, _, seq, _, flags, _, _ = HEADER.unpack_from(data)
        if not flags & RST:
            return
        source = f"{socket.inet_ntoa(dst.to_bytes(4, 'big'))}:{dport}"
        flow = self._flows.get(source)
        if flow is None or self._is_of_former_flow(flow, seq):
            return
        if flow.home is not None and flow.home.is_alive:
            upstream = f"i-{flow.home.number:x}"
            self._find("no reset of a live flow", f"{source} at {upstream} by {ip}")
        if flow.home is None:
            self.counts.failed += 1
        self._forget(flow)

    def _is_of_former_flow(self, flow: ClientFlow, reset_sequence: int) -> bool:
        """Whether a reset answers a late packet of the former flow of the port."""
        former = self._former_flows.get(flow.source)
        is_of_former = former is not None and former.is_named_by(reset_sequence)
        return is_of_former and not flow.is_named_by(reset_sequence)

    def _find(self, promise: str, detail: str) -> None:
        self.findings.append(Finding(promise, detail))


def _source(packet: bytes) -> str:
    _, src, sport, *_ = HEADER.unpack_from(packet)
    return f"{socket.inet_ntoa(src.to_bytes(4, 'big'))}:{sport}"
