"""Steps for uploads through the real data path, with a paced link or real sockets."""

import random
import socket
import struct
from collections import deque

from behave import given, then, when

from testbed.steeringparts import VirtualScheduler, upstream
from tests.steeringharness import SteeringHarness
from wisteriatiller.ids import Address
from wisteriatiller.network import EventLoop
from wisteriatiller.platform.packets import FlowPacketCodec
from wisteriatiller.steering.datapath import DataPath, bind_data_socket
from wisteriatiller.steering.upstreams import upstream_tag
from wisteriatiller.telemetry import Counters

UPLOAD_BYTES = 40_000
PACKET_BYTES = 1200
WINDOW = 16
PACKETS = -(-UPLOAD_BYTES // PACKET_BYTES)
FIRST_RETRANSMIT_S = 0.2
ROUND_TRIP_S = 0.008
# Linux doubles the buffers that a program asks for, and accounts 2,304 bytes for a
# datagram of this size. It limits the receive buffer to 212,992 bytes by default.
ACCOUNTED_BYTES = 2304
SEND_BUFFER_DATAGRAMS = 212_992 // ACCOUNTED_BYTES
RECEIVE_BUFFER_DATAGRAMS = 2 * 212_992 // ACCOUNTED_BYTES
SERVICE = (bytes((198, 18, 0, 1)), 443)
SYN, ACK = 8, 16
SEED = 5

_HEADER = struct.Struct(">I4sH4sHHIIBBI")


def encode(flow, seq, flags, payload, tag=0, ack=1):
    client = bytes((100, 64, flow >> 8, flow & 255))
    header = _HEADER.pack(
        tag, client, 40_000, *SERVICE, len(payload), seq, ack, flags, 0, 0
    )
    return header + payload


def decode_forwarded(data):
    """The number of the flow, the sequence number, the flags and the tag."""
    _, client, _, _, _, _, seq, _, flags, _, _ = _HEADER.unpack_from(data, 8)
    return int.from_bytes(client[2:], "big"), seq, flags, data[8:12]


class VirtualLoop(VirtualScheduler):
    """Virtual time, and one socket that is watched."""

    def __init__(self):
        super().__init__()
        self.on_readable = self.on_writable = None

    def watch(self, watched, on_readable, on_writable=None):
        self.on_readable, self.on_writable = on_readable, on_writable
        if on_readable or on_writable:
            self.call_later(0.0, watched.wake)


class PacedSocket:
    """A socket with bounded buffers before a link of a given speed."""

    def __init__(self, loop, bytes_per_s, on_sent):
        self._loop = loop
        self._bytes_per_s = bytes_per_s
        self._on_sent = on_sent
        self._received = deque()
        self._sending = deque()
        self.receive_losses = 0
        self._send_buffer = SEND_BUFFER_DATAGRAMS

    def setblocking(self, is_blocking):
        pass

    def setsockopt(self, level, option, value):
        if option == socket.SO_SNDBUF:
            self._send_buffer = 2 * value // ACCOUNTED_BYTES

    def getsockname(self):
        return ("10.0.0.1", 8172)

    def close(self):
        pass

    def deliver(self, data):
        """A datagram arrives from the network."""
        if len(self._received) >= RECEIVE_BUFFER_DATAGRAMS:
            self.receive_losses += 1
            return
        self._received.append(data)
        self._loop.call_later(0.0, self.wake)

    def wake(self):
        """Call back for what the socket is ready for, as the event loop does."""
        if self._received and self._loop.on_readable:
            self._loop.on_readable()
        if self._received and self._loop.on_readable:
            self._loop.call_later(0.0, self.wake)
        has_room = len(self._sending) < self._send_buffer // 2
        if has_room and self._loop.on_writable:
            self._loop.on_writable()

    def recv(self, size):
        if not self._received:
            raise BlockingIOError
        return self._received.popleft()

    def sendto(self, data, address):
        if len(self._sending) >= self._send_buffer:
            raise BlockingIOError
        self._sending.append(data)
        if len(self._sending) == 1:
            self._transmit()

    def _transmit(self):
        def sent():
            data = self._sending.popleft()
            self._on_sent(data)
            if self._sending:
                self._transmit()
            self.wake()

        self._loop.call_later(len(self._sending[0]) / self._bytes_per_s, sent)


class Upload:
    """A client that uploads over one flow and retransmits what is not acknowledged."""

    def __init__(self, site, number):
        self._site = site
        self.number = number
        self.began_s = site.loop.now_s()
        self.ended_s = None
        self.is_open = False
        self.tag = 0
        self.sent = {}
        self.acknowledged = set()
        self.arrived = []

    def begin(self):
        self._send_opening(0, FIRST_RETRANSMIT_S)

    def _send_opening(self, copy, wait_s):
        if self.is_open:
            return
        self._site.transmit(encode(self.number, 0, SYN, b"", ack=copy))
        self._site.loop.call_later(
            wait_s, lambda: self._send_opening(copy + 1, 2 * wait_s)
        )

    def opened(self, tag):
        self.tag = int.from_bytes(tag, "big")
        if not self.is_open:
            self.is_open = True
            self._fill_window()

    def acknowledge(self, index):
        self.acknowledged.add(index)
        if len(self.acknowledged) == PACKETS and self.ended_s is None:
            self.ended_s = self._site.loop.now_s()
        self._fill_window()

    def _fill_window(self):
        while len(self.sent) < PACKETS:
            if len(self.sent) - len(self.acknowledged) >= WINDOW:
                return
            index = len(self.sent)
            self.sent[index] = 0
            self._send(index, FIRST_RETRANSMIT_S)

    def _send(self, index, wait_s):
        if index in self.acknowledged:
            return
        self.sent[index] += 1
        size = min(PACKET_BYTES, UPLOAD_BYTES - index * PACKET_BYTES)
        packet = encode(
            self.number, 1 + index * PACKET_BYTES, ACK, bytes(size), self.tag
        )
        self._site.transmit(packet)
        self._site.loop.call_later(wait_s, lambda: self._send(index, 2 * wait_s))


class ThinSite:
    """One host with a thin link, its clients and its upstreams."""

    def __init__(self, bytes_per_s, uses_zone_findings=True):
        self.loop = VirtualLoop()
        self.socket = PacedSocket(self.loop, bytes_per_s, self._arrive)
        self.uploads = {}
        self.counters = Counters()
        listed = [upstream(f"a{number}") for number in range(6)]
        steering = SteeringHarness(upstreams=listed).steering
        steering.settings = steering.settings._replace(
            uses_zone_findings=uses_zone_findings
        )
        self.data_path = DataPath(
            self.loop,
            self.socket,
            FlowPacketCodec(8172),
            steering,
            self.counters,
        )
        self.data_path.start()
        self.most_held_bytes = 0
        self.transmitted = 0
        self.arrived = 0

    def begin_upload(self):
        upload = Upload(self, len(self.uploads) + 1)
        self.uploads[upload.number] = upload
        upload.begin()

    def transmit(self, data):
        """Send a packet of a client to the host."""
        self.transmitted += 1
        self.loop.call_later(ROUND_TRIP_S / 4, lambda: self.socket.deliver(data))
        self.most_held_bytes = max(
            self.most_held_bytes, metric(self.counters, "held_bytes")
        )

    def _arrive(self, data):
        """A packet has reached an upstream, which acknowledges it."""
        self.arrived += 1
        number, seq, flags, tag = decode_forwarded(data)
        upload = self.uploads[number]
        if flags & SYN:
            self.loop.call_later(ROUND_TRIP_S / 2, lambda: upload.opened(tag))
            return
        index = (seq - 1) // PACKET_BYTES
        upload.arrived.append(index)
        self.loop.call_later(ROUND_TRIP_S / 2, lambda: upload.acknowledge(index))


def metric(counters, name):
    """The value of a metric, summed over its kinds."""
    return sum(
        float(line.rpartition(" ")[2])
        for line in counters.render().splitlines()
        if line.startswith((f"wisteriatiller_{name}{{", f"wisteriatiller_{name} "))
    )


def counted(counters, name):
    """The value of one line of the metrics, 0 if there is none."""
    return sum(
        float(line.rpartition(" ")[2])
        for line in counters.render().splitlines()
        if line.startswith(f"wisteriatiller_{name} ")
    )


@given("a host whose link sends {rate_mbit_s:g} Mbit/s")
def given_thin_host(context, rate_mbit_s):
    context.site = ThinSite(rate_mbit_s * 1e6 / 8)


@given("a host without zone findings, whose link sends {rate_mbit_s:g} Mbit/s")
def given_thin_host_without_findings(context, rate_mbit_s):
    context.site = ThinSite(rate_mbit_s * 1e6 / 8, uses_zone_findings=False)


@when(
    "uploads come at {factor:g} times the usual {per_s:g} a second, for {length_s:d} "
    "seconds"
)
def when_uploads_come(context, factor, per_s, length_s):
    rng = random.Random(SEED)
    loop = context.site.loop
    at_s = rng.expovariate(factor * per_s)
    while at_s < length_s:
        loop.call_later(at_s, context.site.begin_upload)
        at_s += rng.expovariate(factor * per_s)
    loop.run_for(length_s + 10.0)


@when("{count:d} uploads begin at the same moment")
def when_uploads_begin(context, count):
    for _ in range(count):
        context.site.begin_upload()
    context.site.loop.run_for(20.0)


@when(
    "{count:d} uploads begin at the same moment, and the host closes {after_ms:d} ms "
    "later"
)
def when_host_closes(context, count, after_ms):
    for _ in range(count):
        context.site.begin_upload()
    context.site.loop.run_for(after_ms / 1000.0)
    context.site.data_path.close()


@then("every upload arrives, and no packet was sent twice")
def then_uploads_arrive(context):
    site = context.site
    assert site.uploads
    for upload in site.uploads.values():
        assert upload.ended_s is not None, upload.number
        assert set(upload.sent.values()) == {1}, upload.sent
    assert site.transmitted == site.arrived


@then("the host has dropped no packet")
def then_none_dropped(context):
    assert metric(context.site.counters, "datagrams_dropped_total") == 0
    assert metric(context.site.counters, "send_errors_total") == 0
    assert context.site.socket.receive_losses == 0


@then("the host has held packets, and dropped none but copies of those")
def then_held(context):
    counters = context.site.counters
    assert metric(counters, "datagrams_held_total") > 0
    copies = counted(counters, 'datagrams_dropped_total{kind="copy"}')
    assert metric(counters, "datagrams_dropped_total") == copies, counters.render()
    assert metric(counters, "send_errors_total") == 0
    assert context.site.socket.receive_losses == 0


@then("the host has held at most {limit_bytes:d} bytes")
def then_bounded(context, limit_bytes):
    assert 0 < context.site.most_held_bytes <= limit_bytes


@then("the packets that it has dropped are counted")
def then_drops_counted(context):
    assert metric(context.site.counters, "datagrams_dropped_total") > 0


@then("the host has held no packet, and counted each that it could not send")
def then_nothing_held(context):
    counters = context.site.counters
    assert metric(counters, "datagrams_held_total") == 0
    lost = context.site.transmitted - context.site.arrived
    assert lost > 0
    assert metric(counters, "send_errors_total") == lost, counters.render()


@then("every upload arrives within its deadline of {deadline_s:g} s")
def then_in_time(context, deadline_s):
    times_s = [
        upload.ended_s and upload.ended_s - upload.began_s
        for upload in context.site.uploads.values()
    ]
    assert all(time_s and time_s <= deadline_s for time_s in times_s), times_s


@then("the packets of each upload arrive in the order in which they were sent")
def then_in_order(context):
    for upload in context.site.uploads.values():
        firsts = list(dict.fromkeys(upload.arrived))
        assert firsts == sorted(firsts), firsts


@given("a data path on loopback sockets that is suspended")
def given_suspended(context):
    context.receiver = bind_data_socket(Address("127.0.0.1", 0))
    context.receiver.settimeout(2.0)
    context.receiver.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1_048_576)
    target = Address(*context.receiver.getsockname())
    context.listed = upstream("a1", address=target)
    context.loop = EventLoop()
    context.data_socket = bind_data_socket(Address("127.0.0.1", 0))
    context.data_path = DataPath(
        context.loop,
        context.data_socket,
        FlowPacketCodec(8172),
        SteeringHarness(upstreams=[context.listed]).steering,
        Counters(),
    )
    context.data_path.suspend()


@when(
    "the first {window:d} packets of {count:d} uploads arrive, and reading is resumed"
)
def when_packets_wait(context, window, count):
    tag = upstream_tag(context.listed.upstream_id)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for flow in range(count):
            for index in range(window):
                seq = 1 + index * PACKET_BYTES
                packet = encode(flow + 1, seq, ACK, bytes(PACKET_BYTES), tag)
                sender.sendto(packet, context.data_path.address)
    context.data_path.start()
    for _ in range(count):
        context.loop.run_once()


@then("all {count:d} packets are forwarded")
def then_forwarded(context, count):
    try:
        received = [context.receiver.recv(65_535) for _ in range(count)]
    finally:
        context.data_path.close()
        context.receiver.close()
    assert len({decode_forwarded(data)[:2] for data in received}) == count
