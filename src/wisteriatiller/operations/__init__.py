"""The assembled host, the process that runs it, and the command line."""

from .runtime import Host

__all__ = ["Host"]
