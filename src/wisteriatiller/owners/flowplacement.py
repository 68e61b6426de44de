"""Placement of new flows and of flows whose upstream died."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass

from wisteriatiller.configuration import ConfigSource, Service, Upstream
from wisteriatiller.foundation import Environment, spawn
from wisteriatiller.ids import FlowKey, UpstreamId
from wisteriatiller.outcomes import OutcomeUnknown, Reason, Refused
from wisteriatiller.requests import EXCHANGE_LIFETIME_S

from .flowmessages import Forward
from .flowopening import FlowOpener
from .flows import FlowRecord, FlowState
from .homes import HomeResolver
from .replies import CallerReplies
from .shard import OwnedShard


@dataclass(frozen=True, slots=True)
class FlowRoutes:
    """How datagrams go on after placement.

    ``route`` serves a datagram by its flow's record. ``relay`` routes it to another
    upstream.
    """

    route: Callable[[Forward], None]
    relay: Callable[..., None]


class FlowPlacer:
    """Creates the flow's record and routes the datagrams that waited for it.

    Where the choice needs answers of other owners, the flow's datagrams wait in
    ``OwnedShard.pending_opens``.
    """

    def __init__(
        self,
        environment: Environment,
        source: ConfigSource,
        homes: HomeResolver,
        opener: FlowOpener,
        replies: CallerReplies,
        routes: FlowRoutes,
    ):
        self._clock = environment.clock
        self._source = source
        self._homes = homes
        self._opener = opener
        self._replies = replies
        self._routes = routes

    def open(
        self,
        owned: OwnedShard,
        forward: Forward,
        service: Service,
        upstream: Upstream,
    ) -> None:
        """Open a flow of which this shard has no record."""
        flow_key = FlowKey(forward.flow_key)
        if flow_key in owned.pending_opens:
            owned.pending_opens[flow_key].append(forward)
            return
        if forward.pinned:
            owned.flows.put(flow_key, self._new_record(owned, upstream.upstream_id))
            self._routes.route(forward)
            return
        home = self._homes.reachable_home(service.service_id, flow_key)
        if home is None:
            self._refuse_unknown_flow(owned, forward, Reason.NO_UPSTREAM)
        elif home != upstream.upstream_id:
            self._routes.relay(
                forward, home, pinned=False, declined_by=upstream.upstream_id
            )
        else:
            self._open_at_home(owned, forward, service)

    def reassign_lost(
        self, owned: OwnedShard, forward: Forward, service: Service
    ) -> None:
        """Place a flow whose upstream died on another upstream."""
        flow_key = FlowKey(forward.flow_key)
        if flow_key in owned.pending_opens:
            owned.pending_opens[flow_key].append(forward)
            return
        owned.flows.remove(flow_key)
        self._open_after_calls(
            owned, forward, self._choose_for_lost(owned, forward, service)
        )

    def _refuse_unknown_flow(
        self, owned: OwnedShard, forward: Forward, reason: Reason
    ) -> None:
        """Answer a request of a flow that is not known and cannot be opened.

        While the former owner's records are missing, the request may have run.
        """
        if self._clock.now_s() < owned.uncertain_until_s:
            self._replies.answer_unknown(forward, OutcomeUnknown(reason))
        else:
            self._replies.refuse(forward, Refused(reason))

    def _open_at_home(
        self, owned: OwnedShard, forward: Forward, service: Service
    ) -> None:
        """Open a flow at once if no other owner has to be asked, else after that."""
        flow_key = FlowKey(forward.flow_key)
        if self._is_home(forward, service) and not self._opener.needs_claims(
            forward, service
        ):
            chosen = self._opener.choose(forward, service)
            if self._is_local(owned, chosen):
                owned.flows.put(flow_key, self._new_record(owned, chosen))
                self._routes.route(forward)
                return
        self._open_after_calls(
            owned, forward, self._claim_and_choose(owned, forward, service)
        )

    def _open_after_calls(
        self,
        owned: OwnedShard,
        forward: Forward,
        pending_record: Coroutine[None, None, FlowRecord | OutcomeUnknown],
    ) -> None:
        """Open a flow when other owners have answered; its datagrams wait for that."""
        owned.pending_opens[FlowKey(forward.flow_key)] = [forward]
        spawn(self._finish_open(owned, forward, pending_record), "open flow")

    async def _finish_open(
        self,
        owned: OwnedShard,
        forward: Forward,
        pending_record: Coroutine[None, None, FlowRecord | OutcomeUnknown],
    ) -> None:
        """Store the new record, then route or answer the datagrams that waited."""
        flow_key = FlowKey(forward.flow_key)
        try:
            outcome = await pending_record
        finally:
            waiting = owned.pending_opens.pop(flow_key)
        if isinstance(outcome, OutcomeUnknown):
            for item in waiting:
                self._replies.answer_unknown(item, outcome)
            return
        if owned.flows.get(flow_key) is None:
            owned.flows.put(flow_key, outcome)
        for item in waiting:
            self._routes.route(item)

    async def _claim_and_choose(
        self, owned: OwnedShard, forward: Forward, service: Service
    ) -> FlowRecord | OutcomeUnknown:
        """Claim the flow at its earlier homes; if none has it open, place it."""
        earlier = await self._opener.claim_at_earlier_homes(forward, service)
        if isinstance(earlier, OutcomeUnknown):
            return earlier
        if earlier.open_on is not None:
            if earlier.open_on not in self._source.configuration.upstreams:
                # The other owner has a newer revision, which soon reaches this host.
                return OutcomeUnknown(Reason.CLAIM_UNANSWERED)
            return self._new_record(owned, earlier.open_on)
        certain = earlier.certain and self._is_home(forward, service)
        return await self._choose(owned, forward, service, certain)

    async def _choose_for_lost(
        self, owned: OwnedShard, forward: Forward, service: Service
    ) -> FlowRecord:
        """Choose another upstream for a flow that was open in this shard."""
        record = await self._choose(owned, forward, service, certain=True)
        record.was_open_here = True
        return record

    async def _choose(
        self, owned: OwnedShard, forward: Forward, service: Service, certain: bool
    ) -> FlowRecord:
        """Choose an upstream and have its owner open the flow.

        If another shard's owner does not open it, the flow is opened on the upstream
        of the datagram. A flow that is not ``certain`` may have had requests elsewhere.
        """
        chosen = self._opener.choose(forward, service)
        if not self._is_local(owned, chosen):
            if await self._opener.open_remote(forward, chosen, certain):
                return self._new_record(owned, chosen)
            chosen = UpstreamId(forward.upstream_id)
        record = self._new_record(owned, chosen)
        if not certain:
            record.uncertain_until_s = self._clock.now_s() + EXCHANGE_LIFETIME_S
        return record

    def _new_record(self, owned: OwnedShard, upstream_id: UpstreamId) -> FlowRecord:
        """A new record of a flow that is open on an upstream of any shard."""
        now_s = self._clock.now_s()
        if self._is_local(owned, upstream_id):
            return FlowRecord(
                FlowState.OPEN, upstream_id, now_s, owned.uncertain_until_s
            )
        return FlowRecord(FlowState.ELSEWHERE, upstream_id, now_s)

    def _is_home(self, forward: Forward, service: Service) -> bool:
        """Whether the datagram's upstream is the flow's home and no stand-in."""
        home = self._homes.home(service.service_id, FlowKey(forward.flow_key))
        return home == forward.upstream_id

    def _is_local(self, owned: OwnedShard, upstream_id: UpstreamId) -> bool:
        """Whether the upstream belongs to this shard."""
        configuration = self._source.configuration
        upstream = configuration.upstreams[upstream_id]
        return configuration.shard_of(upstream) == owned.shard
