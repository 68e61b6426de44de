"""Exit statuses, output and the usage error that all commands share."""

import sys

EXIT_SUCCESS = 0
EXIT_INCOMPLETE = 1
EXIT_NOTHING_CHANGED = 2


class UsageError(Exception):
    """Invalid arguments or options; raised before a command changes anything."""


def print_line(text: str) -> None:
    """Write a line of output, unbuffered.

    Cleo's own output would interpret "<" in an operator's text as markup.
    """
    print(text, flush=True)


def print_error(text: str) -> None:
    """Write a line to standard error."""
    print(text, file=sys.stderr, flush=True)
