"""Keeps new flows from silent upstreams, but for one trial of the zone each second."""

from collections.abc import Collection, Sequence

from wisteriatiller.ids import Address, UpstreamId

from ..directory import DirectoryEntry
from ..evidence import SilentVerdicts
from ..settings import SteeringSettings
from ..upstreams import Tag


class SilentTrials:
    """Filters silent upstreams out, and tries one if the reader names this host."""

    def __init__(self, settings: SteeringSettings, verdicts: SilentVerdicts):
        self._own: Address = settings.control_listen or settings.ready_listen
        self._verdicts = verdicts
        # The number of the last trial of each upstream at this host.
        self._tried: dict[Tag, int] = {}

    def filter(
        self, sampled: Sequence[DirectoryEntry], now_s: float
    ) -> Sequence[DirectoryEntry]:
        """Return the entries that are not silent, or all if all are."""
        if not self._verdicts.has_any(now_s):
            return sampled
        others = [
            entry
            for entry in sampled
            if self._verdicts.verdict_on(entry, now_s) is None
        ]
        return others or sampled

    def pick(
        self,
        sampled: Sequence[DirectoryEntry],
        excluded: Collection[UpstreamId],
        now_s: float,
    ) -> DirectoryEntry | None:
        """Return a silent upstream that this host has to try with one new flow.

        A flow that another upstream has already delayed is not used as a trial.
        """
        if excluded or not self._verdicts.has_any(now_s):
            self._forget_trials(now_s)
            return None
        for entry in sampled:
            if self._is_due(entry, now_s):
                return entry
        return None

    def _is_due(self, entry: DirectoryEntry, now_s: float) -> bool:
        verdict = self._verdicts.verdict_on(entry, now_s)
        is_named = verdict is not None and verdict.trial_host == self._own
        if not is_named or self._tried.get(entry.tag) == verdict.trial_number:
            return False
        self._tried[entry.tag] = verdict.trial_number
        return True

    def _forget_trials(self, now_s: float) -> None:
        if not self._verdicts.has_any(now_s):
            self._tried.clear()
