"""Reads the platform's list of hosts from the store."""

import json
from dataclasses import dataclass

from wisteriatiller.configuration import NotAllowed, check_address, check_identifier
from wisteriatiller.foundation import Store, StoreEntry
from wisteriatiller.ids import Address, HostId, ZoneId
from wisteriatiller.outcomes import StoreUnavailable

HOSTS_KEY = "platform/hosts"


@dataclass(frozen=True, slots=True)
class PlatformHost:
    """A host in the platform's list; ``admin`` is the address of its admin API."""

    host_id: HostId
    zone: ZoneId
    admin: Address
    leaving: bool = False


async def read_platform_hosts(
    store: Store,
) -> tuple[PlatformHost, ...] | StoreUnavailable:
    """Return the listed hosts without malformed entries."""
    entry = await store.get(HOSTS_KEY)
    if isinstance(entry, StoreUnavailable):
        return entry
    if not isinstance(entry, StoreEntry):
        return ()
    try:
        items = json.loads(entry.value)
    except (ValueError, RecursionError) as error:
        return StoreUnavailable(f"{HOSTS_KEY}: {error}")
    hosts = (_parse_host(item) for item in (items if isinstance(items, list) else ()))
    return tuple(host for host in hosts if host is not None)


def _parse_host(item: object) -> PlatformHost | None:
    try:
        return PlatformHost(
            HostId(check_identifier(item["host_id"])),
            ZoneId(check_identifier(item["zone"])),
            check_address(item["admin"]),
            leaving=item.get("state") != "live",
        )
    except (NotAllowed, LookupError, TypeError, AttributeError):
        return None
