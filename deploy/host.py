"""Starts a host on the users' platform; ``python -m`` would load more first."""

import sys

from wisteriatiller.platform.modulebundle import bundle_path, install_bundle

install_bundle(bundle_path())

from wisteriatiller.platform.__main__ import main  # noqa: E402 (uses the bundle)

sys.exit(main())
