"""Formatting of log events as one line of key=value fields (logfmt)."""

import json
import re

_UNQUOTED_VALUE = re.compile(r"[^\s\"=\\\x00-\x1f\x7f-\x9f]+")
_SECRET_NAME = re.compile(r"(?:peer_keys?|.*(?:secret|password|token))")


def event_line(event: str, **fields: object) -> str:
    """Format an event; values with spaces, quotes and the like are quoted.

    >>> event_line("store_lost", reason="no answer", failures=3)
    'event=store_lost reason="no answer" failures=3'
    """
    parts = [f"event={event}"]
    parts += [f"{name}={_format_value(name, value)}" for name, value in fields.items()]
    return " ".join(parts)


def _format_value(name: str, value: object) -> str:
    if _SECRET_NAME.fullmatch(name):
        return "redacted"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, bytes):
        # Bytes may be a payload or a key, so only their length is logged.
        return f"{len(value)}_bytes"
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    return text if _UNQUOTED_VALUE.fullmatch(text) else json.dumps(text)
