"""Callers of the users' services: many flows over one socket.

A flow is a caller IP and port in the PROXY header; all datagrams go to the fabric.
``Caller`` keeps its own record of every request, which the judge compares with the
upstreams' records::

    caller = Caller(fabric_address, listen_address, seed=1)
    flow = caller.open_flow("stock-browser", service_address, Address("10.1.0.1", 4000))
    answer = await flow.request(Code.GET, "price/oak-knob")

As a program it serves an admin address; see ``main``.
"""

import argparse
import asyncio
import collections
import contextlib
import random
import struct
from dataclasses import asdict, dataclass, field
from enum import Enum

from aiocoap import ACK, CON, RST
from aiocoap.numbers.codes import Code

from wisteriatiller.exceptions import MessageError
from wisteriatiller.ids import Address
from wisteriatiller.transport import proxyheader
from wisteriatiller.transport.proxyheader import FlowAddresses

from . import coap
from .sockets import BatchSocket
from .web import route, serve, wait_for_stop

# Values of RFC 7252, section 4.8.
ACK_TIMEOUT_S = 2.0
ACK_RANDOM_FACTOR = 1.5
MAX_RETRANSMIT = 4
DEFAULT_MAX_AGE_S = 60
# After an empty acknowledgement the answer comes separately. It may be lost, so the
# same message is sent again after this time; its message id keeps it from running
# twice.
SEPARATE_ANSWER_WAIT_S = 5.0
# A 5.03 with Max-Age 0 may be repeated at once; the spread keeps callers apart.
MIN_RETRY_S = 0.05

# Sessions drift apart by this share of the pause between their steps.
THINK_SPREAD = 0.05

OUTCOME_OF_CODE = {
    Code.SERVICE_UNAVAILABLE: "refused_not_run",
    Code.GATEWAY_TIMEOUT: "outcome_unknown",
}


class Outcome(Enum):
    """The final answer to a request as its caller sees it."""

    ANSWERED = "answered"
    REFUSED_NOT_RUN = "refused_not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ERROR = "error"
    TIMEOUT = "timeout"


@dataclass(frozen=True, slots=True)
class Answer:
    """The outcome of a request, with the message if one came."""

    outcome: Outcome
    message: coap.Message | None = None

    @property
    def retry_after_s(self) -> float:
        age = self.message.opt.max_age if self.message is not None else None
        return DEFAULT_MAX_AGE_S if age is None else age


@dataclass(slots=True)
class Exchange:
    """A request that has no final answer yet."""

    mid: int
    token: bytes
    datagram: bytes
    future: asyncio.Future
    entry: list
    started_s: float
    timeout_s: float
    sends: int = 1
    timer: asyncio.TimerHandle | None = None


@dataclass
class CallerRecord:
    """What the callers saw, kept apart from the upstreams' records."""

    # flow, token, message id, method, path, number, outcome, digest, latency_ms,
    # sends, service
    requests: list = field(default_factory=list)
    # flow, token, digest, code, first digest: a repeated answer with other bytes
    changed_answers: list = field(default_factory=list)
    # flow, token: an answer with a token that this flow never sent
    foreign_answers: list = field(default_factory=list)
    # flow, path: a body whose blocks do not add up to its ETag
    torn_bodies: list = field(default_factory=list)
    # flow, former upstream, new upstream
    changed_upstreams: list = field(default_factory=list)
    bodies: int = 0
    restarted_bodies: int = 0
    repeated_answers: int = 0
    empty_acknowledgements: int = 0
    undecodable: int = 0


class Flow:
    """One connection of a caller to a service."""

    def __init__(self, caller: "Caller", service: str, header: bytes, name: str):
        self.caller = caller
        self.service = service
        self.name = name
        self.header = header
        self.upstream: str | None = None
        self.step = 0
        self.exchanges: dict[bytes, Exchange] = {}
        self.tokens_by_mid: dict[int, bytes] = {}
        self.digests: dict[bytes, str] = {}
        self._next_mid = caller.random.randrange(1 << 16)

    async def request(
        self, code: Code, path: str, payload: bytes = b"", block_number=None
    ) -> Answer:
        """Send a confirmable request and wait for its final answer."""
        self._next_mid = (self._next_mid + 1) & 0xFFFF
        token = self.caller.next_token()
        message = coap.make(CON, code, self._next_mid, token, payload)
        message.opt.uri_path = tuple(path.split("/"))
        message.opt.uri_query = (f"step={self.step}",)
        if block_number is not None:
            message.opt.block2 = coap.block(block_number, False)
        number = payload.split(b";")[0].decode()
        answer = await self.caller.exchange(self, message, path, number)
        if answer.outcome is Outcome.ANSWERED:
            self.step += 1
            self._note_upstream(answer.message.payload)
        return answer

    async def request_until_run(
        self, code: Code, path: str, payload: bytes = b"", block_number=None, tries=20
    ) -> Answer:
        """Repeat a request that was not run, after the time that the answer names."""
        for attempt in range(tries):
            answer = await self.request(code, path, payload, block_number)
            if answer.outcome is not Outcome.REFUSED_NOT_RUN or attempt == tries - 1:
                break
            spread_s = MIN_RETRY_S * (1 + self.caller.random.random())
            await asyncio.sleep(answer.retry_after_s + spread_s)
        return answer

    async def get_body(self, path: str, tries: int = 3) -> bytes | None:
        """Fetch a whole body by block-wise transfer and check it against its ETag."""
        for _ in range(tries):
            body = await self._get_blocks(path)
            if body is not None:
                self.caller.record.bodies += 1
                return body
            self.caller.record.restarted_bodies += 1
        return None

    async def _get_blocks(self, path: str) -> bytes | None:
        parts, etag, number = [], None, 0
        while True:
            answer = await self.request_until_run(Code.GET, path, block_number=number)
            if answer.outcome is not Outcome.ANSWERED:
                return None
            option = answer.message.opt
            if etag is None:
                etag = option.etag
            if option.etag != etag or option.block2.block_number != number:
                return None
            parts.append(answer.message.payload)
            number += 1
            if not option.block2.more:
                break
        body = b"".join(parts)
        if coap.etag_of(body) != etag:
            self.caller.record.torn_bodies.append([self.name, path])
        return body

    def _note_upstream(self, payload: bytes) -> None:
        if not payload.startswith(b"upstream="):
            return
        upstream = payload[9:60].split(b" ")[0].decode("utf-8", "replace")
        if self.upstream not in (None, upstream):
            self.caller.record.changed_upstreams.append(
                [self.name, self.upstream, upstream]
            )
        self.upstream = upstream


class Caller:
    """All flows of one caller program."""

    def __init__(
        self,
        fabric: Address,
        listen: Address,
        seed: int,
        ack_timeout_s: float = ACK_TIMEOUT_S,
        max_retransmit: int = MAX_RETRANSMIT,
        open_socket=BatchSocket,
    ):
        self.random = random.Random(seed)
        self.record = CallerRecord()
        self.flows: dict[bytes, Flow] = {}
        self._fabric = tuple(fabric)
        self._ack_timeout_s = ack_timeout_s
        self._max_retransmit = max_retransmit
        self._loop = asyncio.get_running_loop()
        self._socket = open_socket(listen, self._receive)
        self._token = self.random.randrange(1 << 40) << 16

    def open_flow(self, service: str, service_address: Address, address: Address):
        header = proxyheader.pack(FlowAddresses(address, service_address))
        flow = Flow(self, service, header, str(address))
        key = proxyheader.flow_key(header)
        self.flows[proxyheader.reversed_key(key)] = flow
        return flow

    def next_token(self) -> bytes:
        self._token += 1
        return self._token.to_bytes(8, "big")

    @property
    def open_exchanges(self) -> int:
        return sum(len(flow.exchanges) for flow in self.flows.values())

    def close(self) -> None:
        self._socket.close()

    async def exchange(self, flow: Flow, message, path: str, number: str) -> Answer:
        """Send ``message`` on ``flow``, repeat it as RFC 7252 says, and record it."""
        entry = [
            flow.name,
            message.token.hex(),
            message.mid,
            str(message.code),
            path,
            number,
            None,
            "",
            0,
            1,
            flow.service,
        ]
        self.record.requests.append(entry)
        first_timeout_s = self._ack_timeout_s * self.random.uniform(
            1.0, ACK_RANDOM_FACTOR
        )
        exchange = Exchange(
            message.mid,
            message.token,
            flow.header + message.encode(),
            self._loop.create_future(),
            entry,
            self._loop.time(),
            first_timeout_s,
        )
        flow.exchanges[message.token] = exchange
        flow.tokens_by_mid[message.mid] = message.token
        self._transmit(flow, exchange)
        return await exchange.future

    def _transmit(self, flow: Flow, exchange: Exchange) -> None:
        self._socket.send(exchange.datagram, self._fabric)
        exchange.timer = self._loop.call_later(
            exchange.timeout_s, self._timed_out, flow, exchange
        )

    def _timed_out(self, flow: Flow, exchange: Exchange) -> None:
        if exchange.sends > self._max_retransmit:
            self._finish(flow, exchange, Answer(Outcome.TIMEOUT), "")
            return
        exchange.sends += 1
        exchange.timeout_s *= 2
        self._transmit(flow, exchange)

    def _receive(self, data: bytes, _sender) -> None:
        try:
            header, payload = proxyheader.split(data)
            flow = self.flows.get(proxyheader.flow_key(header))
            message = coap.decode(payload)
        except (MessageError, coap.CoapError, ValueError, struct.error, IndexError):
            self.record.undecodable += 1
            return
        if flow is None:
            self.record.foreign_answers.append([header.hex(), message.token.hex()])
        elif message.code.is_response():
            self._receive_answer(flow, message, payload)
        elif message.mtype is ACK:
            self._receive_empty_acknowledgement(flow, message.mid)
        elif message.mtype is RST:
            self.record.undecodable += 1

    def _receive_empty_acknowledgement(self, flow: Flow, mid: int) -> None:
        exchange = flow.exchanges.get(flow.tokens_by_mid.get(mid, b""))
        if exchange is None:
            return
        self.record.empty_acknowledgements += 1
        exchange.timer.cancel()
        exchange.timer = self._loop.call_later(
            SEPARATE_ANSWER_WAIT_S, self._timed_out, flow, exchange
        )

    def _receive_answer(self, flow: Flow, message, payload: bytes) -> None:
        if message.mtype is CON:
            empty = coap.make(ACK, Code.EMPTY, message.mid)
            self._socket.send(flow.header + empty.encode(), self._fabric)
        digest = coap.answer_digest(payload)
        exchange = flow.exchanges.get(message.token)
        if exchange is None:
            self._check_repeat(flow, message, digest)
            return
        if message.mtype is ACK and message.mid != exchange.mid:
            self.record.foreign_answers.append([flow.name, message.token.hex()])
            return
        if message.code.is_successful():
            outcome = Outcome.ANSWERED
        else:
            outcome = Outcome(OUTCOME_OF_CODE.get(message.code, "error"))
        self._finish(flow, exchange, Answer(outcome, message), digest)

    def _check_repeat(self, flow: Flow, message, digest: str) -> None:
        token = message.token
        first = flow.digests.get(token)
        if first is None:
            self.record.foreign_answers.append([flow.name, token.hex()])
        elif first == digest or first == "":
            self.record.repeated_answers += 1
        else:
            self.record.changed_answers.append(
                [flow.name, token.hex(), digest, str(message.code), first]
            )

    def _finish(self, flow, exchange: Exchange, answer: Answer, digest: str) -> None:
        exchange.timer.cancel()
        del flow.exchanges[exchange.token]
        flow.tokens_by_mid.pop(exchange.mid, None)
        flow.digests[exchange.token] = digest
        latency_ms = (self._loop.time() - exchange.started_s) * 1000
        exchange.entry[6:10] = [
            answer.outcome.value,
            digest,
            round(latency_ms, 1),
            exchange.sends,
        ]
        if not exchange.future.done():
            exchange.future.set_result(answer)


@dataclass(frozen=True)
class Work:
    """A group of sessions of one kind, as the admin address takes it.

    ``kind`` names a method of ``Sessions``. ``first_ip`` is the IP of the first caller
    and ``flows_per_ip`` the connections of each.
    """

    kind: str
    service: str
    address: str
    flows: int
    first_ip: str
    flows_per_ip: int = 50
    open_per_s: float = 500.0
    think_s: float = 1.0
    steps: int = 0


class Sessions:
    """The sessions of the users' callers, until ``stop`` or their last step."""

    def __init__(self, caller: Caller):
        self.caller = caller
        self._stopping = asyncio.Event()
        self.progress = collections.Counter()
        self._tasks: set[asyncio.Task] = set()
        self._number = 0
        self._run_id = f"{caller.random.randrange(1 << 32):08x}"

    def start(self, body: dict) -> dict:
        """Start the sessions of a ``Work`` given as JSON."""
        work = Work(**body)
        if not self._tasks:
            self._stopping.clear()
        task = asyncio.create_task(self._open_all(work))
        self._keep(task)
        return {"started": work.flows}

    def stop(self, _body=None) -> dict:
        """Let each session end after its current request."""
        self._stopping.set()
        return self.status()

    def status(self) -> dict:
        outcomes = collections.Counter(
            entry[6] or "open" for entry in self.caller.record.requests
        )
        return {
            "running": len(self._tasks),
            "flows": len(self.caller.flows),
            "outcomes": dict(outcomes),
            "progress": dict(self.progress),
        }

    def reset(self, _body=None) -> dict:
        """Forget the record; sessions should have ended before."""
        self.caller.record = CallerRecord()
        self.progress.clear()
        return self.status()

    def next_number(self) -> str:
        """A quote or confirmation number that no other request has."""
        self._number += 1
        return f"{self._run_id}-{self._number}"

    @property
    def stopping(self) -> bool:
        return self._stopping.is_set()

    async def _pause(self, pause_s: float) -> None:
        """Sleep, but not beyond ``stop``."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._stopping.wait(), pause_s)

    def _keep(self, task: asyncio.Task) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open_all(self, work: Work) -> None:
        run_session = getattr(self, work.kind)
        first = int.from_bytes(bytes(map(int, work.first_ip.split("."))), "big")
        started_s = asyncio.get_running_loop().time()
        for index in range(work.flows):
            if self.stopping:
                return
            behind_s = index / work.open_per_s - (
                asyncio.get_running_loop().time() - started_s
            )
            if behind_s > 0:
                await self._pause(behind_s)
            number = first + index // work.flows_per_ip
            ip = ".".join(map(str, number.to_bytes(4, "big")))
            address = Address(ip, 20000 + index % work.flows_per_ip)
            flow = self.caller.open_flow(
                work.service, Address.parse(work.address), address
            )
            self._keep(asyncio.create_task(self._run(run_session, flow, work)))

    async def _run(self, run_session, flow: Flow, work: Work) -> None:
        while flow.step == 0 and not self.stopping:
            # The flow is open once the first answer is there.
            await run_session(flow, 0)
        self.progress[f"open:{work.service}"] += 1
        done = 0
        while not self.stopping and (not work.steps or done < work.steps):
            spread = self.caller.random.uniform(1 - THINK_SPREAD, 1 + THINK_SPREAD)
            await self._pause(work.think_s * spread)
            if self.stopping:
                return
            done += 1
            await run_session(flow, done)
            self.progress[f"steps:{work.service}"] += 1

    async def stock(self, flow: Flow, step: int) -> None:
        """A joiner: price lines, and a quote after every third."""
        item = f"price/handle-{self.caller.random.randrange(500)}"
        await flow.request_until_run(Code.GET, item)
        if step % 3 == 2:
            payload = f"{self.next_number()};handle=12;crates=1".encode()
            await flow.request_until_run(Code.POST, "quote", payload)

    async def quotes(self, flow: Flow, step: int) -> None:
        """A joiner who sends only quotes, so that a fault meets many of them."""
        payload = f"{self.next_number()};handle=12;crates=1".encode()
        await flow.request_until_run(Code.POST, "quote", payload)

    async def sheet(self, flow: Flow, step: int) -> None:
        """A fitter: one whole drawing."""
        await flow.get_body(f"sheet/{self.caller.random.randrange(200)}")

    async def printer(self, flow: Flow, step: int) -> None:
        """A printer: a label batch and its print confirmation."""
        answer = await flow.request_until_run(Code.GET, f"labels/{flow.name}/{step}")
        if answer.outcome is Outcome.ANSWERED:
            payload = f"{self.next_number()};batch={step};printed=40".encode()
            await flow.request_until_run(Code.POST, "confirmation", payload)

    async def artwork(self, flow: Flow, step: int) -> None:
        """An owner's download of a stall's artwork."""
        await flow.get_body(f"artwork/{self.caller.random.randrange(200)}")


async def main(arguments) -> None:
    caller = Caller(
        arguments.fabric, arguments.listen, arguments.seed, arguments.ack_timeout_s
    )
    sessions = Sessions(caller)
    serve(
        arguments.admin,
        [
            route("/work", write=sessions.start),
            route("/stop", sessions.status, sessions.stop),
            route("/reset", write=sessions.reset),
            route("/status", sessions.status),
            route("/record", lambda: asdict(caller.record)),
        ],
    )
    await wait_for_stop()


def parse_arguments():
    parser = argparse.ArgumentParser(prog="python -m testbed.caller")
    parser.add_argument("--fabric", type=Address.parse, required=True)
    parser.add_argument("--listen", type=Address.parse, required=True)
    parser.add_argument("--admin", type=Address.parse, required=True)
    parser.add_argument("--ack-timeout-s", type=float, default=ACK_TIMEOUT_S)
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


if __name__ == "__main__":
    asyncio.run(main(parse_arguments()))
