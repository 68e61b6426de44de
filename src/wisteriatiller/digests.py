"""Keyed digests on frames and datagrams between hosts.

The first key signs and every key verifies. A key is rotated by adding the new one
at the end on all hosts, then moving it to the front, then removing the old one.
"""

import hmac
from collections.abc import Sequence

DIGEST_BYTES = 16


def sign(keys: Sequence[bytes], data: bytes) -> bytes:
    """The digest of ``data`` under the first key."""
    return hmac.digest(keys[0], data, "sha256")[:DIGEST_BYTES]


def verify(keys: Sequence[bytes], digest: bytes, data: bytes) -> bool:
    """Whether any key gives ``digest`` for ``data``."""
    return any(
        hmac.compare_digest(hmac.digest(key, data, "sha256")[:DIGEST_BYTES], digest)
        for key in keys
    )
