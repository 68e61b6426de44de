"""Starts a host on the users' platform; ``python -m`` would load more first."""

import sys

from wisteriatiller.platform.modulebundle import install_bundle

install_bundle("target/deps/modules.bundle")

from wisteriatiller.platform.__main__ import main  # noqa: E402 (uses the bundle)

sys.exit(main())
