"""Measures the value of the answers with and without the refusal of flows.

``python -m testbed.bench_admission --seed 5`` plays the same arrivals with and without
``AdmissionPolicy`` for each load, given in terms of the capacity of all upstreams.
"""

import argparse

from wisteriatiller.eventline import event_line

from .admissionworld import AdmissionWorld, WorldSizes

USUAL_DEMAND = 0.36
SETTLE_S = 4.0
DEFAULT_LOADS = (0.8, 1.2, 1.7, 2.6)


def play(load: float, seed: int, length_s: float, uses_admission: bool):
    """Play a burst after some seconds of usual load; return its line of figures."""
    sizes = WorldSizes(uses_admission=uses_admission)
    world = AdmissionWorld(sizes, seed)
    world.run(SETTLE_S, USUAL_DEMAND)
    world.start_tally()
    world.run(length_s, load)
    world.settle()
    tally = world.tally
    in_time = {
        f"in_time_{kind.name}": round(tally.in_time_share(kind.name), 4)
        for kind in sizes.types
    }
    return event_line(
        "admission",
        load=load,
        seed=seed,
        policy="on" if uses_admission else "off",
        value=round(tally.value_share, 4),
        **in_time,
        late=tally.total("late"),
        rejections=tally.total("rejections"),
        refusals=tally.total("refusals"),
        refused_beside_free_slot=world.refused_with_free_slot,
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, action="append")
    parser.add_argument("--load", type=float, action="append")
    parser.add_argument("--length-s", type=float, default=8.0)
    arguments = parser.parse_args()
    for seed in arguments.seed or [5]:
        for load in arguments.load or DEFAULT_LOADS:
            for uses_admission in (False, True):
                line = play(load, seed, arguments.length_s, uses_admission)
                print(line, flush=True)


if __name__ == "__main__":
    main()
