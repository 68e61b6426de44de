"""Keeps cold upstreams within the limit that their service sets.

The limit counts the opening packets of all hosts. Each host has a quota of it from the
reader of its zone, and opens no flow at a cold upstream without one.
"""

from collections import deque
from collections.abc import Sequence

from wisteriatiller.ids import FlowKey, ServiceId

from ..directory import DirectoryEntry
from ..evidence import QUOTA_WINDOW_S, FindingsView, cold_until_s
from ..routes import ConfigView
from ..settings import SteeringSettings
from ..upstreams import Tag
from .candidates import hash_fraction

# The reader of a zone names an upstream as down after 1 s without progress, and its
# hosts know that two exchanges and a computation later.
MAX_NAMING_S = 2.5


class WarmupLimit:
    """Counts the opening packets of this host at each cold upstream.

    A quota that was used is free again after a window, so the quotas of all hosts add
    up to the limit in every second, whatever their load and their clocks are.
    """

    def __init__(
        self, settings: SteeringSettings, config: ConfigView, findings: FindingsView
    ):
        self._settings = settings
        self._config = config
        self._findings = findings
        self._sent_at_s: dict[Tag, deque[float]] = {}

    def is_limited(self, entry: DirectoryEntry, now_s: float) -> bool:
        """Whether an upstream is cold and its service limits its new flows."""
        if not self._has_limit(entry.upstream.service):
            return False
        is_named = self._findings.names_quota_of(entry.tag, now_s)
        return is_named or self._is_cold(entry, now_s)

    def allowed(
        self, entries: Sequence[DirectoryEntry], now_s: float
    ) -> Sequence[DirectoryEntry]:
        """The entries of one service that may get an opening packet now."""
        if not entries or not self._has_limit(entries[0].upstream.service):
            return entries
        return [entry for entry in entries if self.allows(entry, now_s)]

    def allows(self, entry: DirectoryEntry, now_s: float) -> bool:
        """Whether an upstream may get an opening packet now, also as a trial.

        One that does not answer may return cold at any moment, before its entry says
        so. Its zone's reader then lends a quota for trials to one host.
        """
        if not self.is_limited(entry, now_s):
            return True
        quota = self._findings.warmup_quota(entry.tag, now_s)
        return self._recent_count(entry.tag, now_s) < quota

    def allows_trial(
        self, entry: DirectoryEntry, suspected_for_s: float, now_s: float
    ) -> bool:
        """Whether a suspect may get an opening packet as this host's own trial.

        Before the reader can have named it as down, many hosts may suspect it at once,
        and each of their trials may find it cold.
        """
        if not self._has_limit(entry.upstream.service):
            return True
        if self.is_limited(entry, now_s):
            return self.allows(entry, now_s)
        return suspected_for_s >= MAX_NAMING_S

    def pick_due(
        self, entries: Sequence[DirectoryEntry], flow: FlowKey, now_s: float
    ) -> DirectoryEntry | None:
        """An upstream of the own zone whose quota this host should use first.

        Few hosts have a quota, and each has few flows. If they used it only for their
        even share of flows, the upstream would be nearly idle.
        """
        if not entries or not self._has_limit(entries[0].upstream.service):
            return None
        zone = self._settings.zone
        due = [
            entry
            for entry in entries
            if entry.upstream.zone == zone and self._is_cold(entry, now_s)
        ]
        return min(due, key=lambda entry: hash_fraction(entry, flow), default=None)

    def record(self, entry: DirectoryEntry, now_s: float) -> None:
        """Count an opening packet, also a retransmitted one."""
        if self.is_limited(entry, now_s):
            self._sent_at_s.setdefault(entry.tag, deque()).append(now_s)

    def _is_cold(self, entry: DirectoryEntry, now_s: float) -> bool:
        warmup = self._config.warmup_of(entry.upstream.service)
        return now_s < cold_until_s(entry, warmup)

    def _has_limit(self, service: ServiceId) -> bool:
        if not self._settings.uses_zone_findings:
            return False
        warmup = self._config.warmup_of(service)
        return warmup is not None and warmup.flows_per_s > 0

    def _recent_count(self, tag: Tag, now_s: float) -> int:
        sent_at_s = self._sent_at_s.get(tag)
        if sent_at_s is None:
            return 0
        while sent_at_s and now_s - sent_at_s[0] >= QUOTA_WINDOW_S:
            sent_at_s.popleft()
        if not sent_at_s:
            del self._sent_at_s[tag]
        return len(sent_at_s)
