"""Finds in the logs of hosts what became of one flow, and why.

Hosts keep no past. Each line that they write about a flow carries its id, so the lines
of all hosts together tell which host took it, where it went, and what that rested on.
"""

import json
import re
from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import NamedTuple

# What hosts came to believe of a flow's upstreams this long before and after it.
AROUND = timedelta(seconds=5)
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_FLOW = re.compile(r"[\d.]+:\d+>[\d.]+:\d+")


class LogLine(NamedTuple):
    """One event; ``source`` names the host, or the file that the line stands in."""

    time: datetime
    source: str
    event: str
    pairs: dict[str, str]


class FlowTrace(NamedTuple):
    """The lines about a flow, and those about its upstreams around that time."""

    flow: str
    decisions: tuple[LogLine, ...]
    beliefs: tuple[LogLine, ...]


def is_flow(text: str) -> bool:
    """Whether a text names a flow.

    >>> is_flow("100.64.0.7:40001>198.18.0.1:443")
    True
    """
    return _FLOW.fullmatch(text) is not None


def read_line(text: str, file: str) -> LogLine | None:
    """Read a line of a log; None if it is no event.

    What stands before the time, as a collector of logs puts it there, ends with the
    name of the host.
    """
    before, mark, rest = text.partition("time=")
    if not mark:
        return None
    pairs = {name: _value(value) for name, value in _PAIR.findall(mark + rest)}
    try:
        time = datetime.fromisoformat(pairs.pop("time"))
        event = pairs.pop("event")
    except (KeyError, ValueError):
        return None
    words = before.split()
    return LogLine(time, words[-1] if words else file, event, pairs)


def trace_flow(flow: str, lines: Iterable[LogLine]) -> FlowTrace:
    """Put the lines of a flow in order, with what was learned of its upstreams."""
    kept = [line for line in lines if "flow" in line.pairs or "upstream" in line.pairs]
    decisions = sorted(line for line in kept if line.pairs.get("flow") == flow)
    if not decisions:
        return FlowTrace(flow, (), ())
    upstreams = {line.pairs.get("upstream") for line in decisions} - {None}
    first, last = decisions[0].time - AROUND, decisions[-1].time + AROUND
    beliefs = sorted(
        line
        for line in kept
        if "flow" not in line.pairs
        and line.pairs["upstream"] in upstreams
        and first <= line.time <= last
    )
    return FlowTrace(flow, tuple(decisions), tuple(beliefs))


def _value(text: str) -> str:
    if not text.startswith('"'):
        return text
    try:
        return json.loads(text)
    except ValueError:
        return text
