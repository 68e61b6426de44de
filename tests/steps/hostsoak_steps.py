"""Steps for the soak test of real host processes."""

import tempfile
from pathlib import Path

from behave import then, when

from tests.hostsoak import HostSoak


@when("the soak test runs seed {seed:d} for {length_s:d} seconds")
def when_runs(context, seed, length_s):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    soak = HostSoak(seed, Path(directory.name))
    context.add_cleanup(soak.close)
    context.findings = soak.run(length_s)


@then("no guarantee is violated")
def then_no_findings(context):
    assert not context.findings, context.findings
