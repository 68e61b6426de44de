"""Steps for the platform adapter."""

import base64
import json
import random
import socket
import threading
import time
from functools import partial

from behave import given, then, when

from testbed.faultproxy import FaultProxy
from testbed.platformstandin import (
    ACK,
    StandInStore,
    StoreMode,
    configuration,
    entry,
    pack_packet,
    route,
    settings_text,
)
from testbed.steeringparts import steering_settings, upstream
from tests.storecalls import run_call
from wisteriatiller.ids import Address
from wisteriatiller.network import (
    EventLoop,
    HttpClient,
    HttpRequest,
    HttpResponse,
)
from wisteriatiller.platform.packets import FlowPacketCodec
from wisteriatiller.platform.settingsfields import parse_fields
from wisteriatiller.platform.settingsfile import SettingsFileError, decode_settings
from wisteriatiller.platform.store import (
    EPOCH_HEADER,
    ListingBuilder,
    PlatformStore,
    epoch_of,
)
from wisteriatiller.platform.storedvalues import (
    StoredValueError,
    decode_config,
    decode_upstream,
)
from wisteriatiller.steering import PacketKind, Tag
from wisteriatiller.steering.packets import format_flow
from wisteriatiller.steering.ports import (
    ConfigMissing,
    ConfigRead,
    ConfigUnchanged,
    HistoryExpired,
)

RETURN_PORT = 8172
OPENING = bytes.fromhex(
    "00000000 64400007 9c41 c6120001 01bb 0000 11223344 00000000 08 00 a1b2c3d5"
)
RESET = bytes.fromhex(
    "00000000 c6120001 01bb 64400007 9c41 0000 00000000 00000000 40 00 00000000"
)
CODEC = FlowPacketCodec(RETURN_PORT)
ADDRESS = "10.128.0.9:8080"


@given("the published bytes of an opening packet")
def given_packet_bytes(context):
    context.data = OPENING


@then("the codec decodes flow {flow} with sequence {sequence:d}")
def then_decodes(context, flow, sequence):
    packet = CODEC.decode(context.data)
    assert packet.kind is PacketKind.OPENING
    assert format_flow(packet.flow) == flow
    assert packet.sequence == sequence


@then("the codec encodes the published reset to {ip} at the return port")
def then_encodes_reset(context, ip):
    data, address = CODEC.encode_reset(context.data)
    assert data == RESET, data.hex()
    assert address == Address(ip, RETURN_PORT)


@then("the reset of a packet that acknowledges {ack:d} has sequence {seq:d}")
def then_reset_sequence(context, ack, seq):
    data = pack_packet("100.64.0.7:4000", "198.18.0.1:443", ACK, ack=ack)
    reset, _ = CODEC.encode_reset(data)
    assert int.from_bytes(reset[18:22], "big") == seq


@then("for upstream {upstream_id} and tag {tag:d} it starts with {digits}")
def then_upstream_header(context, upstream_id, tag, digits):
    target = upstream("1", upstream_id=upstream_id)
    sent = CODEC.encode_for_upstream(context.data, target, Tag(tag))
    assert sent.hex().startswith(digits), sent.hex()
    assert sent[12:] == context.data[4:]


@then("the codec rejects empty, short, long and miscounted datagrams")
def then_rejects(context):
    miscounted = OPENING[:16] + b"\x00\x05" + OPENING[18:]
    for data in (b"", OPENING[:31], OPENING + b"x", bytes(2000), miscounted):
        assert CODEC.decode(data) is None, data


@then("the codec survives {count:d} random datagrams")
def then_survives_random(context, count):
    rng = random.Random(7)
    for _ in range(count):
        data = rng.randbytes(rng.randrange(80))
        packet = CODEC.decode(data)
        if packet is not None:
            CODEC.encode_reset(data)


@given("a valid entry in which {field} is {value}")
def given_entry(context, field, value):
    context.entry = entry("stock", ADDRESS)
    if value == "missing":
        del context.entry[field]
    else:
        context.entry[field] = json.loads(value)


@given("a valid entry whose {field} has {length:d} characters")
def given_long_name(context, field, length):
    context.entry = entry("stock", ADDRESS) | {field: length * "n"}


@then(
    "an entry in which {field} is nested up to {depth:d} times is rejected or decoded"
)
def then_any_depth(context, field, depth):
    parts = json.dumps(entry("stock", ADDRESS) | {field: "@"}).split('"@"')
    for opening, closing in (("[", "]"), ('{"a":', "}")):
        for level in range(1, depth):
            value = f"{opening * level}1{closing * level}"
            is_rejected = is_entry_rejected(value.join(parts).encode())
            assert is_rejected or field == "other", level


@given("the key of an entry is {key}")
def given_key(context, key):
    data = json.dumps(entry("stock", ADDRESS)).encode()
    value = base64.b64encode(data).decode()
    builder = ListingBuilder(is_current=True)
    items = [{"key": json.loads(key), "value": value}]
    builder.add_page({"store_revision": 5, "items": items, "truncated": False})
    context.listing = builder.build()


@then("the listing has neither an upstream nor an unreadable one")
def then_empty_listing(context):
    assert not context.listing.upstreams, context.listing
    assert not context.listing.unreadable, context.listing


@given("a valid configuration in which {field} is {value}")
def given_config(context, field, value):
    part = {"service": "stock", "weight": 90}
    made = configuration(1, route("198.18.0.1", 443, "stock", traffic_split=[part]))
    places = {
        "version": made,
        "idle_timeout_ms": made["limits"],
        "weight": part,
        "service": part,
        "name": made["routes"][0],
        "traffic_split": made["routes"][0],
    }
    places[field][field] = json.loads(value)
    context.data = json.dumps(made).encode()


@then("the configuration is decoded, and its text can be logged")
def then_config_loggable(context):
    (read,) = decode_config(context.data).routes
    read.name.encode()


@then("the configuration is rejected")
def then_config_rejected(context):
    try:
        found = decode_config(context.data)
    except StoredValueError:
        return
    raise AssertionError(found)


def is_entry_rejected(data):
    try:
        decode_upstream("i-7f", data)
    except StoredValueError:
        return True
    return False


@then("the entry is rejected and the next one is decoded")
def then_entry_rejected(context):
    assert is_entry_rejected(json.dumps(context.entry).encode())
    assert not is_entry_rejected(json.dumps(entry("stock", ADDRESS)).encode())


@then("entries of no bytes, no JSON, a list and deep nesting are rejected")
def then_all_rejected(context):
    for data in (b"", b"\xff\xfe{", b"[]", b"[" * 100_000):
        assert is_entry_rejected(data), data[:20]


@then("a route to {address} is decoded with services stock 90 and sheet 10")
def then_split_decoded(context, address):
    split = [{"service": "stock", "weight": 90}, {"service": "sheet", "weight": 10}]
    made = route("198.18.0.1", 8443, "unused", traffic_split=split)
    config = decode_config(json.dumps(configuration(7, made)).encode())
    (found,) = config.routes
    ip, port = found.service_address[:4], found.service_address[4:]
    assert f"{'.'.join(map(str, ip))}:{int.from_bytes(port, 'big')}" == address
    assert found.services == (("stock", 90.0), ("sheet", 10.0))
    assert (config.version, config.idle_timeout_ms) == (7, 15000)


@then("configurations without version, with a bad address or a bad port are rejected")
def then_configs_rejected(context):
    bad_version = configuration(7)
    del bad_version["version"]
    for config in (
        bad_version,
        configuration(7, route("nowhere", 8443, "stock")),
        configuration(7, route("198.18.0.1", 70000, "stock")),
    ):
        try:
            decode_config(json.dumps(config).encode())
        except StoredValueError:
            continue
        raise AssertionError(config)


@given("settings in which {field} is {value}")
def given_settings(context, field, value):
    changes = {field.replace(".", "__"): None if value == "missing" else value}
    context.settings = settings_text("10.1.0.10", "10.200.1.7:8169", **changes)


@then('reading the settings fails with "{message}"')
def then_settings_error(context, message):
    try:
        decode_settings(parse_fields(context.settings), "boot.conf")
    except SettingsFileError as error:
        assert str(error).startswith(f"boot.conf: {message}"), error
    else:
        raise AssertionError("the settings were accepted")


@then("the settings have {name} {number:g}")
def then_settings_have(context, name, number):
    settings = decode_settings(parse_fields(context.settings), "boot.conf")
    assert getattr(settings, name) == number, getattr(settings, name)


@then("a watch waits for {wait_s:g} seconds at most")
def then_watch_wait(context, wait_s):
    settings = decode_settings(parse_fields(context.settings), "boot.conf")
    assert settings.watch_wait_s == wait_s, settings.watch_wait_s


@given("a stand-in store with {count:d} entries and {unreadable:d} unreadable one")
def given_store(context, count, unreadable):
    context.store = StandInStore("127.0.0.1")
    context.add_cleanup(context.store.close)
    context.store.put("op/config", configuration(1, route("198.18.0.1", 443, "stock")))
    for number in range(count):
        context.store.put(f"servers/i-{number + 1:x}", entry("stock", ADDRESS))
    for number in range(unreadable):
        context.store.put(f"servers/i-bad{number}", b"\x00")
    make_client(context, Address.parse(context.store.address))


class DuplicatingServer:
    """An HTTP server that echoes the target of each request in two responses."""

    def __init__(self, delay_s):
        self._delay_s = delay_s
        self._requests = 0
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = Address(*self._socket.getsockname())
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self):
        self._socket.close()

    def _serve(self):
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            with connection:
                self._answer(connection)

    def _answer(self, connection):
        try:
            while request := connection.recv(4096):
                number = request.split()[1].decode().strip("/")
                answer = f"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{number}"
                if self._delay_s:
                    connection.sendall(answer.encode())
                    time.sleep(self._delay_s)
                    connection.sendall(answer.encode())
                else:
                    connection.sendall(2 * answer.encode())
        except OSError:
            # The client has closed the connection.
            return


@given("a server that sends each response twice, the second time {delay_ms:d} ms later")
def given_duplicating_server(context, delay_ms):
    context.server = DuplicatingServer(delay_ms / 1000)
    context.add_cleanup(context.server.close)


@when("a client asks it {count:d} times, every {gap_ms:d} ms")
def when_client_requests(context, count, gap_ms):
    loop = EventLoop()
    connection = HttpClient(loop, context.server.address, 1000)
    context.answers = {}
    for number in range(count):
        request = HttpRequest(f"/{number}", 1.0)
        connection.request(request, partial(context.answers.__setitem__, number))
        end_s = time.monotonic() + gap_ms / 1000
        while time.monotonic() < end_s or number not in context.answers:
            loop.call_later(0.005, lambda: None)
            loop.run_once()
    connection.close()


@then("each response that the client got is the one to its own request")
def then_own_responses(context):
    assert len(context.answers) == 5, context.answers
    for number, answer in context.answers.items():
        if isinstance(answer, HttpResponse):
            assert answer.body == str(number).encode(), context.answers


@given("the first page of a listing with {count:d} entries")
def given_first_page(context, count):
    data = json.dumps(entry("stock", "10.0.0.1:80")).encode()
    value = base64.b64encode(data).decode()
    items = [
        {"key": f"servers/i-{number:03x}", "value": value} for number in range(count)
    ]
    context.page = {"store_revision": 5, "items": items[:50], "truncated": True}


@then("the same page is not accepted as the second one")
def then_page_not_accepted(context):
    builder = ListingBuilder(is_current=True)
    assert not builder.add_page(context.page)
    try:
        builder.add_page(context.page)
    except ValueError:
        return
    raise AssertionError("the page was accepted twice")


@then("a second page of the next epoch is not accepted")
def then_page_of_epoch_rejected(context):
    builder = ListingBuilder(is_current=True)
    assert not builder.add_page(context.page, epoch=1)
    try:
        builder.add_page({**context.page, "items": []}, epoch=2)
    except ValueError:
        return
    raise AssertionError(builder.build())


@given("no store at the address")
def given_no_store(context):
    make_client(context, Address("127.0.0.1", 1))


def make_client(context, address):
    context.loop = EventLoop()
    context.client = PlatformStore(context.loop, steering_settings(store=address))


@given("a link to the stand-in store that can stall")
def given_link(context):
    context.link = FaultProxy("127.0.0.1", context.store.address)
    context.add_cleanup(context.link.close)
    make_client(context, Address.parse(context.link.address))


@when("the open connections stall and {duration_s:g} seconds pass")
def when_connections_stall(context, duration_s):
    context.link.stall()
    time.sleep(duration_s)


@when("the store client reads the configuration")
def when_reads_config(context):
    context.answer = run_call(context, context.client.read_config)


@then("it is read within {limit_s:g} seconds")
def then_read_in_time(context, limit_s):
    assert isinstance(context.answer, ConfigRead), context.answer
    assert context.waited_s <= limit_s, context.waited_s


@when("the stand-in store is {mode}")
def when_store_mode(context, mode):
    context.store.mode = StoreMode(mode)


@when("the store client lists the upstreams")
def when_client_lists(context):
    context.answer = run_call(
        context, lambda done: context.client.list_upstreams(False, done)
    )


@then("the listing names {count:d} upstreams and {unreadable:d} unreadable")
def then_listing(context, count, unreadable):
    assert len(context.answer.upstreams) == count
    assert len(context.answer.unreadable) == unreadable


@then("the client reports that the store is {reason} within {limit_s:g} seconds")
def then_failure(context, reason, limit_s):
    assert context.answer.reason.value == reason, context.answer
    assert context.waited_s <= limit_s, context.waited_s


def watch_config(context, after):
    """Watch the configuration for 100 ms and return the answer."""
    return run_call(context, lambda done: context.client.watch_config(after, 0.1, done))


@then("the configuration, the listing and a watch are of epoch {epoch:d}")
def then_epochs(context, epoch):
    read = run_call(context, context.client.read_config)
    listing = run_call(context, partial(context.client.list_upstreams, True))
    watched = watch_config(context, read.position.revision)
    context.lost_revision = read.position.revision
    found = (read.position.epoch, listing.epoch, watched.position.epoch)
    assert found == (epoch, epoch, epoch), found


@when("the stand-in store goes back to its first copy")
def when_restored(context):
    context.store.restore(age_s=3600.0)


@then("the missing configuration and the listing are of epoch {epoch:d}")
def then_missing_epoch(context, epoch):
    missing = run_call(context, context.client.read_config)
    assert isinstance(missing, ConfigMissing), missing
    listing = run_call(context, partial(context.client.list_upstreams, True))
    found = (missing.position.epoch, listing.epoch)
    assert found == (epoch, epoch), found


@then("a watch from the lost revision reports an expired history of epoch {epoch:d}")
def then_watch_expired(context, epoch):
    answer = watch_config(context, context.lost_revision)
    assert isinstance(answer, HistoryExpired), answer
    assert answer.position.epoch == epoch, answer


@then("an answer whose epoch is {text} is of epoch {epoch:d}")
def then_epoch_of_answer(context, text, epoch):
    headers = {} if text == "missing" else {EPOCH_HEADER: text}
    found = epoch_of(HttpResponse(200, b"", headers))
    assert found == epoch, found


@then("a watch of 100 ms reports no change, a change and an expired history")
def then_watch(context):
    first = run_call(context, context.client.read_config)
    assert isinstance(first, ConfigRead), first
    after = first.position.revision
    assert isinstance(watch_config(context, after), ConfigUnchanged)
    context.store.put("op/config", configuration(2, route("198.18.0.1", 443, "stock")))
    changed = watch_config(context, after)
    assert changed.config.version == 2, changed
    context.store.history_from = 10_000
    assert isinstance(watch_config(context, after), HistoryExpired)
