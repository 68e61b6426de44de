"""Writes the bundle of the modules that a host imports at its start.

It runs as a script, since ``python -m`` would load modules that then stay out.
"""

from wisteriatiller.platform.modulebundle import bundle_path, write_bundle

print(f"modules={write_bundle(bundle_path())}")
