"""What a host tells its zone of upstreams, and what it hears back."""

from abc import ABC, abstractmethod
from collections.abc import Mapping

from wisteriatiller.ids import Address

from .directory import UpstreamDirectory
from .latencies import LatencyRecorder, LatencyReport
from .slowupstreams import Share, Shares, SlowUpstreamDetector
from .upstreams import Tag


class ShareObserver(ABC):
    """Learns which upstreams stand out in the zone's sums."""

    @abstractmethod
    def share_lowered(self, share: Share) -> None: ...

    @abstractmethod
    def share_restored(self, share: Share) -> None: ...


class ZoneLatencies:
    """One host's part in the sums of its zone: it reports, or it adds up."""

    def __init__(
        self,
        own: Address,
        directory: UpstreamDirectory,
        latencies: LatencyRecorder,
        shares: Shares,
        observer: ShareObserver,
    ):
        self._own = own
        self._latencies = latencies
        self._shares = shares
        self._observer = observer
        self._detector = SlowUpstreamDetector(directory)
        self._reduced: Mapping[Tag, Share] = {}

    def take_report(self) -> LatencyReport:
        """What this host has seen since the last report, for its reader."""
        return self._latencies.take_report()

    def add_report(self, host: Address, report: LatencyReport, now_s: float) -> None:
        """Add the report of a host that follows this one."""
        self._detector.add_report(host, report, now_s)

    def update_shares(self, now_s: float) -> Mapping[Tag, float]:
        """The shares below one, from what the zone and this host have seen."""
        self._detector.add_report(self._own, self._latencies.take_report(), now_s)
        shares = self._detector.reduced_shares(now_s)
        if shares is not self._reduced:
            self._notify_changes(shares)
            self._reduced = shares
        fractions = {share.tag: share.fraction for share in shares.values()}
        self._shares.set(fractions, now_s)
        return fractions

    def apply_shares(self, fractions: Mapping[Tag, float], now_s: float) -> None:
        """Take over the shares that the reader has worked out."""
        self._shares.set(fractions, now_s)

    def _notify_changes(self, shares: Mapping[Tag, Share]) -> None:
        for tag, share in shares.items():
            if tag not in self._reduced:
                self._observer.share_lowered(share)
        for tag, share in self._reduced.items():
            if tag not in shares:
                self._observer.share_restored(share)
