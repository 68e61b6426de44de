"""What a host tells its zone of upstreams, and what it hears back."""

from abc import ABC, abstractmethod
from collections.abc import Mapping

from wisteriatiller.ids import Address

from .directory import UpstreamDirectory
from .observations import Observations, Report
from .upstreams import Tag
from .zonesums import Share, Shares, ZoneSums


class ZoneObserver(ABC):
    """Learns which upstreams stand out in the zone's sums."""

    @abstractmethod
    def share_lowered(self, share: Share) -> None: ...

    @abstractmethod
    def share_restored(self, share: Share) -> None: ...


class ZoneEvidence:
    """One host's part in the sums of its zone: it reports, or it adds up."""

    def __init__(
        self,
        own: Address,
        directory: UpstreamDirectory,
        observations: Observations,
        shares: Shares,
        observer: ZoneObserver,
    ):
        self._own = own
        self._observations = observations
        self._shares = shares
        self._observer = observer
        self._sums = ZoneSums(directory)
        self._known: Mapping[Tag, Share] = {}

    def report(self) -> Report:
        """What this host has seen since the last report, for its reader."""
        return self._observations.take()

    def collect(self, host: Address, report: Report, now_s: float) -> None:
        """Add the report of a host that follows this one."""
        self._sums.add(host, report, now_s)

    def judge(self, now_s: float) -> Mapping[Tag, float]:
        """The shares below one, from what the zone and this host have seen."""
        self._sums.add(self._own, self._observations.take(), now_s)
        shares = self._sums.shares(now_s)
        if shares is not self._known:
            self._tell_changes(shares)
            self._known = shares
        parts = {share.tag: share.part for share in shares.values()}
        self._shares.set(parts, now_s)
        return parts

    def heard(self, parts: Mapping[Tag, float], now_s: float) -> None:
        """Take over the shares that the reader has worked out."""
        self._shares.set(parts, now_s)

    def _tell_changes(self, shares: Mapping[Tag, Share]) -> None:
        for tag, share in shares.items():
            if tag not in self._known:
                self._observer.share_lowered(share)
        for tag, share in self._known.items():
            if tag not in shares:
                self._observer.share_restored(share)
