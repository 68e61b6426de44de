"""The gossip state of a host, and the digests by which two states are compared.

For each key the highest version wins; between equal versions, the greater encoded
value. Two hosts compare digests in two levels, similar to a Merkle tree: a 64-bit
digest over all entries, then a digest for each of ``BUCKET_COUNT`` buckets of keys, and
last the versions in buckets that differ. The cost thus grows with the number of
differences and not with the number of entries.
"""

import math
import struct
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

import msgpack
from xxhash import xxh3_64_intdigest

BUCKET_COUNT = 128
MAX_KEY_BYTES = 200
MAX_VALUE_BYTES = 64 * 1024
MAX_VERSION = (1 << 63) - 1
# Each update is sent ``RETRANSMIT_FACTOR * log2(n + 1)`` times. With this factor, the
# probability that SWIM misses a host falls with the square of the group size.
RETRANSMIT_FACTOR = 3
# Size of the msgpack headers of one update.
UPDATE_OVERHEAD_BYTES = 24

_BUCKET_DIGESTS = struct.Struct(f"!{BUCKET_COUNT}I")


@dataclass(slots=True)
class Entry:
    """A versioned key-value pair with its hash bucket and checksum."""

    key: str
    version: int
    packed_value: bytes
    value: object
    bucket: int
    checksum: int
    # Whether this old entry is left out of digests and comparisons.
    excluded: bool = False

    @property
    def size_bytes(self) -> int:
        return len(self.key) + len(self.packed_value) + UPDATE_OVERHEAD_BYTES

    def precedence(self) -> tuple[int, bytes]:
        """Return the sort key by which the newer of two entries wins."""
        return self.version, self.packed_value


def make_entry(key: str, version: int, packed_value: bytes) -> Entry:
    """Build an entry; raises ``ValueError`` if the value cannot be decoded."""
    try:
        value = msgpack.unpackb(packed_value, use_list=False)
    except (TypeError, msgpack.UnpackException) as error:
        raise ValueError(f"undecodable value of {key!r}") from error
    encoded_key = key.encode()
    checksum = xxh3_64_intdigest(b"%s %d %s" % (encoded_key, version, packed_value))
    bucket = xxh3_64_intdigest(encoded_key) % BUCKET_COUNT
    return Entry(key, version, packed_value, value, bucket, checksum)


def fitting_prefix(entries: list[Entry], budget_bytes: int) -> list[Entry]:
    """Return the leading entries that fit the budget, but at least one."""
    size_bytes = 0
    for index, entry in enumerate(entries):
        size_bytes += entry.size_bytes
        if size_bytes > budget_bytes and index:
            return entries[:index]
    return entries


class GossipState:
    """All gossip entries of one host, with the digests over them."""

    def __init__(self):
        self.entries: dict[str, Entry] = {}
        self.root = 0
        self._bucket_digests = [0] * BUCKET_COUNT
        self._keys: list[dict[str, None]] = [{} for _ in range(BUCKET_COUNT)]

    def is_newer(self, key: str, version: int, packed_value: bytes) -> bool:
        """Return whether the key is unknown or known with lower precedence."""
        known = self.entries.get(key)
        return known is None or (version, packed_value) > known.precedence()

    def put(self, entry: Entry) -> None:
        """Add an entry, or replace the one with its key."""
        self.remove(entry.key)
        self.entries[entry.key] = entry
        self._keys[entry.bucket][entry.key] = None
        if not entry.excluded:
            self._xor_into_digests(entry)

    def exclude_from_comparison(self, key: str) -> None:
        """Exclude an entry from digests and comparisons from now on."""
        entry = self.entries[key]
        if not entry.excluded:
            self._xor_into_digests(entry)
            entry.excluded = True

    def remove(self, key: str) -> None:
        entry = self.entries.pop(key, None)
        if entry is not None:
            del self._keys[entry.bucket][key]
            if not entry.excluded:
                self._xor_into_digests(entry)

    def bucket_digests(self) -> bytes:
        """Encode the digests of all buckets, as ``differing_buckets`` reads them."""
        return _BUCKET_DIGESTS.pack(*self._bucket_digests)

    def differing_buckets(self, sums: bytes) -> list[int]:
        """Return the buckets whose digests differ from another host's."""
        if len(sums) != _BUCKET_DIGESTS.size:
            raise ValueError("wrong number of bucket digests")
        theirs = _BUCKET_DIGESTS.unpack(sums)
        return [i for i in range(BUCKET_COUNT) if theirs[i] != self._bucket_digests[i]]

    def bucket_versions(self, bucket: int) -> list[tuple[str, int, int]]:
        """Return key, version and short checksum of each compared entry of a bucket."""
        return [
            (entry.key, entry.version, entry.checksum & 0xFFFFFFFF)
            for entry in self._compared_entries(bucket)
        ]

    def diff(
        self, buckets: Iterable[int], versions: Iterable[tuple[str, int, int]]
    ) -> tuple[list[Entry], list[str]]:
        """Diff the given buckets against the versions of another host.

        Returns the entries that are newer here and the keys that are newer there.
        Raises ``ValueError``, ``TypeError`` or ``IndexError`` for malformed versions.
        """
        theirs = {}
        for key, version, checksum in versions:
            if not isinstance(key, str):
                raise ValueError("key is not a string")
            theirs[key] = (int(version), checksum)
        newer = []
        wanted = []
        for bucket in buckets:
            for entry in self._compared_entries(bucket):
                version, checksum = theirs.get(entry.key, (-1, 0))
                if entry.version > version:
                    newer.append(entry)
                elif (
                    entry.version == version and entry.checksum & 0xFFFFFFFF != checksum
                ):
                    newer.append(entry)
                    wanted.append(entry.key)
        for key, (version, _) in theirs.items():
            known = self.entries.get(key)
            if known is None or known.version < version:
                wanted.append(key)
        return newer, wanted

    def _compared_entries(self, bucket: int) -> list[Entry]:
        entries = [self.entries[key] for key in self._keys[bucket]]
        return [entry for entry in entries if not entry.excluded]

    def _xor_into_digests(self, entry: Entry) -> None:
        # XOR is its own inverse, so this both adds and removes an entry.
        self.root ^= entry.checksum
        self._bucket_digests[entry.bucket] ^= entry.checksum & 0xFFFFFFFF


class DisseminationQueue:
    """Queues updates for piggybacking, each for a limited number of transmissions."""

    def __init__(self):
        self._transmissions_left: OrderedDict[str, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._transmissions_left)

    def add(self, key: str, group_size: int) -> None:
        """Queue the entry of a key for as many transmissions as the group needs."""
        sends = RETRANSMIT_FACTOR * math.ceil(math.log2(max(group_size, 1) + 1))
        self._transmissions_left[key] = sends
        self._transmissions_left.move_to_end(key)

    def take(self, state: GossipState, budget_bytes: int) -> list[Entry]:
        """Return the next entries that fit, and move them to the end of the queue."""
        taken = []
        for _ in range(len(self._transmissions_left)):
            key, left = self._transmissions_left.popitem(last=False)
            entry = state.entries.get(key)
            if entry is None:
                continue
            if entry.size_bytes > budget_bytes:
                self._transmissions_left[key] = left
                self._transmissions_left.move_to_end(key, last=False)
                break
            budget_bytes -= entry.size_bytes
            taken.append(entry)
            if left > 1:
                self._transmissions_left[key] = left - 1
        return taken
