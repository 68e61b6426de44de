#!/bin/sh
# The stand-ins of the scripts need nothing but Python's standard library: this checks
# that they compile. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
test -d target/deps/wisteriatiller || {
    echo "target/ is missing: build the deploy file first" >&2
    exit 2
}
exec python3 -c '
import glob
for path in sorted(glob.glob("review/standins/*.py") + glob.glob("review/[0-9]/*.py")):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
    print("ok", path)
'
