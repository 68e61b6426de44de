"""Clients and backends that speak in flows, as PROTOCOL.md has it."""

import random
import time
from collections import deque
from collections.abc import Callable

from .wire import (
    ACK,
    FIN,
    RESET_WINDOW_BYTES,
    RST,
    SEQUENCE_RANGE,
    SYN,
    Packet,
    ip_text,
    pack,
    unpack,
)

COPY_TIMES_S = (0.0, 0.2, 0.6)
OPENING_LIMIT_S = 1.4
FIRST_REPEAT_S = 0.2
MAX_REPEAT_S = 1.6
MAX_BACKEND_REPEATS = 8
REQUEST_DEADLINE_S = 3.0


class _Sending:
    """The bytes that one end has sent last and that are not acknowledged yet."""

    def __init__(self):
        self.data = b""
        self.seq = 0
        self.flags = 0
        self.repeats = 0
        self.repeat_at_s = float("inf")

    def begin(self, data: bytes, seq: int, flags: int, now_s: float) -> None:
        self.data, self.seq, self.flags = data, seq, flags
        self.repeats = 0
        self.repeat_at_s = now_s + FIRST_REPEAT_S

    def is_due(self, now_s: float) -> bool:
        return now_s >= self.repeat_at_s

    def repeat(self, now_s: float) -> None:
        self.repeats += 1
        wait_s = min(FIRST_REPEAT_S * 2**self.repeats, MAX_REPEAT_S)
        self.repeat_at_s = now_s + wait_s

    def end(self) -> None:
        self.repeat_at_s = float("inf")


class ClientFlow:
    """One flow at its client: opening, some requests one by one, end."""

    def __init__(self, source, service, requests: int, now_s: float):
        self.source, self.service = source, service
        self.requests_left = requests
        self.begun_at_s = now_s
        self.first_sent_s = now_s
        self.copies = 0
        self.echo = 0
        self.isn = random.randrange(1, SEQUENCE_RANGE)
        self.next_seq = (self.isn + 1) % SEQUENCE_RANGE
        self.peer_seq: int | None = None
        self.ack = 0
        self.sending = _Sending()
        self.is_open = False
        # The backend lifetime at which the flow is open, as its backend knows it.
        self.home: object | None = None
        self.is_waiting = False
        self.asked_at_s = 0.0
        self.ask_at_s = now_s
        self.request_id = ""
        # When each copy of the opening packet left the client.
        self.copy_sent_s: dict[int, float] = {}


class BackendFlow:
    """One flow at its backend."""

    def __init__(self, packet: Packet, seq: int):
        self.client, self.service = packet.source, packet.target
        self.echo = packet.echo
        self.seq = seq
        self.is_open = False
        self.is_closed = False
        self.next_seq = (seq + 1) % SEQUENCE_RANGE
        self.expected = (packet.seq + 1) % SEQUENCE_RANGE
        self.sending = _Sending()
        self.last_seen_s = 0.0


class Lifetime:
    """One start of a backend: its flows and requests are of this lifetime only."""

    def __init__(self, number: int, service: str, born_ms: int):
        self.number, self.service, self.born_ms = number, service, born_ms
        self.started_s = time.monotonic()
        self.state = "ready"
        self.draining_ack_s: float | None = None
        self.is_alive = True
        self.flows: dict = {}
        # The opening packets of its flows, as the judge of a case notes them.
        self.openings: dict = {}
        self.queue: deque = deque()
        self.running: list = []
        self.runs = 0
        self.sequence = 0


class Backend:
    """A machine with a backend: one UDP socket, one lifetime at a time."""

    def __init__(self, sock, address: str, zone: str, work_s: float, slots: int = 2):
        self.socket, self.address, self.zone = sock, address, zone
        self.work_s, self.slots = work_s, slots
        self.life: Lifetime | None = None
        self.client_port = 0
        self.on_opening: Callable = lambda backend, packet, host_ip: None
        self.on_open: Callable = lambda backend, packet, host_ip: None
        self.on_run: Callable = lambda backend, flow, request_id: None

    def entry(self, cold_s: float) -> dict:
        life = self.life
        life.sequence += 1
        left_s = cold_s - (time.monotonic() - life.started_s)
        return {
            "service": life.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "concurrency": self.slots,
            "state": life.state,
            "warmup_left_ms": max(0, round(1000 * left_s)),
            "sequence": life.sequence,
            "born": life.born_ms,
        }

    def take(self, data: bytes, host_ip: str, now_s: float) -> None:
        life = self.life
        intended = int.from_bytes(data[:8], "big")
        if life is None or not life.is_alive:
            return
        if intended not in (0, life.number):
            return
        packet, keyed_sum = unpack(data[8:])
        if keyed_sum != packet.keyed_sum:
            return
        key = (packet.source, packet.target)
        flow = life.flows.get(key)
        if packet.flags & RST:
            life.flows.pop(key, None)
            return
        if packet.flags & SYN:
            self._take_opening(packet, flow, host_ip, now_s)
            return
        if flow is None:
            self._send_reset(packet)
            return
        self._take_on_flow(packet, flow, host_ip, now_s)

    def _take_opening(self, packet, flow, host_ip, now_s) -> None:
        if packet.flags & ACK:
            return
        life = self.life
        expected = (packet.seq + 1) % SEQUENCE_RANGE
        if flow is not None and flow.expected != expected and flow.is_closed:
            flow = None
        if flow is None:
            flow = BackendFlow(packet, random.randrange(1, SEQUENCE_RANGE))
            life.flows[packet.source, packet.target] = flow
            self.on_opening(self, packet, host_ip)
        flow.echo = packet.echo
        flow.last_seen_s = now_s
        if not flow.is_open:
            self._send(flow, SYN | ACK, flow.seq, flow.expected)

    def _take_on_flow(self, packet, flow, host_ip, now_s) -> None:
        flow.echo = packet.echo
        flow.last_seen_s = now_s
        if not flow.is_open:
            if packet.ack != flow.next_seq:
                self._send_reset(packet)
                return
            flow.is_open = True
            self.on_open(self, packet, host_ip)
        if packet.ack == flow.next_seq:
            flow.sending.end()
        if packet.flags & FIN:
            flow.expected = (packet.seq + len(packet.data) + 1) % SEQUENCE_RANGE
            if not flow.is_closed:
                flow.is_closed = True
                self._send(flow, FIN | ACK, flow.next_seq, flow.expected)
            else:
                self._send(flow, ACK, flow.next_seq, flow.expected)
            return
        if not packet.data:
            return
        if flow.is_closed:
            self._send_reset(packet)
        elif packet.seq == flow.expected:
            flow.expected = (packet.seq + len(packet.data)) % SEQUENCE_RANGE
            request_id = packet.data.split(b"Request-Id: ")[1].split(b"\r")[0].decode()
            self.life.queue.append((flow, request_id))

    def step(self, now_s: float) -> None:
        life = self.life
        if life is None or not life.is_alive:
            return
        while life.queue and len(life.running) < self.slots:
            flow, request_id = life.queue.popleft()
            life.runs += 1
            self.on_run(self, flow, request_id)
            work_s = self.work_s * random.uniform(0.5, 1.5)
            life.running.append((now_s + work_s, flow, request_id))
        for item in [item for item in life.running if item[0] <= now_s]:
            life.running.remove(item)
            self._answer(item[1], item[2], now_s)
        for key, flow in list(life.flows.items()):
            if flow.sending.is_due(now_s):
                if flow.sending.repeats >= MAX_BACKEND_REPEATS:
                    del life.flows[key]
                    continue
                flow.sending.repeat(now_s)
                self._send_data(flow)
            elif now_s - flow.last_seen_s > 15.0:
                del life.flows[key]

    def _answer(self, flow, request_id: str, now_s: float) -> None:
        body = f"answer to {request_id}".encode()
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            f"Response-Signature: {self.life.number:x}-{request_id}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        data = head.encode() + body
        is_last = self.life.state == "draining"
        flags = ACK | (FIN if is_last else 0)
        flow.sending.begin(data, flow.next_seq, flags, now_s)
        flow.next_seq = (flow.next_seq + len(data) + is_last) % SEQUENCE_RANGE
        if is_last:
            flow.is_closed = True
        self._send_data(flow)

    def _send_data(self, flow) -> None:
        sending = flow.sending
        self._send(flow, sending.flags, sending.seq, flow.expected, sending.data)

    def _send(self, flow, flags: int, seq: int, ack: int, data: bytes = b"") -> None:
        packet = Packet(flow.echo, flow.service, flow.client, seq, ack, flags, data)
        target = (ip_text(flow.client[0]), self.client_port)
        self.socket.sendto(pack(packet), target)

    def _send_reset(self, packet: Packet) -> None:
        reset = Packet(0, packet.target, packet.source, packet.ack, 0, RST)
        target = (ip_text(packet.source[0]), self.client_port)
        self.socket.sendto(pack(reset), target)


class Clients:
    """All clients behind one address; each flow has a port of its own."""

    def __init__(self, sock, ip_number: int, data_port: int, route: Callable):
        self.socket, self.ip = sock, ip_number
        self._data_port = data_port
        self._route = route
        self.flows: dict = {}
        self.counts = dict.fromkeys(
            ("begun", "opened", "unopened", "asked", "answered", "failed"), 0
        )
        # Packets for which this returns True are lost on their way to the host.
        self.loses: Callable = lambda packet: False
        # Called with each reset that no backend has sent.
        self.on_system_reset: Callable = lambda flow, host_ip, is_open: None
        self.pause_s = (0.05, 0.3)
        self._request_number = 0

    def begin(self, port: int, service, requests: int) -> ClientFlow:
        source = (self.ip, port)
        flow = ClientFlow(source, service, requests, time.monotonic())
        self.flows[source, service] = flow
        self.counts["begun"] += 1
        return flow

    def step(self, now_s: float) -> None:
        for flow in list(self.flows.values()):
            self._serve(flow, now_s)

    def _serve(self, flow: ClientFlow, now_s: float) -> None:
        age_s = now_s - flow.begun_at_s
        if flow.peer_seq is None:
            if age_s > OPENING_LIMIT_S:
                self.counts["unopened"] += 1
                self._drop(flow)
            elif flow.copies < 3 and age_s >= COPY_TIMES_S[flow.copies]:
                flow.copy_sent_s[flow.copies] = now_s
                self._send(flow, SYN, flow.isn, flow.copies)
                flow.copies += 1
            return
        if flow.is_waiting:
            if now_s - flow.asked_at_s > REQUEST_DEADLINE_S:
                self.counts["failed"] += 1
                self._send(flow, RST, flow.next_seq, flow.ack)
                self._drop(flow)
            elif flow.sending.is_due(now_s):
                flow.sending.repeat(now_s)
                sending = flow.sending
                self._send(flow, ACK, sending.seq, flow.ack, sending.data)
        elif now_s >= flow.ask_at_s:
            if flow.requests_left:
                self._ask(flow, now_s)
            else:
                self._send(flow, FIN | ACK, flow.next_seq, flow.ack)
                self._drop(flow)

    def _ask(self, flow: ClientFlow, now_s: float) -> None:
        self._request_number += 1
        flow.request_id = f"r{self._request_number}"
        flow.requests_left -= 1
        data = f"GET / HTTP/1.1\r\nRequest-Id: {flow.request_id}\r\n\r\n".encode()
        flow.sending.begin(data, flow.next_seq, ACK, now_s)
        self._send(flow, ACK, flow.next_seq, flow.ack, data)
        flow.next_seq = (flow.next_seq + len(data)) % SEQUENCE_RANGE
        flow.is_waiting = True
        flow.asked_at_s = now_s
        self.counts["asked"] += 1

    def take(self, data: bytes, sender_ip: str, now_s: float) -> None:
        packet, keyed_sum = unpack(data)
        flow = self.flows.get((packet.target, packet.source))
        if flow is None:
            return
        if packet.flags & RST:
            self._take_reset(flow, packet, keyed_sum, sender_ip)
            return
        if keyed_sum != packet.keyed_sum:
            return
        if packet.flags & SYN:
            if flow.peer_seq is None:
                flow.echo = packet.echo
                flow.peer_seq = packet.seq
                flow.ack = (packet.seq + 1) % SEQUENCE_RANGE
                flow.is_open = True
                flow.ask_at_s = now_s
                self.counts["opened"] += 1
                self._serve(flow, now_s)
            return
        if flow.peer_seq is None or packet.seq != flow.ack:
            if flow.peer_seq is not None and packet.data:
                self._send(flow, ACK, flow.next_seq, flow.ack)
            return
        flow.echo = packet.echo
        if packet.data and flow.is_waiting:
            self._take_answer(flow, packet, now_s)
        if packet.flags & FIN:
            flow.ack = (flow.ack + 1) % SEQUENCE_RANGE
            self._send(flow, FIN | ACK, flow.next_seq, flow.ack)
            self._drop(flow)

    def _take_answer(self, flow: ClientFlow, packet: Packet, now_s: float) -> None:
        if f"Request-Id: {flow.request_id}\r".encode() not in packet.data:
            return
        flow.ack = (packet.seq + len(packet.data)) % SEQUENCE_RANGE
        flow.sending.end()
        flow.is_waiting = False
        flow.ask_at_s = now_s + random.uniform(*self.pause_s)
        self.counts["answered"] += 1
        if not packet.flags & FIN:
            self._send(flow, ACK, flow.next_seq, flow.ack)

    def _take_reset(self, flow, packet, keyed_sum, sender_ip) -> None:
        is_from_backend = keyed_sum == packet.keyed_sum
        distance = (packet.seq - flow.ack) % SEQUENCE_RANGE
        distance = min(distance, SEQUENCE_RANGE - distance)
        is_open = flow.peer_seq is not None
        if is_open and distance > RESET_WINDOW_BYTES:
            return
        if not is_from_backend:
            self.on_system_reset(flow, sender_ip, is_open)
        if flow.is_waiting:
            self.counts["failed"] += 1
        elif not is_open:
            self.counts["unopened"] += 1
        self._drop(flow)

    def _drop(self, flow: ClientFlow) -> None:
        self.flows.pop((flow.source, flow.service), None)

    def _send(self, flow, flags: int, seq: int, ack: int, data: bytes = b"") -> None:
        packet = Packet(flow.echo, flow.source, flow.service, seq, ack, flags, data)
        if self.loses(packet):
            return
        host = self._route(packet)
        self.socket.sendto(pack(packet), (host.ip, self._data_port))
