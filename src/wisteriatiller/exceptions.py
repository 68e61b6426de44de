"""Exceptions of the program.

Expected failures are values (see ``outcomes``). Exceptions are left for input that
stops a command and for broken invariants, which stop the process.
"""


class WisteriatillerError(Exception):
    """Base of every exception raised by this package."""


class InvariantBroken(WisteriatillerError):
    """A promise of the program does not hold; the process must stop."""


class SettingsError(WisteriatillerError):
    """The settings of a host cannot be used."""

    def __init__(self, problems):
        self.problems = tuple(problems)
        super().__init__("\n".join(str(problem) for problem in self.problems))


class MessageError(WisteriatillerError):
    """Bytes from a peer, the fabric or an upstream do not form a valid message."""


def check_invariant(condition: bool, name: str, **details) -> None:
    """Raise ``InvariantBroken`` unless ``holds``.

    ``check_invariant(slots_busy <= slots, "slots_not_exceeded", upstream=id)``
    """
    if not condition:
        formatted = " ".join(f"{key}={value}" for key, value in details.items())
        raise InvariantBroken(f"{name} {formatted}".rstrip())
