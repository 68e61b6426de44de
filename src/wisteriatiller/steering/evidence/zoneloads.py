"""Adds up the load that the hosts of a zone put on the upstreams of each service."""

from collections import deque
from collections.abc import Collection, Iterable
from typing import NamedTuple

from wisteriatiller.ids import Address, ServiceId, ZoneId

from ..directory import UpstreamDirectory
from ..upstreams import Tag
from .findings import MAX_LOAD_AGE_S, ServiceLoad
from .reports import HostReport

# Rates are means over this time.
RATE_WINDOW_S = 3.0
# Hosts report several times in this time; one that does not is gone.
MAX_REPORT_AGE_S = 1.5

_LoadKey = tuple[ServiceId, ZoneId]


class _Report(NamedTuple):
    received_at_s: float
    report: HostReport


class ZoneLoads:
    """The load of the own zone's hosts, and what other zones have told of theirs."""

    def __init__(self, zone: ZoneId, directory: UpstreamDirectory):
        self._zone = zone
        self._directory = directory
        self._latest: dict[Address, _Report] = {}
        self._window: deque[_Report] = deque()
        self._foreign: dict[ZoneId, tuple[float, tuple[ServiceLoad, ...]]] = {}

    def add_report(self, host: Address, report: HostReport, now_s: float) -> None:
        received = _Report(now_s, report)
        self._latest[host] = received
        self._window.append(received)

    def set_foreign(
        self, zone: ZoneId, loads: Iterable[ServiceLoad], now_s: float
    ) -> None:
        """Replace what another zone has measured; other zones' rows are left out."""
        own = tuple(load for load in loads if load.reporting_zone == zone)
        self._foreign[zone] = (now_s, own)

    def rows(
        self, now_s: float, silent: Collection[Tag] = ()
    ) -> tuple[ServiceLoad, ...]:
        """All loads that are recent enough, each with its age.

        Requests in flight at ``silent`` upstreams wait in vain; they are no load.
        """
        return (*self._own_rows(now_s, silent), *self._foreign_rows(now_s))

    def _own_rows(self, now_s: float, silent: Collection[Tag]) -> list[ServiceLoad]:
        self._drop_old(now_s)
        in_flight = _Sums()
        for received in self._latest.values():
            for row in received.report:
                if row.tag not in silent:
                    in_flight.add(self._key(row.tag), row.in_flight)
        answers, openings = _Sums(), _Sums()
        for received in self._window:
            for row in received.report:
                # The last bucket holds missing answers.
                answers.add(self._key(row.tag), sum(row.counts[:-1]))
                openings.add(self._key(row.tag), row.openings)
        keys = in_flight.keys() | answers.keys() | openings.keys()
        # A zone without load tells so; one that tells nothing may be cut off.
        keys |= self._keys_of_own_zone()
        return [
            ServiceLoad(
                reporting_zone=self._zone,
                service=service,
                upstream_zone=zone,
                in_flight=in_flight.get((service, zone), 0),
                answers_per_s=answers.get((service, zone), 0) / RATE_WINDOW_S,
                openings_per_s=openings.get((service, zone), 0) / RATE_WINDOW_S,
            )
            for service, zone in sorted(keys)
        ]

    def _foreign_rows(self, now_s: float) -> list[ServiceLoad]:
        return [
            load._replace(age_s=load.age_s + now_s - received_at_s)
            for received_at_s, loads in self._foreign.values()
            for load in loads
            if load.age_s + now_s - received_at_s <= MAX_LOAD_AGE_S
        ]

    def _keys_of_own_zone(self) -> set[_LoadKey]:
        upstreams = (entry.upstream for entry in self._directory.entries())
        return {
            (upstream.service, upstream.zone)
            for upstream in upstreams
            if upstream.zone == self._zone
        }

    def _key(self, tag) -> _LoadKey | None:
        entry = self._directory.by_tag(tag)
        return None if entry is None else (entry.upstream.service, entry.upstream.zone)

    def _drop_old(self, now_s: float) -> None:
        while self._window and now_s - self._window[0].received_at_s > RATE_WINDOW_S:
            self._window.popleft()
        old = [
            host
            for host, received in self._latest.items()
            if now_s - received.received_at_s > MAX_REPORT_AGE_S
        ]
        for host in old:
            del self._latest[host]


class _Sums(dict[_LoadKey, int]):
    """Sums by service and zone; what belongs to no listed upstream is left out."""

    def add(self, key: _LoadKey | None, value: int) -> None:
        if key is not None and value:
            self[key] = self.get(key, 0) + value
