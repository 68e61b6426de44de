"""Measure msgpack with its compiled extension and with its Python fallback.

``python -I -S tools/measure_msgpack.py build/wisteriatiller`` measures what the packed
program uses; without a file, what the environment has installed.
"""

import sys
import timeit

if len(sys.argv) > 1:
    sys.path.insert(0, sys.argv[1])
    import archive_imports

    archive_imports.install(sys.argv[1])

from msgpack import _cmsgpack, fallback

# A message between hosts with a request of a price line.
MESSAGE = [1, 20, b"\x0a\x01\x02\x03\x0a\x0a\x00\x01\x13\x88\x16\x33", b"x" * 120, 7]
REPEATS = 20_000


def best_us(function) -> float:
    return min(timeit.repeat(function, number=REPEATS, repeat=5)) / REPEATS * 1e6


if __name__ == "__main__":
    data = fallback.Packer().pack(MESSAGE)
    for name, module in (("extension", _cmsgpack), ("fallback", fallback)):
        pack_us = best_us(lambda m=module: m.Packer().pack(MESSAGE))
        unpack_us = best_us(lambda m=module: m.unpackb(data))
        file = getattr(module, "__file__", "")
        print(f"{name} pack_us={pack_us:.2f} unpack_us={unpack_us:.2f} file={file}")
