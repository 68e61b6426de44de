"""A host's part in what the hosts of a zone find out together."""

from abc import abstractmethod
from collections.abc import Callable, Mapping

from wisteriatiller.ids import Address, ZoneId

from ..directory import UpstreamDirectory
from ..routes import ConfigView
from ..settings import SteeringSettings
from ..upstreams import Tag
from .findings import FINDINGS_TTL_S, FindingsView, SilentUpstream, ZoneFindings
from .reports import HostReport, UpstreamRecorder
from .silentupstreams import (
    PROGRESS_TOLERANCE_S,
    SilenceObserver,
    SilentUpstreamDetector,
)
from .slowupstreams import Share, SlowUpstreamDetector
from .upstreamweights import UpstreamWeights
from .warmup import PaceObserver, WarmupPacer
from .warmupquotas import Demand, KnownHosts, WarmupQuotas
from .zoneloads import ZoneLoads

# Reports arrive several times a second, and the findings need not change that often.
RECOMPUTE_INTERVAL_S = 0.3
NO_KNOWN_HOSTS = KnownHosts(1, frozenset())
# Silent upstreams cost requests for as long as they are not known.
SILENCE_INTERVAL_S = 0.1


class ShareObserver(SilenceObserver, PaceObserver):
    """Is also notified when the share of a slow upstream is lowered or restored."""

    @abstractmethod
    def share_lowered(self, share: Share) -> None: ...

    @abstractmethod
    def share_restored(self, share: Share) -> None: ...


class ZoneEvidence:
    """Reports to the zone's reader, or computes the findings if this host reads.

    A host with a reader reports to it and applies its findings. A host that reads the
    store itself aggregates the reports of the hosts that follow it.
    """

    def __init__(
        self,
        settings: SteeringSettings,
        own: Address,
        directory: UpstreamDirectory,
        recorder: UpstreamRecorder,
        findings: FindingsView,
        observer: ShareObserver,
        config: ConfigView,
    ):
        self._settings = settings
        self._own = own
        self._directory = directory
        self._recorder = recorder
        self._findings = findings
        self._observer = observer
        self._slow = SlowUpstreamDetector(directory)
        self._silences = SilentUpstreamDetector(settings.zone, directory, observer)
        self._loads = ZoneLoads(settings.zone, directory)
        self._weights = UpstreamWeights(settings.zone, directory)
        self._pacer = WarmupPacer(settings.zone, directory, config, observer)
        self._quotas = WarmupQuotas(settings, own, directory, config)
        self.known_hosts: Callable[[], KnownHosts] = lambda: NO_KNOWN_HOSTS
        self._lowered: Mapping[Tag, Share] = {}
        self._computed = ZoneFindings()
        self._computed_at_s = self._judged_at_s = float("-inf")
        # When this host last applied the findings of another one.
        self._followed_at_s = float("-inf")
        # The silent upstreams of each other zone, by its own reader, and when told.
        self._silent_elsewhere: dict[
            ZoneId, tuple[float, tuple[SilentUpstream, ...]]
        ] = {}

    def take_report(self, now_s: float) -> HostReport:
        """What this host has seen since its last report, for its reader."""
        return self._recorder.take_report(now_s)

    def add_report(self, host: Address, report: HostReport, now_s: float) -> None:
        """Aggregate the report of a host that follows this one."""
        self._slow.add_report(host, report, now_s)
        if self._settings.uses_zone_findings:
            self._loads.add_report(host, report, now_s)
            self._weights.add_report(host, report, now_s)
            self._pacer.add_report(host, report, now_s)
            if report:
                self._quotas.add_host(host, now_s)
            self._silences.add_report(host, report, now_s)

    def set_foreign_findings(
        self, zone: ZoneId, findings: ZoneFindings, now_s: float
    ) -> None:
        """Take over what the hosts of another zone have found out of their own zone."""
        self._loads.set_foreign(zone, findings.loads, now_s)
        own = tuple(
            silent
            for silent in findings.silent_upstreams
            if self._zone_of(silent.tag) == zone
        )
        self._silent_elsewhere[zone] = (now_s, own)

    def is_following(self, now_s: float) -> bool:
        """Whether this host has applied the findings of another one a moment ago."""
        return now_s - self._followed_at_s < FINDINGS_TTL_S

    def update_findings(self, now_s: float) -> ZoneFindings:
        """Compute the findings from the reports of the zone.

        They are applied here, unless this host has applied those of another one, to
        which it has reported, a short time ago.
        """
        if now_s - self._computed_at_s < RECOMPUTE_INTERVAL_S:
            return self._with_newer_silences(now_s)
        self._computed_at_s = now_s
        is_following = self.is_following(now_s)
        if not is_following:
            self.add_report(self._own, self._recorder.take_report(now_s), now_s)
        self._computed = self._compute(now_s)
        if not is_following:
            demand = Demand(
                self._computed.shares,
                self._computed.loads,
                self._pacer.returned(now_s),
                self._pacer.down(),
            )
            self._quotas.read(demand, self.known_hosts(), now_s)
            self._findings.set(self.findings_for(self._own, now_s), now_s)
        return self._computed

    def findings_for(self, host: Address, now_s: float) -> ZoneFindings:
        """The computed findings, with the quotas of one host of the zone."""
        if not self._settings.uses_zone_findings:
            return self._computed
        quotas = self._quotas.quotas_of(host, self.known_hosts(), now_s)
        return self._computed._replace(warmup_quotas=quotas)

    def apply_findings(self, findings: ZoneFindings, now_s: float) -> None:
        """Apply the findings that another host has computed."""
        self._findings.set(findings, now_s)
        if self._settings.uses_zone_findings:
            self._followed_at_s = now_s
            self._quotas.follow(self.known_hosts(), now_s)

    def _compute(self, now_s: float) -> ZoneFindings:
        lowered = self._slow.reduced_shares(now_s)
        if lowered is not self._lowered:
            self._notify_changes(lowered)
            self._lowered = lowered
        shares = {share.tag: share.fraction for share in lowered.values()}
        if not self._settings.uses_zone_findings:
            return ZoneFindings(shares)
        in_force = self._findings.current(now_s).shares
        _lower_shares(shares, self._weights.shares(now_s))
        _lower_shares(shares, self._pacer.shares(in_force, now_s))
        return self._with_silences(ZoneFindings(shares), now_s)

    def _with_newer_silences(self, now_s: float) -> ZoneFindings:
        """The computed findings, with silent upstreams that are judged more often."""
        is_due = now_s - self._judged_at_s >= SILENCE_INTERVAL_S
        if is_due and self._settings.uses_zone_findings:
            self._computed = self._with_silences(self._computed, now_s)
        return self._computed

    def _with_silences(self, findings: ZoneFindings, now_s: float) -> ZoneFindings:
        self._judged_at_s = now_s
        self._silences.update(now_s)
        silent = (
            *self._silences.silent_upstreams(now_s),
            *self._silent_in_other_zones(now_s),
        )
        tags = frozenset(upstream.tag for upstream in silent)
        return findings._replace(
            silent=tags,
            loads=self._loads.rows(now_s, tags),
            silent_upstreams=silent,
        )

    def _silent_in_other_zones(self, now_s: float) -> tuple[SilentUpstream, ...]:
        """The silent upstreams of other zones, but for those that answer this one."""
        aged = (
            silent._replace(
                silent_ms=silent.silent_ms + round(1000.0 * (now_s - told_at_s))
            )
            for told_at_s, upstreams in self._silent_elsewhere.values()
            for silent in upstreams
            if now_s - told_at_s <= FINDINGS_TTL_S
        )
        return tuple(
            silent for silent in aged if not self._has_answered_since(silent, now_s)
        )

    def _has_answered_since(self, silent: SilentUpstream, now_s: float) -> bool:
        """Whether a host of this zone has seen progress of it in its silence."""
        silent_since_s = now_s - silent.silent_ms / 1000.0
        progress_at_s = self._silences.progress_at_s(silent.tag)
        return progress_at_s > silent_since_s + PROGRESS_TOLERANCE_S

    def _zone_of(self, tag: Tag) -> ZoneId | None:
        entry = self._directory.by_tag(tag)
        return None if entry is None else entry.upstream.zone

    def _notify_changes(self, lowered: Mapping[Tag, Share]) -> None:
        for tag, share in lowered.items():
            if tag not in self._lowered:
                self._observer.share_lowered(share)
        for tag, share in self._lowered.items():
            if tag not in lowered:
                self._observer.share_restored(share)


def _lower_shares(shares: dict[Tag, float], others: Mapping[Tag, float]) -> None:
    """Lower shares to those of another reason; the lowest applies."""
    for tag, fraction in others.items():
        shares[tag] = min(fraction, shares.get(tag, 1.0))
