"""Entry point of the packed program; it goes into the archive as ``__main__``."""

import sys

# The compiled extensions in the archive fit one version of the interpreter.
BUILT_FOR = (3, 11)

if __name__ == "__main__":
    if sys.version_info[:2] != BUILT_FOR:
        found = ".".join(map(str, sys.version_info[:2]))
        needed = ".".join(map(str, BUILT_FOR))
        sys.exit(f"found Python {found}; this program needs Python {needed}")
    import archive_imports

    archive_imports.install(sys.path[0])
    from wisteriatiller.operations.cli import main

    sys.exit(main())
