"""The operators' text, read into a ``Configuration``.

The text is JSON with comments and trailing commas. ``load_text`` either returns the
configuration or every problem in the text::

    outcome = load_text(path.read_bytes(), path.name)
    if isinstance(outcome, TextProblems):
        print(outcome)
"""

from collections.abc import Mapping

from wisteriatiller.ids import Address, ServiceId, SubmissionId, UpstreamId, ZoneId

from .config import DEFAULT_SHARD_COUNT, Configuration, RequestMode, Service, Upstream
from .configrecord import ConfigRecord, RecordInvalid, encode_record
from .textcheck import (
    Checker,
    Field,
    NotAllowed,
    check_address,
    check_boolean,
    check_identifier,
    integer_between,
    list_of,
    number_between,
    one_of,
)
from .textparse import KeyPath, TextProblem, TextProblems, parse_text

MAX_SHARD_COUNT = 1024
# A deadline has to end well before EXCHANGE_LIFETIME (247 s), after which a host
# forgets the requests that it has seen.
MAX_DEADLINE_MS = 120_000

_TEXT_FIELDS = {
    "shard_count": Field(
        integer_between(1, MAX_SHARD_COUNT), default=DEFAULT_SHARD_COUNT
    ),
    "services": Field(lambda value: value, required=True),
}
_SERVICE_FIELDS = {
    "address": Field(check_address, required=True),
    "requests": Field(one_of("coap", "opaque"), required=True),
    "depends_on": Field(list_of(check_identifier, "a list of service ids"), default=()),
    "deadline_ms": Field(integer_between(10, MAX_DEADLINE_MS), default=2000),
    "flow_idle_s": Field(integer_between(1, 86_400), default=300),
    "slow_start_s": Field(integer_between(0, 3600), default=10),
    "objective": Field(number_between(0.5, 0.999999), default=0.999),
    "upstreams": Field(lambda value: value, required=True),
}
_UPSTREAM_FIELDS = {
    "address": Field(check_address, required=True),
    "zone": Field(check_identifier, required=True),
    "slots": Field(integer_between(1, 10_000), required=True),
    "weight": Field(number_between(0.01, 1000.0), default=1.0),
    "drain": Field(check_boolean, default=False),
}


def load_text(text: bytes, name: str) -> Configuration | TextProblems:
    """Read and check a text; ``name`` is the file name for the messages.

    The revision is ``NO_REVISION`` until the store has accepted the text.
    """
    parsed = parse_text(text, name)
    if isinstance(parsed, TextProblems):
        return parsed
    checker = Checker(name, parsed)
    values = checker.check_fields((), parsed.value, _TEXT_FIELDS)
    unchecked_services = _unchecked_services(checker, parsed.value)
    services = {}
    for service_id, raw in unchecked_services.items():
        service = _check_service(checker, service_id, raw)
        if service is not None:
            services[service.service_id] = service
    _check_unique_addresses_and_ids(checker, unchecked_services)
    _check_dependencies(checker, unchecked_services)
    problems = checker.text_problems()
    if problems is not None:
        return problems
    configuration = Configuration(
        services=services,
        shard_count=values["shard_count"],
        text=text.decode("utf-8"),
    )
    return _check_record_size(configuration, name)


def _unchecked_services(checker: Checker, value: object) -> Mapping:
    """The unchecked services of a text by id."""
    if not isinstance(value, dict) or "services" not in value:
        return {}
    allowed = "an object with at least one service"
    path = ("services",)
    unchecked_services = checker.check_mapping(path, value["services"], allowed)
    if value["services"] == {}:
        checker.add_problem(path, "no service", allowed)
    return unchecked_services


def _check_record_size(
    configuration: Configuration, name: str
) -> Configuration | TextProblems:
    # The store holds the record, which a text with few repetitions can make larger
    # than the text itself.
    record = encode_record(ConfigRecord(configuration, SubmissionId("")))
    if isinstance(record, RecordInvalid):
        problem = TextProblem(name, 1, "", record.detail, "a smaller text")
        return TextProblems((problem,))
    return configuration


def _check_service(checker: Checker, service_id: str, raw: object) -> Service | None:
    path = ("services", service_id)
    checker.check_value(path, service_id, check_identifier)
    values = checker.check_fields(path, raw, _SERVICE_FIELDS)
    upstreams = {}
    if isinstance(raw, dict) and "upstreams" in raw:
        upstreams = _check_upstreams(checker, path, raw["upstreams"])
    if values is None:
        return None
    return Service(
        service_id=ServiceId(service_id),
        address=values["address"],
        mode=RequestMode(values["requests"]),
        upstreams=upstreams,
        depends_on=tuple(map(ServiceId, values["depends_on"])),
        deadline_ms=values["deadline_ms"],
        flow_idle_s=values["flow_idle_s"],
        slow_start_s=values["slow_start_s"],
        objective=values["objective"],
    )


def _check_upstreams(
    checker: Checker, service_path: KeyPath, raw: object
) -> dict[UpstreamId, Upstream]:
    path = (*service_path, "upstreams")
    allowed = "an object with at least one upstream that does not drain"
    unchecked_upstreams = checker.check_mapping(path, raw, allowed)
    if isinstance(raw, dict) and not raw:
        checker.add_problem(path, "no upstream", allowed)
    upstreams = {}
    for upstream_id, item in unchecked_upstreams.items():
        item_path = (*path, upstream_id)
        checker.check_value(item_path, upstream_id, check_identifier)
        values = checker.check_fields(item_path, item, _UPSTREAM_FIELDS)
        if values is not None:
            upstreams[UpstreamId(upstream_id)] = Upstream(
                upstream_id=UpstreamId(upstream_id),
                service_id=ServiceId(service_path[-1]),
                address=values["address"],
                zone=ZoneId(values["zone"]),
                slots=values["slots"],
                weight=values["weight"],
                drain=values["drain"],
            )
    draining = [
        isinstance(item, dict) and item.get("drain") is True
        for item in unchecked_upstreams.values()
    ]
    if draining and all(draining):
        checker.add_problem(path, "only draining upstreams", allowed)
    return upstreams


def _check_unique_addresses_and_ids(
    checker: Checker, unchecked_services: Mapping
) -> None:
    """Refuse an address or an upstream id that two entries share."""
    by_address: dict[Address, str] = {}
    by_id: dict[str, str] = {}

    def require_unique_id(path: KeyPath, upstream_id: str, service_id: str) -> None:
        first = by_id.setdefault(upstream_id, service_id)
        if first != service_id:
            checker.add_problem(
                path,
                f"the id {upstream_id} of an upstream of {first}",
                "an id that no other upstream has",
            )

    def require_unique_address(path: KeyPath, raw: object, owner: str) -> None:
        try:
            found = check_address(raw.get("address"))
        except NotAllowed:
            return
        first = by_address.setdefault(found, owner)
        if first != owner:
            checker.add_problem(
                (*path, "address"), f"{found}, the address of {first}", "a free address"
            )

    for service_id, raw in unchecked_services.items():
        if not isinstance(raw, dict):
            continue
        path = ("services", service_id)
        require_unique_address(path, raw, f"service {service_id}")
        upstreams = raw.get("upstreams")
        if not isinstance(upstreams, dict):
            continue
        for upstream_id, item in upstreams.items():
            item_path = (*path, "upstreams", upstream_id)
            require_unique_id(item_path, upstream_id, service_id)
            if isinstance(item, dict):
                require_unique_address(item_path, item, f"upstream {upstream_id}")


def _check_dependencies(checker: Checker, unchecked_services: Mapping) -> None:
    """Refuse unknown, repeated and cyclic dependencies."""
    graph: dict[str, list[str]] = {}
    for service_id, raw in unchecked_services.items():
        names = raw.get("depends_on", ()) if isinstance(raw, dict) else ()
        graph[service_id] = []
        for index, name in enumerate(names if isinstance(names, list) else ()):
            path = ("services", service_id, "depends_on", index)
            if not isinstance(name, str):
                continue
            if name not in unchecked_services:
                checker.add_problem(
                    path, f"the unknown service {name}", "a service of this text"
                )
            elif name in graph[service_id]:
                checker.add_problem(path, f"{name} a second time", "each service once")
            else:
                graph[service_id].append(name)
    for cycle in _find_cycles(graph):
        path = ("services", cycle[0], "depends_on")
        chain = " -> ".join((*cycle, cycle[0]))
        checker.add_problem(path, f"the cycle {chain}", "dependencies without a cycle")


def _find_cycles(graph: Mapping[str, list[str]]) -> list[list[str]]:
    """One cycle for each group of services that depend on each other.

    The walk keeps its own stack, since a chain of thousands of services would exceed
    the interpreter's recursion limit.
    """
    done: set[str] = set()
    cycles = []
    for start in graph:
        chain: list[str] = []
        position: dict[str, int] = {}
        stack = [(start, iter(graph[start]))] if start not in done else []
        while stack:
            node, rest = stack[-1]
            if node not in position:
                position[node] = len(chain)
                chain.append(node)
            child = next(rest, None)
            if child is None:
                stack.pop()
                chain.pop()
                del position[node]
                done.add(node)
            elif child in position:
                cycles.append(chain[position[child] :])
            elif child not in done:
                stack.append((child, iter(graph[child])))
    return cycles
