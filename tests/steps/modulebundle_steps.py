"""Steps for the start of a host from a bundle of modules."""

import marshal
import os
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

ROOT = Path(__file__).resolve().parents[2]
INSTALL = (
    "import sys\n"
    "from wisteriatiller.platform.modulebundle import install_bundle\n"
    "print('used' if install_bundle(sys.argv[1]) else 'not used')\n"
)
LIST_FILES = (
    "import wisteriatiller.platform.process\n"
    "names = [n for n, m in sys.modules.items() if getattr(m, '__file__', None)]\n"
    "print(*(n for n in names if n.startswith('wisteriatiller')))\n"
)
USE_LIBRARIES = (
    "import httptools, msgpack, xxhash\n"
    "assert msgpack.unpackb(msgpack.packb([1])) == [1]\n"
    "print(xxhash.xxh32_intdigest(b'a'), httptools.HttpResponseParser)\n"
)
# What is imported before the bundle can be installed.
MODULES_BEFORE_BUNDLE = {
    "wisteriatiller",
    "wisteriatiller.platform",
    "wisteriatiller.platform.modulebundle",
}


def run_python(code, *arguments):
    """Run code as the platform does, with the paths of this process."""
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, sys.path))}
    return subprocess.run(
        [sys.executable, "-S", "-c", code, *map(str, arguments)],
        capture_output=True,
        text=True,
        cwd=ROOT,
        env=environment,
    )


def make_bundle(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.bundle = Path(directory.name) / "modules.bundle"
    code = (
        "import sys\n"
        "from wisteriatiller.platform.modulebundle import write_bundle\n"
        "write_bundle(sys.argv[1])\n"
    )
    result = run_python(code, context.bundle)
    assert result.returncode == 0, result.stderr


@given("a bundle of the modules that a start imports")
def given_bundle(context):
    make_bundle(context)


@given("a bundle that {fault}")
def given_faulty_bundle(context, fault):
    make_bundle(context)
    data = context.bundle.read_bytes()
    if fault == "is missing":
        context.bundle.unlink()
    elif fault == "is truncated":
        context.bundle.write_bytes(data[: len(data) // 2])
    elif fault == "is of another interpreter":
        _, modules = marshal.loads(data)
        context.bundle.write_bytes(marshal.dumps(("3.9", modules)))
    else:
        context.bundle.write_bytes(marshal.dumps(7))


@when("a process installs the bundle and imports the host")
def when_imports(context):
    context.result = run_python(INSTALL + LIST_FILES, context.bundle)
    assert context.result.returncode == 0, context.result.stderr
    context.usage, context.files = context.result.stdout.splitlines()


@when("a process installs the bundle and uses the compiled libraries")
def when_uses(context):
    context.result = run_python(INSTALL + USE_LIBRARIES, context.bundle)


@then("no module of the package is read from its file but those before the bundle")
def then_none(context):
    assert context.usage == "used", context.usage
    assert set(context.files.split()) == MODULES_BEFORE_BUNDLE, context.files


@then("it succeeds")
def then_succeeds(context):
    assert context.result.returncode == 0, context.result.stderr
    assert context.result.stdout.startswith("used\n"), context.result.stdout


@then("it says that no bundle is used, and the host is imported from its files")
def then_ignored(context):
    assert context.usage == "not used", context.usage
    assert "wisteriatiller.steering.host" in context.files.split(), context.files
