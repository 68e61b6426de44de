"""Measures how upstreams that start take up load, with and without pacing.

Examples::

    python -m testbed.bench_warmup --seeds 3
    python -m testbed.bench_warmup --case replaced_in_a_burst --limit-per-s 4

Each line is one case with one policy: what became of the requests, how often a full
upstream rejected one, how often a host refused a flow, the mean time until the started
upstreams had their share of the load (16 s if they never had), and the most opening
packets that one of them got in a second while it was cold.
"""

import argparse

from .warmupcases import CASES, LENGTH_S, CaseRun
from .warmupworld import WarmupResult, WarmupSizes, most_in_a_second


def measure(name: str, sizes: WarmupSizes, seeds: int) -> str:
    """Run a case with several seeds; the line of its figures."""
    runs = [CaseRun(name, sizes, seed) for seed in range(1, seeds + 1)]
    totals = [sum(column) for column in zip(*map(_result, runs), strict=True)]
    total = WarmupResult(*totals)
    waits_s = [
        min(LENGTH_S, run.full_load_after_s(upstream))
        for run in runs
        for upstream in run.started
    ]
    most = max(
        most_in_a_second(upstream.cold_openings_at_s)
        for run in runs
        for upstream in run.started
    )
    policy = "paced" if sizes.uses_pacing else "fixed"
    return (
        f"case={name} policy={policy} limit_per_s={sizes.limit_per_s:g} seeds={seeds}"
        f" requests={total.requests} in_time={total.in_time} late={total.late}"
        f" failed={total.failed} rejections={total.rejections}"
        f" refusals={total.refusals}"
        f" full_load_after_s={sum(waits_s) / len(waits_s):.2f} most_in_1s={most}"
    )


def _result(run: CaseRun) -> WarmupResult:
    return run.world.result()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--case", choices=sorted(CASES))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--limit-per-s", type=float, default=0.0)
    options = parser.parse_args()
    for name in (options.case,) if options.case else CASES:
        for uses_pacing in (False, True):
            sizes = WarmupSizes(
                uses_pacing=uses_pacing,
                limit_per_s=options.limit_per_s,
                overage=1.25,
                slack_flows=2.0,
            )
            sizes = sizes._replace(flows_per_s=sizes.flows_per_s * options.load)
            print(measure(name, sizes, options.seeds), flush=True)


if __name__ == "__main__":
    main()
