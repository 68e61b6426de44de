"""Reconstructs the history of one flow from the logs of all hosts.

Hosts keep no history in memory, but each log line about a flow carries the flow's id.
Together, the logs of all hosts show which host accepted the flow, where it was sent,
and on what information the host based that choice.
"""

import json
import re
from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import NamedTuple

# A trace includes events about the flow's upstreams from this long before its first
# event until this long after its last.
UPSTREAM_EVENT_MARGIN = timedelta(seconds=5)
_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_FLOW_ID = re.compile(r"[\d.]+:\d+>[\d.]+:\d+")


class LogEvent(NamedTuple):
    """One parsed log line.

    ``source`` is the name of the host, or of the log file if the line names no host.
    """

    time: datetime
    source: str
    name: str
    fields: dict[str, str]


class FlowTrace(NamedTuple):
    """The events of a flow and of its upstreams around that time, in order of time."""

    flow: str
    flow_events: tuple[LogEvent, ...]
    upstream_events: tuple[LogEvent, ...]


def is_flow_id(text: str) -> bool:
    """Return whether a text has the form of a flow id.

    >>> is_flow_id("100.64.0.7:40001>198.18.0.1:443")
    True
    """
    return _FLOW_ID.fullmatch(text) is not None


def parse_log_line(text: str, file: str) -> LogEvent | None:
    """Parse one line of the log in ``file``; return None if it holds no event.

    A log collector may prepend a prefix to the line. The last word of the prefix is
    taken as the name of the host.
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
    """Select the events of a flow, and those of its upstreams around that time."""
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
    """Unquote a value that is written as a JSON string; keep any other as it is."""
    if not text.startswith('"'):
        return text
    try:
        return json.loads(text)
    except ValueError:
        return text
