"""A whole host, its process, and the command line."""

from .runtime import Host

__all__ = ["Host"]
