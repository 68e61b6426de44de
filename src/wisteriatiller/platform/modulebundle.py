"""Loads the modules that a host needs at its start from one file.

The platform charges each system call, and a start reads more than a hundred module
files with a dozen calls each. The build collects their code in a bundle, so that a host
on a small machine starts in a fraction of the time::

    python3 -S deploy/bundle.py target/deps/modules.bundle

This module is imported before all others, so it imports nothing but built-in modules.
"""

import marshal
import sys
from _frozen_importlib import ModuleSpec

# Modules that a host imports only while it runs, shortly after its start.
LATE_MODULES = ("msgpack", "zlib", "random")
_ENTRY_MODULE = "wisteriatiller.platform.process"


class BundleImporter:
    """Imports the modules of a bundle; all others are left to the usual importers.

    ``modules`` holds for each name the code and, for a package, its directory, in which
    submodules that are not in the bundle are found; else an empty text.
    """

    def __init__(self, modules: dict[str, tuple[bytes, str]]):
        self._modules = modules

    def find_spec(self, name: str, path=None, target=None) -> ModuleSpec | None:
        """Return the spec of a module in the bundle, as a meta path finder does."""
        found = self._modules.get(name)
        if found is None:
            return None
        _, directory = found
        spec = ModuleSpec(name, self, is_package=bool(directory))
        if directory:
            spec.submodule_search_locations.append(directory)
        return spec

    def create_module(self, spec: ModuleSpec) -> None:
        """Let the import system create the module, as a loader does."""

    def exec_module(self, module) -> None:
        """Run the code of a module, as a loader does."""
        code, _ = self._modules[module.__name__]
        exec(marshal.loads(code), module.__dict__)


def install_bundle(path: str) -> bool:
    """Import from a bundle from now on; return False if there is none to use.

    A bundle of another interpreter version is not used, since its code cannot be read.
    """
    try:
        with open(path, "rb") as file:
            version, modules = marshal.loads(file.read())
    except (OSError, EOFError, ValueError, TypeError):
        return False
    if version != sys.version:
        return False
    sys.meta_path.insert(0, BundleImporter(modules))
    return True


def write_bundle(path: str) -> int:
    """Write the code of all modules that a start imports; return their number."""
    from importlib import import_module

    loaded_before = set(sys.modules)
    for name in (_ENTRY_MODULE, *LATE_MODULES):
        import_module(name)
    modules = {
        name: entry
        for name in set(sys.modules) - loaded_before
        if (entry := _bundle_entry(name)) is not None
    }
    with open(path, "wb") as file:
        marshal.dump((sys.version, modules), file)
    return len(modules)


def _bundle_entry(name: str) -> tuple[bytes, str] | None:
    """Return the code and directory of a module; None if it has no source file."""
    spec = getattr(sys.modules[name], "__spec__", None)
    if spec is None or not (spec.origin or "").endswith(".py"):
        return None
    directory = (spec.submodule_search_locations or [""])[0]
    return marshal.dumps(spec.loader.get_code(name)), directory
