"""``python -m wisteriatiller.platform`` runs a host on the users' platform."""

import gc
import sys


def main() -> int:
    """Load the program and run it.

    Loading makes no garbage, but looking for some takes a tenth of the start of a
    small host.
    """
    gc.disable()
    from .process import run

    gc.freeze()
    gc.enable()
    return run()


if __name__ == "__main__":
    sys.exit(main())
