"""Messages between hosts about leases and the grantors that give them."""

from wisteriatiller.foundation import Message, message


@message(30)
class LeaseRequest(Message):
    """Asks a grantor for several ownership shards of its zone at once.

    Each of ``requests`` is ``(shard index, epoch, held, generation, backup)``;
    ``held`` says that the sender was granted this epoch by a majority before, and
    ``backup`` is the host that has all its records, with a number that rises with
    each change of it. ``revision`` and ``fingerprint`` name the view of grantors
    under which the sender counts grants.
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
    how long the grantor has kept its records without a gap, and ``founder`` says that
    it kept them since the first view of the zone was written. ``view`` is filled if
    the grantor knows a newer one.
    """

    remembers_ms: int
    founder: bool
    view: bytes
    answers: tuple


@message(32)
class LeaseRelease(Message):
    """Gives up grants; each of ``releases`` is ``(shard index, epoch)``."""

    zone: str
    releases: tuple


@message(33)
class LeaseReleased(Message):
    """Acknowledges a ``LeaseRelease``."""


@message(34)
class ViewUpdate(Message):
    """Gives a grantor a view, so that it refuses older ones from now on."""

    view: bytes


@message(35)
class ViewAdopted(Message):
    """The revision that a grantor has in force, and for how long."""

    revision: int
    adopted_ms: int


@message(36)
class AskIncarnation(Message):
    """Asks for the number that a process drew at its start."""


@message(37)
class Incarnation(Message):
    """The number that a process drew at its start."""

    incarnation: int


@message(38)
class AskView(Message):
    """Asks for the view of grantors that a host has in force."""


@message(39)
class ViewAnswer(Message):
    """A view, empty if none is known.

    ``confident`` says that the sender did not forget a newer view by a restart.
    """

    confident: bool
    view: bytes
