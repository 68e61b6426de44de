"""Stand-in of the users' upstreams; one process serves one or many of them.

Example::

    python -m testbed.upstream --admin 127.10.2.1:9000 \\
        --service stock-browser=127.10.9.1:5683,mean_ms=20 \\
        --upstream stock-1=127.10.2.1:9101,service=stock-browser,zone=brest,slots=3

An upstream reads requests with a PROXY v2 header and a CoAP payload, runs them in an
exact number of slots, and records for itself what it started and answered.
"""

import argparse
import asyncio
import collections
import json
import random
import struct
from dataclasses import dataclass, field
from enum import Enum

from aiocoap.numbers.codes import Code

from wisteriatiller.exceptions import MessageError
from wisteriatiller.ids import Address
from wisteriatiller.transport import proxyheader
from wisteriatiller.transport.proxyheader import FlowAddresses

from . import coap
from .sockets import BatchSocket
from .web import route, serve, update_faults, wait_for_stop

EXCHANGE_LIFETIME_S = 247.0
# A small queue behind the slots absorbs dispatches that arrive while the answer that
# freed the slot is on its way; beyond it the upstream sheds.
DEFAULT_QUEUE_LENGTH = 8
SHED_MAX_AGE_S = 1
COLD_SPEED = 0.2
BODY_BLOCK_BYTES = 1024
SHEET_BLOCKS = 12
ARTWORK_BLOCKS = 24
BLOCKWISE_PATHS = {"sheet": SHEET_BLOCKS, "artwork": ARTWORK_BLOCKS}


@dataclass
class UpstreamFaults:
    """Faults and states of one upstream."""

    drain: bool = False
    shed: bool = False
    # For so long after ``cold_s`` is set, the speed ramps up from ``COLD_SPEED``.
    cold_s: float = 0.0
    speed: float = 1.0
    # Share of the answers that are late, and by how much.
    late: float = 0.0
    late_s: float = 0.5
    # Each answer is delayed by a random time up to this, which changes their order.
    disorder_s: float = 0.0
    twice: float = 0.0
    report_lag_s: float = 0.0
    # Reported load is multiplied by this.
    report_factor: float = 1.0
    # Neither requests nor probes are answered.
    silent: bool = False
    # Requests are answered, probes are not.
    ignore_probes: bool = False
    # Datagrams from addresses with one of these IP prefixes are dropped (zone cut).
    unreachable_from: list[str] = field(default_factory=list)


class RequestState(Enum):
    QUEUED = "queued"
    RUNNING = "running"
    ANSWERED = "answered"
    REFUSED = "refused"
    CANCELLED = "cancelled"


@dataclass(slots=True)
class Request:
    """A request from its arrival until EXCHANGE_LIFETIME after it."""

    flow: str
    header: bytes
    message: coap.Message
    sender: tuple[str, int]
    deadline_ms: int | None
    state: RequestState = RequestState.QUEUED
    answer: bytes = b""
    timer: asyncio.TimerHandle | None = None


@dataclass
class UpstreamSpec:
    """What the command line says about one upstream."""

    upstream_id: str
    address: Address
    service: str
    zone: str
    slots: int
    service_address: Address
    mean_ms: float = 20.0
    queue_length: int = DEFAULT_QUEUE_LENGTH
    mode: str = "coap"


@dataclass
class Record:
    """What an upstream recorded for itself since the last reset."""

    # flow, token, message id, method, path, number, deadline_ms, start_ms
    starts: list = field(default_factory=list)
    # flow, token, message id, digest
    answers: list = field(default_factory=list)
    # flow, token, message id, reason
    refusals: list = field(default_factory=list)
    cancelled: list = field(default_factory=list)
    # source, destination
    foreign_packets: list = field(default_factory=list)
    # flow, step
    broken_flows: list = field(default_factory=list)
    # flow, time of its first start on the machine's monotonic clock
    new_flows: list = field(default_factory=list)
    repeats: int = 0
    undecodable: int = 0
    # Requests that arrived while every slot was busy.
    over_slots: int = 0
    max_running: int = 0
    busy_s: float = 0.0
    opaque_datagrams: int = 0
    sessions: dict = field(default_factory=dict)


class Upstream:
    """One upstream with its socket, slots, queue and duplicate table."""

    def __init__(self, spec: UpstreamSpec, seed: int, open_socket=BatchSocket):
        self.spec = spec
        self.faults = UpstreamFaults()
        self.record = Record()
        self._random = random.Random(f"{seed}/{spec.upstream_id}")
        self._loop = asyncio.get_running_loop()
        self._clock_offset_ms = self._random.randrange(10**6, 10**9)
        self._requests: dict[tuple[bytes, int], Request] = {}
        self._expiry = collections.deque()
        self._queue: collections.deque[Request] = collections.deque()
        self._running = 0
        self._busy_since = self._loop.time()
        self._cold_until = 0.0
        self._reports = collections.deque()
        self._headers: dict[bytes, tuple[str, bytes, bool]] = {}
        self._bodies: dict[str, bytes] = {}
        self._socket = open_socket(spec.address, self._receive)

    def clock_ms(self) -> int:
        """The upstream's own clock, which no other process shares."""
        return int(self._loop.time() * 1000) + self._clock_offset_ms

    def set_faults(self, changes: dict) -> dict:
        result = update_faults(self.faults, changes)
        if "cold_s" in (changes or {}):
            self._cold_until = self._loop.time() + self.faults.cold_s
        return result

    def reset(self) -> None:
        self._count_busy()
        sessions = self.record.sessions
        self.record = Record(sessions=sessions)

    def record_json(self) -> dict:
        self._count_busy()
        result = dict(vars(self.record))
        result.update(
            service=self.spec.service,
            zone=self.spec.zone,
            slots=self.spec.slots,
            running=self._running,
            queued=len(self._queue),
            sessions=len(self.record.sessions),
        )
        return result

    def busy_s(self) -> float:
        self._count_busy()
        return self.record.busy_s

    def close(self) -> None:
        self._socket.close()

    # Arrival of datagrams.

    def _receive(self, data: bytes, sender: tuple[str, int]) -> None:
        if any(sender[0].startswith(ip) for ip in self.faults.unreachable_from):
            return
        try:
            header, payload = proxyheader.split(data)
            if header[12] == 0x20:
                self._answer_probe(header, sender)
                return
            key = proxyheader.flow_key(header)
        except MessageError:
            self.record.undecodable += 1
            return
        flow, answer_header, own_service = self._header_facts(key)
        if not own_service:
            self.record.foreign_packets.append([flow, str(self._destination(key))])
            return
        if self.faults.silent:
            return
        if self.spec.mode == "opaque":
            self.record.opaque_datagrams += 1
            self._socket.send(answer_header + payload, sender)
            return
        try:
            message = coap.decode(payload)
        except (coap.CoapError, ValueError, struct.error, IndexError):
            self.record.undecodable += 1
            return
        if not message.code.is_request():
            return
        tlvs = read_tlvs(header[proxyheader.FIXED_HEADER_BYTES + len(key) :])
        if proxyheader.TLV_CANCEL in tlvs:
            self._cancel(key, message)
            return
        deadline = tlvs.get(proxyheader.TLV_DEADLINE)
        deadline_ms = int.from_bytes(deadline, "big") if deadline else None
        request = Request(flow, answer_header, message, sender, deadline_ms)
        self._admit(key, request)

    def _header_facts(self, key: bytes) -> tuple[str, bytes, bool]:
        facts = self._headers.get(key)
        if facts is None:
            addresses = proxyheader.parse(proxyheader.make_header(key))
            answer_header = proxyheader.make_header(proxyheader.reversed_key(key))
            own_service = addresses.destination == self.spec.service_address
            facts = (str(addresses.source), answer_header, own_service)
            self._headers[key] = facts
        return facts

    @staticmethod
    def _destination(key: bytes) -> Address:
        addresses = proxyheader.parse(proxyheader.make_header(key))
        assert isinstance(addresses, FlowAddresses)
        return addresses.destination

    def _answer_probe(self, header: bytes, sender: tuple[str, int]) -> None:
        if self.faults.silent or self.faults.ignore_probes:
            return
        nonce = proxyheader.parse(header).tlv.get(proxyheader.TLV_NONCE, b"")
        tlv = {
            proxyheader.TLV_NONCE: nonce,
            proxyheader.TLV_CLOCK: self.clock_ms().to_bytes(8, "big"),
            proxyheader.TLV_REPORT: json.dumps(self._report()).encode(),
        }
        self._socket.send(proxyheader.pack_local(tlv), sender)

    def _report(self) -> dict:
        now = self._loop.time()
        factor = self.faults.report_factor
        self._reports.append(
            (
                now,
                {
                    "busy_slots": round(self._running * factor),
                    "queued": round(len(self._queue) * factor),
                    "state": self._state(),
                },
            )
        )
        reports = self._reports
        while len(reports) > 1 and reports[1][0] <= now - self.faults.report_lag_s:
            reports.popleft()
        return reports[0][1]

    def _state(self) -> str:
        if self.faults.drain:
            return "draining"
        if self.faults.shed:
            return "shedding"
        return "cold" if self._loop.time() < self._cold_until else "ready"

    # Requests.

    def _admit(self, key: bytes, request: Request) -> None:
        self._expire_requests()
        request_id = (key, request.message.mid)
        known = self._requests.get(request_id)
        if known is not None:
            self._repeat(known, request.sender)
            return
        self._requests[request_id] = request
        self._expiry.append((self._loop.time() + EXCHANGE_LIFETIME_S, request_id))
        if self.faults.shed:
            self._refuse(request, "shed", SHED_MAX_AGE_S)
        elif self._running < self.spec.slots and not self._queue:
            self._start(request)
        else:
            self.record.over_slots += 1
            if len(self._queue) >= self.spec.queue_length:
                self._refuse(request, "queue_full", SHED_MAX_AGE_S)
            else:
                self._queue.append(request)

    def _repeat(self, known: Request, sender: tuple[str, int]) -> None:
        """Deduplicate as RFC 7252, section 4.5 says: the same answer, no new run."""
        self.record.repeats += 1
        known.sender = sender
        if known.state in (RequestState.ANSWERED, RequestState.REFUSED):
            self._socket.send(known.header + known.answer, sender)

    def _expire_requests(self) -> None:
        now = self._loop.time()
        while self._expiry and self._expiry[0][0] <= now:
            self._requests.pop(self._expiry.popleft()[1], None)

    def _cancel(self, key: bytes, message: coap.Message) -> None:
        request = self._requests.get((key, message.mid))
        if request is None:
            # The request itself may still arrive; it must not run then.
            flow, header, _ = self._header_facts(key)
            request = Request(flow, header, message, ("", 0), None)
            self._requests[key, message.mid] = request
            self._expiry.append(
                (self._loop.time() + EXCHANGE_LIFETIME_S, (key, message.mid))
            )
        elif request.state is RequestState.QUEUED:
            self._queue.remove(request)
        elif request.state is RequestState.RUNNING:
            request.timer.cancel()
            self._set_running(-1)
        else:
            return
        request.state = RequestState.CANCELLED
        self.record.cancelled.append(self._identity(request))
        self._start_queued()

    def _start(self, request: Request) -> None:
        if request.deadline_ms is not None and self.clock_ms() >= request.deadline_ms:
            self._refuse(request, "deadline", 0)
            return
        request.state = RequestState.RUNNING
        self._set_running(+1)
        message = request.message
        path = "/".join(message.opt.uri_path)
        number = message.payload.split(b";")[0].decode("utf-8", "replace")
        self.record.starts.append(
            [
                *self._identity(request),
                str(message.code),
                path,
                number,
                request.deadline_ms,
                self.clock_ms(),
            ]
        )
        self._note_session(request)
        request.timer = self._loop.call_later(
            self._service_time_s(), self._finish, request
        )

    def _note_session(self, request: Request) -> None:
        """A session in progress must stay on the upstream that knows it."""
        step = 0
        for query in request.message.opt.uri_query:
            if query.startswith("step="):
                step = int(query[5:])
        sessions = self.record.sessions
        if step > 0 and request.flow not in sessions:
            self.record.broken_flows.append([request.flow, step])
        if request.flow not in sessions:
            self.record.new_flows.append([request.flow, self._loop.time()])
        sessions[request.flow] = step

    def _service_time_s(self) -> float:
        speed = self.faults.speed
        rest_s = self._cold_until - self._loop.time()
        if rest_s > 0 and self.faults.cold_s > 0:
            done = 1 - rest_s / self.faults.cold_s
            speed *= COLD_SPEED + (1 - COLD_SPEED) * done
        # Half fixed and half exponential: a moderate spread without extreme outliers.
        mean_s = self.spec.mean_ms / 1000
        draw_s = mean_s / 2 + self._random.expovariate(2 / mean_s)
        return draw_s / max(speed, 0.001)

    def _finish(self, request: Request) -> None:
        self._set_running(-1)
        request.state = RequestState.ANSWERED
        self._answer(request, self._make_answer(request))
        digest = coap.answer_digest(request.answer)
        self.record.answers.append([*self._identity(request), digest])
        self._start_queued()

    def _start_queued(self) -> None:
        while self._queue and self._running < self.spec.slots:
            self._start(self._queue.popleft())

    def _refuse(self, request: Request, reason: str, max_age_s: int) -> None:
        request.state = RequestState.REFUSED
        message = coap.reply(request.message, Code.SERVICE_UNAVAILABLE)
        message.opt.max_age = max_age_s
        self.record.refusals.append([*self._identity(request), reason])
        self._answer(request, message)

    def _answer(self, request: Request, message: coap.Message) -> None:
        request.answer = message.encode()
        data = request.header + request.answer
        faults = self.faults
        delay_s = self._random.random() * faults.disorder_s if faults.disorder_s else 0
        if faults.late and self._random.random() < faults.late:
            delay_s += faults.late_s
        self._send_later(delay_s, data, request)
        if faults.twice and self._random.random() < faults.twice:
            self._send_later(delay_s + 0.001, data, request)

    def _send_later(self, delay_s: float, data: bytes, request: Request) -> None:
        if delay_s:
            self._loop.call_later(delay_s, self._socket.send, data, request.sender)
        else:
            self._socket.send(data, request.sender)

    def _make_answer(self, request: Request) -> coap.Message:
        message = request.message
        path = "/".join(message.opt.uri_path)
        if message.opt.uri_path and message.opt.uri_path[0] in BLOCKWISE_PATHS:
            return self._block_answer(message, path)
        code = Code.CONTENT if message.code is Code.GET else Code.CHANGED
        number = message.payload.split(b";")[0].decode("utf-8", "replace")
        text = (
            f"upstream={self.spec.upstream_id} flow={request.flow} path={path} "
            f"number={number} token={message.token.hex()}\n"
        )
        if path.startswith("labels"):
            text += f"label {path} " * 20
        return coap.reply(message, code, text.encode())

    def _block_answer(self, message: coap.Message, path: str) -> coap.Message:
        body = self._body(path)
        number = message.opt.block2.block_number if message.opt.block2 else 0
        start = number * BODY_BLOCK_BYTES
        end = start + BODY_BLOCK_BYTES
        answer = coap.reply(message, Code.CONTENT, body[start:end])
        answer.opt.etag = coap.etag_of(body)
        answer.opt.block2 = coap.block(number, end < len(body))
        return answer

    def _body(self, path: str) -> bytes:
        """The drawing at ``path``; it names the upstream, so that mixes show."""
        body = self._bodies.get(path)
        if body is None:
            kind = path.split("/")[0]
            head = f"upstream={self.spec.upstream_id} path={path}\n".encode()
            size = BLOCKWISE_PATHS[kind] * BODY_BLOCK_BYTES - 100
            # Python's seeding from a string is the same in every process.
            body = head + random.Random(f"{path}/{head}").randbytes(size)
            self._bodies[path] = body
        return body

    @staticmethod
    def _identity(request: Request) -> list:
        return [request.flow, request.message.token.hex(), request.message.mid]

    def _set_running(self, change: int) -> None:
        self._count_busy()
        self._running += change
        self.record.max_running = max(self.record.max_running, self._running)

    def _count_busy(self) -> None:
        now = self._loop.time()
        self.record.busy_s += self._running * (now - self._busy_since)
        self._busy_since = now


def read_tlvs(data: bytes) -> dict[int, bytes]:
    """The TLVs behind the address block of a PROXY v2 header."""
    tlvs = {}
    while len(data) >= 3:
        kind, size = struct.unpack_from("!BH", data)
        tlvs[kind] = data[3 : 3 + size]
        data = data[3 + size :]
    return tlvs


class UpstreamGroup:
    """All upstreams of one process, with their admin functions."""

    def __init__(self, specs: list[UpstreamSpec], seed: int):
        self.upstreams = {spec.upstream_id: Upstream(spec, seed) for spec in specs}

    def read_faults(self) -> dict:
        return {uid: vars(upstream.faults) for uid, upstream in self.upstreams.items()}

    def set_faults(self, changes: dict) -> dict:
        """Take ``{"upstream": ID or "*", fault: value, ...}``."""
        changes = dict(changes)
        name = changes.pop("upstream", "*")
        chosen = self.upstreams if name == "*" else {name: self.upstreams[name]}
        return {uid: upstream.set_faults(changes) for uid, upstream in chosen.items()}

    def records(self) -> dict:
        return {uid: upstream.record_json() for uid, upstream in self.upstreams.items()}

    def busy_s(self) -> dict:
        return {uid: upstream.busy_s() for uid, upstream in self.upstreams.items()}

    def reset(self, _body=None) -> dict:
        for upstream in self.upstreams.values():
            upstream.reset()
        return {}

    def routes(self) -> list:
        return [
            route("/record", self.records),
            route("/busy", self.busy_s),
            route("/reset", write=self.reset),
            route("/faults", self.read_faults, self.set_faults),
        ]


def parse_pairs(text: str) -> tuple[str, str, dict[str, str]]:
    """Read ``NAME=VALUE,key=value,...``."""
    first, *rest = text.split(",")
    name, _, value = first.partition("=")
    return name, value, dict(pair.split("=", 1) for pair in rest)


def parse_specs(services: list[str], upstreams: list[str]) -> list[UpstreamSpec]:
    by_name = {}
    for text in services:
        name, address, options = parse_pairs(text)
        by_name[name] = (Address.parse(address), options)
    specs = []
    for text in upstreams:
        upstream_id, address, options = parse_pairs(text)
        service_address, defaults = by_name[options["service"]]
        options = {**defaults, **options}
        specs.append(
            UpstreamSpec(
                upstream_id,
                Address.parse(address),
                options["service"],
                options["zone"],
                int(options["slots"]),
                service_address,
                float(options.get("mean_ms", 20.0)),
                int(options.get("queue", DEFAULT_QUEUE_LENGTH)),
                options.get("mode", "coap"),
            )
        )
    return specs


async def main(arguments) -> None:
    group = UpstreamGroup(
        parse_specs(arguments.service, arguments.upstream), arguments.seed
    )
    serve(arguments.admin, group.routes())
    await wait_for_stop()


def parse_arguments():
    parser = argparse.ArgumentParser(prog="python -m testbed.upstream")
    parser.add_argument("--service", action="append", required=True)
    parser.add_argument("--upstream", action="append", required=True)
    parser.add_argument("--admin", type=Address.parse, required=True)
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


if __name__ == "__main__":
    asyncio.run(main(parse_arguments()))
