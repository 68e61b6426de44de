"""Loopback networks for tests that run side by side in several processes."""

import os

THIRD_OCTETS = 250


def own_network(second_octet: int) -> str:
    """Return the first three octets of a network that only this process uses.

    Process ids of tests that run at the same time differ modulo the octets.
    """
    return f"127.{second_octet}.{os.getpid() % THIRD_OCTETS + 1}"
