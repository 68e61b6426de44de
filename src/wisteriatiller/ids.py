"""Identifier types used across the package.

Most are a ``NewType`` of a builtin type, so that a type checker reports a host id that
is passed where an upstream id is expected::

    home: UpstreamId = UpstreamId("stock-1")
"""

from typing import NamedTuple, NewType

HostId = NewType("HostId", str)
ZoneId = NewType("ZoneId", str)
ServiceId = NewType("ServiceId", str)
UpstreamId = NewType("UpstreamId", str)
CallerId = NewType("CallerId", str)
SubmissionId = NewType("SubmissionId", str)
Revision = NewType("Revision", int)
# Counts how often the store was restored from a backup. Writes after the backup are
# then lost, and their revisions are given out again.
StoreEpoch = NewType("StoreEpoch", int)

# The address block of a PROXY protocol v2 header: caller address, service address,
# caller port and service port in network byte order. All hosts identify a flow by it.
FlowKey = NewType("FlowKey", bytes)

NO_REVISION = Revision(0)
# The epoch of an answer that names none; older than any other.
NO_EPOCH = StoreEpoch(0)


class StorePosition(NamedTuple):
    """A point in the history of the store: a revision within an epoch.

    Positions are ordered by epoch first, since a restored store reuses revisions::

        before_restore = StorePosition(StoreEpoch(1), Revision(90))
        assert before_restore < StorePosition(StoreEpoch(2), Revision(12))
    """

    epoch: StoreEpoch
    revision: Revision


NO_POSITION = StorePosition(NO_EPOCH, NO_REVISION)


class Address(NamedTuple):
    """An IP number and a port.

    ``Address.parse`` accepts ``"127.0.0.1:5683"`` and ``"[::1]:5683"``; ``str()``
    returns the same form.
    """

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        ip, separator, port = text.rpartition(":")
        if not separator or not ip:
            raise ValueError(f"expected IP:PORT, found {text!r}")
        return cls(ip.strip("[]"), int(port))

    def __str__(self) -> str:
        if ":" in self.ip:
            return f"[{self.ip}]:{self.port}"
        return f"{self.ip}:{self.port}"


class ShardId(NamedTuple):
    """The number of an ownership shard within its availability zone."""

    zone: ZoneId
    index: int

    def __str__(self) -> str:
        return f"{self.zone}/{self.index}"
