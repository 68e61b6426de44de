"""Schema validation of parsed texts.

A ``Checker`` validates the values of a ``ParsedText`` against ``Field`` definitions and
collects all problems, so that an operator sees them at once::

    fields = {"shard_count": Field(integer_between(1, 1024), default=16)}
    checker = Checker("services.json", parsed)
    values = checker.check_fields((), parsed.value, fields)
"""

import difflib
import ipaddress
import json
import math
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from wisteriatiller.ids import Address

from .textparse import (
    KeyPath,
    ParsedText,
    TextProblem,
    TextProblems,
    format_path,
    format_value,
)

MAX_ID_LENGTH = 64
_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")

# Returns the checked, possibly converted value, or raises ``NotAllowed``.
FieldCheck = Callable[[object], object]


class NotAllowed(Exception):
    """Raised by a field check for an invalid value; ``allowed`` says what is valid."""

    def __init__(self, allowed: str):
        self.allowed = allowed


@dataclass(frozen=True, slots=True)
class Field:
    """Schema of one key of an object.

    ``default`` is not used for a ``required`` key. The value of a ``secret`` key is
    left out of problem messages.
    """

    check: FieldCheck
    required: bool = False
    default: object = None
    secret: bool = False


class Checker:
    """Validates the values of one text and collects the problems."""

    def __init__(self, name: str, parsed: ParsedText):
        self.name = name
        self.parsed = parsed
        self.problems: list[TextProblem] = []
        for path in parsed.duplicate_keys:
            self.add_problem(path, "a duplicate key", "each key once")

    def add_problem(self, path: KeyPath, found: str, allowed: str) -> None:
        line = self.parsed.line_of(path)
        self.problems.append(
            TextProblem(self.name, line, format_path(path), found, allowed)
        )

    def text_problems(self) -> TextProblems | None:
        """Return the problems in line order, or None if there are none."""
        if not self.problems:
            return None
        return TextProblems(tuple(sorted(self.problems, key=lambda p: p.line)))

    def check_value(
        self, path: KeyPath, value: object, check: FieldCheck, secret: bool = False
    ) -> object:
        """Return the checked value, or None after adding a problem."""
        try:
            return check(value)
        except NotAllowed as error:
            found = "a secret that is not shown" if secret else format_value(value)
            self.add_problem(path, found, error.allowed)
            return None

    def check_mapping(self, path: KeyPath, value: object, allowed: str) -> dict:
        """Return the value if it is an object, else add a problem and return ``{}``."""
        if isinstance(value, dict):
            return value
        self.add_problem(path, format_value(value), allowed)
        return {}

    def check_fields(
        self, path: KeyPath, value: object, fields: Mapping[str, Field]
    ) -> dict[str, object] | None:
        """Validate an object against ``fields``.

        Returns the checked values with defaults filled in, or None after adding
        problems.
        """
        if not isinstance(value, dict):
            self.add_problem(path, format_value(value), "an object")
            return None
        problems_before = len(self.problems)
        for key in value:
            if key not in fields:
                self.add_problem(
                    (*path, key), "an unknown key", _suggest_key(key, fields)
                )
        checked = {}
        for key, item in fields.items():
            if key in value:
                checked[key] = self.check_value(
                    (*path, key), value[key], item.check, item.secret
                )
            elif item.required:
                self.add_problem(path, f"no key {key}", f"an object with the key {key}")
            else:
                checked[key] = item.default
        return checked if len(self.problems) == problems_before else None


def _suggest_key(key: str, fields: Mapping[str, Field]) -> str:
    """Return the most similar key, with its unit if any, or else a list of all keys.

    A key that differs only in its unit suffix is preferred.
    """
    stem = re.sub(r"_(ms|s|min|m|h|sec|seconds|bytes|kb)$", "", key)
    for name in fields:
        if re.sub(r"_(ms|s)$", "", name) == stem:
            unit = {"ms": "milliseconds", "s": "seconds"}.get(name.rpartition("_")[2])
            return f"{name}, a number of {unit}" if unit else name
    close = difflib.get_close_matches(key, fields, 1)
    return close[0] if close else "one of " + ", ".join(fields)


def integer_between(minimum: int, maximum: int) -> FieldCheck:
    def check(value):
        if type(value) is not int or not minimum <= value <= maximum:
            raise NotAllowed(f"a whole number from {minimum} to {maximum}")
        return value

    return check


def number_between(minimum: float, maximum: float) -> FieldCheck:
    def check(value):
        is_number = type(value) is int or (
            type(value) is float and math.isfinite(value)
        )
        if not is_number or not minimum <= value <= maximum:
            raise NotAllowed(f"a number from {minimum} to {maximum}")
        return float(value)

    return check


def check_boolean(value):
    if type(value) is not bool:
        raise NotAllowed("true or false")
    return value


def one_of(*names: str) -> FieldCheck:
    def check(value):
        if not isinstance(value, str) or value not in names:
            raise NotAllowed(" or ".join(json.dumps(name) for name in names))
        return value

    return check


def check_identifier(value):
    if not isinstance(value, str) or not _ID.fullmatch(value):
        raise NotAllowed(
            "an id of letters, digits, dots, dashes and underscores, "
            f"up to {MAX_ID_LENGTH} characters"
        )
    return value


def check_address(value, allow_unspecified: bool = False):
    """Return an ``Address``; host names are refused, since hosts do not resolve DNS."""
    allowed = 'an IP number and a port such as "10.10.0.1:5683" or "[2001:db8::1]:5683"'
    if not isinstance(value, str) or "%" in value:
        raise NotAllowed(allowed)
    match = re.fullmatch(r"(?:\[([0-9A-Fa-f:.]+)\]|([0-9.]+)):([0-9]{1,5})", value)
    if match is None or not 1 <= int(match[3]) <= 65535:
        raise NotAllowed(allowed)
    try:
        ip = ipaddress.ip_address(match[1] or match[2])
    except ValueError:
        raise NotAllowed(allowed) from None
    if (ip.version == 6) != bool(match[1]):
        raise NotAllowed(allowed)
    if ip.is_multicast or (ip.is_unspecified and not allow_unspecified):
        raise NotAllowed("the IP number of one host, with a port")
    return Address(str(ip), int(match[3]))


def check_listen_address(value):
    """Return an ``Address`` to bind, which may be 0.0.0.0 or ``::``."""
    return check_address(value, allow_unspecified=True)


def check_store_url(value):
    allowed = 'a URL with an IP number such as "http://10.0.0.5:8500"'
    match = re.fullmatch(r"https?://([^/?#@]+)/?", value if type(value) is str else "")
    if match is None:
        raise NotAllowed(allowed)
    try:
        check_address(match[1])
    except NotAllowed:
        raise NotAllowed(allowed) from None
    return value


def optional(check: FieldCheck) -> FieldCheck:
    def check_or_none(value):
        return None if value is None else check(value)

    return check_or_none


def list_of(check: FieldCheck, allowed: str, min_length: int = 0) -> FieldCheck:
    def check_all(value):
        if not isinstance(value, list) or len(value) < min_length:
            raise NotAllowed(allowed)
        try:
            return tuple(check(item) for item in value)
        except NotAllowed:
            raise NotAllowed(allowed) from None

    return check_all
