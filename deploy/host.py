"""Starts a host on the users' platform; ``python -m`` would load more first."""

import sys

from wisteriatiller.platform.__main__ import main

sys.exit(main())
