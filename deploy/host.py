"""Starts a host on the users' platform; ``python -m`` would load more first."""

import signal
import sys

# The default action would end the process. The settings are read after this, and a
# change while the host starts is found by a look at the file.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from wisteriatiller.platform.modulebundle import (  # noqa: E402
    bundle_path,
    install_bundle,
)

install_bundle(bundle_path())

from wisteriatiller.platform.__main__ import main  # noqa: E402 (uses the bundle)

sys.exit(main())
