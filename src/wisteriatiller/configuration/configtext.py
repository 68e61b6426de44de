"""Validation of the operators' configuration text.

The text is JSON with comments and trailing commas. ``load_text`` returns either the
``Configuration`` or all problems found in the text::

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
# A request's deadline must pass well before CoAP's EXCHANGE_LIFETIME (247 s), after
# which a host no longer recognises duplicates of the request.
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
    """Parse and validate a configuration text.

    ``name`` is the file name to show in messages. The revision of the result is
    ``NO_REVISION``: a revision is assigned on submission to the store.
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
    """Return the values under ``services`` by id, before validation of each."""
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
    # The store's limit applies to the record, which can be larger than the text if the
    # text compresses badly.
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
    """Report addresses and upstream ids that are used more than once."""
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
    """Report unknown, repeated and cyclic dependencies."""
    graph: dict[str, list[str]] = {}
    for service_id, raw in unchecked_services.items():
        dependencies = raw.get("depends_on", ()) if isinstance(raw, dict) else ()
        graph[service_id] = []
        for index, dependency in enumerate(
            dependencies if isinstance(dependencies, list) else ()
        ):
            path = ("services", service_id, "depends_on", index)
            if not isinstance(dependency, str):
                continue
            if dependency not in unchecked_services:
                checker.add_problem(
                    path, f"the unknown service {dependency}", "a service of this text"
                )
            elif dependency in graph[service_id]:
                checker.add_problem(
                    path, f"{dependency} a second time", "each service once"
                )
            else:
                graph[service_id].append(dependency)
    for cycle in _find_cycles(graph):
        path = ("services", cycle[0], "depends_on")
        chain = " -> ".join((*cycle, cycle[0]))
        checker.add_problem(path, f"the cycle {chain}", "dependencies without a cycle")


def _find_cycles(graph: Mapping[str, list[str]]) -> list[list[str]]:
    """Return at least one cycle for each group of mutually dependent services.

    The depth-first search is iterative, since a chain of thousands of services would
    exceed the interpreter's recursion limit.
    """
    explored: set[str] = set()
    cycles = []
    for start in graph:
        path: list[str] = []
        index_in_path: dict[str, int] = {}
        stack = [(start, iter(graph[start]))] if start not in explored else []
        while stack:
            node, children = stack[-1]
            if node not in index_in_path:
                index_in_path[node] = len(path)
                path.append(node)
            child = next(children, None)
            if child is None:
                stack.pop()
                path.pop()
                del index_in_path[node]
                explored.add(node)
            elif child in index_in_path:
                cycles.append(path[index_in_path[child] :])
            elif child not in explored:
                stack.append((child, iter(graph[child])))
    return cycles
