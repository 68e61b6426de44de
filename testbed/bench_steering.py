"""Weighs policies for the choice of an upstream, on virtual time and without a network.

Examples::

    python -m testbed.bench_steering --seed 1
    python -m testbed.bench_steering --case slow --load 3

Each line is one policy under one trouble and load. ``worth`` is the credit that clients
earn of what they could, ``copies`` the share of requests that lost an opening packet.
"""

import argparse
from collections.abc import Callable

from wisteriatiller.steering.selection import UpstreamSelector
from wisteriatiller.steering.steering import FlowSteering

from .flowpolicies import LeastFlowsChooser, RendezvousChooser, TwoChoicesChooser
from .flowworld import FlowSizes, FlowWorld, WorkingUpstream

LOADS = (1.0, 1.5, 3.0)
LENGTH_S = 20.0
SLOWNESS = 5.0
TROUBLE_AT_S = 4.0
TROUBLE_LENGTH_S = 6.5

POLICIES: dict[str, Callable[[FlowSteering], UpstreamSelector] | None] = {
    "rendezvous": RendezvousChooser,
    "least_flows": LeastFlowsChooser,
    "two_choices": TwoChoicesChooser,
    "product": None,
}


def calm(upstream: WorkingUpstream, is_on: bool) -> None:
    """No trouble."""


def slow(upstream: WorkingUpstream, is_on: bool) -> None:
    """It works five times as long."""
    upstream.slowness = SLOWNESS if is_on else 1.0


def dark(upstream: WorkingUpstream, is_on: bool) -> None:
    """It answers nothing, and stays listed."""
    upstream.is_dark = is_on


def mute(upstream: WorkingUpstream, is_on: bool) -> None:
    """It opens flows and answers no request."""
    upstream.is_mute = is_on


# What befalls one upstream of the first zone for a while.
CASES = {case.__name__: case for case in (calm, slow, dark, mute)}


def measure(case_name: str, policy: str, load: float, seed: int) -> str:
    """Play one case; the line of its figures."""
    sizes = FlowSizes()
    sizes = sizes._replace(requests_per_s=load * sizes.requests_per_s)
    world = FlowWorld(sizes, seed, POLICIES[policy])
    trouble = CASES[case_name]
    upstream = next(iter(world.upstreams.values()))
    end_s = TROUBLE_AT_S + TROUBLE_LENGTH_S
    world.clock.call_later(TROUBLE_AT_S, lambda: trouble(upstream, True))
    world.clock.call_later(end_s, lambda: trouble(upstream, False))
    result = world.run(LENGTH_S)
    pairs = [f"case={case_name}", f"policy={policy}", f"load={load:g}", f"seed={seed}"]
    pairs += [
        f"{name}={value:.3f}" if isinstance(value, float) else f"{name}={value}"
        for name, value in result._asdict().items()
    ]
    return " ".join(pairs)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--case", choices=CASES)
    parser.add_argument("--load", type=float)
    options = parser.parse_args()
    for case_name in [options.case] if options.case else CASES:
        for load in [options.load] if options.load else LOADS:
            for policy in POLICIES:
                print(measure(case_name, policy, load, options.seed), flush=True)


if __name__ == "__main__":
    main()
