"""Messages between hosts about leases and the view of grantors."""

from wisteriatiller.foundation import Message, message


@message(30)
class LeaseRequest(Message):
    """Requests or renews the leases of several ownership shards of a zone.

    Each of ``requests`` is ``(shard index, epoch, held, generation, backup)``.
    ``held`` says that a majority granted the sender this epoch before. ``backup`` is
    the host that has all its records; ``generation`` increases with each change of
    it. ``revision`` and ``fingerprint`` identify the view of grantors in which the
    sender counts its majority.
    """

    zone: str
    revision: int
    fingerprint: int
    requests: tuple


@message(31)
class LeaseReply(Message):
    """A grantor's answers to a ``LeaseRequest``.

    Each of ``answers`` is ``(shard index, granted, highest epoch, held epoch, held
    by, generation, backup)``, with the state before this request. ``remembers_ms`` is
    how long the grantor has kept its records without a gap; ``founder`` says that it
    has done so since the first view of the zone was written. ``view`` is set if the
    grantor knows a newer view than the sender, else empty.
    """

    remembers_ms: int
    founder: bool
    view: bytes
    answers: tuple


@message(32)
class LeaseRelease(Message):
    """Releases grants; each of ``releases`` is ``(shard index, epoch)``."""

    zone: str
    releases: tuple


@message(33)
class LeaseReleased(Message):
    """Acknowledges a ``LeaseRelease``."""


@message(34)
class ViewUpdate(Message):
    """Sends a grantor a view; from then on, it refuses older ones."""

    view: bytes


@message(35)
class ViewAdopted(Message):
    """The revision of the view that a grantor has in force, and for how long."""

    revision: int
    adopted_ms: int


@message(36)
class AskIncarnation(Message):
    """Asks for the incarnation of the receiving process."""


@message(37)
class Incarnation(Message):
    """The incarnation of a process, a random number drawn at its start."""

    incarnation: int


@message(38)
class AskView(Message):
    """Asks for the view of grantors that a host has in force."""


@message(39)
class ViewAnswer(Message):
    """The view that a host has in force, empty if it knows none.

    ``confident`` says that the sender did not lose a newer view in a restart.
    """

    confident: bool
    view: bytes
