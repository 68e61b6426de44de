"""Measures the policy under load: balance, fairness, overload and recovery.

Examples::

    python -m testbed.bench_policy --case fairness --seed 1
    python -m testbed.bench_policy --all --seed 2

Each line is a measurement as key=value pairs with its seed; where a target applies,
``target`` names it and ``met`` says whether it holds.
"""

import argparse
import time

from . import (  # noqa: F401 (each registers its cases)
    policybalance,
    policychains,
    policyfairness,
    policyoverload,
    policyrecovery,
)
from .policycases import CASES, show


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--case", action="append", choices=sorted(CASES))
    parser.add_argument("--all", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    names = list(CASES) if arguments.all else arguments.case or []
    if not names:
        parser.error("name a --case, or --all")
    rows = []
    for name in names:
        start_s = time.monotonic()
        for values in CASES[name](arguments.seed):
            show(name, arguments.seed, values)
            rows.append((name, values))
        took_s = time.monotonic() - start_s
        print(f"case={name} seed={arguments.seed} wall_s={took_s:.1f}", flush=True)
    missed = [name for name, values in rows if values.get("met") == "no"]
    print(f"measurements={len(rows)} targets_missed={len(missed)}", flush=True)


if __name__ == "__main__":
    main()
