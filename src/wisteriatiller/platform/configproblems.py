"""Finds errors, contradictions and differences in the operators' configuration.

A host rejects or ignores parts of a configuration one version at a time; these
functions report all of them before the configuration is written to the store.
"""

import json
import socket
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from wisteriatiller.configfindings import (
    Fields,
    Finding,
    Severity,
    compare_entries,
    compare_fields,
    format_value,
)
from wisteriatiller.ids import ServiceId
from wisteriatiller.steering import NO_VERSION, Route, RouteConfig, ServiceAddress

from .storedvalues import (
    MAX_EXACT_INTEGER,
    REQUEST_KINDS,
    StoredValueError,
    decode_config,
    parse_object,
)

_MINIMAL_CONFIG = {"version": 1, "routes": []}
_ROUTE_NUMBERS = ("priority", "target_latency_ms", "timeout_ms")
_SERVICE_NUMBERS = ("max_conns", "warmup_s", "warmup_per_s")
_COMPARED_APART = ("version", "routes", "services", "limits")
_ROUTE_REMOVED = "removed; new flows are refused, and it may have open flows"


class _PlacedRoute(NamedTuple):
    """A route that hosts can decode, with its path and its fields."""

    place: str
    fields: Fields
    route: Route


def find_problems(data: bytes) -> list[Finding]:
    """Return the errors and warnings of one configuration."""
    try:
        config = parse_object(data)
    except StoredValueError as error:
        return [_error("", str(error))]
    routes = _decodable_routes(config)
    return [
        *_find_rejected_parts(config),
        *_find_ignored_parts(config),
        *_find_ignored_services(config),
        *_find_ignored_fields(routes),
        *_find_repeated_addresses(routes),
        *_find_repeated_names(routes),
        *_find_undefined_services(config, routes),
        *_find_unused_parts(routes),
        *_find_route_contradictions(routes, _idle_timeout_ms(config)),
        *_find_service_problems(config),
    ]


def find_differences(in_force: bytes, submitted: bytes) -> list[Finding]:
    """Return what differs from the version in force, which hosts must accept.

    Only the version of a submitted configuration is compared if hosts reject it: its
    rejected routes would be listed as removed.
    """
    try:
        current = decode_config(in_force)
    except ValueError as error:
        return [_error("", f"the version in force is rejected by hosts: {error}")]
    try:
        before, after = parse_object(in_force), parse_object(submitted)
    except StoredValueError:
        return []
    findings = list(_compare_versions(current.version, after.get("version")))
    if not any(_find_rejected_parts(after)):
        findings += _compare_parts(before, after)
    return findings


def _compare_parts(before: dict, after: dict) -> list[Finding]:
    return [
        *compare_fields("", _other_fields(before), _other_fields(after)),
        *compare_fields("limits", _limits(before), _limits(after)),
        *compare_entries(
            _routes_by_place(before),
            _routes_by_place(after),
            Severity.WARNING,
            _ROUTE_REMOVED,
        ),
        *compare_entries(_services_by_place(before), _services_by_place(after)),
    ]


def _error(place: str, message: str) -> Finding:
    return Finding(Severity.ERROR, place, message)


def _warning(place: str, message: str) -> Finding:
    return Finding(Severity.WARNING, place, message)


def _decode_part(key: str, value: object) -> RouteConfig:
    """Decode a configuration that has nothing but one part."""
    return decode_config(json.dumps({**_MINIMAL_CONFIG, key: value}).encode())


def _find_rejected_parts(config: dict) -> Iterator[Finding]:
    """Decode each part alone, so that one error does not hide the next."""
    parts = [(key, key, config.get(key)) for key in ("version", "limits")]
    if isinstance(config.get("routes"), list):
        routes = enumerate(config["routes"])
        parts += [(f"routes[{index}]", "routes", [route]) for index, route in routes]
    else:
        parts.append(("routes", "routes", config.get("routes")))
    for place, key, value in parts:
        try:
            _decode_part(key, value)
        except ValueError as error:
            yield _error(place, str(error))


def _decodable_routes(config: dict) -> list[_PlacedRoute]:
    routes = config.get("routes")
    found = []
    for index, fields in enumerate(routes if isinstance(routes, list) else ()):
        try:
            (route,) = _decode_part("routes", [fields]).routes
        except ValueError:
            continue
        found.append(_PlacedRoute(f"routes[{index}]", fields, route))
    return found


def _idle_timeout_ms(config: dict) -> int:
    try:
        return _decode_part("limits", config.get("limits")).idle_timeout_ms
    except ValueError:
        return _decode_part("limits", {}).idle_timeout_ms


def _limits(config: dict) -> Fields:
    limits = config.get("limits")
    return limits if isinstance(limits, dict) else {}


def _other_fields(config: dict) -> Fields:
    return {key: config[key] for key in config if key not in _COMPARED_APART}


def _services(config: dict) -> list[tuple[str, Fields]]:
    """The services that hosts can read, with their paths."""
    services = config.get("services")
    return [
        (f"services[{index}]", fields)
        for index, fields in enumerate(services if isinstance(services, list) else ())
        if isinstance(fields, dict) and isinstance(fields.get("name"), str)
    ]


def _find_ignored_parts(config: dict) -> Iterator[Finding]:
    """Yield what hosts accept, but do not apply as it is written."""
    if type(config.get("version")) is int and config["version"] <= NO_VERSION:
        message = f"found {config['version']}; allowed: a whole number from 1"
        yield _error("version", message)
    for key, expected in (("services", list), ("limits", dict)):
        if key in config and not isinstance(config[key], expected):
            allowed = "a list" if expected is list else "an object"
            yield _error(key, f"found {format_value(config[key])}; allowed: {allowed}")
    if _idle_timeout_ms(config) <= 0:
        found = format_value(config["limits"]["idle_timeout_ms"])
        yield _error("limits.idle_timeout_ms", f"found {found}; allowed: 1 or more")


def _find_ignored_services(config: dict) -> Iterator[Finding]:
    services = config.get("services")
    for index, fields in enumerate(services if isinstance(services, list) else ()):
        place = f"services[{index}]"
        if not isinstance(fields, dict) or not isinstance(fields.get("name"), str):
            yield _error(place, "found no name; allowed: an object with a name")
        else:
            yield from _find_invalid_numbers(place, fields, _SERVICE_NUMBERS)


def _find_ignored_fields(routes: list[_PlacedRoute]) -> Iterator[Finding]:
    for place, fields, _ in routes:
        yield from _find_invalid_numbers(place, fields, _ROUTE_NUMBERS)
        if "type" in fields and str(fields["type"]) not in REQUEST_KINDS:
            found, allowed = format_value(fields["type"]), ", ".join(REQUEST_KINDS)
            message = f"found {found}, handled as unsafe; allowed: {allowed}"
            yield _warning(f"{place}.type", message)


def _find_invalid_numbers(
    place: str, fields: Fields, names: Iterable[str]
) -> Iterator[Finding]:
    for name in names:
        value = fields.get(name, 0)
        if not _is_number_from_zero(value):
            message = f"found {format_value(value)}; allowed: a number from 0"
            yield _error(f"{place}.{name}", message)


def _is_number_from_zero(value: object) -> bool:
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    return is_number and 0 <= value <= MAX_EXACT_INTEGER


def _find_repeated_addresses(routes: list[_PlacedRoute]) -> Iterator[Finding]:
    """Yield routes that a later one replaces: hosts use the last of an address."""
    last = {placed.route.service_address: placed.place for placed in routes}
    for place, _, route in routes:
        used = last[route.service_address]
        if used != place:
            address = _format_address(route.service_address)
            yield _error(place, f"never matches: {used} has the same address {address}")


def _find_repeated_names(routes: list[_PlacedRoute]) -> Iterator[Finding]:
    """Yield names of routes that log lines would not tell apart."""
    first: dict[str, str] = {}
    for place, fields, route in routes:
        if "name" in fields and first.setdefault(route.name, place) != place:
            name = format_value(route.name)
            yield _warning(f"{place}.name", f"{name} is {first[route.name]} too")


def _find_undefined_services(
    config: dict, routes: list[_PlacedRoute]
) -> Iterator[Finding]:
    defined = {fields["name"] for _, fields in _services(config)}
    if not defined and routes:
        message = "none is defined, so the services of routes are not checked"
        yield _warning("services", message)
        return
    for place, fields, route in routes:
        for index, (service, _) in enumerate(route.services):
            if service not in defined:
                yield _error(
                    _service_place(place, fields, index),
                    f"never matches: {format_value(service)} is not defined",
                )


def _service_place(place: str, fields: Fields, index: int) -> str:
    if fields.get("traffic_split"):
        return f"{place}.traffic_split[{index}].service"
    return f"{place}.service"


def _find_unused_parts(routes: list[_PlacedRoute]) -> Iterator[Finding]:
    for place, _, route in routes:
        if len(route.services) == 1:
            yield from _find_weight_without_effect(place, route)
            continue
        if all(weight <= 0 for _, weight in route.services):
            yield _error(f"{place}.traffic_split", "no part has a weight above 0")
        seen: set[ServiceId] = set()
        for index, (service, weight) in enumerate(route.services):
            part = f"{place}.traffic_split[{index}]"
            if weight <= 0:
                yield _warning(f"{part}.weight", f"never matches: weight {weight:g}")
            if service in seen:
                message = f"{format_value(service)} is in this split already"
                yield _error(f"{part}.service", message)
            seen.add(service)


def _find_weight_without_effect(place: str, route: Route) -> Iterator[Finding]:
    """A split of one part is not weighed: its service gets all flows."""
    ((_, weight),) = route.services
    if weight <= 0:
        message = f"found {weight:g}, but the only part gets all flows"
        yield _error(f"{place}.traffic_split[0].weight", message)


def _find_route_contradictions(
    routes: list[_PlacedRoute], idle_timeout_ms: int
) -> Iterator[Finding]:
    for place, _, route in routes:
        timeout_ms, target_ms = route.timeout_ms, route.target_latency_ms
        if 0 < timeout_ms < target_ms:
            message = f"found {timeout_ms}, below target_latency_ms {target_ms}"
            yield _error(f"{place}.timeout_ms", message)
        if 0 < idle_timeout_ms < timeout_ms:
            message = f"found {timeout_ms}, above idle_timeout_ms {idle_timeout_ms}"
            yield _error(f"{place}.timeout_ms", message)


def _find_service_problems(config: dict) -> Iterator[Finding]:
    first: dict[str, str] = {}
    for place, fields in _services(config):
        name = fields["name"]
        if first.setdefault(name, place) != place:
            message = f"{format_value(name)} is {first[name]} too"
            yield _error(f"{place}.name", message)
        rate = fields.get("warmup_per_s", 0)
        if _is_number_from_zero(rate) and rate > 0 and not fields.get("warmup_s"):
            message = "has no effect without warmup_s"
            yield _error(f"{place}.warmup_per_s", message)


def _compare_versions(in_force: int, submitted: object) -> Iterator[Finding]:
    """Hosts ignore a version that is not greater than the one they have."""
    if type(submitted) is int and submitted <= in_force:
        allowed = f"more than {in_force}, the version in force"
        yield _error("version", f"found {submitted}; allowed: {allowed}")


def _routes_by_place(config: dict) -> dict[str, Fields]:
    """The routes by service address, which is what hosts tell them apart by."""
    return {
        f"routes[{_format_address(placed.route.service_address)}]": placed.fields
        for placed in _decodable_routes(config)
    }


def _services_by_place(config: dict) -> dict[str, Fields]:
    return {f"services[{fields['name']}]": fields for _, fields in _services(config)}


def _format_address(address: ServiceAddress) -> str:
    ip, port = address[:4], address[4:]
    return f"{socket.inet_ntop(socket.AF_INET, ip)}:{int.from_bytes(port, 'big')}"
