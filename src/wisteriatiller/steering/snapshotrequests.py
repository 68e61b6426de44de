"""Requests for snapshots, and their encoding as the query of a URL.

A request names the versions that the sender has.
"""

from typing import NamedTuple

from wisteriatiller.exceptions import MessageError
from wisteriatiller.ids import Address, Revision, StoreEpoch, StorePosition, ZoneId
from wisteriatiller.network import percent_decoded, percent_encoded

from .evidence import BUCKETS, NO_PROGRESS_MS, HostReport, UpstreamReport
from .routes import ConfigVersion
from .upstreams import ListingVersion, Tag


class SnapshotRequest(NamedTuple):
    """A request for newer state, with the sender and the versions that it has.

    ``wants_large_config`` asks for a configuration of any size; without it, a large
    one has to be read from the store. ``wants_only_findings`` asks a reader of another
    zone for nothing else. ``report`` holds what the sender has seen of upstreams since
    its last report.
    """

    address: Address
    zone: ZoneId
    config_version: ConfigVersion
    directory_position: StorePosition
    listing_version: ListingVersion
    wants_peers: bool
    wants_large_config: bool
    wants_only_findings: bool = False
    report: HostReport = ()


def encode_request(request: SnapshotRequest) -> str:
    """Encode a request as the query of a URL.

    ``10.1.0.10:8166,quimper-a,7,1.530,9120434,1,0,0,``
    """
    fields = request._replace(
        zone=percent_encoded(request.zone),
        directory_position=".".join(map(str, request.directory_position)),
        wants_peers=int(request.wants_peers),
        wants_large_config=int(request.wants_large_config),
        wants_only_findings=int(request.wants_only_findings),
        report=_encode_report(request.report),
    )
    return ",".join(map(str, fields))


def decode_request(query: str) -> SnapshotRequest:
    """Decode the query of a URL; raises ``MessageError`` if it is invalid."""
    try:
        address, zone, version, position, listing, *wants = query.split(",")
        epoch, revision = map(int, position.split("."))
        wants_peers, wants_large, wants_only_findings, report = wants
        return SnapshotRequest(
            address=Address.parse(address),
            zone=ZoneId(percent_decoded(zone)),
            config_version=ConfigVersion(int(version)),
            directory_position=StorePosition(StoreEpoch(epoch), Revision(revision)),
            listing_version=ListingVersion(int(listing)),
            wants_peers=bool(int(wants_peers)),
            wants_large_config=bool(int(wants_large)),
            wants_only_findings=bool(int(wants_only_findings)),
            report=_decode_report(report),
        )
    except ValueError as error:
        raise MessageError(f"unreadable snapshot request: {error}") from error


def _encode_report(report: HostReport) -> str:
    """Encode each upstream's numbers, separated by dots.

    The tag and the histogram come first; the other numbers follow only if one of them
    says anything.

    ``1730542071.0.2.5.1.0.0.0.0;99120.0.0.0.0.0.0.0.1.2.1.840.3.0.2``
    """
    return ";".join(".".join(map(str, _report_numbers(row))) for row in report)


def _report_numbers(row: UpstreamReport) -> tuple[int, ...]:
    tag, counts, *activity = row
    is_default = row == UpstreamReport(tag, counts)
    return (tag, *counts) if is_default else (tag, *counts, *activity)


def _decode_report(text: str) -> HostReport:
    if not text:
        return ()
    rows = [tuple(map(int, part.split("."))) for part in text.split(";")]
    return tuple(map(_decode_report_row, rows))


def _decode_report_row(numbers: tuple[int, ...]) -> UpstreamReport:
    tag, *rest = numbers
    activity = rest[BUCKETS:]
    if len(rest) not in (BUCKETS, BUCKETS + 6) or min(numbers) < NO_PROGRESS_MS:
        raise MessageError("invalid report in a snapshot request")
    counts = tuple(rest[:BUCKETS])
    if min(tag, *counts) < 0:
        raise MessageError("negative number in a snapshot request")
    return UpstreamReport(Tag(tag), counts, *activity)
