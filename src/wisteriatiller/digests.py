"""HMAC authentication of frames and datagrams between hosts.

The first key signs, and a digest under any of the keys is accepted. To rotate keys,
append the new key on all hosts, then move it to the front on all hosts, and then remove
the old key.
"""

import hmac
from collections.abc import Sequence

DIGEST_BYTES = 16


def sign(keys: Sequence[bytes], data: bytes) -> bytes:
    """Return the truncated HMAC-SHA-256 of ``data`` under the first key."""
    return hmac.digest(keys[0], data, "sha256")[:DIGEST_BYTES]


def verify(keys: Sequence[bytes], digest: bytes, data: bytes) -> bool:
    """Whether ``digest`` is valid for ``data`` under any of the keys."""
    return any(
        hmac.compare_digest(hmac.digest(key, data, "sha256")[:DIGEST_BYTES], digest)
        for key in keys
    )
