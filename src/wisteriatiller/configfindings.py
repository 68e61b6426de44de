"""Findings about a configuration, and the differences between two versions of one."""

import json
import re
from collections.abc import Iterator, Mapping
from enum import Enum
from typing import NamedTuple

MAX_VALUE_LENGTH = 120

Fields = Mapping[str, object]


class Severity(Enum):
    """An ``ERROR`` must be corrected before the configuration is sent."""

    ERROR = "error"
    WARNING = "warning"
    CHANGE = "change"


class Finding(NamedTuple):
    """One statement about a configuration.

    ``place`` is the path of the entry or field; empty for the whole configuration.
    """

    severity: Severity
    place: str
    message: str

    def __str__(self) -> str:
        location = f"{self.place}: " if self.place else ""
        text = f"{self.severity.value}: {location}{self.message}"
        # Names in a configuration may contain line breaks and control characters.
        return re.sub(r"[^\x20-\x7e]", lambda match: ascii(match[0])[1:-1], text)


def compare_entries(
    in_force: Mapping[str, Fields],
    submitted: Mapping[str, Fields],
    removed_severity: Severity = Severity.CHANGE,
    removed_message: str = "removed",
) -> Iterator[Finding]:
    """Yield what differs between the entries, given by place, of two versions."""
    for place in in_force:
        if place not in submitted:
            yield Finding(removed_severity, place, removed_message)
    for place, fields in submitted.items():
        if place in in_force:
            yield from compare_fields(place, in_force[place], fields)
        else:
            yield Finding(Severity.CHANGE, place, "added")


def compare_fields(
    place: str, in_force: Fields, submitted: Fields
) -> Iterator[Finding]:
    """Yield the fields of one entry that were added, removed or changed."""
    for name in dict.fromkeys((*in_force, *submitted)):
        if name not in in_force:
            message = f"added, {format_value(submitted[name])}"
        elif name not in submitted:
            message = f"removed, was {format_value(in_force[name])}"
        elif in_force[name] != submitted[name]:
            before, after = format_value(in_force[name]), format_value(submitted[name])
            message = f"changed from {before} to {after}"
        else:
            continue
        yield Finding(Severity.CHANGE, f"{place}.{name}" if place else name, message)


def format_value(value: object) -> str:
    """Format a value as JSON, truncated."""
    text = json.dumps(value)
    return text if len(text) <= MAX_VALUE_LENGTH else text[:MAX_VALUE_LENGTH] + "..."
