"""Generates the datagrams of ``bench_datapath`` and answers as its upstreams.

It runs in a process of its own, so that the CPU time of the balancer's process covers
the balancer alone. Commands and results are JSON lines on standard input and output.
"""

import json
import selectors
import socket
import sys
import time

from wisteriatiller.ids import Address, FlowKey
from wisteriatiller.transport import proxyheader

MAX_DATAGRAM_BYTES = 65535
BUFFER_BYTES = 8 * 1024 * 1024
# Datagrams that are not back after this long count as lost.
LOST_AFTER_S = 0.5
COAP_CONTENT = 0x45
COAP_PATH = b"\xb5price"


class Driver:
    """Keeps a window of datagrams on their way until a count is reached."""

    def __init__(self, sink: Address, upstreams: list[Address]):
        self._selector = selectors.DefaultSelector()
        self._sink = self._bind(sink)
        for address in upstreams:
            self._bind(address)
        self._selector.register(sys.stdin, selectors.EVENT_READ, self._read_command)
        self._job: dict | None = None
        self._rounds = 0

    def run(self) -> None:
        while True:
            events = self._selector.select(LOST_AFTER_S)
            for key, _ in events:
                key.data(key.fileobj)
            if self._job and time.perf_counter() - self._heard_s > LOST_AFTER_S:
                self._lost += self._outstanding
                self._outstanding = 0
                self._heard_s = time.perf_counter()
                self._fill()

    def _bind(self, address: Address) -> socket.socket:
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        bound.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            bound.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
        bound.bind((address.ip, address.port))
        self._selector.register(bound, selectors.EVENT_READ, self._read)
        return bound

    def _read_command(self, stream) -> None:
        line = stream.readline()
        if not line:
            raise SystemExit
        job = self._job = json.loads(line)
        self._headers = [
            proxyheader.make_header(FlowKey(bytes.fromhex(key))) for key in job["keys"]
        ]
        self._target = tuple(job["target"])
        self._sent = self._received = self._refused = self._lost = 0
        self._outstanding = 0
        self._sent_s = 0.0
        self._times_s: list[float] = []
        self._heard_s = time.perf_counter()
        self._fill()

    def _fill(self) -> None:
        job = self._job
        # Refilling by halves lets the receiver find several datagrams at a wake-up.
        if self._outstanding > job["window"] // 2:
            return
        while self._sent < job["count"] and self._outstanding < job["window"]:
            header = self._headers[self._sent % len(self._headers)]
            if self._sent % len(self._headers) == 0:
                self._rounds += 1
            data = header + self._payload(job)
            self._sent += 1
            self._outstanding += 1
            self._sent_s = time.perf_counter()
            self._sink.sendto(data, self._target)
        if self._outstanding == 0 and self._sent >= job["count"]:
            self._finish()

    def _payload(self, job: dict) -> bytes:
        if not job["coap"]:
            return bytes(job["payload_bytes"])
        message_id = (self._rounds & 0xFFFF).to_bytes(2, "big")
        return b"\x42\x01" + message_id + b"tk" + COAP_PATH

    def _finish(self) -> None:
        result = {
            "received": self._received,
            "refused": self._refused,
            "lost": self._lost,
            "times_us": [round(1e6 * value, 1) for value in self._times_s],
        }
        self._job = None
        print(json.dumps(result), flush=True)

    def _read(self, bound: socket.socket) -> None:
        while True:
            try:
                data, sender = bound.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            if data[12] == proxyheader.COMMAND_LOCAL:
                self._answer_probe(bound, data, sender)
            elif bound is self._sink or not (self._job and self._job["coap"]):
                self._take(data)
            else:
                self._answer_request(bound, data, sender)

    def _take(self, data: bytes) -> None:
        if self._job is None:
            return
        self._heard_s = time.perf_counter()
        self._received += 1
        self._outstanding = max(0, self._outstanding - 1)
        if self._job["window"] == 1:
            self._times_s.append(self._heard_s - self._sent_s)
        if self._job["coap"] and proxyheader.split(data)[1][1] != COAP_CONTENT:
            self._refused += 1
        self._fill()

    def _answer_probe(self, bound: socket.socket, data: bytes, sender) -> None:
        probe = proxyheader.parse(proxyheader.split(data)[0])
        clock_ms = int(time.time() * 1000)
        answer = proxyheader.pack_local(
            {
                proxyheader.TLV_NONCE: probe.tlv[proxyheader.TLV_NONCE],
                proxyheader.TLV_CLOCK: clock_ms.to_bytes(8, "big"),
                proxyheader.TLV_REPORT: b'{"busy_slots":0,"queued":0,"state":"ready"}',
            }
        )
        bound.sendto(answer, sender)

    def _answer_request(self, bound: socket.socket, data: bytes, sender) -> None:
        header, payload = proxyheader.split(data)
        key = proxyheader.reversed_key(proxyheader.flow_key(header))
        answer = b"\x62" + bytes((COAP_CONTENT,)) + payload[2:6] + b"\xffprice"
        bound.sendto(proxyheader.make_header(key) + answer, sender)


def main() -> None:
    sink, *upstreams = (Address.parse(text) for text in sys.argv[1:])
    Driver(sink, upstreams).run()


if __name__ == "__main__":
    main()
