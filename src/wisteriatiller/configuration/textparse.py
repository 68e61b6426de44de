"""Parsing of JSON with comments and trailing commas.

``parse_text`` returns a ``ParsedText``, which maps each key path to its line so that
validation errors can be located in the file.
"""

import json
import re
from dataclasses import dataclass, field

import json5

MAX_TEXT_BYTES = 1_000_000
# The deepest valid text nests 5 levels. The JSON parsers recurse at least once per
# level, so this limit also keeps them below the interpreter's recursion limit.
MAX_DEPTH = 8
# The json5 package parses 40 to 70 KB/s. Larger texts must be JSON except for comments
# and trailing commas; those are parsed at about 1 MB/s.
MAX_JSON5_BYTES = 200_000
MAX_VALUE_LENGTH = 60
MAX_FOUND_TEXT_LENGTH = 400

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
    """One error in a text: where it is, what was found and what is allowed."""

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
        if len(found) > MAX_FOUND_TEXT_LENGTH:
            found = found[:MAX_FOUND_TEXT_LENGTH] + "..."
        return escape_unprintable(f"{location}: found {found}; allowed: {self.allowed}")


@dataclass(frozen=True, slots=True)
class TextProblems:
    """All errors found in a refused text."""

    problems: tuple[TextProblem, ...]

    def __str__(self) -> str:
        return "\n".join(map(str, self.problems))


@dataclass(slots=True)
class ParsedText:
    """The parsed value, the line of each key path and the repeated keys."""

    value: object
    line_by_path: dict[KeyPath, int]
    duplicate_keys: list[KeyPath] = field(default_factory=list)

    def line_of(self, path: KeyPath) -> int:
        """Return the line of the path, or of its nearest parent that has one."""
        while path and path not in self.line_by_path:
            path = path[:-1]
        return self.line_by_path.get(path, 1)


def escape_unprintable(text: str) -> str:
    """Escape all but printable ASCII, so that the text stays on one line.

    Control characters could also disturb the terminal.
    """
    return re.sub(
        r"[^\x20-\x7e]", lambda match: match[0].encode("unicode_escape").decode(), text
    )


def format_path(path: KeyPath) -> str:
    """Format a key path, for example ``services.stock.depends_on[0]``."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            formatted = part if _UNQUOTED_KEY.fullmatch(part) else format_value(part)
            text += f".{formatted}" if text else formatted
    return text


def format_value(value: object) -> str:
    """Format a value for a message, on one line and truncated, in ASCII."""
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "a list"
    try:
        text = json.dumps(value)
    except ValueError:
        # Python refuses to convert an integer of more than 4,300 digits to text.
        return "a number with too many digits"
    if len(text) > MAX_VALUE_LENGTH:
        text = text[:MAX_VALUE_LENGTH] + "..."
    return text


def parse_text(data: bytes, name: str) -> ParsedText | TextProblems:
    """Parse a text; a text that cannot be parsed yields exactly one problem."""

    def problem_at(line: int, path: KeyPath, found: str, allowed: str) -> TextProblems:
        return TextProblems(
            (TextProblem(name, line, format_path(path), found, allowed),)
        )

    if len(data) > MAX_TEXT_BYTES:
        return problem_at(
            1, (), f"{len(data)} bytes", f"at most {MAX_TEXT_BYTES} bytes"
        )
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        found = f"the byte 0x{data[error.start]:02x} at offset {error.start}"
        return problem_at(line, (), found, "UTF-8")
    scanner = _Scanner()
    scanner.scan(text)
    if scanner.error_found is not None:
        return problem_at(
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
        return problem_at(line, (), getattr(json_error, "msg", str(json_error)), "JSON")
    try:
        value = json5.loads(text)
    except (ValueError, RecursionError) as error:
        match = re.match(r"<string>:(\d+) (.*)", str(error), re.DOTALL)
        line = int(match[1]) if match else 1
        detail = match[2] if match else str(error)
        return problem_at(line, (), detail, "JSON with comments and trailing commas")
    return ParsedText(value, scanner.line_by_path, scanner.duplicate_keys)


class _Scanner:
    """Tokenizes a text in one pass.

    It records the line of each key path and the repeated keys, limits the nesting
    depth, and collects the text without comments and trailing commas in
    ``json_parts``. Whether the result is valid JSON is left to the JSON parser.
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
                # This quote or slash starts a string or comment that is not closed.
                # Scanning further would search for its end again at each later quote,
                # which takes quadratic time.
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
    """An object or list that encloses the current token."""

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
    """Return the text of a key token, which may be quoted and escaped."""
    if kind == "word":
        return token
    if "\\" not in token:
        return token[1:-1]
    try:
        return json5.loads(token)
    except ValueError:
        return token[1:-1]
