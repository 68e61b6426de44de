"""Run every check of the project and print one closing line.

The checks are the formatter, the linter, the smoke test of the packaged binary and
the behave features. The last line is ``N passed, N failed``.
"""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def run_command(name: str, command: list[str]) -> bool:
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    passed = result.returncode == 0
    print(f"check={name} passed={str(passed).lower()}", flush=True)
    if not passed:
        print(result.stdout[-8000:], result.stderr[-8000:], sep="\n", flush=True)
    return passed


def run_checks() -> tuple[int, int]:
    python = sys.executable
    commands = {
        "format": [python, "-m", "ruff", "format", "--check", "."],
        "lint": [python, "-m", "ruff", "check", "."],
    }
    if (ROOT / "tools" / "build_binary.py").exists():
        commands["binary"] = [python, "-m", "tools.smoke_binary"]
    results = [run_command(name, command) for name, command in commands.items()]
    return results.count(True), results.count(False)


def run_features() -> tuple[int, int]:
    """Count the scenarios of the behave features."""
    with tempfile.TemporaryDirectory() as directory:
        report = Path(directory) / "behave.json"
        command = [sys.executable, "-m", "behave", "-f", "json"]
        command += ["-o", str(report), "-f", "progress", "tests"]
        status = subprocess.run(command, cwd=ROOT).returncode
        features = json.loads(report.read_text()) if report.exists() else []
    scenarios = [
        element
        for feature in features
        for element in feature.get("elements", ())
        if element["type"] == "scenario"
    ]
    passed = sum(scenario["status"] == "passed" for scenario in scenarios)
    failed = len(scenarios) - passed
    if status != 0 and failed == 0:
        failed = 1
    return passed, failed


def main() -> int:
    counts = [run_checks(), run_features()]
    passed = sum(count[0] for count in counts)
    failed = sum(count[1] for count in counts)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
