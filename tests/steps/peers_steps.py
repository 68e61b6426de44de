"""Steps for messages between hosts and UDP sockets."""

import asyncio
import socket
from dataclasses import replace
from unittest.mock import patch

import msgpack
from behave import given, then, when
from tornado.iostream import IOStream

from tests.fakes import PEER_KEY, FakeNetwork, run_virtual
from wisteriatiller.exceptions import InvariantBroken
from wisteriatiller.foundation.messages import Message, encode, message
from wisteriatiller.foundation.metrics import InMemoryMetrics
from wisteriatiller.ids import Address
from wisteriatiller.outcomes import Unreachable
from wisteriatiller.transport.datagrams import UdpSocketFactory
from wisteriatiller.transport.tcpmessenger import TcpPeerMessenger, _FrameWriter

LOOPBACK = Address("127.0.0.1", 0)
OLDER_KEY = b"the key before the present one"


@message(250)
class Echo(Message):
    number: int


def tcp_settings(host_id, keys=(PEER_KEY,), listen=LOOPBACK):
    network = FakeNetwork()
    settings = network.environment(host_id, "zone-a").settings
    return replace(settings, peer_listen=listen, peer_keys=keys)


async def start_tcp_peers(settings, addresses):
    peers = TcpPeerMessenger(settings, InMemoryMetrics(), addresses.get)
    await peers.start()
    addresses[settings.host_id] = peers.address
    peers.received = []

    def echo_back(sender, echo):
        peers.received.append(echo.number)
        return echo

    peers.register(Echo, echo_back)
    return peers


@given("two hosts with TCP streams")
def given_tcp_hosts(context):
    context.peer_keys = ((PEER_KEY,), (PEER_KEY,))


@given("two hosts with TCP streams, one signing with the older key")
def given_key_rotation(context):
    context.peer_keys = ((PEER_KEY, OLDER_KEY), (OLDER_KEY, PEER_KEY))


@when("{count:d} calls run at once over the streams")
def when_concurrent_calls(context, count):
    async def scenario():
        addresses = {}
        first = await start_tcp_peers(
            tcp_settings("a", context.peer_keys[0]), addresses
        )
        second = await start_tcp_peers(
            tcp_settings("b", context.peer_keys[1]), addresses
        )
        calls = [first.call("b", Echo(number), 5.0) for number in range(count)]
        replies = await asyncio.gather(*calls)
        await first.close()
        await second.close()
        return replies

    context.peer_replies = asyncio.run(scenario())
    context.peer_calls = [Echo(number) for number in range(count)]


@then("each call over the streams got its own reply")
def then_replies_match_calls(context):
    assert context.peer_replies == context.peer_calls, context.peer_replies


async def send_bytes_to(address, data):
    reader, writer = await asyncio.open_connection(*address)
    await reader.readexactly(16)
    writer.write(data)
    await reader.read()
    writer.close()


@when("a recorded stream is replayed, and garbage and a forged frame are sent")
def when_attacked(context):
    async def scenario():
        addresses = {}
        second = await start_tcp_peers(tcp_settings("b"), addresses)
        sender = await start_tcp_peers(tcp_settings("a"), addresses)
        written = []
        write = IOStream.write

        def record(stream, data):
            written.append(bytes(data))
            return write(stream, data)

        IOStream.write = record
        try:
            await sender.call("b", Echo(1), 5.0)
        finally:
            IOStream.write = write
        # The connecting host writes the empty frame and the call at once.
        recorded = next(data for data in written if len(data) > 40)
        await send_bytes_to(second.address, recorded)
        await send_bytes_to(second.address, b"\xff" * 64)
        await send_bytes_to(second.address, b"\0" * 20 + encode(Echo(2)))
        await sender.close()
        await second.close()
        return second

    context.attacked_host = asyncio.run(scenario())


@then("no message of the attacker arrived and three streams were refused")
def then_attacks_refused(context):
    host = context.attacked_host
    assert host.received == [1], host.received
    assert host._metrics.counters()["peers.dropped_bad_frame"] == 3


async def open_signed_stream(address, signed_address):
    """Open a stream to ``address`` and sign its frames for ``signed_address``."""
    stream = IOStream(socket.socket())
    await stream.connect(address)
    nonce = await stream.read_bytes(16)
    connection = _FrameWriter((PEER_KEY,), stream, nonce, signed_address)
    connection.add_frame(b"")
    return connection


@when("a frame is replayed on its own stream, and a frame for one host goes to another")
def when_replayed_and_relayed(context):
    async def scenario():
        second = await start_tcp_peers(tcp_settings("b"), {})
        connection = await open_signed_stream(second.address, second.address)
        connection.add_frame(msgpack.packb(["a", 0, 0, encode(Echo(1))]))
        await connection.stream.write(b"".join(connection._unsent_parts))
        await connection.stream.write(b"".join(connection._unsent_parts[-2:]))
        relayed = await open_signed_stream(second.address, Address("127.0.0.1", 1))
        await relayed.write_frames([msgpack.packb(["a", 0, 0, encode(Echo(2))])])
        await asyncio.sleep(0.1)
        await second.close()
        return second

    context.attacked_host = asyncio.run(scenario())


@then("only the original frame arrived and both streams were refused")
def then_original_only(context):
    host = context.attacked_host
    assert host.received == [1], host.received
    assert host._metrics.counters()["peers.dropped_bad_frame"] == 2


@when("the second host restarts on the same address between two calls")
def when_restarted(context):
    async def scenario():
        addresses = {}
        first = await start_tcp_peers(tcp_settings("a"), addresses)
        second = await start_tcp_peers(tcp_settings("b"), addresses)
        replies = [await first.call("b", Echo(1), 5.0)]
        await second.close()
        settings = tcp_settings("b", listen=second.address)
        restarted = await start_tcp_peers(settings, addresses)
        await asyncio.sleep(0.05)
        replies.append(await first.call("b", Echo(2), 5.0))
        await first.close()
        await restarted.close()
        return replies

    context.peer_replies = asyncio.run(scenario())


@then("both calls around the restart got a reply")
def then_both_replied(context):
    assert context.peer_replies == [Echo(1), Echo(2)], context.peer_replies


@given("two hosts on the in-memory network")
def given_in_memory_hosts(context):
    context.network = FakeNetwork(seed=1)


def raising_handler(error):
    def handler(sender, echo):
        raise error

    return handler


@when("a handler raises an ordinary error and an undecodable frame arrives")
def when_handler_fails(context):
    async def scenario():
        first = context.network.environment("a", "zone-a")
        second = context.network.environment("b", "zone-a")
        second.peers.register(
            Echo, raising_handler(ValueError("expected in this test"))
        )
        outcomes = [await first.peers.call("b", Echo(1), 1.0)]
        for frame in (b"", b"\xc1", b"\x94\x01\x02\x03\x04", b"\x90"):
            second.peers.receive_frame(frame)
        second.peers._handlers.clear()
        second.peers.register(Echo, lambda sender, echo: echo)
        outcomes.append(await first.peers.call("b", Echo(2), 1.0))
        return outcomes, second.metrics.counters()

    context.peer_outcomes, context.peer_counters = run_virtual(scenario(), seed=1)


@then("the errors were counted and the next call is answered")
def then_errors_counted(context):
    assert isinstance(context.peer_outcomes[0], Unreachable)
    assert context.peer_outcomes[1] == Echo(2)
    assert context.peer_counters["peers.handler_errors"] == 1
    assert context.peer_counters["peers.dropped_malformed"] == 4


@then("a broken invariant in a handler stops the run")
def then_invariant_stops_run(context):
    async def scenario(handler):
        first = context.network.environment("a", "zone-a")
        second = context.network.environment("b", "zone-a")
        second.peers.register(Echo, handler)
        await first.peers.call("b", Echo(1), 1.0)

    async def raise_later(sender, echo):
        await asyncio.sleep(0.1)
        raise InvariantBroken("later")

    for handler in (raising_handler(InvariantBroken("at once")), raise_later):
        try:
            run_virtual(scenario(handler))
        except InvariantBroken:
            continue
        raise AssertionError("the broken invariant did not stop the run")


@then("a reply from a third host does not complete a call")
def then_third_host_ignored(context):
    async def scenario():
        first = context.network.environment("a", "zone-a").peers
        second = context.network.environment("b", "zone-a").peers
        second.register(Echo, lambda sender, echo: None)
        call = asyncio.create_task(first.call("b", Echo(1), 1.0))
        await asyncio.sleep(0.1)
        (call_id,) = first._pending_calls
        first.receive_frame(msgpack.packb(["c", 0, call_id, encode(Echo(2))]))
        return await call, first._metrics.counters()["peers.late_replies"]

    outcome, late_replies = run_virtual(scenario())
    assert isinstance(outcome, Unreachable) and late_replies == 1, outcome


@when("{count:d} datagrams are sent through a UDP socket in one burst")
def when_burst(context, count):
    async def scenario():
        received = []
        ports = UdpSocketFactory(InMemoryMetrics())
        target = await ports.open(LOOPBACK, lambda data, sender: received.append(data))
        source = await ports.open(LOOPBACK, lambda data, sender: None)
        for number in range(count):
            source.send(str(number).encode(), target.address)
        await asyncio.sleep(0.2)
        target.close()
        source.close()
        return received

    context.burst = asyncio.run(scenario())


@then("all {count:d} datagrams of the burst arrived in order")
def then_burst_arrived(context, count):
    assert context.burst == [str(number).encode() for number in range(count)]


@when("a call over the streams is repeated after the idle limit")
def when_idle(context):
    async def scenario():
        addresses = {}
        first = await start_tcp_peers(tcp_settings("a"), addresses)
        second = await start_tcp_peers(tcp_settings("b"), addresses)
        replies = [await first.call("b", Echo(1), 5.0)]
        open_streams = [len(first._send_queues), len(second._incoming_streams)]
        await asyncio.sleep(0.5)
        open_streams += [len(first._send_queues), len(second._incoming_streams)]
        replies.append(await first.call("b", Echo(2), 5.0))
        await first.close()
        await second.close()
        return replies, open_streams

    with patch("wisteriatiller.transport.tcpmessenger.IDLE_CLOSE_S", 0.2):
        context.peer_replies, context.open_streams = asyncio.run(scenario())


@then("the stream was closed in between and both calls got a reply")
def then_idle_stream_closed(context):
    assert context.peer_replies == [Echo(1), Echo(2)]
    assert context.open_streams == [1, 1, 0, 0], context.open_streams
