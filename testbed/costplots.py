"""Plots of the cost benches."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt

DPI = 80
RATE_FACTORS = ("hosts", "shards_per_host", "upstreams_per_host", "new_flows_per_s")


def pairs_of(line: str) -> dict[str, str]:
    """The key=value pairs of a line of a bench."""
    return dict(part.split("=", 1) for part in line.split() if "=" in part)


def draw(lines: list[str], directory: Path) -> list[Path]:
    """Draw what the lines hold; return the files written."""
    rows = [pairs_of(line) for line in lines if line.startswith("bench=")]
    directory.mkdir(parents=True, exist_ok=True)
    plots = (
        ("cost_datapath.png", _draw_datapath),
        ("cost_control.png", _draw_control),
    )
    written = []
    for name, draw_plot in plots:
        figure = draw_plot(rows)
        if figure is not None:
            figure.tight_layout()
            figure.savefig(directory / name, dpi=DPI)
            plt.close(figure)
            written.append(directory / name)
    return written


def _draw_datapath(rows):
    medians = [row for row in rows if row["bench"] == "datapath_median"]
    latencies = [row for row in rows if row["bench"] == "datapath_latency"]
    if not medians or not latencies:
        return None
    figure, (left, right) = plt.subplots(1, 2, figsize=(9, 3.2))
    names = [row["path"] for row in medians]
    left.barh(names, [float(row["per_cpu_s"]) for row in medians])
    left.set_xscale("log")
    left.set_xlabel("datagrams per CPU second")
    left.invert_yaxis()
    names = [row["path"] for row in latencies]
    for share, color in (("p99_us", "tab:orange"), ("p50_us", "tab:blue")):
        values = [float(row[share]) for row in latencies]
        right.barh(names, values, label=share.removesuffix("_us"), color=color)
    right.set_xlabel("round trip, µs")
    right.invert_yaxis()
    right.legend()
    return figure


def _draw_control(rows):
    points = [row for row in rows if row["bench"] == "control"]
    factors = [f for f in RATE_FACTORS if any(row["factor"] == f for row in points)]
    if not factors:
        return None
    figure, axes = plt.subplots(2, 2, figsize=(9, 5.6))
    for axis, factor in zip(axes.flat, factors, strict=False):
        of_factor = [row for row in points if row["factor"] == factor]
        xs = [float(row["x"]) for row in of_factor]
        for name in ("membership", "leases", "replication", "loads", "health"):
            values = [float(row[f"{name}_bytes_per_s"]) / 1000 for row in of_factor]
            axis.plot(xs, values, marker="o", label=name)
        axis.set_xlabel(factor)
        axis.set_ylabel("KB/s per host")
        axis.set_ylim(bottom=0)
    axes.flat[0].legend(fontsize="small")
    return figure
