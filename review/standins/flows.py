"""Stand-ins of clients, backends and routers that speak the platform's packets."""

import asyncio
import itertools
import random
import socket
import struct
import time
from collections.abc import Callable

HEADER = struct.Struct(">IIHIHHIIBBI")
SYN, ACK, FIN, RST = 8, 16, 2, 64
SUM = 0xA1B2C3D5
COPY_TIMES_S = (0.0, 0.2, 0.6)
OPENING_LIMIT_S = 1.4
ANSWER_LIMIT_S = 2.0
PROBE_INTERVAL_S = 0.5
MISSES_UNTIL_OUT = 2


def ip_number(ip: str) -> int:
    return int.from_bytes(socket.inet_aton(ip), "big")


def ip_text(number: int) -> str:
    return socket.inet_ntoa(number.to_bytes(4, "big"))


class Record:
    """Writes what was sent, answered and run to ``record.txt``, one line each."""

    def __init__(self, path: str):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._started_s = time.monotonic()

    def write(self, text: str) -> None:
        seconds = time.monotonic() - self._started_s
        self._file.write(f"{seconds:9.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


class Backend(asyncio.DatagramProtocol):
    """A backend: opens flows, runs requests and answers clients directly.

    ``on_run`` is called with the backend, the request and the opening packet's
    (time of arrival, address of the host that forwarded it).
    """

    def __init__(self, number: int, service: str, zone: str, return_port: int):
        self.number = number
        self.service = service
        self.zone = zone
        self.born_ms = time.time_ns() // 1_000_000
        self.state = "ready"
        self.draining_at_s: float | None = None
        self.address = ""
        self.on_run: Callable = lambda backend, request, opening: None
        self._return_port = return_port
        self._sequence = itertools.count(1)
        self._transport = None
        # (client ip, port, service ip, port): [own seq, opening, is open]
        self._flows: dict[tuple, list] = {}
        # While it is dark, a backend answers nothing.
        self.is_dark = False
        self.cold_until_s = 0.0
        # Called with the backend and the opening packet's data when a flow opens.
        self.on_open: Callable = lambda backend, flow_key, opening: None

    def start_again(self, cold_s: float) -> None:
        """Begin a new lifetime under the same id, cold for a while."""
        self._flows.clear()
        self.born_ms = time.time_ns() // 1_000_000
        self.cold_until_s = time.monotonic() + cold_s
        self.is_dark = False

    @property
    def backend_id(self) -> str:
        return f"i-{self.number:08x}"

    @property
    def key(self) -> str:
        return f"servers/{self.backend_id}"

    def entry(self) -> dict:
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "concurrency": 2,
            "state": self.state,
            "warmup_left_ms": max(
                0, round(1000 * (self.cold_until_s - time.monotonic()))
            ),
            "sequence": next(self._sequence),
            "born": self.born_ms,
        }

    async def listen(self, ip: str) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(ip, 0)
        )
        self.address = "{}:{}".format(*self._transport.get_extra_info("sockname")[:2])

    def close(self) -> None:
        self._transport.close()

    def datagram_received(self, data: bytes, sender) -> None:
        if self.is_dark:
            return
        intended = int.from_bytes(data[:8], "big")
        if intended not in (0, self.number):
            return
        packet = data[8:]
        echo, src, sport, dst, dport, _, seq, ack, flags, _, _ = HEADER.unpack_from(
            packet
        )
        flow_key = (src, sport, dst, dport)
        payload = packet[HEADER.size :]
        if flags & SYN:
            flow = self._flows.get(flow_key)
            if flow is None:
                opening = (time.monotonic(), sender[0])
                flow = [random.randrange(1 << 31), opening, False]
                self._flows[flow_key] = flow
            self._send(flow_key, echo, SYN | ACK, flow[0], seq + 1)
            return
        flow = self._flows.get(flow_key)
        if flow is None:
            self._send(flow_key, echo, RST, ack, seq)
            return
        if not flow[2]:
            if ack != flow[0] + 1:
                self._send(flow_key, echo, RST, ack, seq)
                return
            flow[2] = True
            self.on_open(self, flow_key, flow[1])
        if payload:
            request = payload.decode()
            self.on_run(self, request, flow[1])
            answer = f"{request} by {self.backend_id}".encode()
            end = (seq + len(payload)) % (1 << 32)
            self._send(flow_key, echo, ACK, ack, end, answer)
            if self.state == "draining":
                # It closes each flow after its next response.
                self._send(flow_key, echo, FIN | ACK, ack + len(answer), end)
        elif flags & FIN:
            self._send(flow_key, echo, FIN | ACK, ack, seq + 1)

    def _send(
        self, flow_key, echo: int, flags: int, seq: int, ack: int, data: bytes = b""
    ) -> None:
        src, sport, dst, dport = flow_key
        head = HEADER.pack(
            echo, dst, dport, src, sport, len(data), seq, ack, flags, 0, SUM
        )
        self._transport.sendto(head + data, (ip_text(src), self._return_port))


class Clients(asyncio.DatagramProtocol):
    """Clients at one address; each request uses a flow of its own from a new port."""

    def __init__(self, ip: str, return_port: int, choose_host: Callable[[bytes], str]):
        self._ip = ip
        self._return_port = return_port
        self._choose_host = choose_host
        self._ports = itertools.count(2000)
        self._waiting: dict[int, asyncio.Queue] = {}
        self._transport = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._ip, self._return_port)
        )

    def close(self) -> None:
        self._transport.close()

    def datagram_received(self, data: bytes, sender) -> None:
        fields = HEADER.unpack_from(data)
        queue = self._waiting.get(fields[4])
        if queue is not None:
            queue.put_nowait((fields, data[HEADER.size :], sender[0]))

    async def request(self, service: tuple[str, int], name: str) -> tuple[str, float]:
        """Send one request on a new flow; return what became of it and the SYN time.

        The outcome is ``answered ...``, ``reset``, ``not opened`` or ``no answer``.
        """
        port = next(self._ports) % 60_000
        queue = self._waiting[port] = asyncio.Queue()
        try:
            return await self._request(service, port, name, queue)
        finally:
            del self._waiting[port]

    async def _request(self, service, port, name, queue) -> tuple[str, float]:
        seq = random.randrange(1 << 30)
        sent_at_s = time.monotonic()
        opened = await self._open(service, port, seq, sent_at_s, queue)
        if isinstance(opened, str):
            return opened, sent_at_s
        echo, ack = opened[0], opened[6] + 1
        deadline_s = time.monotonic() + ANSWER_LIMIT_S
        interval_s = 0.2
        answer = None
        while answer is None and time.monotonic() < deadline_s:
            self._send(service, port, echo, ACK, seq + 1, ack, name.encode())
            until_s = min(deadline_s, time.monotonic() + interval_s)
            answer = await self._next(queue, until_s, 0)
            interval_s *= 2
        if answer is None:
            return "no answer", sent_at_s
        if answer == "reset":
            return "reset after opening", sent_at_s
        text = answer[-1].decode()
        end = seq + 1 + len(name)
        self._send(service, port, echo, FIN | ACK, end, ack + len(text))
        return f"answered {text}", sent_at_s

    async def _open(self, service, port, seq, sent_at_s, queue):
        """The SYN+ACK that opens a flow, or the text of what happened instead."""
        for copies, due_s in enumerate((*COPY_TIMES_S[1:], OPENING_LIMIT_S)):
            self._send(service, port, 0, SYN, seq, copies)
            opened = await self._next(queue, sent_at_s + due_s, SYN)
            if opened is not None:
                return opened
        return "not opened"

    async def hold(self, service, name: str, pause_s: float) -> list[tuple]:
        """Hold a flow open: a request, a pause, and another request.

        Returns (what, sender or backend) for each step: ``answered`` with the answer,
        ``reset`` with the address that sent it, ``no answer`` or ``not opened``.
        """
        port = next(self._ports) % 60_000
        queue = self._waiting[port] = asyncio.Queue()
        seq = random.randrange(1 << 30)
        steps = []
        try:
            opened = await self._open(service, port, seq, time.monotonic(), queue)
            if isinstance(opened, str):
                return [(opened, "")]
            echo, seq, ack = opened[0], seq + 1, opened[6] + 1
            for number in (1, 2):
                data = f"{name}-{number}".encode()
                step = await self._ask(service, port, echo, seq, ack, data, queue)
                steps.append(step)
                if step[0] != "answered":
                    return steps
                seq, ack = seq + len(data), ack + len(step[1])
                self._send(service, port, echo, ACK, seq, ack)
                if number == 1:
                    await asyncio.sleep(pause_s)
            return steps
        finally:
            del self._waiting[port]

    async def _ask(self, service, port, echo, seq, ack, data, queue) -> tuple[str, str]:
        """Send a request on an open flow, with retransmissions."""
        deadline_s = time.monotonic() + ANSWER_LIMIT_S
        interval_s = 0.2
        while time.monotonic() < deadline_s:
            self._send(service, port, echo, ACK, seq, ack, data)
            until_s = min(deadline_s, time.monotonic() + interval_s)
            while (rest_s := until_s - time.monotonic()) > 0:
                try:
                    fields, body, sender = await asyncio.wait_for(queue.get(), rest_s)
                except TimeoutError:
                    break
                if fields[8] & RST:
                    return "reset", sender
                if body:
                    return "answered", body.decode()
            interval_s *= 2
        return "no answer", ""

    async def _next(self, queue, until_s: float, flag: int):
        """The next SYN+ACK (``flag`` SYN) or packet with data; "reset" for a reset."""
        while True:
            rest_s = until_s - time.monotonic()
            if rest_s <= 0:
                return None
            try:
                fields, data, _ = await asyncio.wait_for(queue.get(), rest_s)
            except TimeoutError:
                return None
            if fields[8] & RST:
                return "reset"
            if flag and fields[8] & flag:
                return fields
            if not flag and data:
                return (*fields, data)

    def _send(self, service, port, echo, flags, seq, ack, data: bytes = b"") -> None:
        packet = HEADER.pack(
            echo,
            ip_number(self._ip),
            port,
            ip_number(service[0]),
            service[1],
            len(data),
            seq % (1 << 32),
            ack % (1 << 32),
            flags,
            0,
            SUM,
        )
        key = packet[4:16]
        host_ip = self._choose_host(key)
        self._transport.sendto(packet + data, (host_ip, self._return_port))


class Router:
    """Probes hosts twice a second and spreads flows over those in rotation."""

    def __init__(self, ips: list[str], ready_port: int):
        self._ips = ips
        self._ready_port = ready_port
        self._misses = dict.fromkeys(ips, MISSES_UNTIL_OUT)
        self._in_rotation = dict.fromkeys(ips, False)

    def choose(self, flow_key: bytes) -> str:
        ready = self.in_rotation()
        nodes = ready if 2 * len(ready) >= len(self._ips) else self._ips
        return nodes[int.from_bytes(flow_key[2:6], "big") % len(nodes)]

    def in_rotation(self) -> list[str]:
        return [ip for ip in self._ips if self._in_rotation[ip]]

    async def run(self) -> None:
        await asyncio.gather(*map(self._probe_all_day, self._ips))

    async def _probe_all_day(self, ip: str) -> None:
        while True:
            is_ready = await self._probe(ip)
            self._misses[ip] = 0 if is_ready else self._misses[ip] + 1
            if is_ready:
                self._in_rotation[ip] = True
            elif self._misses[ip] >= MISSES_UNTIL_OUT:
                self._in_rotation[ip] = False
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, ip: str) -> bool:
        writer = None
        try:
            async with asyncio.timeout(PROBE_INTERVAL_S):
                reader, writer = await asyncio.open_connection(ip, self._ready_port)
                writer.write(f"GET /ready HTTP/1.1\r\nHost: {ip}\r\n\r\n".encode())
                line = await reader.readline()
                return line.split(b" ")[1:2] == [b"200"]
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()
