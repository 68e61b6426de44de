"""The commands ``beliefs`` and ``explain`` for hosts that steer flows.

``beliefs`` shows the configuration and upstream state that hosts act on, and
``explain`` the history of one flow.
"""

import asyncio
import json
import sys
from collections.abc import Iterator
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from wisteriatiller.configuration import NotAllowed, check_address
from wisteriatiller.foundation import log_event

from .console import EXIT_INCOMPLETE, EXIT_SUCCESS, UsageError, print_error, print_line
from .flowtrace import FlowTrace, LogEvent, is_flow_id, parse_log_line, trace_flow
from .tables import format_number, format_table

STATUS_PATH = "/status"
REQUEST_TIMEOUT_S = 2.0


class Beliefs(Command):
    name = "beliefs"
    description = "Show the configuration and upstream state that steering hosts act on"
    options = [
        option(
            "host",
            None,
            "Metrics address (IP:PORT) of a host to query",
            flag=False,
            multiple=True,
        ),
        option("json", None, "Print the result as JSON", flag=True),
    ]

    def handle(self) -> int:
        addresses = [_validate_address(text) for text in self.option("host")]
        if not addresses:
            raise UsageError("beliefs: --host IP:PORT is missing")
        answers = asyncio.run(_fetch_all_statuses(addresses))
        silent_addresses = [
            host_address for host_address, answer in answers.items() if answer is None
        ]
        if self.option("json"):
            print_line(
                json.dumps(
                    {"hosts": answers, "silent_hosts": silent_addresses}, indent=2
                )
            )
        else:
            self._print_tables(
                [answer for answer in answers.values() if answer is not None]
            )
        for host_address in silent_addresses:
            print_error(f"no answer within {REQUEST_TIMEOUT_S:g} s from {host_address}")
        return EXIT_INCOMPLETE if silent_addresses else EXIT_SUCCESS

    def _print_tables(self, answers: list[dict]) -> None:
        """Print a table of the hosts and one of the upstreams that each host sees."""
        if not answers:
            return
        header = ("host", "zone", "state", "reads from", "config", "config age s")
        header += ("epoch", "listing", "listing age s", "flows", "peers", "evacuated")
        print_line(format_table(header, [_host_row(answer) for answer in answers]))
        header = ("host", "upstream", "service", "zone", "state", "presence")
        header += ("verdict", "flows", "slots", "address")
        rows = [row for answer in answers for row in _upstream_rows(answer)]
        print_line("")
        print_line(format_table(header, rows))


class Explain(Command):
    name = "explain"
    description = "Show the history of a flow from the logs of hosts"
    arguments = [
        argument("flow", "CLIENT_IP:PORT>SERVICE_IP:PORT"),
        argument("logs", "Log files; - for standard input", multiple=True),
    ]
    options = [option("json", None, "Print the result as JSON", flag=True)]

    def handle(self) -> int:
        flow = self.argument("flow")
        if not is_flow_id(flow):
            raise UsageError(f"explain: found {flow}; allowed: IP:PORT>IP:PORT")
        events = [event for file in self.argument("logs") for event in _read_log(file)]
        trace = trace_flow(flow, events)
        if self.option("json"):
            print_line(json.dumps(_trace_to_dict(trace), indent=2))
        else:
            _print_trace(trace)
        if not trace.flow_events:
            print_error(f"none of {len(events)} log events mentions flow {flow}")
            return EXIT_INCOMPLETE
        return EXIT_SUCCESS


def _validate_address(text: str) -> str:
    """Return the text of ``--host`` if it is an address; else raise UsageError."""
    try:
        check_address(text)
    except NotAllowed as error:
        message = f"--host: found {text}; allowed: {error.allowed}"
        raise UsageError(message) from None
    return text


async def _fetch_all_statuses(addresses: list[str]) -> dict[str, dict | None]:
    """Fetch the status of each host; None stands for a host that did not answer."""
    answers = await asyncio.gather(*map(_fetch_status, addresses))
    return dict(zip(addresses, answers, strict=True))


async def _fetch_status(host_address: str) -> dict | None:
    """Fetch the status of a host; log the reason and return None if that fails."""
    try:
        response = await AsyncHTTPClient().fetch(
            f"http://{host_address}{STATUS_PATH}", request_timeout=REQUEST_TIMEOUT_S
        )
        return json.loads(response.body)
    except (HTTPClientError, OSError, ValueError) as error:
        log_event("status_unavailable", host=host_address, detail=str(error))
        return None


def _host_row(answer: dict) -> tuple:
    config, directory = answer["config"], answer["directory"]
    return (
        answer["host_id"],
        answer["zone"],
        answer["readiness"],
        answer["source"],
        config["version"],
        format_number(config["age_s"], ".1f"),
        # Hosts of an earlier build do not tell their epoch.
        directory.get("epoch", "-"),
        directory["revision"],
        format_number(directory["age_s"], ".1f"),
        answer["flows"],
        len(answer["peers"]),
        _format_evacuations(answer.get("evacuated")),
    )


def _format_evacuations(evacuated: dict | None) -> str:
    """Return each evacuated zone and how long the host has known of it.

    "-" stands for none, and for hosts that know of no evacuations.
    """
    zones = [] if evacuated is None else evacuated["zones"]
    return (
        ", ".join(f"{row['zone']} for {row['since_s']:.0f} s" for row in zones) or "-"
    )


def _upstream_rows(answer: dict) -> list[tuple]:
    keys = ("upstream_id", "service", "zone", "state", "presence", "verdict")
    keys += ("open_flows", "slots", "address")
    return [
        (answer["host_id"], *(upstream[key] for key in keys))
        for upstream in answer["upstreams"]
    ]


def _read_log(file: str) -> Iterator[LogEvent]:
    """Yield the events of a log file, or of standard input for "-"."""
    if file == "-":
        yield from _parse_lines(sys.stdin, "stdin")
        return
    try:
        with Path(file).open(encoding="utf-8", errors="replace") as stream:
            yield from _parse_lines(stream, Path(file).name)
    except OSError as error:
        raise UsageError(f"explain: {file}: {error.strerror}") from None


def _parse_lines(stream, file: str) -> Iterator[LogEvent]:
    """Yield the events in a stream, leaving out lines that hold none."""
    for text in stream:
        event = parse_log_line(text, file)
        if event is not None:
            yield event


def _print_trace(trace: FlowTrace) -> None:
    if not trace.flow_events:
        return
    print_line(
        format_table(
            ("time", "host", "event", "details"), _event_rows(trace.flow_events)
        )
    )
    if trace.upstream_events:
        print_line("")
        print_line("what hosts learned of its upstreams around that time")
        print_line(
            format_table(
                ("time", "host", "event", "details"), _event_rows(trace.upstream_events)
            )
        )


def _event_rows(events: tuple[LogEvent, ...]) -> list[tuple]:
    return [
        (
            event.time.strftime("%H:%M:%S.%f")[:-3],
            event.source,
            event.name,
            " ".join(f"{k}={v}" for k, v in event.fields.items() if k != "flow"),
        )
        for event in events
    ]


def _trace_to_dict(trace: FlowTrace) -> dict:
    return {
        "flow": trace.flow,
        "decisions": [_event_to_dict(event) for event in trace.flow_events],
        "beliefs": [_event_to_dict(event) for event in trace.upstream_events],
    }


def _event_to_dict(event: LogEvent) -> dict:
    return {
        "time": event.time.isoformat(),
        "host": event.source,
        "event": event.name,
        **event.fields,
    }
