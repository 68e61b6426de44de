"""Steps for a real host process on loopback addresses."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path

from behave import given, then, when

from testbed.platformstandin import (
    ACK,
    HEADER,
    RST,
    SYN,
    StandInStore,
    StoreMode,
    configuration,
    entry,
    pack_packet,
    route,
    settings_text,
)

ROOT = Path(__file__).resolve().parent.parent.parent
SERVICE_ADDRESS = "198.18.0.1:443"
START_TIMEOUT_S = 20.0
FIRST_UPSTREAM_KEY = "servers/i-7f3a91c2"
# Longer than the stop timeout of two seconds; the pause begins right after SIGTERM.
STOP_PAUSE_S = 2.5


class HostUnderTest:
    """A host process with its store, one upstream and a client's socket."""

    def __init__(self, directory, reads_log=True, **changes):
        net = f"127.{random.randrange(20, 120)}.{random.randrange(256)}"
        self.ip = f"{net}.10"
        self.client_ip = f"{net}.200"
        self.store = StandInStore(self.ip)
        self.upstream = bind_udp_socket(self.ip, 0)
        # Resets go to the client's IP, at the port on which the host receives packets.
        self.client_socket = bind_udp_socket(self.client_ip, 8172)
        self.store.put("op/config", configuration(1, route("198.18.0.1", 443, "stock")))
        self.store.put(
            FIRST_UPSTREAM_KEY, entry("stock", self.address_of(self.upstream))
        )
        self.second_upstream = bind_udp_socket(self.ip, 0)
        self.settings_path = Path(directory) / "boot.conf"
        text = settings_text(self.ip, self.store.address, **changes)
        self.settings_path.write_text(text)
        self.log_path = Path(directory) / "log"
        self.error_path = Path(directory) / "errors"
        self.reads_log = reads_log
        self.process = subprocess.Popen(
            [sys.executable, str(ROOT / "deploy" / "host.py")],
            cwd=ROOT,
            env={**os.environ, "WISTERIATILLER_CONFIG": str(self.settings_path)},
            stdout=self.log_path.open("wb") if reads_log else subprocess.PIPE,
            stderr=self.error_path.open("wb"),
        )
        self.data = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.store.close()
        for udp_socket in (
            self.upstream,
            self.second_upstream,
            self.client_socket,
            self.data,
        ):
            udp_socket.close()
        if self.process.stdout:
            self.process.stdout.close()

    def send(self, packet):
        self.data.sendto(packet, (self.ip, 8172))

    def address_of(self, upstream):
        return f"{self.ip}:{upstream.getsockname()[1]}"

    def page(self, port, path):
        """Return the status and body of a page; status 0 if there is no response."""
        url = f"http://{self.ip}:{port}{path}"
        try:
            with urllib.request.urlopen(url, timeout=5) as response:
                return response.status, response.read().decode()
        except urllib.error.HTTPError as error:
            return error.code, ""
        except OSError:
            return 0, ""

    def wait_ready(self, wanted):
        end_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_s:
            if self.page(8167, "/ready")[0] == wanted:
                return
            time.sleep(0.05)
        raise AssertionError(
            f"readiness is not {wanted}: {self.error_path.read_text()}"
        )


def bind_udp_socket(ip, port):
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.bind((ip, port))
    udp_socket.settimeout(5.0)
    return udp_socket


def start_host(context, **options):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.host = HostUnderTest(directory.name, **options)
    context.add_cleanup(context.host.close)
    context.client_port = 40_000


@given("a stand-in store and a host process")
def given_host(context):
    start_host(context)


@given("a stand-in store")
def given_store_only(context):
    context.started = []


def start_host_and_wait_bound(context):
    """Start a host; return once its socket for packets is bound."""
    start_host(context)
    ip = int.from_bytes(socket.inet_aton(context.host.ip), sys.byteorder)
    wanted = f"{ip:08X}:{8172:04X}"
    end_s = time.monotonic() + START_TIMEOUT_S
    while wanted not in Path("/proc/net/udp").read_text():
        assert time.monotonic() < end_s, context.host.error_path.read_text()
        time.sleep(0.001)
    return context.host


@when(
    "a host process starts {count:d} times, gets SIGHUP all the while and becomes ready"
)
def when_signalled_at_start(context, count):
    for _ in range(count):
        host = start_host_and_wait_bound(context)
        context.started.append(host)
        end_s = time.monotonic() + START_TIMEOUT_S
        while host.page(8167, "/ready")[0] != 200 and host.process.poll() is None:
            assert time.monotonic() < end_s
            host.process.send_signal(signal.SIGHUP)
            time.sleep(0.002)


@then("none of the processes has ended")
def then_none_ended(context):
    ended = [host.process.poll() for host in context.started]
    assert ended == [None] * len(ended), ended


@when(
    "a host process starts {count:d} times and its settings name another seed meanwhile"
)
def when_changed_at_start(context, count):
    for number in range(count):
        host = start_host_and_wait_bound(context)
        context.started.append(host)
        # The change comes at another moment of the start each time.
        time.sleep(0.015 * number)
        text = settings_text(host.ip, host.store.address, seeds=f"{host.ip}:7999")
        host.settings_path.write_text(text)
        host.process.send_signal(signal.SIGHUP)
        host.wait_ready(200)
        time.sleep(1.0)


@then("each of them knows the new seed within 1 second")
def then_new_seed(context):
    for host in context.started:
        log = host.log_path.read_text()
        assert "seeds=1" in log or "changed=seeds" in log, log[:2000]


@given("a stand-in store and a host process without a zone")
def given_no_zone(context):
    start_host(context, zone=None)


@given("a stand-in store and a host process whose log pipe is not read")
def given_log_not_read(context):
    start_host(context, reads_log=False)


@given("a second upstream")
def given_second_upstream(context):
    host = context.host
    host.store.put(
        "servers/i-00000002", entry("stock", host.address_of(host.second_upstream))
    )


@when(
    "the host is paused for {pause_s:d} seconds while the first upstream drains and "
    "{count:d} flows are opened"
)
def when_paused(context, pause_s, count):
    host = context.host
    host.process.send_signal(signal.SIGSTOP)
    draining = entry("stock", host.address_of(host.upstream), state="draining")
    host.store.put(FIRST_UPSTREAM_KEY, draining)
    time.sleep(pause_s)
    for number in range(count):
        source = f"100.64.7.{number}:4000"
        host.send(pack_packet(source, SERVICE_ADDRESS, SYN, seq=number))
    host.process.send_signal(signal.SIGCONT)


@then("each of the {count:d} flows reaches the second upstream")
def then_second_upstream(context, count):
    for _ in range(count):
        assert context.host.second_upstream.recv(2000)[:8].hex() == "0000000000000002"


@when(
    "the host is paused beyond its stop timeout while {count:d} packets with that "
    "tag arrive"
)
def when_stop_pauses(context, count):
    host = context.host
    host.wait_ready(503)
    host.process.send_signal(signal.SIGSTOP)
    time.sleep(STOP_PAUSE_S)
    for number in range(count):
        packet = pack_packet(
            client_address(context),
            SERVICE_ADDRESS,
            ACK,
            echo=context.tag,
            seq=number,
            data=b"hello",
        )
        host.send(packet)
    host.process.send_signal(signal.SIGCONT)


@then("the {count:d} packets reach the upstream")
def then_packets_arrive(context, count):
    host = context.host
    for arrived in range(count):
        try:
            data = host.upstream.recv(2000)
        except TimeoutError:
            status, errors = host.process.poll(), host.error_path.read_text()
            log = host.log_path.read_text()[-2000:]
            raise AssertionError((arrived, status, errors, log)) from None
        assert data.endswith(b"hello"), data


@when("the host is ready")
def when_ready(context):
    context.host.wait_ready(200)


@when("the stand-in store stops answering for {duration_s:d} seconds")
def when_store_silent(context, duration_s):
    context.host.store.mode = StoreMode.SILENT
    time.sleep(duration_s)


@when("the settings file names another seed and {pause_s:d} seconds pass")
def when_settings_change(context, pause_s):
    host = context.host
    text = settings_text(host.ip, host.store.address, seeds=f"{host.ip}0:8166")
    host.settings_path.write_text(text)
    time.sleep(pause_s)


@when("another writer puts an entry in which {field} is {value}")
def when_other_writer(context, field, value):
    host = context.host
    malformed = entry("other", host.address_of(host.upstream))
    host.store.put("servers/i-7e", malformed | {field: json.loads(value)})


@when("{pause_s:d} seconds pass and a peer requests a full snapshot")
def when_peer_requests(context, pause_s):
    time.sleep(pause_s)
    host = context.host
    url = f"http://{host.ip}:8166/snapshot?127.0.0.1:1,zone-a,0,0.0,0,1,1,0,"
    with urllib.request.urlopen(url, timeout=5) as response:
        assert response.status == 200, response.status
    assert host.process.poll() is None, host.error_path.read_text()


@when("the host gets {name}")
def when_signal(context, name):
    context.host.process.send_signal(signal.Signals[name])


def client_address(context):
    return f"{context.host.client_ip}:{context.client_port}"


@then("an opening packet is forwarded to the upstream with its number and a tag")
def then_opening_forwarded(context):
    context.client_port += 1
    packet = pack_packet(client_address(context), SERVICE_ADDRESS, SYN, seq=77)
    context.host.send(packet)
    received = context.host.upstream.recv(2000)
    assert received[:8].hex() == "000000007f3a91c2", received.hex()
    assert received[12:] == packet[4:]
    context.tag = int.from_bytes(received[8:12], "big")
    assert context.tag != 0


@then("a packet with that tag is forwarded to the upstream")
def then_tagged_forwarded(context):
    packet = pack_packet(
        client_address(context),
        SERVICE_ADDRESS,
        ACK,
        echo=context.tag,
        seq=78,
        ack=5,
        data=b"hello",
    )
    context.host.send(packet)
    assert context.host.upstream.recv(2000)[8:] == packet


@then("a packet without a route is answered with a reset")
def then_reset(context):
    context.host.send(
        pack_packet(client_address(context), "198.18.0.9:443", SYN, seq=1)
    )
    fields = HEADER.unpack(context.host.client_socket.recv(2000))
    assert fields[8] == RST, fields
    assert fields[2] == 443, fields


@then("the metrics page counts {count:d} forwarded packets")
def then_metrics(context, count):
    status, body = context.host.page(9464, "/metrics")
    assert status == 200
    assert f"wisteriatiller_packets_forwarded_total {count}" in body, body
    assert 'wisteriatiller_store_list_upstreams_ms_bucket{le="+Inf"}' in body, body


@then("the status page shows {count:d} upstream and configuration {version:d}")
def then_status(context, count, version):
    status = json.loads(context.host.page(9464, "/status")[1])
    assert len(status["upstreams"]) == count, status
    assert status["config"]["version"] == version, status


@then("the log has a line {event}")
def then_log_line(context, event):
    end_s = time.monotonic() + 5.0
    while time.monotonic() < end_s:
        if f"event={event}" in context.host.log_path.read_text():
            return
        time.sleep(0.05)
    raise AssertionError(context.host.log_path.read_text())


@then("it is not ready")
def then_not_ready(context):
    context.host.wait_ready(503)


@then("it exits with status {status:d} within {limit_s:d} seconds")
def then_exits(context, status, limit_s):
    # The limit counts from the start of the process; a busy machine gets more time.
    found = context.host.process.wait(timeout=limit_s + START_TIMEOUT_S)
    assert found == status, (found, context.host.error_path.read_text())


@then("its error output is one line that names {field}")
def then_error_line(context, field):
    lines = context.host.error_path.read_text().splitlines()
    assert len(lines) == 1, lines
    assert f"{field}: missing" in lines[0], lines


@then("{count:d} opening packets reach the upstream, some without a log line")
def then_flood(context, count):
    for number in range(count):
        source = f"100.64.{number >> 8}.{number & 255}:4000"
        context.host.send(pack_packet(source, SERVICE_ADDRESS, SYN, seq=number))
        assert context.host.upstream.recv(2000)
    _, body = context.host.page(9464, "/metrics")
    assert "wisteriatiller_log_lines_left_out 0\n" not in body, body


def run_command(*arguments):
    """Run the command line; return its exit status and standard output."""
    result = subprocess.run(
        [sys.executable, "-m", "wisteriatiller.operations.cli", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    return result.returncode, result.stdout


@then("the command beliefs shows the upstream, trusted, at configuration {version:d}")
def then_beliefs(context, version):
    asked = f"{context.host.ip}:9464"
    status, output = run_command("beliefs", "--host", asked, "--json")
    assert status == 0, output
    view = json.loads(output)["hosts"][asked]
    assert view["config"]["version"] == version, view
    (upstream,) = view["upstreams"]
    assert upstream["verdict"] == "trusted", upstream
    status, output = run_command("beliefs", "--host", asked)
    assert status == 0, output
    assert upstream["upstream_id"] in output, output


@then(
    "the command explain names the upstream of the flow and configuration {version:d}"
)
def then_explain(context, version):
    placed = next(
        line
        for line in context.host.log_path.read_text().splitlines()
        if "event=flow_placed" in line
    )
    flow = placed.partition("flow=")[2].split()[0].strip('"')
    log = str(context.host.log_path)
    status, output = run_command("explain", flow, log, "--json")
    assert status == 0, output
    (decision,) = json.loads(output)["decisions"]
    assert decision["event"] == "flow_placed", decision
    assert decision["upstream"] == "i-7f3a91c2", decision
    assert decision["config_version"] == str(version), decision
    status, output = run_command("explain", flow, log)
    assert "i-7f3a91c2" in output, output


@then("the command explain finds nothing about another flow")
def then_explain_unknown(context):
    other = "100.64.99.99:1>198.18.0.1:443"
    status, output = run_command("explain", other, str(context.host.log_path))
    assert (status, output) == (1, ""), (status, output)
