"""Loading and validation of a host's settings file, which is JSON with comments."""

from dataclasses import dataclass
from pathlib import Path

from wisteriatiller.exceptions import SettingsError
from wisteriatiller.ids import Address, HostId, ZoneId

from .textcheck import (
    Checker,
    Field,
    NotAllowed,
    check_address,
    check_identifier,
    check_listen_address,
    check_store_url,
    list_of,
    number_between,
    optional,
)
from .textparse import TextProblem, TextProblems, parse_text

# As long as the digests of messages between hosts (16 bytes): a shorter key would be
# easier to guess than a digest.
MIN_PEER_KEY_BYTES = 16


@dataclass(frozen=True, slots=True)
class Seed:
    """A known host that a starting host contacts to join the cluster."""

    host_id: HostId
    zone: ZoneId
    address: Address


@dataclass(frozen=True, slots=True)
class HostSettings:
    """The validated settings of one host."""

    host_id: HostId
    zone: ZoneId
    fabric_listen: Address
    upstream_listen: Address
    peer_listen: Address
    admin_listen: Address
    fabric_return: tuple[Address, ...]
    seeds: tuple[Seed, ...]
    store_urls: tuple[str, ...]
    peer_keys: tuple[bytes, ...]
    statsd: Address | None = None
    stop_timeout_s: float = 20.0


def _check_peer_key(value):
    allowed = f"hexadecimal digits for at least {MIN_PEER_KEY_BYTES} bytes"
    try:
        key = bytes.fromhex(value)
    except (TypeError, ValueError):
        raise NotAllowed(allowed) from None
    if len(key) < MIN_PEER_KEY_BYTES:
        raise NotAllowed(allowed)
    return key


_SETTINGS_FIELDS = {
    "host_id": Field(check_identifier, required=True),
    "zone": Field(check_identifier, required=True),
    "fabric_listen": Field(check_listen_address, required=True),
    "upstream_listen": Field(check_listen_address, required=True),
    "peer_listen": Field(check_address, required=True),
    "admin_listen": Field(check_listen_address, required=True),
    "fabric_return": Field(
        list_of(
            check_address, "a list of at least one IP number and port", min_length=1
        ),
        required=True,
    ),
    "seeds": Field(
        list_of(lambda seed: seed, "a list of objects with host_id, zone and address"),
        required=True,
    ),
    "store_urls": Field(
        list_of(
            check_store_url,
            'a list of at least one URL such as "http://10.0.0.5:8500"',
            min_length=1,
        ),
        required=True,
    ),
    "peer_keys": Field(
        list_of(
            _check_peer_key,
            "a list of at least one key of hexadecimal digits for at least "
            f"{MIN_PEER_KEY_BYTES} bytes",
            min_length=1,
        ),
        required=True,
        secret=True,
    ),
    "statsd": Field(optional(check_address)),
    "stop_timeout_s": Field(number_between(0.1, 3600.0), default=20.0),
}
_SEED_FIELDS = {
    "host_id": Field(check_identifier, required=True),
    "zone": Field(check_identifier, required=True),
    "address": Field(check_address, required=True),
}


def load_settings(path: Path) -> HostSettings:
    """Load and validate the settings file of a host.

    Raises ``SettingsError`` with all problems found in the file.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        found = error.strerror or str(error)
        raise SettingsError(
            [TextProblem(str(path), 1, "", found, "a readable file")]
        ) from error
    parsed = parse_text(data, path.name)
    if isinstance(parsed, TextProblems):
        raise SettingsError(parsed.problems)
    checker = Checker(path.name, parsed)
    values = checker.check_fields((), parsed.value, _SETTINGS_FIELDS)
    raw = parsed.value if isinstance(parsed.value, dict) else {}
    seeds = _check_seeds(checker, raw.get("seeds"))
    _check_unique_listen_addresses(checker, raw)
    problems = checker.text_problems()
    if problems is not None:
        raise SettingsError(problems.problems)
    return HostSettings(**{**values, "seeds": seeds})


def _check_seeds(checker: Checker, raw: object) -> tuple[Seed, ...]:
    seeds = []
    for index, item in enumerate(raw if isinstance(raw, list) else ()):
        values = checker.check_fields(("seeds", index), item, _SEED_FIELDS)
        if values is None:
            continue
        seed = Seed(**values)
        for key in ("host_id", "address"):
            if any(getattr(seed, key) == getattr(other, key) for other in seeds):
                found = f"{getattr(seed, key)} a second time"
                checker.add_problem(("seeds", index, key), found, "each seed once")
        seeds.append(seed)
    return tuple(seeds)


def _check_unique_listen_addresses(checker: Checker, raw: dict) -> None:
    """Report an address that two listeners of the same protocol would bind."""
    # The first group is UDP and the second TCP; peer_listen is bound for both, since
    # gossip uses UDP and the streams between hosts use TCP.
    groups = (
        ("fabric_listen", "upstream_listen", "peer_listen"),
        ("peer_listen", "admin_listen"),
    )
    for group in groups:
        owners: dict[str, str] = {}
        for key in group:
            value = raw.get(key)
            first = owners.setdefault(value, key) if isinstance(value, str) else key
            if first != key:
                checker.add_problem((key,), f"{value}, as in {first}", "a free address")
