"""Formats tables and service-level reports as text for the command line."""

from collections.abc import Sequence

from wisteriatiller.foundation import FleetReport


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a header and rows as left-aligned columns, two spaces apart."""
    cells = [header, *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )


def format_report(report: FleetReport) -> str:
    """Return a row per service and window, and which hosts did not answer.

    The error budget is that of the long window and the imbalance that of the short
    one, so each is shown in one row only.
    """
    header = ("service", "objective", "window", "requests", "refused", "unknown")
    header += ("late", "broken_flows", "p50_ms", "p99_ms", "burn_rate", "budget_left")
    header += ("imbalance",)
    rows = []
    for service in report.services:
        for name, window in (("5min", service.short), ("1h", service.long)):
            is_short = name == "5min"
            rows.append(
                (
                    service.service_id,
                    f"{service.objective:g}",
                    name,
                    window.requests,
                    window.refused,
                    window.outcome_unknown,
                    window.late,
                    window.flows_broken,
                    format_number(window.p50_ms, ".1f"),
                    format_number(window.p99_ms, ".1f"),
                    f"{window.burn_rate:.2f}",
                    "" if is_short else f"{service.budget_left:.1%}",
                    format_number(service.imbalance, ".3f") if is_short else "",
                )
            )
    lines = [format_table(header, rows)]
    lines.append(f"hosts that answered: {len(report.answered_hosts)}")
    if report.silent_hosts:
        lines.append(f"hosts without an answer: {', '.join(report.silent_hosts)}")
    return "\n".join(lines)


def format_number(value: float | None, format_spec: str) -> str:
    """Return a formatted number, or "-" for a missing one."""
    return "-" if value is None else format(value, format_spec)
