"""Steps for odd entries of other writers, with real host processes."""

import json
import random
import socket
import tempfile
import time
import urllib.request
from pathlib import Path

from behave import given, then, when

from testbed.hostfleet import DATA_PORT, HostFleet
from testbed.platformstandin import (
    SYN,
    StandInStore,
    configuration,
    entry,
    pack_packet,
    route,
)

METRICS_PORT = 9464
START_LIMIT_S = 20.0
FLOWS_PER_HOST = 5
UPSTREAM_IDS = {"first": "i-7f3a91c2", "second": "i-7f3a91c3"}
NAMED_FIELDS = tuple(entry("stock", "10.0.0.1:80"))
# Depths around the limit of recursion, at which reading and describing a value fail in
# different places.
NESTING_DEPTHS = (1, 100, *range(900, 1000, 3), 1_100, 100_000)
ODD_VALUES = (
    "null",
    "true",
    "[]",
    "{}",
    "-1",
    "1.5",
    "1e999",
    "NaN",
    "Infinity",
    "9" * 20,
    "9" * 400,
    "9" * 5_000,
    '""',
    '"\\ud800"',
    '"\\u0000"',
    json.dumps(50_000 * "n"),
)
ODD_ADDRESSES = (
    "10.0.0.1",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:99999999999999999999",
    "10.0.0.1:-1",
    "999.0.0.1:80",
    "[::1]:80",
    ":80",
)
# Values that are valid or change nothing where they stand.
HARMLESS = {
    ("version", '""'),
    ("version", '"\\u0000"'),
    ("version", json.dumps(50_000 * "n")),
    ("sequence", "-1"),
    ("born", "-1"),
    ("warmup_left_ms", "-1"),
    ("warmup_left_ms", "1.5"),
    ("zone", '""'),
    ("zone", '"\\u0000"'),
    # Services that no route names.
    ("service", '""'),
    ("service", '"\\u0000"'),
}


def odd_entries(address):
    """The texts of entries that name no upstream; all would lead to ``address``."""
    valid = entry("stock", address)
    texts = [b"", b"\xff\xfe{", b"[]", b"7", b'"x"', b"{", bytes(range(256))]
    for field in NAMED_FIELDS:
        rest = {name: value for name, value in valid.items() if name != field}
        if field != "born":
            texts.append(json.dumps(rest).encode())
        before = json.dumps(rest)[:-1] + f', "{field}": '
        values = [value for value in ODD_VALUES if (field, value) not in HARMLESS]
        values += ["[" * depth + "]" * depth for depth in NESTING_DEPTHS]
        values += ['{"a":' * depth + "1" + "}" * depth for depth in NESTING_DEPTHS]
        texts += [f"{before}{value}}}".encode() for value in values]
    texts += [json.dumps(valid | {"address": odd}).encode() for odd in ODD_ADDRESSES]
    texts += [
        json.dumps(valid | {"state": odd}).encode() for odd in ("asleep", "Ready")
    ]
    return texts


def bind_udp_socket(ip):
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.bind((ip, 0))
    udp_socket.settimeout(2.0)
    return udp_socket


@given("a store with one upstream")
def given_store(context):
    context.net = f"127.{random.randrange(120, 220)}.{random.randrange(256)}"
    ip = f"{context.net}.5"
    context.store = StandInStore(ip)
    context.add_cleanup(context.store.close)
    context.store.page_items = 500
    context.sockets = {name: bind_udp_socket(ip) for name in (*UPSTREAM_IDS, "decoy")}
    for udp_socket in context.sockets.values():
        context.add_cleanup(udp_socket.close)
    context.store.put("op/config", configuration(1, route("198.18.0.1", 443, "stock")))
    put_upstream(context, "first")


def address_of(context, name):
    ip, port = context.sockets[name].getsockname()
    return f"{ip}:{port}"


def put_upstream(context, name):
    key = f"servers/{UPSTREAM_IDS[name]}"
    context.store.put(key, entry("stock", address_of(context, name)))


@given("a store with one upstream and {count:d} host processes in 2 zones")
def given_hosts(context, count):
    given_store(context)
    start_hosts(context, count)


@when("{count:d} host processes in 2 zones start and {duration_s:d} seconds pass")
def when_hosts_start(context, count, duration_s):
    start_hosts(context, count)
    time.sleep(duration_s)


def start_hosts(context, count):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    address = context.store.address
    context.fleet = HostFleet(context.net, count, address, Path(directory.name))
    context.add_cleanup(context.fleet.close)
    end_s = time.monotonic() + START_LIMIT_S
    while not all(host.is_ready for host in context.fleet.hosts):
        assert time.monotonic() < end_s, [
            (host.ip, host.exit_status()) for host in context.fleet.hosts
        ]
        time.sleep(0.05)


@when("another writer leaves odd entries of all kinds and {duration_s:d} seconds pass")
def when_odd_entries(context, duration_s):
    texts = odd_entries(address_of(context, "decoy"))
    for number, text in enumerate(texts, 1):
        context.store.put(f"servers/o-{number:x}", text)
    time.sleep(duration_s)


@when("the first upstream is replaced by a second one and {duration_s:d} seconds pass")
def when_replaced(context, duration_s):
    put_upstream(context, "second")
    context.store.remove(f"servers/{UPSTREAM_IDS['first']}")
    time.sleep(duration_s)


@then("no host process has ended")
def then_running(context):
    ended = {host.ip: host.exit_status() for host in context.fleet.hosts}
    assert set(ended.values()) == {None}, ended


@then("every host knows no upstream but the {name} one")
def then_known(context, name):
    for host in context.fleet.hosts:
        url = f"http://{host.ip}:{METRICS_PORT}/status"
        with urllib.request.urlopen(url, timeout=5) as response:
            status = json.load(response)
        listed = {
            upstream["upstream_id"]
            for upstream in status["upstreams"]
            if upstream["presence"] == "listed"
        }
        assert listed == {UPSTREAM_IDS[name]}, (
            host.ip,
            len(listed),
            sorted(listed)[:9],
        )


@then("new flows through every host reach the {name} upstream")
def then_flows_arrive(context, name):
    client = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.add_cleanup(client.close)
    for host_number, host in enumerate(context.fleet.hosts):
        for flow in range(FLOWS_PER_HOST):
            source = f"100.64.{host_number}.{flow + 1}:4000"
            packet = pack_packet(source, "198.18.0.1:443", SYN, seq=flow)
            client.sendto(packet, (host.ip, DATA_PORT))
            number = int(UPSTREAM_IDS[name].removeprefix("i-"), 16)
            found = context.sockets[name].recv(2000)
            assert int.from_bytes(found[:8], "big") == number, found[:8].hex()
