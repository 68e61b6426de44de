"""Detects recoveries of upstreams from the reports of a zone.

A host ends its own suspicion of an upstream on its own, and the reader does not hear of
it. So the reader looks for the same signs in the reports: openings that failed or flows
that are silent at several hosts while no host sees progress, then progress.
"""

from typing import NamedTuple

from wisteriatiller.ids import Address

from ..upstreams import Tag
from .reports import HostReport, UpstreamReport

# One host may have a bad link or a client that left.
MIN_HOSTS = 2
# Without progress for so long an upstream that several hosts complain of is down. An
# upstream under load makes progress several times in this time.
MIN_DOWN_S = 1.0
# How long a failed opening or a silent flow counts.
TROUBLE_TTL_S = 3.0


class _Signs:
    """What the hosts of a zone have told of one upstream."""

    __slots__ = ("down_since_s", "progress_at_s", "trouble_at_s")

    def __init__(self):
        self.progress_at_s = float("-inf")
        self.trouble_at_s: dict[Address, float] = {}
        self.down_since_s: float | None = None


class Reported(NamedTuple):
    """One row of a report, with its sender and the time of its arrival."""

    host: Address
    row: UpstreamReport
    now_s: float


class RecoveryDetector:
    """Notes which upstreams were down for the zone and make progress again."""

    def __init__(self):
        self._signs: dict[Tag, _Signs] = {}
        self._recovered: set[Tag] = set()

    def add_report(self, host: Address, report: HostReport, now_s: float) -> None:
        for row in report:
            signs = self._signs.setdefault(row.tag, _Signs())
            reported = Reported(host, row, now_s)
            self._note_progress(signs, reported)
            self._note_trouble(signs, reported)

    def take_recovered(self) -> set[Tag]:
        """The upstreams that have recovered since the last call."""
        recovered, self._recovered = self._recovered, set()
        return recovered

    def down(self) -> frozenset[Tag]:
        """The upstreams that are down for the zone."""
        return frozenset(
            tag for tag, signs in self._signs.items() if signs.down_since_s is not None
        )

    def keep_only(self, tags: set[Tag]) -> None:
        """Drop what is known of all other upstreams."""
        self._signs = {tag: sign for tag, sign in self._signs.items() if tag in tags}

    def _note_progress(self, signs: _Signs, reported: Reported) -> None:
        row = reported.row
        if row.progress_age_ms < 0:
            return
        progress_at_s = reported.now_s - row.progress_age_ms / 1000.0
        signs.progress_at_s = max(signs.progress_at_s, progress_at_s)
        if signs.down_since_s is not None and progress_at_s > signs.down_since_s:
            signs.down_since_s = None
            signs.trouble_at_s.clear()
            self._recovered.add(row.tag)

    def _note_trouble(self, signs: _Signs, reported: Reported) -> None:
        row, now_s = reported.row, reported.now_s
        if not row.failed_openings and not row.silent_flows:
            return
        signs.trouble_at_s[reported.host] = now_s
        hosts = sum(
            now_s - trouble_at_s <= TROUBLE_TTL_S
            for trouble_at_s in signs.trouble_at_s.values()
        )
        is_down = hosts >= MIN_HOSTS and now_s - signs.progress_at_s >= MIN_DOWN_S
        if is_down and signs.down_since_s is None:
            signs.down_since_s = now_s
