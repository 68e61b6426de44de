"""The text of one event: key=value fields on one line."""

import json
import re

_UNQUOTED_VALUE = re.compile(r"[^\s\"=\\\x00-\x1f\x7f-\x9f]+")
_SECRET_NAME = re.compile(r"(?:peer_keys?|.*(?:secret|password|token))")


def event_line(event: str, **fields: object) -> str:
    """Write an event; values are quoted where a reader could not split them.

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
        # Bytes may hold a caller's data or a key, so only their size is written.
        return f"{len(value)}_bytes"
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    return text if _UNQUOTED_VALUE.fullmatch(text) else json.dumps(text)
