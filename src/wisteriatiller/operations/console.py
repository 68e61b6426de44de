"""What all commands share: exit status, output and errors of use."""

import sys

EXIT_SUCCESS = 0
EXIT_INCOMPLETE = 1
EXIT_NOTHING_CHANGED = 2


class UsageError(Exception):
    """Options that cannot be used; nothing has been done."""


def print_line(text: str) -> None:
    # Plain print, since cleo would read "<" in an operator's text as markup.
    print(text, flush=True)


def print_error(text: str) -> None:
    print(text, file=sys.stderr, flush=True)
