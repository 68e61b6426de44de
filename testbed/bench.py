"""Runs the benches one after another, prints their lines and draws the cost plots.

``python -m testbed.bench`` is ``make bench``; with ``--quick`` it takes less than
three minutes. Each bench runs in a process of its own, so that the memory and the
state of one do not change the figures of the next.
"""

import argparse
import os
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from testbed import bench_policy, policyplots
from testbed.cluster import ROOT
from testbed.costplots import draw

PLOTS = ROOT / "docs" / "plots"
SEED = "1"
# The arguments of a full and of a quick run.
BENCHES = {
    "bench_datapath": ([], ["--count", "12000", "--pings", "1000"]),
    "bench_membership": (
        ["--seed", SEED],
        [
            *("--seed", SEED, "--hosts", "10,30"),
            *("--length-s", "40", "--settle-s", "30", "--frames", "10000"),
        ],
    ),
    "bench_control": (
        ["--seed", SEED],
        ["--seed", SEED, "--quick", "--length-s", "10", "--no-memory"],
    ),
    "bench_placement": (["--seed", SEED], ["--seed", SEED]),
    "bench_steering": (["--seed", SEED], ["--seed", SEED, "--load", "3"]),
    "bench_uneven": (
        ["--seed", SEED, "--jobs", "2"],
        ["--seed", SEED, "--site", "pecan", "--demand", "moved", "--hosts", "15"],
    ),
    # The shortest case takes more CPU time than is left in a quick run.
    "bench_policy": (["--seed", SEED], None),
}
# The cases of the policy are on virtual time, so their figures do not change when
# they share the machine.
PARALLEL_CASES = 6


def run_bench(name: str, arguments: list[str]) -> tuple[list[str], int]:
    """Print the lines of a bench as they come; return them and its exit status."""
    command = [sys.executable, "-m", f"testbed.{name}", *arguments]
    environment = dict(os.environ)
    environment["PYTHONPATH"] = os.pathsep.join((str(ROOT / "src"), str(ROOT)))
    lines = []
    process = subprocess.Popen(
        command, cwd=ROOT, env=environment, stdout=subprocess.PIPE, text=True
    )
    for line in process.stdout:
        print(line, end="", flush=True)
        lines.append(line)
    return lines, process.wait()


def run_policy(arguments: list[str]) -> tuple[list[str], int]:
    """Run the cases of the policy side by side; return their lines by case."""
    with ThreadPoolExecutor(PARALLEL_CASES) as executor:
        results = executor.map(
            lambda case: run_bench("bench_policy", [*arguments, "--case", case]),
            bench_policy.CASES,
        )
        lines, status = [], 0
        for printed, case_status in results:
            lines += printed
            status = status or case_status
    return lines, status


def draw_policy(lines: list[str], options) -> None:
    """Draw the plots of the policy from the lines of its bench."""
    with tempfile.TemporaryDirectory() as directory:
        output = Path(directory) / "bench_policy.txt"
        output.write_text("".join(lines))
        rows = policyplots.read_rows([output])
    options.plots.mkdir(parents=True, exist_ok=True)
    policyplots.draw_faults(rows, options.plots)
    policyplots.draw_fairness(rows, options.plots)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--only", action="append", choices=sorted(BENCHES))
    parser.add_argument("--plots", type=Path, default=PLOTS)
    options = parser.parse_args()
    lines: list[str] = []
    failed = []
    for name in options.only or BENCHES:
        started_s = time.monotonic()
        arguments = BENCHES[name][options.quick]
        if arguments is None:
            print(f"run={name} skipped=quick", flush=True)
            continue
        if name == "bench_policy":
            printed, status = run_policy(arguments)
            draw_policy(printed, options)
        else:
            printed, status = run_bench(name, arguments)
        lines += printed
        took_s = time.monotonic() - started_s
        print(f"run={name} seed={SEED} status={status} took_s={took_s:.0f}", flush=True)
        if status != 0:
            failed.append(name)
    # A quick run has too few points for the plots that are kept.
    if not options.quick:
        for path in draw(lines, options.plots):
            print(f"plot={path.name} size_bytes={path.stat().st_size}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
