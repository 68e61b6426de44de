"""Pack the program and its libraries into one file, ``build/wisteriatiller``.

The libraries are taken from the running environment, so nothing is downloaded::

    python -m tools.build_binary [TARGET]
"""

import compileall
import importlib.metadata
import os
import py_compile
import shutil
import sys
import tempfile
import tomllib
import zipapp
from pathlib import Path

from packaging.requirements import Requirement
from packaging.utils import canonicalize_name

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / "build" / "wisteriatiller"
# The same sources give the same file; ZIP has no earlier time than this.
FIXED_TIME_S = 315_532_800 + 86_400
SKIPPED_SUFFIXES = {".pyc", ".pyi", ".pxd", ".pyx", ".c", ".h"}
SKIPPED_METADATA = {"RECORD", "INSTALLER", "REQUESTED", "direct_url.json"}


def required_distributions() -> list[importlib.metadata.Distribution]:
    """The libraries that the program needs, and those that they need in turn."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text("utf-8"))["project"]
    wanted = [Requirement(text) for text in project["dependencies"]]
    found: dict[str, importlib.metadata.Distribution] = {}
    while wanted:
        requirement = wanted.pop()
        name = canonicalize_name(requirement.name)
        if name in found:
            continue
        if requirement.marker and not requirement.marker.evaluate({"extra": ""}):
            continue
        found[name] = importlib.metadata.distribution(name)
        wanted += [Requirement(text) for text in found[name].requires or ()]
    return [found[name] for name in sorted(found)]


def copy_distribution(
    distribution: importlib.metadata.Distribution, stage: Path
) -> None:
    for file in distribution.files or ():
        # Scripts are installed outside of the package directory.
        is_outside = file.is_absolute() or ".." in file.parts
        if is_outside or file.suffix in SKIPPED_SUFFIXES:
            continue
        if file.name in SKIPPED_METADATA and file.parent.suffix == ".dist-info":
            continue
        target = stage / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(file.locate(), target)


def fill_stage(stage: Path) -> None:
    for distribution in required_distributions():
        copy_distribution(distribution, stage)
    shutil.copytree(
        ROOT / "src" / "wisteriatiller",
        stage / "wisteriatiller",
        ignore=shutil.ignore_patterns("__pycache__"),
    )
    shutil.copyfile(ROOT / "tools" / "archive_main.py", stage / "__main__.py")
    shutil.copyfile(ROOT / "tools" / "archive_imports.py", stage / "archive_imports.py")
    # An archive cannot keep a cache, so without compiled files each start would
    # compile every module again.
    compileall.compile_dir(
        stage,
        quiet=2,
        legacy=True,
        stripdir=str(stage),
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )
    for path in stage.rglob("*"):
        os.utime(path, (FIXED_TIME_S, FIXED_TIME_S))


def build(target: Path = TARGET) -> Path:
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as directory:
        stage = Path(directory) / "stage"
        stage.mkdir()
        fill_stage(stage)
        zipapp.create_archive(
            stage, target, interpreter="/usr/bin/env python3.11", compressed=True
        )
    return target


if __name__ == "__main__":
    path = build(*map(Path, sys.argv[1:2]))
    print(f"binary={path.name} size_bytes={path.stat().st_size}")
