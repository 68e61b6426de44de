"""wisteriatiller, a layer-4 load balancer for many small hosts.

Check a text and submit it::

    from pathlib import Path
    from wisteriatiller import Configuration, load_text, new_submission_id, submit

    loaded = load_text(Path("services.json5").read_bytes(), "services.json5")
    if isinstance(loaded, Configuration):
        outcome = await submit(store, loaded, new_submission_id())
"""

# The command line reads the version while this package is being imported.
__version__ = "0.1.0"

from .config import Configuration
from .configstore import new_submission_id, submit
from .configtext import load_text
from .environment import Environment
from .runtime import Host
from .settings import HostSettings, load_settings

__all__ = [
    "Configuration",
    "Environment",
    "Host",
    "HostSettings",
    "__version__",
    "load_settings",
    "load_text",
    "new_submission_id",
    "submit",
]
