"""Steps for the command line.

The store stand-in and the hosts' admin addresses run on an event loop in a thread;
the command runs in the main thread, as ``main`` starts a loop of its own.
"""

import ast
import asyncio
import contextlib
import io
import json
import tempfile
import threading
from collections import Counter
from pathlib import Path
from unittest import mock

from behave import given, then, when

from testbed.store import KeyValues, routes
from testbed.web import serve
from tests import configurations
from tests.fakes import FakeNetwork, StaticMembership, run_virtual
from tests.loopback import own_network
from wisteriatiller.foundation import logs
from wisteriatiller.foundation.interfaces import EventLoopClock
from wisteriatiller.foundation.logs import event_line
from wisteriatiller.foundation.report import (
    LONG_WINDOW_S,
    SHORT_WINDOW_S,
    RequestOutcome,
    ServiceLevelCounters,
    build_host_report,
    merge_reports,
)
from wisteriatiller.ids import Address, HostId, ServiceId, UpstreamId
from wisteriatiller.operations import cli
from wisteriatiller.outcomes import StoreUnavailable
from wisteriatiller.store.admin import AdminServer, revision_status
from wisteriatiller.store.configfollower import ConfigFollower
from wisteriatiller.store.consul import ConsulStore
from wisteriatiller.store.submission import CONFIG_KEY

# Other features, and other runs of this one, can run beside it.
SUBNET = own_network(77)
STORE = Address(f"{SUBNET}.200", 8500)
SERVICE = ServiceId("stock-browser")


class System:
    """A store and hosts that follow it, on a loop in a thread."""

    def __init__(self, count, stopped, stopped_state):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        self.servers, self.stores, self.followers, self.tasks = [], [], [], []
        self.levels = []
        self.run(self._start(count, stopped, stopped_state))

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(20)

    async def _start(self, count, stopped, stopped_state):
        self.data = KeyValues()
        self.store_server = serve(STORE, routes(self.data))
        entries = []
        for number in range(count):
            is_stopped = number >= count - stopped
            entries.append(
                {
                    "host_id": f"host-{number}",
                    "zone": f"zone-{number}",
                    "peer": f"{SUBNET}.{number + 1}:6002",
                    "admin": f"{SUBNET}.{number + 1}:6003",
                    "state": stopped_state if is_stopped else "live",
                }
            )
            if not is_stopped:
                self._start_host(number)
        self.data.put("platform/hosts", json.dumps(entries).encode())

    def _start_host(self, number):
        host_id = HostId(f"host-{number}")
        environment = FakeNetwork().environment(host_id, f"zone-{number}")
        environment.store = ConsulStore((f"http://{STORE}",))
        follower = ConfigFollower(environment, StaticMembership(environment.settings))
        level = ServiceLevelCounters(EventLoopClock())
        providers = {
            "/revision": lambda: revision_status(host_id, follower),
            "/status": lambda: revision_status(host_id, follower),
            "/report": lambda: build_host_report(
                host_id, follower.configuration, level
            ),
        }
        server = AdminServer(Address(f"{SUBNET}.{number + 1}", 6003), providers)
        server.start()
        self.servers.append(server)
        self.stores.append(environment.store)
        self.levels.append(level)
        self.tasks.append(asyncio.create_task(follower.run()))

    async def _stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for server in self.servers:
            await server.stop()
        for store in self.stores:
            store.close()
        self.store_server.stop()
        await self.store_server.close_all_connections()

    def close(self):
        self.run(self._stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


def start_system(context, count, stopped=0, stopped_state="live"):
    context.system = System(count, stopped, stopped_state)
    context.add_cleanup(context.system.close)


@given("a command-line system of {count:d} hosts")
def given_system(context, count):
    start_system(context, count)


@given("a command-line system of {count:d} hosts, the last one {state} and stopped")
def given_system_with_stopped(context, count, state):
    start_system(context, count, 1, state)


@given("the store of the command-line system loses {count:d} answers")
def given_lost_answers(context, count):
    context.system.data.faults.lose_answers = count


def write_text(context, data):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.text_path = Path(directory.name) / "services.json"
    context.text_path.write_bytes(data)


@given("an operator's text with {count:d} upstreams")
@when("an operator's text with {count:d} upstreams")
def given_text(context, count):
    write_text(context, configurations.text(count))


@given("a broken operator's text")
def given_broken_text(context):
    write_text(context, configurations.text(2, shard_count="many"))


@when('the command "{command}" runs')
def when_command(context, command):
    command = command.replace("FILE", str(context.text_path))
    command = command.replace("URL", f"http://{STORE}")
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        context.exit_status = cli.main(command.split())
    context.output = output.getvalue()


@when("the store adapter reads and writes while the store answers {answer}")
def when_nonsense(context, answer):
    head, _, body = answer.partition(",")
    reply = f"{head}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(reply)
        writer.close()

    async def scenario():
        server = await asyncio.start_server(respond, STORE.ip, STORE.port)
        store = ConsulStore((f"http://{STORE}",))
        context.answers = [await store.get("key"), await store.get("key", 1, 0.1)]
        context.answers.append(await store.compare_and_swap("key", b"value", 0))
        store.close()
        server.close()

    asyncio.run(scenario())


@then("the store adapter reported the store as unavailable each time")
def then_always_unavailable(context):
    for answer in context.answers:
        assert isinstance(answer, StoreUnavailable), context.answers


@then('the command ends with {status:d} and says "{message}"')
def then_command_ended(context, status, message):
    assert context.exit_status == status, (context.exit_status, context.output)
    assert message in context.output, context.output


@then("the store of the command-line system has no configuration")
def then_no_configuration(context):
    assert CONFIG_KEY not in context.system.data.entries


@when(
    "each host of the command-line system has answered {answered:d} requests and "
    "refused {refused:d}"
)
def when_requests(context, answered, refused):
    async def feed():
        for level in context.system.levels:
            for number in range(answered):
                upstream_id = UpstreamId(f"stock-{number % 2 + 1}")
                level.record(SERVICE, RequestOutcome.ANSWERED, upstream_id, 0.01)
            for _ in range(refused):
                # The refusing upstream evens out the 99 answers of the two.
                upstream_id = UpstreamId("stock-2")
                level.record(SERVICE, RequestOutcome.REFUSED, upstream_id)

    context.system.run(feed())


@then(
    "the JSON report has {requests:d} requests, a burn rate of {burn:d} and an "
    "imbalance of {imbalance:d}"
)
def then_json_report(context, requests, burn, imbalance):
    report = json.loads(context.output)
    (service,) = report["services"]
    assert service["short"]["requests"] == service["long"]["requests"] == requests
    # One percent failed, and the objective allows 0.1 percent.
    assert abs(service["short"]["burn_rate"] - burn) < 1e-6, service
    assert abs(service["budget_left"] - (1 - burn)) < 1e-6, service
    assert service["imbalance"] == imbalance, service
    assert 9.9 < service["short"]["p99_ms"] < 11.1, service
    assert report["silent_hosts"] == ["host-2"]


@given("a service level on virtual time")
def given_level(context):
    context.windows = []


@when(
    "{first:d} requests are refused, and {then:d} answered after {wait_s:d} more "
    "seconds"
)
def when_windows(context, first, then, wait_s):
    async def scenario():
        level = ServiceLevelCounters(EventLoopClock())
        for _ in range(first):
            level.record(SERVICE, RequestOutcome.REFUSED)
        await asyncio.sleep(wait_s)
        for _ in range(then):
            level.record(SERVICE, RequestOutcome.ANSWERED)
        context.windows.append(window_counts(level))
        await asyncio.sleep(LONG_WINDOW_S)
        context.windows.append(window_counts(level))

    run_virtual(scenario())


def window_counts(level):
    return [
        sum(level.window_totals(SERVICE, window_s)["outcomes"].values())
        for window_s in (SHORT_WINDOW_S, LONG_WINDOW_S)
    ]


@then("the short window has {short:d} requests and the long window {long:d}")
def then_windows(context, short, long):
    assert context.windows[0] == [short, long], context.windows


@then("an hour later both windows are empty")
def then_windows_empty(context):
    assert context.windows[1] == [0, 0], context.windows


@then("damaged host reports are counted as silent")
def then_damaged_reports(context):
    counts = {"outcomes": {"answered": 1}, "upstreams": {"u": 1}, "latencies": {"3": 1}}
    service = {"objective": 0.99, "slots": {"u": 1}, "short": counts, "long": counts}
    good = {"host_id": "a", "revision": 1, "services": {"s": service}}
    damaged = [
        None,
        [],
        {},
        {"services": {"s": service}},
        {"revision": 1, "services": {"s": {**service, "objective": 1}}},
        {"revision": 1, "services": {"s": {**service, "slots": {"u": 0}}}},
        {"revision": 1, "services": {"s": {**service, "long": {}}}},
        {"revision": 1, "services": {"s": {**service, "short": {"outcomes": 3}}}},
    ]
    answers = {HostId(f"bad-{n}"): answer for n, answer in enumerate(damaged)}
    report = merge_reports({HostId("good"): good, **answers})
    assert report.answered_hosts == ("good",), report
    assert len(report.silent_hosts) == len(damaged), report
    assert report.services[0].long.requests == 1, report


@then('logging {value} as "{name}" writes {written}')
def then_logged(context, value, name, written):
    line = event_line("test", **{name: ast.literal_eval(value)})
    assert line == f"event=test {written}", line


def log_limited(context, at_s, events):
    """Log events at a given time; lines that were written are kept by event."""
    with (
        mock.patch.object(logs.time, "monotonic", lambda: at_s),
        mock.patch.object(logs, "log_event") as log_event,
    ):
        for event in events:
            logs.log_event_limited(event, level="warning", detail="malformed")
    context.logged.update(call.args[0] for call in log_event.call_args_list)


@when('{count:d} events "{first}" and as many "{second}" come in {span_s:g} s')
def when_events_flood(context, count, first, second, span_s):
    context.logged = Counter()
    context.events = (first, second)
    logs._last_logged_s.clear()
    for number in range(count):
        log_limited(context, 100.0 + span_s * number / count, context.events)


@when("another event of each kind comes after {after_s:g} s")
def when_events_follow(context, after_s):
    log_limited(context, 100.0 + after_s, context.events)


@then("{lines:d} line for each of the two is logged")
@then("{lines:d} lines for each of the two are logged")
def then_lines(context, lines):
    assert context.logged == dict.fromkeys(context.events, lines), context.logged
