"""Places flows that the owner of their home does not know yet, or not any more."""

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
    """Where datagrams go on: ``route`` to their flow, ``relay`` to another home."""

    route: Callable[[Forward], None]
    relay: Callable[..., None]


class FlowPlacer:
    """Puts a record of the flow into the shard, then routes what waited for it."""

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
        """Open a flow that this shard does not know."""
        flow_key = FlowKey(forward.flow_key)
        if flow_key in owned.opening:
            owned.opening[flow_key].append(forward)
            return
        if forward.pinned:
            owned.flows.put(flow_key, self._record(owned, upstream.upstream_id))
            self._routes.route(forward)
            return
        home = self._homes.reachable_home(service.service_id, flow_key)
        if home is None:
            self._refuse_new(owned, forward, Reason.NO_UPSTREAM)
        elif home != upstream.upstream_id:
            self._routes.relay(
                forward, home, pinned=False, declined_by=upstream.upstream_id
            )
        else:
            self._open_at_home(owned, forward, service)

    def place_lost(self, owned: OwnedShard, forward: Forward, service: Service) -> None:
        """Choose another upstream for a flow that was lost with its upstream."""
        flow_key = FlowKey(forward.flow_key)
        if flow_key in owned.opening:
            owned.opening[flow_key].append(forward)
            return
        owned.flows.remove(flow_key)
        self._open_later(owned, forward, self._choose_anew(owned, forward, service))

    def _refuse_new(self, owned: OwnedShard, forward: Forward, reason: Reason) -> None:
        """Refuse a flow that is not known here; it may be while records are missing."""
        if self._clock.now_s() < owned.uncertain_until_s:
            self._replies.answer_unknown(forward, OutcomeUnknown(reason))
        else:
            self._replies.refuse(forward, Refused(reason))

    def _open_at_home(
        self, owned: OwnedShard, forward: Forward, service: Service
    ) -> None:
        flow_key = FlowKey(forward.flow_key)
        if self._is_home(forward, service) and not self._opener.needs_claims(
            forward, service
        ):
            chosen = self._opener.choose(forward, service)
            if self._is_local(owned, chosen):
                owned.flows.put(flow_key, self._record(owned, chosen))
                self._routes.route(forward)
                return
        self._open_later(owned, forward, self._decide(owned, forward, service))

    def _open_later(
        self,
        owned: OwnedShard,
        forward: Forward,
        decision: Coroutine[None, None, FlowRecord | OutcomeUnknown],
    ) -> None:
        """Decide with the help of other owners; later datagrams wait meanwhile."""
        owned.opening[FlowKey(forward.flow_key)] = [forward]
        spawn(self._open_with_peers(owned, forward, decision), "open flow")

    async def _open_with_peers(
        self,
        owned: OwnedShard,
        forward: Forward,
        decision: Coroutine[None, None, FlowRecord | OutcomeUnknown],
    ) -> None:
        flow_key = FlowKey(forward.flow_key)
        try:
            outcome = await decision
        finally:
            waiting = owned.opening.pop(flow_key)
        if isinstance(outcome, OutcomeUnknown):
            for item in waiting:
                self._replies.answer_unknown(item, outcome)
            return
        if owned.flows.get(flow_key) is None:
            owned.flows.put(flow_key, outcome)
        for item in waiting:
            self._routes.route(item)

    async def _decide(
        self, owned: OwnedShard, forward: Forward, service: Service
    ) -> FlowRecord | OutcomeUnknown:
        earlier = await self._opener.claim_at_earlier_homes(forward, service)
        if isinstance(earlier, OutcomeUnknown):
            return earlier
        if earlier.open_on is not None:
            if earlier.open_on not in self._source.configuration.upstreams:
                # The other owner has a newer revision, which this host takes soon.
                return OutcomeUnknown(Reason.CLAIM_UNANSWERED)
            return self._record(owned, earlier.open_on)
        certain = earlier.certain and self._is_home(forward, service)
        return await self._choose(owned, forward, service, certain)

    async def _choose_anew(
        self, owned: OwnedShard, forward: Forward, service: Service
    ) -> FlowRecord:
        record = await self._choose(owned, forward, service, certain=True)
        record.replaced = True
        return record

    async def _choose(
        self, owned: OwnedShard, forward: Forward, service: Service, certain: bool
    ) -> FlowRecord:
        chosen = self._opener.choose(forward, service)
        if not self._is_local(owned, chosen):
            if await self._opener.open_remote(forward, chosen, certain):
                return self._record(owned, chosen)
            chosen = UpstreamId(forward.upstream_id)
        record = self._record(owned, chosen)
        if not certain:
            record.uncertain_until_s = self._clock.now_s() + EXCHANGE_LIFETIME_S
        return record

    def _record(self, owned: OwnedShard, upstream_id: UpstreamId) -> FlowRecord:
        """A record for a flow on an upstream of this or another shard."""
        now_s = self._clock.now_s()
        if self._is_local(owned, upstream_id):
            return FlowRecord(
                FlowState.OPEN, upstream_id, now_s, owned.uncertain_until_s
            )
        return FlowRecord(FlowState.ELSEWHERE, upstream_id, now_s)

    def _is_home(self, forward: Forward, service: Service) -> bool:
        home = self._homes.home(service.service_id, FlowKey(forward.flow_key))
        return home == forward.upstream_id

    def _is_local(self, owned: OwnedShard, upstream_id: UpstreamId) -> bool:
        configuration = self._source.configuration
        upstream = configuration.upstreams[upstream_id]
        return configuration.shard_of(upstream) == owned.shard
