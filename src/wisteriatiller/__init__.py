"""wisteriatiller, a layer-4 load balancer for many small hosts."""

__all__ = ["__version__"]

__version__ = "0.1.0"
