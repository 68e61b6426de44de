"""Parsing of JSON texts with comments and trailing commas.

``parse_text`` turns bytes into a ``ParsedText`` that knows the line of each key path.
"""

import json
import re
from dataclasses import dataclass, field

import json5

MAX_TEXT_BYTES = 1_000_000
# The deepest valid text nests 5 levels. Parsers recurse once or more for each level,
# so the bound also keeps them away from the interpreter's recursion limit.
MAX_DEPTH = 8
# json5 reads 40 to 70 KB a second. Larger texts have to be JSON apart from comments
# and trailing commas, which are read at about 1 MB a second.
MAX_JSON5_BYTES = 200_000
MAX_FOUND_LENGTH = 60
MAX_MESSAGE_LENGTH = 400

KeyPath = tuple[str | int, ...]

_UNQUOTED_KEY = re.compile(r"[A-Za-z0-9_-]+")
_TOKEN = re.compile(
    r"""
    (?P<space>[\s\ufeff]+)
    |(?P<comment>//[^\n\r\u2028\u2029]*|/\*.*?\*/)
    |(?P<string>"[^"\\\n]*(?:\\.[^"\\\n]*)*"|'[^'\\\n]*(?:\\.[^'\\\n]*)*')
    |(?P<mark>[{}\[\]:,])
    |(?P<word>[^\s{}\[\]:,"'/\ufeff]+)
    |(?P<stray>.)
    """,
    re.VERBOSE | re.DOTALL,
)


@dataclass(frozen=True, slots=True)
class TextProblem:
    """One thing that is wrong with a text, and what would be right."""

    file: str
    line: int
    key_path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}"
        if self.key_path:
            location += f": {self.key_path}"
        found = self.found
        if len(found) > MAX_MESSAGE_LENGTH:
            found = found[:MAX_MESSAGE_LENGTH] + "..."
        return escape_unprintable(f"{location}: found {found}; allowed: {self.allowed}")


@dataclass(frozen=True, slots=True)
class TextProblems:
    """A text that was not accepted, with every problem found in it."""

    problems: tuple[TextProblem, ...]

    def __str__(self) -> str:
        return "\n".join(map(str, self.problems))


@dataclass(slots=True)
class ParsedText:
    """The value of a text and the line on which each key path starts."""

    value: object
    line_by_path: dict[KeyPath, int]
    duplicate_keys: list[KeyPath] = field(default_factory=list)

    def line_of(self, path: KeyPath) -> int:
        while path and path not in self.line_by_path:
            path = path[:-1]
        return self.line_by_path.get(path, 1)


def escape_unprintable(text: str) -> str:
    """Escape what could break a line or a terminal, such as control characters."""
    return re.sub(
        r"[^\x20-\x7e]", lambda match: match[0].encode("unicode_escape").decode(), text
    )


def format_path(path: KeyPath) -> str:
    """Write a key path as ``services.stock.depends_on[0]``."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            plain = part if _UNQUOTED_KEY.fullmatch(part) else format_value(part)
            text += f".{plain}" if text else plain
    return text


def format_value(value: object) -> str:
    """Write a found value on one line, in ASCII and cut to a readable length."""
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "a list"
    try:
        text = json.dumps(value)
    except ValueError:
        # The interpreter refuses to write integers of more than 4,300 digits.
        return "a number with too many digits"
    if len(text) > MAX_FOUND_LENGTH:
        text = text[:MAX_FOUND_LENGTH] + "..."
    return text


def parse_text(data: bytes, name: str) -> ParsedText | TextProblems:
    """Read a text; a text that cannot be parsed gives exactly one problem."""

    def fail(line: int, path: KeyPath, found: str, allowed: str) -> TextProblems:
        return TextProblems(
            (TextProblem(name, line, format_path(path), found, allowed),)
        )

    if len(data) > MAX_TEXT_BYTES:
        return fail(1, (), f"{len(data)} bytes", f"at most {MAX_TEXT_BYTES} bytes")
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        found = f"the byte 0x{data[error.start]:02x} at offset {error.start}"
        return fail(line, (), found, "UTF-8")
    scanner = _Scanner()
    scanner.scan(text)
    if scanner.error_found is not None:
        return fail(
            scanner.line,
            scanner.current_path(),
            scanner.error_found,
            scanner.error_allowed,
        )
    try:
        return ParsedText(
            json.loads("".join(scanner.json_parts)),
            scanner.line_by_path,
            scanner.duplicate_keys,
        )
    except ValueError as error:
        json_error = error
    if len(data) > MAX_JSON5_BYTES:
        line = getattr(json_error, "lineno", 1)
        return fail(line, (), getattr(json_error, "msg", str(json_error)), "JSON")
    try:
        value = json5.loads(text)
    except (ValueError, RecursionError) as error:
        match = re.match(r"<string>:(\d+) (.*)", str(error), re.DOTALL)
        line = int(match[1]) if match else 1
        detail = match[2] if match else str(error)
        return fail(line, (), detail, "JSON with comments and trailing commas")
    return ParsedText(value, scanner.line_by_path, scanner.duplicate_keys)


class _Scanner:
    """One pass over the tokens of a text.

    It records the line of each key path, repeated keys and the nesting depth, and
    writes the text without comments and trailing commas to ``pieces``. It does not
    validate; the JSON parser does that afterwards.
    """

    def __init__(self):
        self.line = 1
        self.json_parts: list[str] = []
        self.line_by_path: dict[KeyPath, int] = {(): 1}
        self.duplicate_keys: list[KeyPath] = []
        self.error_found: str | None = None
        self.error_allowed = "JSON with comments and trailing commas"
        self._open_containers: list[_Container] = []
        self._last_two_tokens: list[tuple[str, int]] = [("", 0), ("", 0)]

    def scan(self, text: str) -> None:
        for match in _TOKEN.finditer(text):
            kind, token = match.lastgroup, match[0]
            if kind in ("space", "comment"):
                newlines = token.count("\n")
                self.line += newlines
                self.json_parts.append("\n" * newlines or " ")
                continue
            if kind == "stray":
                # A quote or slash left over here opens something that never ends.
                # Scanning on would retry it at every later quote.
                self.error_found = f"an unclosed or misplaced {token}"
                return
            if kind == "mark":
                self._scan_punctuation(token)
                if self.error_found is not None:
                    return
            else:
                self._scan_scalar(kind, token)
            self._last_two_tokens = [
                self._last_two_tokens[1],
                (token, len(self.json_parts)),
            ]
            self.json_parts.append(token)
            if kind == "string":
                self.line += token.count("\n")

    def current_path(self) -> KeyPath:
        return self._open_containers[-1].value_path() if self._open_containers else ()

    def _scan_punctuation(self, token: str) -> None:
        if token in "{[":
            self._open_container(token)
        elif token in "}]":
            (before, _), (last, position) = self._last_two_tokens
            if last == "," and before not in ("{", "[", ",", ""):
                self.json_parts[position] = ""
            if self._open_containers:
                self._open_containers.pop()
        elif self._open_containers:
            container = self._open_containers[-1]
            if token == ",":
                container.index += 1
                container.expects_key = container.is_object
            elif token == ":":
                container.expects_key = False

    def _open_container(self, token: str) -> None:
        if len(self._open_containers) >= MAX_DEPTH:
            self.error_found = f"nesting deeper than {MAX_DEPTH} levels"
            self.error_allowed = f"at most {MAX_DEPTH} levels"
            return
        path = self.current_path()
        self.line_by_path.setdefault(path, self.line)
        self._open_containers.append(_Container(path, token == "{"))

    def _scan_scalar(self, kind: str, token: str) -> None:
        if not self._open_containers:
            return
        container = self._open_containers[-1]
        if not container.expects_key:
            self.line_by_path.setdefault(container.value_path(), self.line)
            return
        container.key = _decode_key(kind, token)
        path = container.value_path()
        if container.key in container.keys:
            self.duplicate_keys.append(path)
        container.keys.add(container.key)
        self.line_by_path[path] = self.line


class _Container:
    """An object or list that is open at the scanned position."""

    __slots__ = ("expects_key", "index", "is_object", "key", "keys", "path")

    def __init__(self, path: KeyPath, is_object: bool):
        self.path = path
        self.is_object = is_object
        self.expects_key = is_object
        self.key = ""
        self.keys: set[str] = set()
        self.index = 0

    def value_path(self) -> KeyPath:
        return (*self.path, self.key if self.is_object else self.index)


def _decode_key(kind: str, token: str) -> str:
    if kind == "word":
        return token
    if "\\" not in token:
        return token[1:-1]
    try:
        return json5.loads(token)
    except ValueError:
        return token[1:-1]


# A field check returns the checked value, or raises ``NotAllowed``.
