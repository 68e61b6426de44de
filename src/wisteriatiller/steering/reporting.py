"""Writes log lines and counters for decisions and state changes."""

from collections.abc import Iterable, Sequence

from wisteriatiller.ids import NO_EPOCH, Address, StoreEpoch, UpstreamId, ZoneId
from wisteriatiller.telemetry import Counters, EventLog

from .directory import DirectoryEntry, UpstreamChange, UpstreamDirectory
from .evacuation import EvacuationView
from .evidence import EndReason, PaceChange, Share, ShareObserver, Silence
from .flowtable import Flow
from .packets import (
    Discard,
    FlowReset,
    LossEvidence,
    OverloadEvidence,
    Packet,
    RefusalReason,
    Refuse,
    SilenceEvidence,
    format_flow,
)
from .ports import ConfigInvalid, StoreFailure
from .routes import ConfigVersion, ConfigView, Route
from .sharing import Source
from .steering import SteeringObserver
from .storepolling import LOST_AFTER_FAILURES, StateObserver
from .upstreams import OutdatedPages

# A flow that takes longer to open has probably lost a packet.
SLOW_OPENING_S = 0.15
# Requests that take longer are logged; most take less than a tenth of this.
SLOW_ANSWER_S = 0.5
# Limits the lines of one listing: the first one may change thousands of upstreams.
MAX_CHANGE_LINES = 40
# A store that answers with older listings may do so for many polls.
REJECTION_LOG_INTERVAL_S = 5.0
# Limits the lines about keys that name no zone; any program may write such keys.
MAX_IGNORED_KEYS = 40
# Upstreams of a whole zone may warm up at once, each in several steps. The counters
# count all steps.
MAX_PACE_LINES = 60
PACE_LINES_INTERVAL_S = 10.0


class _LineLimit:
    """Allows a number of lines in each interval."""

    def __init__(self, lines: int, interval_s: float):
        self._lines = lines
        self._interval_s = interval_s
        self._begun_at_s = float("-inf")
        self._taken = 0

    def take(self, now_s: float) -> bool:
        """Whether one more line may be written."""
        if now_s - self._begun_at_s >= self._interval_s:
            self._begun_at_s, self._taken = now_s, 0
        self._taken += 1
        return self._taken <= self._lines


class Reporter(SteeringObserver, StateObserver, ShareObserver):
    """Logs and counts the decisions of steering and the changes of its state."""

    def __init__(
        self,
        log: EventLog,
        counters: Counters,
        view: ConfigView,
        directory: UpstreamDirectory,
        now_s,
    ):
        self._log = log
        self._counters = counters
        self._view = view
        self._directory = directory
        self._now_s = now_s
        self._lost_calls: set[str] = set()
        self._store_epoch = NO_EPOCH
        self._rejection_logged_at_s = float("-inf")
        self._pace_lines = _LineLimit(MAX_PACE_LINES, PACE_LINES_INTERVAL_S)
        self._ignored_keys: set[str] = set()
        self.on_unknown_tag = lambda: None

    def flow_placed(
        self, packet: Packet, route: Route, entry: DirectoryEntry, reason: str
    ) -> None:
        self._counters.count("flows_placed", reason)
        if reason == "overflow":
            self._counters.count("flows_overflowed", entry.upstream.zone)
        self._log.flow_event(
            "flow_placed",
            flow=format_flow(packet.flow),
            route=route.name,
            upstream=entry.upstream.upstream_id,
            zone=entry.upstream.zone,
            copy=packet.retransmit_count,
            reason=reason,
            **self._state_fields(),
        )

    def flow_established(self, flow: Flow, waited_s: float) -> None:
        self._counters.observe_ms("flow_opening", 1000.0 * waited_s)
        if waited_s > SLOW_OPENING_S:
            self._log.flow_event(
                "flow_opened_late",
                flow=format_flow(flow.key),
                upstream=flow.upstream_id,
                tried=",".join(flow.tried),
                waited_ms=round(1000.0 * waited_s),
            )

    def request_answered(self, flow: Flow, waited_s: float) -> None:
        self._counters.observe_ms("request_answer", 1000.0 * waited_s)
        if waited_s > SLOW_ANSWER_S:
            self._log.flow_event(
                "request_answered_late",
                flow=format_flow(flow.key),
                upstream=flow.upstream_id,
                waited_ms=round(1000.0 * waited_s),
            )

    def packet_refused(self, packet: Packet, refusal: Refuse) -> None:
        self._counters.count("packets_refused", refusal.reason.value)
        if refusal.reason is RefusalReason.UPSTREAM_SILENT:
            self._counters.count("flows_reset_silent", "on_request")
        evidence = {}
        if isinstance(refusal.evidence, OverloadEvidence):
            priority = f"priority_{refusal.evidence.priority}"
            self._counters.count("overload_refusals", priority)
            evidence = _overload_fields(refusal.evidence)
        elif refusal.evidence is not None:
            evidence = _evidence_fields(refusal.evidence)
        elif refusal.reason is RefusalReason.ZONE_EVACUATED:
            evidence = {"evacuated": _names(self._directory.evacuated_zones)}
        self._log_dropped_packet(
            "flow_refused", packet, refusal.reason.value, **evidence
        )

    def flow_reset(self, reset: FlowReset) -> None:
        self._counters.count("flows_reset_silent", "unasked")
        self._log.flow_event(
            "flow_refused",
            flow=format_flow(reset.flow),
            reason=RefusalReason.UPSTREAM_SILENT.value,
            kind="unasked",
            **_evidence_fields(reset.evidence),
            **self._state_fields(),
        )

    def packet_discarded(self, packet: Packet, discard: Discard) -> None:
        self._counters.count("packets_discarded", discard.reason.value)
        self._log_dropped_packet("packet_discarded", packet, discard.reason.value)

    def upstream_suspected(self, upstream_id: UpstreamId, flows: int) -> None:
        self._counters.count("upstreams_suspected")
        self._log.event("upstream_suspected", upstream=upstream_id, flows=flows)

    def upstream_trusted(self, upstream_id: UpstreamId) -> None:
        self._counters.count("upstreams_trusted")
        self._log.event("upstream_trusted", upstream=upstream_id)

    def admission_limited(self, evidence: OverloadEvidence) -> None:
        self._counters.count("admission_limits")
        self._log.event("admission_limited", **_overload_fields(evidence))

    def admission_unlimited(self, evidence: OverloadEvidence) -> None:
        self._log.event("admission_unlimited", **_overload_fields(evidence))

    def share_lowered(self, share: Share) -> None:
        self._counters.count("shares_lowered")
        self._log_share("upstream_share_lowered", share)

    def share_restored(self, share: Share) -> None:
        self._counters.count("shares_restored")
        self._log_share("upstream_share_restored", share)

    def pace_changed(self, change: PaceChange) -> None:
        self._counters.count("pace_changes", change.reason.value)
        if not self._pace_lines.take(self._now_s()):
            return
        self._log.event(
            "upstream_pace_changed",
            upstream=change.upstream_id,
            share=round(change.share, 3),
            samples=change.samples,
            reason=change.reason.value,
            **self._state_fields(),
        )

    def upstream_silent(self, silence: Silence) -> None:
        self._counters.count("upstreams_silent")
        self._log_silence("upstream_silent", silence, silence.decided_at_s)

    def upstream_answers_again(
        self, silence: Silence, reason: EndReason, now_s: float
    ) -> None:
        self._counters.count("silences_ended", reason.value)
        self._log_silence("upstream_answers_again", silence, now_s, reason=reason.value)

    def unknown_tag_received(self) -> None:
        self.on_unknown_tag()

    def config_applied(
        self, view: ConfigView, source: str, unconfirmed_s: float | None
    ) -> None:
        self._counters.count("config_applied")
        if unconfirmed_s is not None:
            self._counters.observe_ms("config_unconfirmed", 1000.0 * unconfirmed_s)
        self._log.event(
            "config_applied",
            config_version=view.version,
            routes=len(view.config.routes),
            source=source,
            unconfirmed_ms=_to_ms(unconfirmed_s),
        )

    def config_named(
        self, version: ConfigVersion, peer: Address, is_deferred: bool
    ) -> None:
        self._counters.count("config_named")
        self._log.event(
            "config_named",
            config_version=version,
            source=f"peer {peer}",
            waits=str(is_deferred).lower(),
            config_known=self._view.version,
        )

    def config_invalid(self, answer: ConfigInvalid) -> None:
        self._counters.count("config_invalid")
        self._log.event(
            "config_invalid",
            epoch=answer.position.epoch,
            revision=answer.position.revision,
            detail=answer.detail,
            config_version=self._view.version,
        )

    def evacuations_applied(
        self, view: EvacuationView, source: str, unconfirmed_s: float | None
    ) -> None:
        self._counters.count("evacuations_applied")
        self._log.event(
            "evacuations_applied",
            zones=_names(view.in_force),
            retained=_names(view.retained),
            epoch=view.position.epoch,
            revision=view.position.revision,
            source=source,
            unconfirmed_ms=_to_ms(unconfirmed_s),
        )

    def evacuation_keys_ignored(self, keys: Sequence[str]) -> None:
        """Log each key once; the number of those that are remembered is limited."""
        for key in keys:
            is_logged = key in self._ignored_keys
            if not is_logged and len(self._ignored_keys) < MAX_IGNORED_KEYS:
                self._ignored_keys.add(key)
                self._log.event("evacuation_key_ignored", key=ascii(key))

    def directory_applied(self, changes: list[UpstreamChange], source: str) -> None:
        for change in changes:
            self._counters.count("upstreams_changed", change.presence.value)
        for change in changes[:MAX_CHANGE_LINES]:
            self._log.event(
                "upstream_changed",
                upstream=change.upstream.upstream_id,
                service=change.upstream.service,
                address=change.upstream.address,
                zone=change.upstream.zone,
                presence=change.presence.value,
                state=change.upstream.state.value,
                cold_for_ms=change.upstream.cold_for_ms,
                revision=self._directory.position.revision,
                source=source,
            )
        if len(changes) > MAX_CHANGE_LINES:
            self._log.event(
                "upstreams_changed",
                count=len(changes),
                lines_left_out=len(changes) - MAX_CHANGE_LINES,
                revision=self._directory.position.revision,
                source=source,
            )

    def store_failed(
        self, call: str, failure: StoreFailure, failures: int, waited_s: float
    ) -> None:
        self._counters.count("store_failures", failure.reason.value)
        if failures > LOST_AFTER_FAILURES:
            return
        if failures == LOST_AFTER_FAILURES:
            self._lost_calls.add(call)
        self._log.event(
            "store_lost" if failures == LOST_AFTER_FAILURES else "store_call_failed",
            call=call,
            reason=failure.reason.value,
            detail=failure.detail,
            waited_ms=_to_ms(waited_s),
            **self._state_fields(),
        )

    def store_answered(self, call: str, waited_s: float, epoch: StoreEpoch) -> None:
        self._counters.observe_ms(f"store_{call}", 1000.0 * waited_s)
        if epoch != self._store_epoch:
            self._report_epoch(call, epoch)
        if call in self._lost_calls:
            self._lost_calls.discard(call)
            self._log.event("store_regained", call=call, **self._state_fields())

    def _report_epoch(self, call: str, epoch: StoreEpoch) -> None:
        """Log a newer epoch once, and each answer of an older one."""
        is_newer = epoch > self._store_epoch
        self._counters.count("store_epochs", "newer" if is_newer else "older")
        self._log.event(
            "store_epoch_changed" if is_newer else "store_answer_outdated",
            call=call,
            epoch=epoch,
            known_epoch=self._store_epoch,
            **self._state_fields(),
        )
        self._store_epoch = max(epoch, self._store_epoch)

    def listing_rejected(self, outdated: OutdatedPages, source: str) -> None:
        part = "whole" if outdated.is_whole else "pages"
        self._counters.count("listings_rejected", part)
        now_s = self._now_s()
        if now_s - self._rejection_logged_at_s < REJECTION_LOG_INTERVAL_S:
            return
        self._rejection_logged_at_s = now_s
        self._log.event(
            "listing_rejected",
            part=part,
            epoch=outdated.position.epoch,
            revision=outdated.position.revision,
            known_epoch=outdated.known_position.epoch,
            known_revision=outdated.known_position.revision,
            source=source,
            **self._state_fields(),
        )

    def listing_overdue(self, age_s: float) -> None:
        self._counters.count("listings_overdue")
        self._log.event(
            "listing_overdue", confirmed_age_ms=_to_ms(age_s), **self._state_fields()
        )

    def source_changed(self, source: Source, reason: str) -> None:
        """Log that the host now reads the store itself, or follows a reader."""
        self._counters.count("source_changes", source.value)
        self._log.event(
            "source_changed", source=source.value, reason=reason, **self._state_fields()
        )

    def _log_share(self, event: str, share: Share) -> None:
        self._log.event(
            event,
            upstream=share.upstream_id,
            part=round(share.fraction, 3),
            median_class=share.median_bucket,
            samples=share.samples,
            hosts=share.hosts,
            **self._state_fields(),
        )

    def _log_silence(
        self, event: str, silence: Silence, now_s: float, **fields: object
    ) -> None:
        self._log.event(
            event,
            upstream=silence.upstream_id,
            service=silence.service,
            started_ms=silence.started_ms,
            hosts=silence.hosts,
            flows=silence.flows,
            failed_openings=silence.failed_openings,
            silent_ms=_to_ms(now_s - silence.quiet_since_s),
            **fields,
            **self._state_fields(),
        )

    def _log_dropped_packet(
        self, event: str, packet: Packet, reason: str, **fields: object
    ) -> None:
        self._log.flow_event(
            event,
            flow=format_flow(packet.flow),
            reason=reason,
            kind=packet.kind.value,
            tag=packet.tag,
            **fields,
            **self._state_fields(),
        )

    def _state_fields(self) -> dict[str, object]:
        """The versions and ages of the state that decisions are based on."""
        now_s = self._now_s()
        return {
            "config_version": self._view.version,
            "config_age_ms": _to_ms(self._view.age_s(now_s)),
            "directory_epoch": self._directory.position.epoch,
            "directory_revision": self._directory.position.revision,
            "directory_age_ms": _to_ms(self._directory.age_s(now_s)),
        }


def _evidence_fields(evidence: LossEvidence | SilenceEvidence) -> dict[str, object]:
    if isinstance(evidence, SilenceEvidence):
        return _silence_fields(evidence)
    is_ever_heard = evidence.silent_s < float("inf")
    return {
        "upstream": evidence.upstream_id,
        "left": str(evidence.has_left).lower(),
        "missing_ms": _to_ms(evidence.missing_s),
        "repeats": evidence.repeats,
        "silent_ms": _to_ms(evidence.silent_s if is_ever_heard else None),
    }


def _names(zones: Iterable[ZoneId]) -> str:
    return ",".join(sorted(zones))


def _overload_fields(evidence: OverloadEvidence) -> dict[str, object]:
    wait_s = evidence.expected_wait_s
    return {
        "service": evidence.service,
        "route": evidence.route,
        "priority": evidence.priority,
        "in_flight": evidence.in_flight,
        "slots": evidence.slots,
        "expected_wait_ms": "unknown" if wait_s is None else _to_ms(wait_s),
        "probability": round(evidence.probability, 3),
        "loads_age_ms": _to_ms(evidence.age_s),
    }


def _silence_fields(evidence: SilenceEvidence) -> dict[str, object]:
    own_silent_s = evidence.own_silent_s
    return {
        "upstream": evidence.upstream_id,
        "started_ms": evidence.started_ms,
        "silent_ms": _to_ms(evidence.silent_s),
        "own_silent_ms": _to_ms(own_silent_s if own_silent_s < float("inf") else None),
        "pending_ms": "none"
        if evidence.pending_s is None
        else _to_ms(evidence.pending_s),
    }


def _to_ms(age_s: float | None) -> int | str:
    return "never" if age_s is None else round(1000.0 * age_s)
