"""Commands about hosts that steer flows: what they believe, what became of a flow."""

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

from .console import DONE, INCOMPLETE, UsageError, complain, say
from .flowtrace import FlowTrace, LogLine, is_flow, read_line, trace_flow
from .tables import format_number, format_table

STATUS_PATH = "/status"
ASK_TIMEOUT_S = 2.0


class Beliefs(Command):
    name = "beliefs"
    description = "Show what hosts that steer flows believe, with version and age"
    options = [
        option(
            "host",
            None,
            "Metrics address (IP:PORT) of a host",
            flag=False,
            multiple=True,
        ),
        option("json", None, "Write JSON", flag=True),
    ]

    def handle(self) -> int:
        addresses = [_checked_address(text) for text in self.option("host")]
        if not addresses:
            raise UsageError("beliefs: --host IP:PORT is missing")
        answers = asyncio.run(_ask_all(addresses))
        silent = [asked for asked, answer in answers.items() if answer is None]
        if self.option("json"):
            say(json.dumps({"hosts": answers, "silent_hosts": silent}, indent=2))
        else:
            self._show([answer for answer in answers.values() if answer is not None])
        for asked in silent:
            complain(f"no answer within {ASK_TIMEOUT_S:g} s from {asked}")
        return INCOMPLETE if silent else DONE

    def _show(self, answers: list[dict]) -> None:
        if not answers:
            return
        header = ("host", "zone", "state", "reads from", "config", "config age s")
        header += ("listing", "listing age s", "flows", "peers")
        say(format_table(header, [_host_row(answer) for answer in answers]))
        header = ("host", "upstream", "service", "zone", "state", "presence")
        header += ("verdict", "flows", "slots", "address")
        rows = [row for answer in answers for row in _upstream_rows(answer)]
        say("")
        say(format_table(header, rows))


class Explain(Command):
    name = "explain"
    description = "Show from the logs of hosts what became of a flow, and why"
    arguments = [
        argument("flow", "CLIENT_IP:PORT>SERVICE_IP:PORT"),
        argument("logs", "Files with log lines; - for standard input", multiple=True),
    ]
    options = [option("json", None, "Write JSON", flag=True)]

    def handle(self) -> int:
        flow = self.argument("flow")
        if not is_flow(flow):
            raise UsageError(f"explain: found {flow}; allowed: IP:PORT>IP:PORT")
        lines = [line for file in self.argument("logs") for line in _read_log(file)]
        trace = trace_flow(flow, lines)
        if self.option("json"):
            say(json.dumps(_trace_view(trace), indent=2))
        else:
            _show_trace(trace)
        if not trace.decisions:
            complain(f"no line of {len(lines)} events names the flow {flow}")
            return INCOMPLETE
        return DONE


def _checked_address(text: str) -> str:
    try:
        check_address(text)
    except NotAllowed as wrong:
        message = f"--host: found {text}; allowed: {wrong.allowed}"
        raise UsageError(message) from None
    return text


async def _ask_all(addresses: list[str]) -> dict[str, dict | None]:
    answers = await asyncio.gather(*map(_ask, addresses))
    return dict(zip(addresses, answers, strict=True))


async def _ask(asked: str) -> dict | None:
    try:
        response = await AsyncHTTPClient().fetch(
            f"http://{asked}{STATUS_PATH}", request_timeout=ASK_TIMEOUT_S
        )
        return json.loads(response.body)
    except (HTTPClientError, OSError, ValueError) as error:
        log_event("status_unavailable", host=asked, detail=str(error))
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
        directory["revision"],
        format_number(directory["age_s"], ".1f"),
        answer["flows"],
        len(answer["peers"]),
    )


def _upstream_rows(answer: dict) -> list[tuple]:
    names = ("upstream_id", "service", "zone", "state", "presence", "verdict")
    names += ("open_flows", "slots", "address")
    return [
        (answer["host_id"], *(upstream[name] for name in names))
        for upstream in answer["upstreams"]
    ]


def _read_log(file: str) -> Iterator[LogLine]:
    if file == "-":
        yield from _events(sys.stdin, "stdin")
        return
    try:
        with Path(file).open(encoding="utf-8", errors="replace") as stream:
            yield from _events(stream, Path(file).name)
    except OSError as error:
        raise UsageError(f"explain: {file}: {error.strerror}") from None


def _events(stream, file: str) -> Iterator[LogLine]:
    for text in stream:
        line = read_line(text, file)
        if line is not None:
            yield line


def _show_trace(trace: FlowTrace) -> None:
    if not trace.decisions:
        return
    say(format_table(("time", "host", "event", "details"), _rows(trace.decisions)))
    if trace.beliefs:
        say("")
        say("what hosts learned of its upstreams around that time")
        say(format_table(("time", "host", "event", "details"), _rows(trace.beliefs)))


def _rows(lines: tuple[LogLine, ...]) -> list[tuple]:
    return [
        (
            line.time.strftime("%H:%M:%S.%f")[:-3],
            line.source,
            line.event,
            " ".join(f"{k}={v}" for k, v in line.pairs.items() if k != "flow"),
        )
        for line in lines
    ]


def _trace_view(trace: FlowTrace) -> dict:
    return {
        "flow": trace.flow,
        "decisions": [_line_view(line) for line in trace.decisions],
        "beliefs": [_line_view(line) for line in trace.beliefs],
    }


def _line_view(line: LogLine) -> dict:
    return {
        "time": line.time.isoformat(),
        "host": line.source,
        "event": line.event,
        **line.pairs,
    }
