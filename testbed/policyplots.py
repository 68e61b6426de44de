"""Draws plots from the output of ``testbed.bench_policy``.

Example::

    python -m testbed.policyplots --to docs/plots output-1.txt output-2.txt
"""

import argparse
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

SIZE_INCHES = (6.4, 3.2)
DOTS_PER_INCH = 80


def read_rows(paths) -> list[dict[str, str]]:
    """The measurements as dictionaries of text."""
    rows = []
    for path in paths:
        for line in path.read_text().splitlines():
            row = dict(pair.split("=", 1) for pair in line.split() if "=" in pair)
            if "case" in row and "wall_s" not in row:
                rows.append(row)
    return rows


def draw_faults(rows, to: Path) -> None:
    """Busy slots of the busiest upstream by fault and policy."""
    rows = [
        row
        for row in rows
        if row["case"] == "balance_faults" and row["service"] == "printer-hub"
    ]
    faults = list(dict.fromkeys(row["fault"] for row in rows))
    policies = list(dict.fromkeys(row["policy"] for row in rows))
    if not rows:
        return
    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    for number, policy in enumerate(policies):
        ratios = [
            float(row["busy_max_mean"])
            for fault in faults
            for row in rows
            if row["fault"] == fault and row["policy"] == policy
        ]
        places = [index + number * 0.2 for index in range(len(ratios))]
        axes.bar(places, ratios, width=0.18, label=policy)
    axes.axhline(1.10, color="black", linewidth=0.8, linestyle="--")
    axes.set_xticks([index + 0.3 for index in range(len(faults))], faults)
    axes.set_ylim(1.0, None)
    axes.set_ylabel("busy slots, max/mean")
    axes.legend(fontsize="small")
    _save(figure, to / "balance_faults.png")


def draw_fairness(rows, to: Path) -> None:
    """The other callers' p99 with and without one busy caller."""
    rows = [row for row in rows if row["case"] == "fairness" and row["slots"] == "3"]
    if not rows:
        return
    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    for number, key in enumerate(("others_p99_ms_without", "others_p99_ms_with")):
        places = [index + number * 0.4 for index in range(len(rows))]
        axes.bar(places, [float(row[key]) for row in rows], width=0.38, label=key)
    axes.set_xticks(
        [index + 0.2 for index in range(len(rows))], [row["queue"] for row in rows]
    )
    axes.set_yscale("log")
    axes.set_ylabel("p99 of the other callers, ms")
    axes.legend(fontsize="small")
    _save(figure, to / "fairness.png")


def _save(figure, path: Path) -> None:
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    print(f"plot={path}")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--to", type=Path, required=True)
    parser.add_argument("output", type=Path, nargs="+")
    arguments = parser.parse_args()
    arguments.to.mkdir(parents=True, exist_ok=True)
    rows = read_rows(arguments.output)
    draw_faults(rows, arguments.to)
    draw_fairness(rows, arguments.to)


if __name__ == "__main__":
    main()
