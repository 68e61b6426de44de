"""Steps for the checks of a configuration before it is sent."""

import contextlib
import io
import json
import tempfile
from pathlib import Path

from behave import given, then, when

from testbed.platformstandin import configuration, route
from tests.configurations import document, service, upstream
from wisteriatiller.configfindings import Severity
from wisteriatiller.operations import cli
from wisteriatiller.platform import configcheck
from wisteriatiller.platform.configproblems import find_differences, find_problems
from wisteriatiller.platform.storedvalues import StoredValueError, decode_config

ABSENT = "absent"
FILE_CONTENTS = {
    "nothing": b"",
    "a truncated object": b'{"version": 8, "routes": [',
    "a list": b"[]",
    "bytes that are not text": b"\xff\xfe{",
    "100000 open brackets": b"[" * 100_000,
}


def platform_configuration():
    split = [{"service": "sheet", "weight": 90}, {"service": "stock", "weight": 10}]
    routes = (
        route(
            "198.18.0.1",
            443,
            "stock",
            name="shop",
            type="safe",
            priority=0,
            target_latency_ms=450,
            timeout_ms=2800,
        ),
        route(
            "198.18.0.1",
            8443,
            "unused",
            name="upload",
            type="upload",
            priority=1,
            target_latency_ms=1300,
            timeout_ms=6700,
            traffic_split=split,
        ),
    )
    made = configuration(7, *routes)
    made["services"] = [
        {"name": "stock", "max_conns": 100, "warmup_s": 2, "warmup_per_s": 5},
        {"name": "sheet", "max_conns": 100, "warmup_s": 2, "warmup_per_s": 0},
    ]
    return {**made, "later": {"x": 1}}


def change_value(document, place, value):
    """Set, append or remove the value at a path such as ``routes.0.host``."""
    *parents, last = (int(key) if key.isdigit() else key for key in place.split("."))
    for key in parents:
        document = document[key]
    if value == ABSENT:
        del document[last]
    elif isinstance(document, list) and last == len(document):
        document.append(json.loads(value))
    else:
        document[last] = json.loads(value)


def write_files(context, **contents):
    """Write files whose names stand for their paths in arguments."""
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.paths = {}
    for name, data in {"EMPTY": b"", **contents}.items():
        context.paths[name] = Path(directory.name) / f"{name.lower()}.json"
        context.paths[name].write_bytes(data)


def run_main(context, main, arguments):
    paths = context.paths
    arguments = [str(paths.get(argument, argument)) for argument in arguments]
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        try:
            context.exit_status = main(arguments)
        except SystemExit as error:
            context.exit_status = error.code
    context.output = output.getvalue()


def platform_bytes(context):
    return json.dumps(context.configuration).encode()


@given("a valid configuration of the platform")
def given_platform_configuration(context):
    context.configuration = platform_configuration()


@given("in it {place} is {value}")
def given_change(context, place, value):
    change_value(context.configuration, place, value)


@given("a file with {content}")
def given_content(context, content):
    context.data = FILE_CONTENTS[content]


@when("the configuration is checked")
def when_checked(context):
    if "data" not in context:
        context.data = platform_bytes(context)
    write_files(context, FILE=context.data)
    context.findings = find_problems(context.data)
    run_main(context, configcheck.main, ["FILE"])


@when("the configuration is checked against version 7")
def when_compared(context):
    context.data = platform_bytes(context)
    in_force = json.dumps(platform_configuration()).encode()
    write_files(context, FILE=context.data, INFORCE=in_force)
    context.findings = find_problems(context.data)
    context.findings += find_differences(in_force, context.data)
    run_main(context, configcheck.main, ["FILE", "--against", "INFORCE"])


@when('the check runs with "{arguments}"')
def when_check_runs(context, arguments):
    write_files(context, FILE=platform_bytes(context))
    run_main(context, configcheck.main, arguments.split())


@when('the check runs with ""')
def when_check_runs_bare(context):
    when_check_runs(context, "")


@then("hosts reject the configuration")
def then_hosts_reject(context):
    try:
        found = decode_config(context.data)
    except StoredValueError:
        return
    raise AssertionError(found)


@then("hosts accept the configuration")
def then_hosts_accept(context):
    decode_config(context.data)


@then("the check ends with {status:d}")
def then_check_ended(context, status):
    assert context.exit_status == status, (context.exit_status, context.output)


@then('it says "{message}"')
def then_it_says(context, message):
    assert message in context.output, context.output


@then('it finds the {severity:w} "{message}" at {place}')
def then_found(context, severity, message, place):
    found = [
        finding
        for finding in context.findings
        if finding.severity is Severity(severity) and finding.place == place
    ]
    assert any(message in finding.message for finding in found), context.findings
    for finding in found:
        assert str(finding) in context.output, context.output


@then('it finds only the {severity:w} "{message}" at {place}')
def then_found_only(context, severity, message, place):
    then_found(context, severity, message, place)
    assert len(context.findings) == 1, context.findings


@then('the places of its errors are "{places}"')
def then_places(context, places):
    errors = [one for one in context.findings if one.severity is Severity.ERROR]
    assert [error.place for error in errors] == places.split(), errors


@then('its JSON has one finding, an error at "{place}"')
def then_json(context, place):
    (finding,) = json.loads(context.output)["findings"]
    assert (finding["severity"], finding["place"]) == ("error", place), finding
    assert finding["message"], finding


@then("its output has {count:d} lines of printable ASCII")
def then_lines_printable(context, count):
    lines = context.output.splitlines()
    assert len(lines) == count, lines
    assert all(line.isascii() and line.isprintable() for line in lines), lines


def product_document():
    made = document(2)
    upstreams = {"price-1": upstream("10.20.1.1:7001")}
    made["services"]["price-list"] = service("10.10.0.2:5683", upstreams)
    return made


@given("a text of the product in force")
def given_text_in_force(context):
    data = json.dumps(product_document()).encode()
    write_files(context, FILE=data, INFORCE=data)


@given("another text of the product, in which {place} is {value}")
def given_other_text(context, place, value):
    made = product_document()
    change_value(made, place, value)
    context.paths["FILE"].write_text(json.dumps(made))


@when("the text is checked against the one in force")
def when_text_compared(context):
    run_main(context, cli.main, ["check", "FILE", "--against", "INFORCE"])


@when('the program runs with "{arguments}"')
def when_program_runs(context, arguments):
    run_main(context, cli.main, arguments.split())
