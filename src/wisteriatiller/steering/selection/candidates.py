"""The entries of a service that are compared for one new flow."""

from collections.abc import Sequence

from xxhash import xxh3_64_intdigest

from wisteriatiller.ids import FlowKey, ServiceId, ZoneId

from ..directory import DirectoryEntry

# Upstreams of a service that are compared for one flow: so many of the host's zone, and
# so many of other zones.
MAX_SAMPLED_ENTRIES = 24
_HASH_SPACE = float(1 << 64)


class ServiceEntries:
    """The entries of a service, split into the host's own zone and other zones."""

    __slots__ = ("by_zone", "entries", "local", "local_slots", "remote")

    def __init__(self, entries: Sequence[DirectoryEntry], zone: ZoneId):
        self.entries = entries
        self.local = [entry for entry in entries if entry.upstream.zone == zone]
        self.remote = [entry for entry in entries if entry.upstream.zone != zone]
        self.local_slots = sum(entry.upstream.slots for entry in self.local)
        self.by_zone: dict[ZoneId, list[DirectoryEntry]] = {}
        for entry in entries:
            self.by_zone.setdefault(entry.upstream.zone, []).append(entry)

    @property
    def service(self) -> ServiceId:
        return self.entries[0].upstream.service


class EntriesByZone:
    """Splits the entries of each service once for each change of the directory."""

    def __init__(self, zone: ZoneId):
        self._zone = zone
        self._by_service: dict[ServiceId, ServiceEntries] = {}

    def split(self, entries: Sequence[DirectoryEntry]) -> ServiceEntries:
        """Return the entries of one service by zone; there has to be at least one."""
        service = entries[0].upstream.service
        found = self._by_service.get(service)
        # The directory builds a new list whenever an entry changes.
        if found is None or found.entries is not entries:
            found = self._by_service[service] = ServiceEntries(entries, self._zone)
        return found


def sample_candidates(
    entries: Sequence[DirectoryEntry], flow: FlowKey
) -> Sequence[DirectoryEntry]:
    """Return at most ``MAX_SAMPLED_ENTRIES`` entries, starting at a hash of the flow.

    The least loaded of a sample is nearly the least loaded of all, at a cost that does
    not grow with the size of the service.
    """
    if len(entries) <= MAX_SAMPLED_ENTRIES:
        return entries
    start = xxh3_64_intdigest(flow) % len(entries)
    end = start + MAX_SAMPLED_ENTRIES
    return [*entries[start:end], *entries[: max(0, end - len(entries))]]


def hash_fraction(entry: DirectoryEntry, flow: FlowKey) -> float:
    """Return a number from 0 to 1 that is random for each flow and upstream."""
    return draw_by_hash(flow, entry.tag)


def draw_by_hash(flow: FlowKey, seed: int) -> float:
    """Return a number from 0 to 1 that is the same for a flow on every host."""
    return xxh3_64_intdigest(flow, seed=seed) / _HASH_SPACE
