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
UPSTREAM_EVENT_MARGIN = timedelta(seconds=5)
_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_FLOW_ID = re.compile(r"[\d.]+:\d+>[\d.]+:\d+")


class LogEvent(NamedTuple):
    """One event; ``source`` names the host, or the file that the line stands in."""

    time: datetime
    source: str
    name: str
    fields: dict[str, str]


class FlowTrace(NamedTuple):
    """The lines about a flow, and those about its upstreams around that time."""

    flow: str
    flow_events: tuple[LogEvent, ...]
    upstream_events: tuple[LogEvent, ...]


def is_flow_id(text: str) -> bool:
    """Whether a text names a flow.

    >>> is_flow_id("100.64.0.7:40001>198.18.0.1:443")
    True
    """
    return _FLOW_ID.fullmatch(text) is not None


def parse_log_line(text: str, file: str) -> LogEvent | None:
    """Read a line of a log; None if it is no event.

    What stands before the time, as a collector of logs puts it there, ends with the
    name of the host.
    """
    prefix, marker, rest = text.partition("time=")
    if not marker:
        return None
    fields = {key: _decode_value(value) for key, value in _FIELD.findall(marker + rest)}
    try:
        time = datetime.fromisoformat(fields.pop("time"))
        name = fields.pop("event")
    except (KeyError, ValueError):
        return None
    prefix_words = prefix.split()
    return LogEvent(time, prefix_words[-1] if prefix_words else file, name, fields)


def trace_flow(flow: str, events: Iterable[LogEvent]) -> FlowTrace:
    """Put the lines of a flow in order, with what was learned of its upstreams."""
    relevant = [
        event
        for event in events
        if "flow" in event.fields or "upstream" in event.fields
    ]
    flow_events = sorted(
        event for event in relevant if event.fields.get("flow") == flow
    )
    if not flow_events:
        return FlowTrace(flow, (), ())
    upstreams = {event.fields.get("upstream") for event in flow_events} - {None}
    first, last = (
        flow_events[0].time - UPSTREAM_EVENT_MARGIN,
        flow_events[-1].time + UPSTREAM_EVENT_MARGIN,
    )
    upstream_events = sorted(
        event
        for event in relevant
        if "flow" not in event.fields
        and event.fields["upstream"] in upstreams
        and first <= event.time <= last
    )
    return FlowTrace(flow, tuple(flow_events), tuple(upstream_events))


def _decode_value(text: str) -> str:
    if not text.startswith('"'):
        return text
    try:
        return json.loads(text)
    except ValueError:
        return text
