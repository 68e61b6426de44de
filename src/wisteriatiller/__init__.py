"""wisteriatiller, a layer-4 load balancer for many small hosts.

Validate a configuration text and submit it to the store::

    from pathlib import Path
    from wisteriatiller import Configuration, load_text, new_submission_id, submit

    loaded = load_text(Path("services.json5").read_bytes(), "services.json5")
    if isinstance(loaded, Configuration):
        outcome = await submit(store, loaded, new_submission_id())

The exported names are imported on first use, so that the steering process does not
load the modules of the request path.
"""

__version__ = "0.1.0"

_PACKAGE_BY_NAME = {
    "Configuration": "configuration",
    "Environment": "foundation",
    "Host": "operations",
    "HostSettings": "configuration",
    "load_settings": "configuration",
    "load_text": "configuration",
    "new_submission_id": "store",
    "submit": "store",
}

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


def __getattr__(name: str) -> object:
    package = _PACKAGE_BY_NAME.get(name)
    if package is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from importlib import import_module

    return getattr(import_module(f"{__name__}.{package}"), name)
