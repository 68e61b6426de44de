"""Exceptions raised by the package.

Expected failures are returned as values (see ``outcomes``). Exceptions are raised for
input that a command cannot work with, for malformed messages, and for broken
invariants, which stop the process.
"""


class WisteriatillerError(Exception):
    """Base of every exception raised by this package."""


class InvariantBroken(WisteriatillerError):
    """An internal invariant does not hold; the process must stop."""


class SettingsError(WisteriatillerError):
    """The settings of a host are invalid; ``problems`` says why."""

    def __init__(self, problems):
        self.problems = tuple(problems)
        super().__init__("\n".join(str(problem) for problem in self.problems))


class MessageError(WisteriatillerError):
    """Bytes from a peer, the fabric or an upstream are not a valid message."""


def check_invariant(condition: bool, name: str, **details) -> None:
    """Raise ``InvariantBroken`` with the name and details unless ``condition`` holds.

    ``check_invariant(slots_busy <= slots, "slots_not_exceeded", upstream=id)``
    """
    if not condition:
        formatted = " ".join(f"{key}={value}" for key, value in details.items())
        raise InvariantBroken(f"{name} {formatted}".rstrip())
