"""What all commands share: exit status, output and errors of use."""

import sys

DONE = 0
INCOMPLETE = 1
NOTHING_CHANGED = 2


class UsageError(Exception):
    """Options that cannot be used; nothing has been done."""


def say(text: str) -> None:
    # Plain print, since cleo would read "<" in an operator's text as markup.
    print(text, flush=True)


def complain(text: str) -> None:
    print(text, file=sys.stderr, flush=True)
