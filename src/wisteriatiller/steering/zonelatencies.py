"""Reports response times to the zone's reader and applies the shares it returns."""

from abc import ABC, abstractmethod
from collections.abc import Mapping

from wisteriatiller.ids import Address

from .directory import UpstreamDirectory
from .latencies import LatencyRecorder, LatencyReport
from .slowupstreams import Share, Shares, SlowUpstreamDetector
from .upstreams import Tag


class ShareObserver(ABC):
    """Is notified when the share of a slow upstream is lowered or restored."""

    @abstractmethod
    def share_lowered(self, share: Share) -> None: ...

    @abstractmethod
    def share_restored(self, share: Share) -> None: ...


class ZoneLatencies:
    """A host's part in detecting slow upstreams.

    A host with a reader reports its response times to it. A host that reads the store
    itself aggregates the reports of the hosts that follow it.
    """

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
        """The response times since the last report, for this host's reader."""
        return self._latencies.take_report()

    def add_report(self, host: Address, report: LatencyReport, now_s: float) -> None:
        """Aggregate the report of a host that follows this one."""
        self._detector.add_report(host, report, now_s)

    def update_shares(self, now_s: float) -> Mapping[Tag, float]:
        """Compute and apply the reduced shares from the reports of the zone."""
        self._detector.add_report(self._own, self._latencies.take_report(), now_s)
        shares = self._detector.reduced_shares(now_s)
        if shares is not self._reduced:
            self._notify_changes(shares)
            self._reduced = shares
        fractions = {share.tag: share.fraction for share in shares.values()}
        self._shares.set(fractions, now_s)
        return fractions

    def apply_shares(self, fractions: Mapping[Tag, float], now_s: float) -> None:
        """Apply the reduced shares that the reader has computed."""
        self._shares.set(fractions, now_s)

    def _notify_changes(self, shares: Mapping[Tag, Share]) -> None:
        for tag, share in shares.items():
            if tag not in self._reduced:
                self._observer.share_lowered(share)
        for tag, share in self._reduced.items():
            if tag not in shares:
                self._observer.share_restored(share)
