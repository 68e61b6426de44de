"""Compares policies under uneven demand and upstreams, on virtual time.

Examples::

    python -m testbed.bench_uneven --seed 1 --jobs 3
    python -m testbed.bench_uneven --seed 1 --site kopru --demand moved --hosts 76

Each row is one policy. ``rejected tries`` counts requests that a full upstream did not
take; the client tries again twice. ``busiest to mean`` compares arrivals at upstreams.
"""

import argparse
from concurrent.futures import ProcessPoolExecutor
from itertools import product

from .flowpolicies import (
    PresentLoadSelector,
    RateSharesChooser,
    ReportedLoadChooser,
    SummedTwoChoicesChooser,
)
from .unevenworld import AS_PRINTED, MOVED, SITES, Policy, UnevenWorld

HOSTS = (15, 76, 137, 195)
DEMANDS = {demand.name: demand for demand in (AS_PRINTED, MOVED)}
POLICIES = {
    "before": Policy(uses_zone_findings=False),
    "rate shares": Policy(RateSharesChooser),
    "two choices": Policy(SummedTwoChoicesChooser),
    "reported load": Policy(ReportedLoadChooser, probes_upstreams=True),
    "present load": Policy(PresentLoadSelector),
    "product": Policy(),
}


def measure(
    site: str, demand: str, hosts: int, policy: str, seed: int, load: float
) -> str:
    """Play one case; the row of its figures."""
    scaled = SITES[site].scaled(load)
    world = UnevenWorld(scaled, DEMANDS[demand], hosts, seed, POLICIES[policy])
    result = world.run()
    cells = [site, demand.replace("_", " "), hosts, policy, *result[:-1]]
    cells.append(f"{result.busiest_to_mean:.2f}")
    return " | ".join(("", *map(str, cells), "")).strip()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--site", choices=SITES)
    parser.add_argument("--demand", choices=DEMANDS)
    parser.add_argument("--hosts", type=int)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--jobs", type=int, default=1)
    options = parser.parse_args()
    cases = product(
        [options.site] if options.site else SITES,
        [options.demand] if options.demand else DEMANDS,
        [options.hosts] if options.hosts else HOSTS,
        POLICIES,
        [options.seed],
        [options.load],
    )
    names = ("deployment", "demand", "hosts", "policy", "requests", "in time", "late")
    names += ("rejected tries", "failed", "busiest to mean")
    print("| " + " | ".join(names) + " |")
    print("|---" * len(names) + "|")
    with ProcessPoolExecutor(options.jobs) as executor:
        for row in executor.map(measure, *zip(*cases, strict=True)):
            print(row, flush=True)


if __name__ == "__main__":
    main()
