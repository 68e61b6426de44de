"""Steps for the stand-ins and the judge."""

import asyncio
import base64
import json

from aiocoap import CON
from aiocoap.numbers.codes import Code
from behave import given, then, when
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from testbed import coap
from testbed.judge import judge
from testbed.store import MAX_VALUE_BYTES, KeyValues, routes
from testbed.upstream import Upstream, UpstreamSpec
from testbed.web import serve
from tests.fakes import run_virtual
from wisteriatiller.ids import Address
from wisteriatiller.transport import proxyheader
from wisteriatiller.transport.proxyheader import FlowAddresses

STORE = Address("127.10.77.1", 8577)
STORE_URL = f"http://{STORE}"
SERVICE = Address("10.10.0.1", 5683)
CALLER = Address("10.99.0.1", 20000)
BALANCER = ("10.0.0.1", 6001)


# The store.


@given("a running store stand-in")
def given_store(context):
    def run(scenario):
        async def with_server():
            server = serve(STORE, routes(KeyValues()))
            try:
                await scenario(StoreClient())
            finally:
                server.stop()
                await server.close_all_connections()

        asyncio.run(with_server())

    context.run_with_store = run


class StoreClient:
    """Talks to the stand-in over HTTP."""

    def __init__(self):
        self._client = AsyncHTTPClient(force_instance=True)

    async def put(self, path, body):
        body = body if isinstance(body, bytes) else json.dumps(body).encode()
        url = STORE_URL + path
        response = await self._client.fetch(url, method="PUT", body=body)
        return json.loads(response.body)

    async def get(self, path):
        response = await self._client.fetch(STORE_URL + path)
        item = json.loads(response.body)[0]
        return base64.b64decode(item["Value"]), item["ModifyIndex"]


@then("a second store write at index 0 is refused")
def then_cas_refused(context):
    async def scenario(store):
        assert await store.put("/v1/kv/a?cas=0", b"first") is True
        assert await store.put("/v1/kv/a?cas=0", b"second") is False
        assert (await store.get("/v1/kv/a"))[0] == b"first"

    context.run_with_store(scenario)


@then("a store write at the current index is accepted")
def then_cas_accepted(context):
    async def scenario(store):
        await store.put("/v1/kv/a?cas=0", b"first")
        _, index = await store.get("/v1/kv/a")
        assert await store.put(f"/v1/kv/a?cas={index}", b"second") is True
        assert await store.put(f"/v1/kv/a?cas={index}", b"third") is False

    context.run_with_store(scenario)


@then("a store value over one megabyte is refused")
def then_large_value_refused(context):
    async def scenario(store):
        await store.put("/v1/kv/a", bytes(MAX_VALUE_BYTES))
        try:
            await store.put("/v1/kv/b", bytes(MAX_VALUE_BYTES + 1))
        except HTTPClientError as error:
            assert error.code == 413, error
        else:
            raise AssertionError("the value was accepted")

    context.run_with_store(scenario)


@then("a waiting read of the store returns the value written meanwhile")
def then_waiting_read(context):
    async def scenario(store):
        await store.put("/v1/kv/a", b"old")
        _, index = await store.get("/v1/kv/a")
        path = f"/v1/kv/a?index={index}&wait=5s"
        read = asyncio.create_task(store.get(path))
        await store.put("/v1/kv/other", b"unrelated")
        assert not read.done()
        await store.put("/v1/kv/a", b"new")
        assert (await asyncio.wait_for(read, 2))[0] == b"new"

    context.run_with_store(scenario)


@then("a lost answer hides a store write that took effect")
def then_lost_answer(context):
    async def scenario(store):
        await store.put("/faults", {"lose_answers": 1})
        assert await fails(store.put("/v1/kv/a", b"x"))
        assert (await store.get("/v1/kv/a"))[0] == b"x"

    context.run_with_store(scenario)


@then("a restored store shows the older value")
def then_restored(context):
    async def scenario(store):
        await store.put("/v1/kv/a", b"old")
        await store.put("/faults", {"snapshot": True})
        await store.put("/v1/kv/a", b"new")
        await store.put("/faults", {"restore": True})
        assert (await store.get("/v1/kv/a"))[0] == b"old"

    context.run_with_store(scenario)


@then("a store that is away answers nothing")
def then_away(context):
    async def scenario(store):
        await store.put("/v1/kv/a", b"x")
        await store.put("/faults", {"away": True})
        assert await fails(store.get("/v1/kv/a"))
        await store.put("/faults", {"away": False})
        await store.get("/v1/kv/a")

    context.run_with_store(scenario)


async def fails(awaitable) -> bool:
    try:
        await awaitable
    except (OSError, HTTPClientError):
        return True
    return False


# The upstream.


class RecordingSocket:
    """Takes what the upstream sends."""

    def __init__(self):
        self.sent = []

    def send(self, data, address):
        self.sent.append(coap.decode(proxyheader.split(data)[1]))


class UpstreamBench:
    """An upstream on virtual time that is handed datagrams directly."""

    def __init__(self, slots):
        self.socket = RecordingSocket()
        self.upstream = Upstream(
            UpstreamSpec("u-1", BALANCER, "s", "z", slots, SERVICE), 1, self.open_socket
        )

    def open_socket(self, address, receive):
        self.receive = receive
        return self.socket

    def request(self, mid, header=None):
        header = header or proxyheader.pack(FlowAddresses(CALLER, SERVICE))
        message = coap.make(CON, Code.POST, mid, b"t", b"q-1;x")
        message.opt.uri_path = ("quote",)
        self.receive(header + message.encode(), BALANCER)


@given("an upstream stand-in with {slots:d} slots")
def given_upstream(context, slots):
    def run(arrivals):
        async def scenario():
            bench = UpstreamBench(slots)
            await arrivals(bench)
            await asyncio.sleep(5)
            context.sent = bench.socket.sent
            context.upstream_record = bench.upstream.record

        run_virtual(scenario())

    context.run_upstream = run


@when("{count:d} requests reach the upstream at once")
def when_requests(context, count):
    async def arrivals(bench):
        for mid in range(count):
            bench.request(mid)

    context.run_upstream(arrivals)


@then("the upstream started {started:d} and refused {refused:d} requests")
def then_started(context, started, refused):
    record = context.upstream_record
    assert (len(record.starts), len(record.refusals)) == (started, refused)
    assert len(context.sent) == started + refused


@then("no more than {slots:d} requests ran at once")
def then_max_running(context, slots):
    assert context.upstream_record.max_running == slots


@when("a request with a passed deadline reaches the upstream")
def when_late(context):
    async def arrivals(bench):
        header = proxyheader.pack(FlowAddresses(CALLER, SERVICE))
        deadline_ms = bench.upstream.clock_ms() - 1
        bench.request(1, proxyheader.with_deadline(header, deadline_ms))

    context.run_upstream(arrivals)


@then("the upstream answered 5.03 with Max-Age 0 and started nothing")
def then_refused(context):
    (answer,) = context.sent
    assert answer.code is Code.SERVICE_UNAVAILABLE
    assert answer.opt.max_age == 0
    assert context.upstream_record.starts == []


@when("a request is cancelled while a second one waits")
def when_cancelled(context):
    async def arrivals(bench):
        bench.request(1)
        bench.request(2)
        header = proxyheader.pack(FlowAddresses(CALLER, SERVICE))
        bench.request(1, proxyheader.with_cancel(header))

    context.run_upstream(arrivals)


@then("only the second request is answered")
def then_second_answered(context):
    assert [message.mid for message in context.sent] == [2]


@when("the same request reaches the upstream {count:d} times")
def when_repeated(context, count):
    async def arrivals(bench):
        for _ in range(count):
            bench.request(1)
            await asyncio.sleep(1)

    context.run_upstream(arrivals)


@then("it ran once and every answer had the same bytes")
def then_once(context):
    assert len(context.upstream_record.starts) == 1
    assert len({message.payload for message in context.sent}) == 1
    assert len(context.sent) == 3


# The judge.


@given("records of a run in which all promises held")
def given_records(context):
    context.caller_records = [
        {
            "requests": [
                ["f1", "t1", 1, "POST", "quote", "q1", "answered", "d1", 1, 1, "s"],
                [
                    "f1",
                    "t2",
                    2,
                    "POST",
                    "quote",
                    "q2",
                    "refused_not_run",
                    "",
                    1,
                    1,
                    "s",
                ],
            ],
            "changed_answers": [],
            "foreign_answers": [],
            "torn_bodies": [],
            "changed_upstreams": [],
        }
    ]
    context.upstream_records = {
        name: {"starts": [], "answers": [], "foreign_packets": [], "broken_flows": []}
        for name in ("u1", "u2")
    }
    first = context.upstream_records["u1"]
    first["starts"].append(["f1", "t1", 1, "POST", "quote", "q1", None, 1])
    first["answers"].append(["f1", "t1", 1, "d1"])
    verdict = judge(context.caller_records, context.upstream_records)
    assert verdict.promises_held and verdict.requests == 2


@when("the records show {violation}")
def when_violation(context, violation):
    second = context.upstream_records["u2"]
    requests = context.caller_records[0]["requests"]
    if violation == "a refused request that was started":
        second["starts"].append(["f1", "t2", 2, "POST", "quote", "q2", None, 1])
    elif violation == "a quote started at two upstreams":
        second["starts"].append(["f1", "t1", 1, "POST", "quote", "q1", None, 1])
    elif violation == "an answer that no upstream sent":
        requests[0][7] = "d2"
    elif violation == "a later answer that no upstream sent":
        changed = ["f1", "t1", "d2", "2.04 Changed", "d1"]
        context.caller_records[0]["changed_answers"].append(changed)
    elif violation == "a packet at another service's upstream":
        second["foreign_packets"].append(["f1", "10.0.0.1:1"])
    elif violation == "a session step at an upstream new to it":
        second["broken_flows"].append(["f1", 3])
    elif violation == "a request without a final answer":
        requests[1][6] = None
    else:
        raise AssertionError(violation)


@then("the judge counts 1 as {count}")
def then_judged(context, count):
    verdict = judge(context.caller_records, context.upstream_records)
    assert getattr(verdict, count) == 1, verdict
    assert not verdict.promises_held
