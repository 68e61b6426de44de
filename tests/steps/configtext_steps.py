"""Steps for the validation of the configuration text and of a host's settings."""

import ast
import json
import re
import tempfile
from pathlib import Path

from behave import given, then, when
from hypothesis import (
    given as generate_inputs,
    settings as hypothesis_settings,
    strategies,
)

from tests import configurations
from wisteriatiller.configuration.config import Configuration, RequestMode
from wisteriatiller.configuration.configrecord import (
    NO_RECORD,
    ConfigRecord,
    RecordInvalid,
    decode_record,
    encode_record,
    next_record,
)
from wisteriatiller.configuration.configtext import load_text
from wisteriatiller.configuration.settings import HostSettings, load_settings
from wisteriatiller.configuration.textparse import TextProblems
from wisteriatiller.exceptions import SettingsError
from wisteriatiller.ids import Address, SubmissionId

# Hypothesis derives the inputs from the source of each test function, so that renaming
# the function or a name in its body generates other inputs.
PROPERTY_TEST_SETTINGS = hypothesis_settings(
    max_examples=300, deadline=None, derandomize=True
)


def document_with_two_services():
    stock = configurations.service(
        "10.1.0.1:1", {"s1": configurations.upstream("10.2.0.1:1")}
    )
    sheets = configurations.service(
        "10.1.0.2:1",
        {"t1": configurations.upstream("10.2.0.2:1")},
        depends_on=["stock"],
    )
    return {"services": {"stock": stock, "sheets": sheets}}


def settings_document():
    return {
        "host_id": "b1",
        "zone": "quimper",
        "fabric_listen": "127.0.0.1:7401",
        "upstream_listen": "127.0.0.1:7402",
        "peer_listen": "127.0.0.1:7400",
        "admin_listen": "127.0.0.1:7403",
        "fabric_return": ["127.0.0.9:7000"],
        "seeds": [{"host_id": "b1", "zone": "quimper", "address": "127.0.0.1:7400"}],
        "store_urls": ["http://127.0.0.1:8500"],
        "peer_keys": ["00112233445566778899aabbccddeeff"],
    }


def encode_with_value(document, key, value):
    *parents, last = key.split(".")
    target = document
    for parent in parents:
        target = target[parent]
    # The placeholder admits values that json.dumps cannot write, such as 1e999.
    target[last] = "<value>"
    return json.dumps(document).replace('"<value>"', value).encode()


def read_settings(data):
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "host.json"
        path.write_bytes(data)
        try:
            return load_settings(path)
        except SettingsError as error:
            return TextProblems(error.problems)


def assert_refused_at(outcome, path, allowed):
    assert isinstance(outcome, TextProblems), outcome
    matching = [p for p in outcome.problems if p.key_path == path]
    assert any(allowed in problem.allowed for problem in matching), str(outcome)


@when("a text with comments and trailing commas is loaded")
def when_text_with_comments(context):
    context.outcome = load_text(
        b"""{ // what runs
          "services": {
            /* one
               service */
            stock: {
              'address': "[2001:db8:0::1]:5683", "requests": "opaque",
              "upstreams": {"s1": {
                "address": "10.2.0.1:1", "zone": "z", "slots": 0x3, "weight": 2,
              },},
            },
          },
        }""",
        "services.json",
    )


@then("the service has the values of the text and the defaults")
def then_text_values_and_defaults(context):
    assert isinstance(context.outcome, Configuration), str(context.outcome)
    stock = context.outcome.services["stock"]
    assert stock.address == Address("2001:db8::1", 5683)
    assert stock.mode is RequestMode.OPAQUE
    assert (stock.deadline_ms, stock.flow_idle_s, stock.slow_start_s) == (2000, 300, 10)
    assert stock.objective == 0.999 and context.outcome.shard_count == 16
    upstream = stock.upstreams["s1"]
    assert (upstream.slots, upstream.weight, upstream.drain) == (3, 2.0, False)


@then("the text and the settings of the configuration page are valid")
def then_documentation_valid(context):
    page = Path(__file__).parents[2] / "docs" / "configuration.md"
    text, settings = re.findall(r"```json5\n(.*?)```", page.read_text("utf-8"), re.S)
    outcome = load_text(text.encode(), page.name)
    assert isinstance(outcome, Configuration), str(outcome)
    # The page abbreviates the peer key.
    settings = settings.replace("8f…", "8f" * 16)
    outcome = read_settings(settings.encode())
    assert isinstance(outcome, HostSettings), str(outcome)


@when('the key "{key}" of the text is set to {value}')
def when_key_set(context, key, value):
    context.outcome = load_text(
        encode_with_value(document_with_two_services(), key, value), "services.json"
    )


@then('the text is refused at "{path}" allowing "{allowed}"')
def then_refused(context, path, allowed):
    # Also matches examples whose path or allowed text contains quotes.
    assert_refused_at(context.outcome, path, allowed)


@when("the bytes {expression} are loaded as a text")
def when_bytes(context, expression):
    context.outcome = load_text(_evaluate_bytes(expression), "services.json")


def _evaluate_bytes(expression):
    """Evaluate a sum or product of bytes literals from an examples table."""

    def evaluate(node):
        if isinstance(node, ast.BinOp) and isinstance(node.op, ast.Add):
            return evaluate(node.left) + evaluate(node.right)
        if isinstance(node, ast.BinOp) and isinstance(node.op, ast.Mult):
            return evaluate(node.left) * evaluate(node.right)
        return ast.literal_eval(node)

    return evaluate(ast.parse(expression.strip(), mode="eval").body)


@then('the only problem is on line {line:d} and allows "{allowed}"')
def then_only_problem(context, line, allowed):
    assert isinstance(context.outcome, TextProblems), context.outcome
    assert len(context.outcome.problems) == 1, str(context.outcome)
    problem = context.outcome.problems[0]
    assert problem.line == line and allowed in problem.allowed, str(problem)


@when("a text with a duplicate key on line 5 and two other problems is loaded")
def when_duplicate_key(context):
    context.outcome = load_text(
        b"""{"shard_count": 0, "services": {
        "stock": {"address": "10.1.0.1:1", "requests": "coap", "color": "red",
          "upstreams": {
            "s1": {"address": "10.2.0.1:1", "zone": "z", "slots": 3},
            's1': {"address": "10.2.0.1:1", "zone": "z", "slots": 3}}}}}""",
        "services.json",
    )


@then("three problems are reported, the duplicate key on line 5")
def then_three_problems(context):
    found = [(p.line, p.key_path) for p in context.outcome.problems]
    assert found == [
        (1, "shard_count"),
        (2, "services.stock.color"),
        (5, "services.stock.upstreams.s1"),
    ], str(context.outcome)


@when("a text with a chain of {count:d} services that ends in a cycle is loaded")
def when_chain(context, count):
    services = {
        f"s{i}": configurations.service(
            f"10.1.{i >> 8}.{i & 255}:1",
            {f"u{i}": configurations.upstream(f"10.2.{i >> 8}.{i & 255}:1")},
            depends_on=[f"s{i + 1 if i + 1 < count else count - 2}"],
        )
        for i in range(count)
    }
    text = json.dumps({"services": services}).encode()
    context.outcome = load_text(text, "services.json")
    context.cycle = f"s{count - 2} -> s{count - 1} -> s{count - 2}"


@then("the only problem reported is the cycle")
def then_only_cycle_reported(context):
    assert isinstance(context.outcome, TextProblems)
    assert len(context.outcome.problems) == 1, str(context.outcome)[:2000]
    assert context.cycle in context.outcome.problems[0].found


def check_outcome(outcome):
    """Check that a text was refused with plain messages, or encodes to a record."""
    assert isinstance(outcome, Configuration | TextProblems)
    if isinstance(outcome, TextProblems):
        # Messages are single lines of ASCII, which every terminal can display.
        for problem in outcome.problems:
            assert str(problem).isascii() and "\n" not in str(problem), problem
    else:
        record = next_record(NO_RECORD, outcome, SubmissionId("s"))
        assert decode_record(encode_record(record)) == record


JSON_KEYS = strategies.sampled_from(
    ["services", "stock", "upstreams", "s1", "address", "zone", "slots", "drain"]
    + ["depends_on", "objective", "requests", "deadline_ms", "shard_count"]
)
JSON_SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(),
    strategies.text(max_size=20),
    strategies.sampled_from(["coap", "10.1.0.1:1", "[::1]:1", "s1", "stock"]),
)
JSON_VALUES = strategies.recursive(
    JSON_SCALARS,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=3),
        strategies.dictionaries(
            JSON_KEYS | strategies.text(max_size=5), inner, max_size=5
        ),
    ),
    max_leaves=30,
)


@then("{texts:d} generated texts and {strings:d} generated byte strings raise nothing")
def then_generated_texts_raise_nothing(context, texts, strings):
    @PROPERTY_TEST_SETTINGS
    @generate_inputs(JSON_VALUES)
    def read_text(value):
        check_outcome(load_text(json.dumps(value).encode(), "generated"))

    @PROPERTY_TEST_SETTINGS
    @generate_inputs(
        strategies.binary(max_size=60) | strategies.text("{}[],:\"'/*\\1a-\n")
    )
    def read_bytes(value):
        data = value if isinstance(value, bytes) else value.encode()
        check_outcome(load_text(data, "generated"))

    read_text()
    read_bytes()


@then("{count:d} corrupted copies of a valid text raise nothing")
def then_corrupted_texts(context, count):
    valid = json.dumps(document_with_two_services()).encode()

    @PROPERTY_TEST_SETTINGS
    @generate_inputs(
        strategies.integers(0, len(valid)),
        strategies.integers(0, 12),
        strategies.binary(max_size=6)
        | JSON_VALUES.map(lambda v: json.dumps(v).encode()),
    )
    def read(start, length, replacement):
        damaged = valid[:start] + replacement + valid[start + length :]
        check_outcome(load_text(damaged, "damaged"))

    read()


@given("a record with two earlier tables")
def given_record(context):
    record = NO_RECORD
    for count in (2, 3, 2):
        configuration = load_text(configurations.text(count), "text")
        record = next_record(record, configuration, SubmissionId(f"s{count}"))
    assert len(record.configuration.earlier_upstreams["stock-browser"]) == 2
    context.config_record = record


@then("the record decodes to what was encoded")
def then_record_decodes(context):
    data = encode_record(context.config_record)
    assert decode_record(data) == context.config_record


@then("no corrupted copy of the record raises an exception")
def then_corrupted_records(context):
    data = encode_record(context.config_record)
    for index in range(len(data)):
        outcome = decode_record(data[:index])
        assert isinstance(outcome, RecordInvalid), index
        changed = data[:index] + bytes([data[index] ^ 0x55]) + data[index + 1 :]
        assert isinstance(decode_record(changed), RecordInvalid | ConfigRecord)


@when('the settings key "{key}" is set to {value}')
def when_settings_key(context, key, value):
    assert not isinstance(
        read_settings(json.dumps(settings_document()).encode()), TextProblems
    )
    context.outcome = read_settings(encode_with_value(settings_document(), key, value))


@then('the settings are refused at "{path}" allowing "{allowed}"')
def then_settings_refused(context, path, allowed):
    assert_refused_at(context.outcome, path, allowed)


@then('the message about the settings does not contain "{secret}"')
def then_secret_not_shown(context, secret):
    assert isinstance(context.outcome, TextProblems)
    assert secret not in str(context.outcome), str(context.outcome)
