"""Builds the targets of requests, in which every value is percent-encoded."""

import re

_PLAIN = re.compile(r"[\w./~-]*", re.ASCII)


def request_target(path: str, **fields: object) -> str:
    """Return a path with a query of these fields.

    >>> request_target("/items", prefix="a/", after="a/b&c")
    '/items?prefix=a/&after=a/b%26c'
    """
    pairs = (f"{name}={percent_encoded(str(value))}" for name, value in fields.items())
    return f"{path}?{'&'.join(pairs)}"


def percent_encoded(text: str) -> str:
    """Return a text as it may stand in a query.

    >>> percent_encoded("50% off, today")
    '50%25%20off%2C%20today'
    """
    if _PLAIN.fullmatch(text):
        return text
    # Imported late, since hardly any host needs it.
    from urllib.parse import quote

    return quote(raw_bytes(text))


def percent_decoded(text: str) -> str:
    """Return the text of which ``percent_encoded`` made this one."""
    if "%" not in text:
        return text
    from urllib.parse import unquote

    return unquote(text, errors="surrogateescape")


def raw_bytes(text: str) -> bytes:
    """Return the bytes that a text stands for.

    Bytes that are not UTF-8 are decoded to lone surrogates, which stand for them here.
    """
    try:
        return text.encode(errors="surrogateescape")
    except UnicodeEncodeError:
        return text.encode(errors="surrogatepass")
