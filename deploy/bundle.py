"""Writes the bundle of the modules that a host imports at its start.

It runs as a script, since ``python -m`` would load modules that then stay out.
"""

import sys

from wisteriatiller.platform.modulebundle import write_bundle

print(f"modules={write_bundle(sys.argv[1])}")
