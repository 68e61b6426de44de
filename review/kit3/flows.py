"""Clients and backends, which speak in flows of packets."""

import asyncio
import itertools
import random
import socket
import struct
import time
import zlib

from .machines import DATA_PORT, Machine
from .store import Store

HEADER = struct.Struct(">IIHIHHIIBBI")
SYN, ACK, FIN, RST = 8, 16, 2, 64
COPY_TIMES_S = (0.2, 0.6)
OPENING_LIMIT_S = 1.4
FIRST_REPEAT_S, LAST_REPEAT_S = 0.2, 1.6
RESET_WINDOW_BYTES = 76_800
ANSWER_BYTES = 600
HEARTBEAT_S = 1.2


def ip_number(ip: str) -> int:
    return int.from_bytes(socket.inet_aton(ip), "big")


def pack(src, dst, flags, echo=0, seq=0, ack=0, data=b"", total=0xA1B2C3D5) -> bytes:
    """A packet; ``src`` and ``dst`` are pairs of a number and a port."""
    fields = (echo, *src, *dst, len(data), seq, ack, flags, 0, total)
    return HEADER.pack(*fields) + data


class Arrival:
    """An opening packet that a backend has taken."""

    def __init__(self, backend: "Backend", machine_ip: str, flow: "Flow | None"):
        self.at_s = time.monotonic()
        self.backend = backend
        self.machine_ip = machine_ip
        self.sent_at_s = None if flow is None else flow.copies_sent_at_s[-1]


class Backend:
    """A backend: it registers itself, opens flows and answers their requests."""

    def __init__(
        self,
        traffic: "Traffic",
        number: int,
        service: str,
        zone: str,
        address: str | None = None,
    ):
        self._traffic = traffic
        self.number, self.service, self.zone = number, service, zone
        self.key = f"servers/i-{number:08x}"
        self.state = "ready"
        self.ack_of_drain_s: float | None = None
        self.is_alive = True
        self.started_at_s = time.monotonic()
        # Per flow: own sequence number, answers given by the end of their request.
        self.flows: dict[bytes, dict] = {}
        self._sequence = itertools.count(1)
        self._born = int(time.time() * 1000)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        port = 0 if address is None else int(address.rpartition(":")[2])
        self._socket.bind((traffic.backend_ip, port))
        self._socket.setblocking(False)
        self.address = f"{traffic.backend_ip}:{self._socket.getsockname()[1]}"
        asyncio.get_running_loop().add_reader(self._socket, self._read)
        self._task = asyncio.create_task(self._check_in_repeatedly())

    def check_in(self) -> None:
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "concurrency": 3,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": next(self._sequence),
            "born": self._born,
        }
        self._traffic.store.put(self.key, entry)

    def drain(self) -> None:
        self.state = "draining"
        self.check_in()
        self.ack_of_drain_s = time.monotonic()

    def leave(self) -> None:
        """End after a drain: the flows are gone, and the entry is removed."""
        self.close()
        self._traffic.store.remove(self.key)

    def close(self) -> None:
        if self.is_alive:
            self.is_alive = False
            self._task.cancel()
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()

    async def _check_in_repeatedly(self) -> None:
        while True:
            self.check_in()
            await asyncio.sleep(HEARTBEAT_S)

    def _read(self) -> None:
        while True:
            try:
                data, (machine_ip, _) = self._socket.recvfrom(2048)
            except BlockingIOError:
                return
            if int.from_bytes(data[:8], "big") in (0, self.number):
                self._take(data[8:], machine_ip)

    def _take(self, packet: bytes, machine_ip: str) -> None:
        echo, src, sport, dst, dport, size, seq, ack, flags, _, _ = HEADER.unpack_from(
            packet
        )
        key = packet[4:16]
        client, route = (src, sport), (dst, dport)
        if flags & RST:
            self.flows.pop(key, None)
            return
        if flags & SYN:
            arrival = Arrival(self, machine_ip, self._traffic.flows.get(sport))
            self._traffic.arrivals.append(arrival)
            own = self.flows.setdefault(key, {"seq": random.randrange(1 << 31)})
            self._send(route, client, SYN | ACK, echo, own["seq"], (seq + 1) % 2**32)
            return
        own = self.flows.get(key)
        flow = self._traffic.flows.get(sport)
        if own is not None and flow is not None and flow.backend is None:
            # The end of the handshake has arrived.
            flow.backend, flow.opened_at_s = self, time.monotonic()
        if own is None:
            self._send(route, client, RST, echo, ack)
            return
        if flags & FIN:
            self._send(route, client, FIN | ACK, echo, ack, (seq + 1) % 2**32)
        elif size:
            begin = own.setdefault(seq, ack)
            reply = b"a" * ANSWER_BYTES
            ends = FIN if self.state == "draining" else 0
            flags, end = ACK | ends, (seq + size) % 2**32
            self._send(route, client, flags, echo, begin, end, reply)

    def _send(self, src, dst, flags, echo, seq, ack=0, data=b"") -> None:
        packet = pack(src, dst, flags, echo, seq, ack, data)
        self._socket.sendto(packet, (self._traffic.client_ip, DATA_PORT))


class Flow:
    """A flow as its client knows it: opened, a number of requests, closed."""

    def __init__(self, port: int, requests: int, pause_s: float):
        self.port = port
        self.requests_left, self.pause_s = requests, pause_s
        self.seq = random.randrange(1 << 31)
        self.ack = 0
        self.echo = 0
        self.copies_sent_at_s: list[float] = []
        self.is_open = False
        # Where the end of the handshake has arrived, and when.
        self.backend: Backend | None = None
        self.opened_at_s = 0.0
        self.is_reset = self.is_closed = False
        self.opened, self.answered = asyncio.Event(), asyncio.Event()


class Traffic:
    """All clients and backends of a case, on one event loop."""

    def __init__(self, store: Store, machines: list[Machine], net: str):
        self.store, self.machines = store, machines
        self.client_ip, self.backend_ip = f"{net}.200", f"{net}.100"
        self.arrivals: list[Arrival] = []
        self.flows: dict[int, Flow] = {}
        self.opened = self.answered = self.failed = 0
        self.resets: list[tuple[float, Flow]] = []
        self._ports = itertools.count(1025)
        self._tasks: set[asyncio.Task] = set()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((self.client_ip, DATA_PORT))
        self._socket.setblocking(False)
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def begin_flow(self, route: tuple[str, int], requests=1, pause_s=0.0) -> Flow:
        flow = Flow(next(self._ports), requests, pause_s)
        self.flows[flow.port] = flow
        task = asyncio.create_task(self._run(flow, (ip_number(route[0]), route[1])))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return flow

    async def _run(self, flow: Flow, route: tuple[int, int]) -> None:
        try:
            if not await self._open(flow, route):
                self.failed += 1
                return
            self.opened += 1
            while flow.requests_left and await self._ask(flow, route):
                flow.requests_left -= 1
                self.answered += 1
                if flow.is_closed:
                    break
                await asyncio.sleep(flow.pause_s)
            if not flow.is_reset:
                self._send(flow, route, FIN | ACK)
        finally:
            self.flows.pop(flow.port, None)

    async def _open(self, flow: Flow, route: tuple[int, int]) -> bool:
        waits_s = (*COPY_TIMES_S, OPENING_LIMIT_S)
        began_s = time.monotonic()
        for copy, until_s in enumerate(waits_s):
            flow.copies_sent_at_s.append(time.monotonic())
            self._send(flow, route, SYN, number=copy)
            left_s = began_s + until_s - time.monotonic()
            try:
                await asyncio.wait_for(flow.opened.wait(), left_s)
            except TimeoutError:
                continue
            return not flow.is_reset
        return False

    async def _ask(self, flow: Flow, route: tuple[int, int]) -> bool:
        flow.answered.clear()
        wait_s, data = FIRST_REPEAT_S, b"r" * 400
        for _ in range(5):
            self._send(flow, route, ACK, data)
            try:
                await asyncio.wait_for(flow.answered.wait(), wait_s)
            except TimeoutError:
                wait_s = min(2 * wait_s, LAST_REPEAT_S)
                continue
            if flow.is_reset:
                return False
            flow.seq = (flow.seq + len(data)) % 2**32
            self._send(flow, route, ACK)
            return True
        return False

    def _send(self, flow: Flow, route, flags, data=b"", number=0) -> None:
        source = ip_number(self.client_ip), flow.port
        ack = number if flags & SYN else flow.ack
        packet = pack(source, route, flags, flow.echo, flow.seq, ack, data)
        machine = self._route(packet[4:16])
        if machine is not None:
            self._socket.sendto(packet, (machine.ip, DATA_PORT))

    def _route(self, key: bytes) -> Machine | None:
        """The machine that the routers' hash selects among those in rotation."""
        ready = [machine for machine in self.machines if machine.is_ready]
        if 2 * len(ready) < len(self.machines):
            ready = self.machines
        return ready[zlib.crc32(key) % len(ready)]

    def _read(self) -> None:
        while True:
            try:
                data, _ = self._socket.recvfrom(2048)
            except BlockingIOError:
                return
            self._take(data)

    def _take(self, packet: bytes) -> None:
        echo, _, _, _, dport, size, seq, ack, flags, _, total = HEADER.unpack_from(
            packet
        )
        flow = self.flows.get(dport)
        if flow is None:
            return
        if flags & RST:
            distance = min((seq - flow.ack) % 2**32, (flow.ack - seq) % 2**32)
            if flow.is_open and distance > RESET_WINDOW_BYTES:
                return
            flow.is_reset = True
            if flow.backend is not None and total == 0:
                self.resets.append((time.monotonic(), flow))
            flow.opened.set()
            flow.answered.set()
        elif flags & SYN and not flow.is_open:
            flow.is_open, flow.echo, flow.ack = True, echo, (seq + 1) % 2**32
            flow.seq = (flow.seq + 1) % 2**32
            flow.opened.set()
        elif size and flow.is_open and (ack - flow.seq) % 2**32 < 1 << 20:
            flow.echo, flow.ack = echo, (seq + size) % 2**32
            flow.is_closed = bool(flags & FIN)
            flow.answered.set()
