"""Build the packed program in a temporary directory and try it.

It runs isolated from the environment's libraries, so that one that is missing in the
file is noticed. ``python -m tools.smoke_binary`` ends with 0 if all checks passed.
"""

import json
import subprocess
import sys
import tempfile
import threading
from pathlib import Path

from .build_binary import build

GOOD_TEXT = """{ // a text with a comment and trailing commas
  "services": {
    "stock-browser": {
      "address": "10.10.0.1:5683", "requests": "coap",
      "upstreams": {
        "stock-1": {"address": "10.20.0.1:7001", "zone": "quimper", "slots": 3,},
      },
    },
  },
}
"""
BAD_TEXT = GOOD_TEXT.replace('"slots": 3', '"slots": "three"')
# Imports what the program needs to serve, and names the files of the extensions.
PROBE = """
import json, sys
sys.path.insert(0, sys.argv[1])
import archive_imports
archive_imports.install(sys.argv[1])
import aiocoap, msgpack, statsd, tornado.httpserver, tornado.speedups, xxhash
import proxyprotocol, wisteriatiller.operations.process
import msgpack._cmsgpack, xxhash._xxhash
assert msgpack.Packer is msgpack._cmsgpack.Packer, "msgpack runs without extension"
print(json.dumps([m.__file__ for m in (msgpack._cmsgpack, xxhash._xxhash, msgpack)]))
"""


# A host that is alone on addresses of its own, with a store that does not answer.
SETTINGS = {
    "host_id": "smoke-1",
    "zone": "smoke",
    "fabric_listen": "127.77.5.1:6000",
    "upstream_listen": "127.77.5.1:6001",
    "peer_listen": "127.77.5.1:6002",
    "admin_listen": "127.77.5.1:6003",
    "fabric_return": ["127.77.5.2:7000"],
    "seeds": [],
    "store_urls": ["http://127.77.5.2:8500"],
    "peer_keys": ["5a" * 32],
}
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 30.0


def serve(binary: Path, directory: Path) -> subprocess.CompletedProcess:
    """Start a host, end it with SIGTERM once it is ready, and return its result."""
    command = [sys.executable, "-I", "-S", str(binary), "serve"]
    command += ["--settings", "settings.json"]
    process = subprocess.Popen(
        command, cwd=directory, stderr=subprocess.PIPE, text=True
    )
    # A host that hangs before it is ready would otherwise block the reads below.
    watchdog = threading.Timer(READY_TIMEOUT_S, process.kill)
    watchdog.start()
    lines = []
    for line in process.stderr:
        lines.append(line)
        if "event=host_ready" in line:
            break
    watchdog.cancel()
    process.terminate()
    try:
        rest = process.communicate(timeout=STOP_TIMEOUT_S)[1]
    except subprocess.TimeoutExpired:
        process.kill()
        rest = process.communicate()[1]
    errors = "".join(lines) + rest
    return subprocess.CompletedProcess(command, process.returncode, "", errors)


def run(arguments: list[str], directory: Path) -> subprocess.CompletedProcess:
    # -I and -S leave out the environment's variables and installed libraries.
    command = [sys.executable, "-I", "-S", *arguments]
    return subprocess.run(
        command, cwd=directory, capture_output=True, text=True, timeout=60
    )


def check(holds: bool, what: str, result: subprocess.CompletedProcess) -> bool:
    print(f"smoke={what} passed={str(holds).lower()}")
    if not holds:
        print(result.returncode, result.stdout, result.stderr, sep="\n")
    return holds


def smoke(directory: Path) -> bool:
    binary = build(directory / "wisteriatiller")
    (directory / "good.json").write_text(GOOD_TEXT)
    (directory / "bad.json").write_text(BAD_TEXT)
    (directory / "settings.json").write_text(json.dumps(SETTINGS))
    before = sorted(directory.iterdir())
    passed = []

    result = run([str(binary), "check", "good.json"], directory)
    passed.append(check(result.returncode == 0, "good_text", result))

    result = run([str(binary), "check", "bad.json"], directory)
    names_place = "bad.json:6" in result.stderr and ".slots" in result.stderr
    passed.append(check(result.returncode == 2 and names_place, "bad_text", result))

    result = run([str(binary), "serve", "--settings", "bad.json"], directory)
    passed.append(check(result.returncode == 2, "bad_settings", result))

    result = serve(binary, directory)
    served = result.returncode == 0 and "event=host_stopped" in result.stderr
    passed.append(check(served, "serve", result))

    result = run(["-c", PROBE, str(binary)], directory)
    files = json.loads(result.stdout) if result.returncode == 0 else [""]
    in_memory = all(file.startswith("/proc/self/fd/") for file in files[:2])
    from_archive = files[-1].startswith(str(binary))
    passed.append(check(in_memory and from_archive, "extensions", result))

    nothing_written = sorted(directory.iterdir()) == before
    passed.append(check(nothing_written, "nothing_written", result))
    return all(passed)


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as scratch:
        sys.exit(0 if smoke(Path(scratch)) else 1)
