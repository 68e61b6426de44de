"""Identifiers used across the program.

Every identifier is a ``NewType`` over a plain value, so that a host id cannot be
passed where an upstream id is expected::

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

# The address block of a PROXY protocol v2 header: caller address, service address,
# caller port and service port in network order. It identifies a flow on every host.
FlowKey = NewType("FlowKey", bytes)

NO_REVISION = Revision(0)


class Address(NamedTuple):
    """An IP number and a port.

    ``Address.parse("127.0.0.1:5683")`` and ``Address.parse("[::1]:5683")`` read the
    text form, and ``str()`` writes it.
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
    """One ownership shard of an availability zone."""

    zone: ZoneId
    index: int

    def __str__(self) -> str:
        return f"{self.zone}/{self.index}"
