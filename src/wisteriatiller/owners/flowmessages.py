"""Messages between hosts about flows and their requests."""

from wisteriatiller.foundation import Message, message


@message(40)
class Forward(Message):
    """A caller's datagram on its way to the owner of an upstream.

    ``ingress`` is the host that took the datagram from the fabric. ``pinned`` says
    that the sender knows the flow to be open on the upstream, so that an owner without
    a record opens it there. ``declined_by`` is an upstream, or empty, whose owner has
    no record of the flow. ``age_ms`` is the time spent waiting for an owner so far.
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
    """Tells an ingress on which upstream a flow is open."""

    flow_key: bytes
    upstream_id: str


@message(42)
class ClaimFlow(Message):
    """Asks the owner of an earlier home for the right to open a flow."""

    flow_key: bytes
    earlier_home: str
    new_home: str
    revision: int


@message(43)
class ClaimAnswer(Message):
    """Answers a claim; an empty ``open_on`` means that the flow was released."""

    owned: bool
    open_on: str


@message(44)
class OpenFlow(Message):
    """Asks the owner of an upstream to open a flow away from its home.

    ``certain`` is False if the flow may be open elsewhere, at a home that is cut off.
    """

    flow_key: bytes
    upstream_id: str
    revision: int
    certain: bool


@message(45)
class OpenAnswer(Message):
    """Whether the flow was opened."""

    opened: bool


@message(46)
class CheckFlows(Message):
    """Asks which flows are still open on an upstream."""

    upstream_id: str
    flow_keys: tuple


@message(47)
class CheckAnswer(Message):
    """The flow keys of a ``CheckFlows`` that are still open."""

    owned: bool
    open_keys: tuple


@message(48)
class PlacedFlows(Message):
    """Tells the owner of a home where flows were opened while it was cut off.

    ``placements`` holds pairs of flow key and upstream id.
    """

    home: str
    placements: tuple


@message(49)
class PlacedAnswer(Message):
    """The flows of a ``PlacedFlows`` that were open at their home all the time."""

    owned: bool
    open_at_home: tuple
