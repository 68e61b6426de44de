"""Messages between hosts about flows and their requests."""

from wisteriatiller.foundation import Message, message


@message(40)
class Forward(Message):
    """Carries a caller's datagram to the owner of an upstream.

    ``ingress`` is the host that received the datagram from the fabric. ``pinned`` is
    set if the sender knows that the flow is open on the upstream; an owner without a
    record then opens it there. ``declined_by`` names an upstream whose owner has no
    record of the flow, or is empty. ``age_ms`` is the time that the datagram has
    waited for its shard to have an owner.
    """

    flow_key: bytes
    upstream_id: str
    revision: int
    ingress: str
    pinned: bool
    declined_by: str
    hops: int
    age_ms: int
    payload: bytes


@message(41)
class PinFlow(Message):
    """Tells an ingress to send the datagrams of a flow to an upstream."""

    flow_key: bytes
    upstream_id: str


@message(42)
class ClaimFlow(Message):
    """Asks the owner of a flow's earlier home to release the flow to its new home."""

    flow_key: bytes
    earlier_home: str
    new_home: str
    revision: int


@message(43)
class ClaimAnswer(Message):
    """Answers a ``ClaimFlow``.

    ``owned`` is False if the receiver cannot decide, because it does not own the
    earlier home or is opening the flow itself. ``open_on`` is the upstream on which
    the flow is open; if it is empty, the flow was released.
    """

    owned: bool
    open_on: str


@message(44)
class OpenFlow(Message):
    """Asks the owner of an upstream to open a flow away from its home.

    ``certain`` is False if the flow may be open elsewhere, on an earlier home in a
    zone that cannot be reached.
    """

    flow_key: bytes
    upstream_id: str
    revision: int
    certain: bool


@message(45)
class OpenAnswer(Message):
    """Answers an ``OpenFlow`` with whether the flow was opened."""

    opened: bool


@message(46)
class CheckFlows(Message):
    """Asks the owner of an upstream which flows it still has records of."""

    upstream_id: str
    flow_keys: tuple


@message(47)
class CheckAnswer(Message):
    """Answers a ``CheckFlows`` with the flows that the owner has records of.

    ``owned`` is False if the receiver does not own the upstream.
    """

    owned: bool
    open_keys: tuple


@message(48)
class PlacedFlows(Message):
    """Tells a home's owner where flows were opened while its zone was unreachable.

    ``placements`` holds pairs of flow key and upstream id.
    """

    home: str
    placements: tuple


@message(49)
class PlacedAnswer(Message):
    """Answers a ``PlacedFlows`` with the flows that stayed open at their home.

    ``owned`` is False if the receiver does not own the home.
    """

    owned: bool
    open_at_home: tuple
