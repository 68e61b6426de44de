"""Checks a configuration before it is written to the store.

``python -m wisteriatiller.platform.configcheck FILE [--against FILE] [--json]`` prints
a line for each finding. Exit status 0 means no errors, and 2 errors or wrong arguments.
"""

import argparse
import json
import sys
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from wisteriatiller.configfindings import Finding, Severity

from .configproblems import find_differences, find_problems

EXIT_NO_ERRORS = 0
EXIT_ERRORS = 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Check the files that the arguments name and return the exit status."""
    options = _parse_arguments(arguments)
    findings = check_files(options.file, options.against)
    if options.json:
        print(_format_json(findings))
    else:
        for finding in findings:
            print(f"{options.file}: {finding}")
        print(f"{options.file}: {_format_counts(findings)}")
    has_errors = any(finding.severity is Severity.ERROR for finding in findings)
    return EXIT_ERRORS if has_errors else EXIT_NO_ERRORS


def check_files(file: Path, against: Path | None) -> list[Finding]:
    """Return the findings; a file that cannot be read is an error among them."""
    try:
        data = file.read_bytes()
        in_force = None if against is None else against.read_bytes()
    except (OSError, ValueError) as error:
        return [Finding(Severity.ERROR, "", f"cannot be read: {error}")]
    try:
        findings = find_problems(data)
        if in_force is not None:
            findings += find_differences(in_force, data)
    except RecursionError:
        # The parser accepts slightly deeper nesting than the functions after it.
        return [Finding(Severity.ERROR, "", "nested too deeply")]
    return findings


def _parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="python -m wisteriatiller.platform.configcheck",
        description="Check a configuration before it is written to the store.",
    )
    parser.add_argument("file", type=Path, metavar="FILE", help="file to check")
    parser.add_argument(
        "--against", type=Path, metavar="FILE", help="file with the version in force"
    )
    parser.add_argument("--json", action="store_true", help="print the result as JSON")
    return parser.parse_args(arguments)


def _format_json(findings: list[Finding]) -> str:
    rows = [
        {"severity": severity.value, "place": place, "message": message}
        for severity, place, message in findings
    ]
    return json.dumps({"findings": rows}, indent=2)


def _format_counts(findings: list[Finding]) -> str:
    counts = Counter(finding.severity for finding in findings)
    return " ".join(f"{severity.value}s={counts[severity]}" for severity in Severity)


if __name__ == "__main__":
    sys.exit(main())
