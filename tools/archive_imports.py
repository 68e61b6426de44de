"""Loads compiled extensions from inside the archive that the program is packed in.

The dynamic loader takes files only. Each extension is copied to an anonymous memory
file and loaded from ``/proc/self/fd``, so that nothing is written to disk and no
process is started. The module goes into the root of the archive and may use the
standard library alone.
"""

import importlib.machinery
import importlib.util
import os
import sys
import zipfile


class ArchiveExtensions:
    """Finds the compiled extensions of an archive."""

    def __init__(self, archive: str):
        self._archive = archive
        # The descriptors stay open: the dynamic loader knows libraries by their
        # path and would take a reused descriptor number for the former library.
        self._descriptors: list[int] = []
        self._members: dict[str, str] = {}
        suffixes = importlib.machinery.EXTENSION_SUFFIXES
        with zipfile.ZipFile(archive) as archive_file:
            for member in archive_file.namelist():
                for suffix in suffixes:
                    if member.endswith(suffix):
                        name = member[: -len(suffix)].replace("/", ".")
                        self._members.setdefault(name, member)
                        break

    def find_spec(self, name, path=None, target=None):
        member = self._members.get(name)
        if member is None:
            return None
        with zipfile.ZipFile(self._archive) as archive_file:
            code = archive_file.read(member)
        descriptor = os.memfd_create(name, os.MFD_CLOEXEC)
        self._descriptors.append(descriptor)
        with os.fdopen(os.dup(descriptor), "wb") as stream:
            stream.write(code)
        location = f"/proc/self/fd/{descriptor}"
        loader = importlib.machinery.ExtensionFileLoader(name, location)
        return importlib.util.spec_from_file_location(name, location, loader=loader)


def install(archive: str) -> None:
    """Let imports find the extensions of ``archive`` first."""
    sys.meta_path.insert(0, ArchiveExtensions(archive))
