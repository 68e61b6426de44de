"""The owner's data path: routes datagrams of callers and upstreams to their flows."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from wisteriatiller.configuration import ConfigSource, RequestMode, Service, Upstream
from wisteriatiller.exceptions import MessageError, check_invariant
from wisteriatiller.foundation import Environment, spawn
from wisteriatiller.ids import (
    Address,
    CallerId,
    FlowKey,
    HostId,
    Revision,
    ShardId,
    UpstreamId,
)
from wisteriatiller.leases import Ownership
from wisteriatiller.outcomes import Reason, Refused
from wisteriatiller.requests import FINAL_STATES, RequestKey
from wisteriatiller.transport import coapcodec, proxyheader

from .flowmessages import Forward, PinFlow
from .flowopening import FlowOpener
from .flowplacement import FlowPlacer, FlowRoutes
from .flows import FlowRecord, FlowState
from .homes import HomeResolver
from .replies import AnswerCaller, CallerReplies
from .shard import OwnedShard
from .shardtable import ShardTable

MAX_HOPS = 5
# A request whose shard has no owner is retried for this long. A planned handover takes
# less; a failover takes longer than a caller should wait.
OWNER_WAIT_S = 1.0
OWNER_RETRY_S = 0.05
CATCH_UP_TIMEOUT_S = 0.3


class Owner:
    """Serves the flows of the ownership shards whose leases this host holds.

    Datagrams for shards of other hosts are forwarded to their owners. ``pin_flow`` is
    called for flows whose ingress is this host and that are not on their home, or
    belong to an opaque service.
    """

    def __init__(
        self,
        environment: Environment,
        ownership: Ownership,
        source: ConfigSource,
        shards: ShardTable,
        homes: HomeResolver,
        opener: FlowOpener,
        answer: AnswerCaller,
    ):
        self.pin_flow: Callable[[FlowKey, UpstreamId], None] = lambda key, to: None
        self._environment = environment
        self._host_id = environment.settings.host_id
        self._ownership = ownership
        self._source = source
        self._shards = shards
        self._homes = homes
        self._answer = answer
        self._replies = CallerReplies(environment, source, answer)
        self._placer = FlowPlacer(
            environment,
            source,
            homes,
            opener,
            self._replies,
            FlowRoutes(self._route, self._relay),
        )
        environment.peers.register(Forward, self.receive)

    # Datagrams of callers

    def receive(self, sender: HostId, forward: Forward) -> None:
        """Handle a caller's datagram from an ingress or from another owner."""
        if forward.revision > self._source.configuration.revision:
            spawn(self._receive_after_catch_up(sender, forward), "receive newer")
        else:
            self._route(forward)

    async def _receive_after_catch_up(self, sender: HostId, forward: Forward) -> None:
        """Route a datagram sent under a newer revision once this host has it too."""
        await self._source.catch_up(
            sender, Revision(forward.revision), CATCH_UP_TIMEOUT_S
        )
        self._route(forward)

    def _route(self, forward: Forward) -> None:
        """Serve a datagram if this host owns its upstream, else forward it."""
        configuration = self._source.configuration
        upstream = configuration.upstreams.get(UpstreamId(forward.upstream_id))
        service = self._replies.service_of(forward)
        if upstream is None or service is None:
            self._replies.answer_unroutable(forward, Reason.NO_UPSTREAM)
            return
        if upstream.service_id != service.service_id:
            # In the sender's revision, the address belongs to another service.
            self._relay_to_home(forward, service)
            return
        owned = self._shards.get(configuration.shard_of(upstream))
        if owned is None:
            self._forward_to_owner(forward, configuration.shard_of(upstream))
            return
        record = self._find_flow(owned, forward, service)
        if record is None:
            self._placer.open(owned, forward, service, upstream)
        else:
            self._handle_known_flow(owned, forward, service, record)

    def _relay_to_home(self, forward: Forward, service: Service) -> None:
        """Relay a datagram to the flow's home in the addressed service."""
        home = self._homes.reachable_home(service.service_id, FlowKey(forward.flow_key))
        if home is None:
            self._replies.answer_unroutable(forward, Reason.NO_UPSTREAM)
        else:
            self._relay(forward, home, pinned=False)

    def _find_flow(
        self, owned: OwnedShard, forward: Forward, service: Service
    ) -> FlowRecord | None:
        """The flow's record; one that leads to another service is removed instead."""
        flow_key = FlowKey(forward.flow_key)
        record = owned.flows.get(flow_key)
        if record is None:
            return None
        upstream = self._source.configuration.upstreams.get(record.upstream_id)
        if upstream is not None and upstream.service_id == service.service_id:
            return record
        owned.flows.remove(flow_key)
        return None

    def _handle_known_flow(
        self,
        owned: OwnedShard,
        forward: Forward,
        service: Service,
        record: FlowRecord,
    ) -> None:
        """Serve, relay or refuse a datagram according to the state of its flow."""
        if record.state is FlowState.LOST:
            self._handle_lost(owned, forward, service, record)
            return
        if record.state is FlowState.RELEASED:
            self._handle_released(owned, forward, record)
            return
        record.last_seen_s = self._now_s()
        if record.state is FlowState.ELSEWHERE:
            if not (record.was_open_here and self._answer_known_repeat(owned, forward)):
                self._relay(forward, record.upstream_id, pinned=True)
            return
        home = self._homes.home(service.service_id, FlowKey(forward.flow_key))
        if service.mode is RequestMode.OPAQUE or record.upstream_id != home:
            self._send_pin(forward, record.upstream_id)
        self._send_to_upstream(owned, forward, service, record)

    def _handle_released(self, owned, forward: Forward, record: FlowRecord) -> None:
        """Relay a datagram to the home that claimed the flow.

        If that home's owner has no record of the flow any more and its home is in
        this shard again, it is treated as a new flow.
        """
        if forward.declined_by == record.upstream_id:
            owned.flows.remove(FlowKey(forward.flow_key))
            self._route(forward)
        else:
            record.last_seen_s = self._now_s()
            self._relay(forward, record.upstream_id, pinned=False)

    def _handle_lost(
        self,
        owned: OwnedShard,
        forward: Forward,
        service: Service,
        record: FlowRecord,
    ) -> None:
        """Report the loss to the caller; reassign the flow at its next request."""
        if service.mode is RequestMode.OPAQUE:
            self._environment.metrics.count("owner.dropped_datagrams")
            return
        try:
            head = coapcodec.decode_header(forward.payload)
        except MessageError:
            self._environment.metrics.count("owner.bad_payloads")
            return
        if not head.is_request or self._answer_known_repeat(owned, forward):
            return
        if record.loss_reported:
            self._placer.reassign_lost(owned, forward, service)
            return
        record.loss_reported = True
        owned.flows.notify_changed(FlowKey(forward.flow_key))
        self._environment.metrics.count("flows.lost")
        upstream = self._source.configuration.upstreams[record.upstream_id]
        dispatcher = self._shards.get_dispatcher(owned, upstream)
        outcome = Refused(Reason.FLOW_LOST)
        dispatcher.refuse(FlowKey(forward.flow_key), head, outcome)

    def _answer_known_repeat(self, owned: OwnedShard, forward: Forward) -> bool:
        """Whether the shard's duplicate table has the request.

        If the request has its final answer, the answer is sent again.
        """
        try:
            head = coapcodec.decode_header(forward.payload)
        except MessageError:
            return False
        flow_key = FlowKey(forward.flow_key)
        known = owned.duplicates.get(RequestKey(flow_key, head.message_id))
        if not head.is_request or known is None:
            return False
        if known.state in FINAL_STATES:
            self._answer(flow_key, known.answer)
        return True

    def _send_to_upstream(self, owned, forward, service, record: FlowRecord) -> None:
        """Send an opaque datagram at once; give a request to the dispatcher."""
        upstream = self._source.configuration.upstreams[record.upstream_id]
        check_invariant(
            upstream.service_id == service.service_id,
            "flow_stays_in_service",
            upstream=upstream.upstream_id,
            service=service.service_id,
        )
        flow_key = FlowKey(forward.flow_key)
        if service.mode is RequestMode.OPAQUE:
            self._shards.send(
                upstream, proxyheader.make_header(flow_key) + forward.payload
            )
            return
        dispatcher = self._shards.get_dispatcher(owned, upstream)
        try:
            if self._answer_if_may_have_run(record, dispatcher, forward):
                return
            dispatcher.handle(flow_key, caller_of(flow_key), forward.payload)
        except MessageError:
            self._environment.metrics.count("owner.bad_payloads")

    def _answer_if_may_have_run(self, record, dispatcher, forward) -> bool:
        """Answer "outcome unknown" to a request that an earlier owner may have run.

        Returns whether it was answered. This applies to non-idempotent requests that
        are not in the duplicate table while the earlier owner's records are missing.
        """
        if self._now_s() >= record.uncertain_until_s:
            return False
        head = coapcodec.decode_header(forward.payload)
        if not head.is_request or head.is_idempotent:
            return False
        if dispatcher.has_seen(FlowKey(forward.flow_key), head):
            return False
        dispatcher.answer_unknown(FlowKey(forward.flow_key), head, Reason.OWNER_CHANGED)
        return True

    # Datagrams of upstreams

    def receive_from_upstream(self, data: bytes, address: Address) -> None:
        """Handle a datagram that an upstream sent to this host."""
        try:
            header, payload = proxyheader.split(data)
            configuration = self._source.configuration
            upstream = configuration.upstream_by_address.get(address)
            if upstream is None:
                raise MessageError(f"datagram from unknown upstream {address}")
            if header[12] == proxyheader.COMMAND_LOCAL:
                self._handle_probe_answer(upstream, header)
            else:
                self._handle_response(upstream, header, payload)
        except MessageError:
            self._environment.metrics.count("owner.bad_upstream_datagrams")

    def _handle_probe_answer(self, upstream: Upstream, header: bytes) -> None:
        """Update the upstream's health and dispatch what waited for it."""
        owned = self._shards.get_by_upstream(upstream.upstream_id)
        local = proxyheader.parse(header)
        if owned is not None and isinstance(local, proxyheader.LocalHeader):
            dispatcher = self._shards.get_dispatcher(owned, upstream)
            dispatcher.health.handle_probe_answer(local)
            # A new owner queues requests until the first probe answer has given it
            # the upstream's clock.
            dispatcher.dispatch_queued()

    def _handle_response(
        self, upstream: Upstream, header: bytes, payload: bytes
    ) -> None:
        """Pass an answer to its dispatcher, or to the caller of an opaque flow."""
        flow_key = proxyheader.reversed_key(proxyheader.flow_key(header))
        service = self._source.configuration.service_by_address.get(
            proxyheader.destination(flow_key)
        )
        if service is None or upstream.service_id != service.service_id:
            raise MessageError("answer from an upstream of another service")
        if service.mode is RequestMode.OPAQUE:
            self._answer(flow_key, payload)
            return
        self._shards.handle_response(upstream, flow_key, payload)

    # Sending

    def _relay(
        self,
        forward: Forward,
        upstream_id: UpstreamId,
        pinned: bool,
        declined_by: str = "",
    ) -> None:
        """Route a datagram to the owner of another upstream, which may be this host."""
        if forward.hops >= MAX_HOPS:
            self._replies.answer_unroutable(forward, Reason.NO_OWNER)
            return
        relayed = replace(
            forward,
            upstream_id=upstream_id,
            revision=self._source.configuration.revision,
            pinned=pinned,
            declined_by=declined_by,
            hops=forward.hops + 1,
        )
        self._route(relayed)

    def _forward_to_owner(self, forward: Forward, shard: ShardId) -> None:
        """Send a datagram to the shard's owner, or retry while there is none."""
        if not self._homes.is_reachable(UpstreamId(forward.upstream_id)):
            self._replies.answer_unroutable(forward, Reason.UPSTREAM_UNREACHABLE)
            return
        owner = self._ownership.owner(shard)
        if owner is not None and owner != self._host_id and forward.hops < MAX_HOPS:
            self._environment.peers.send(owner, replace(forward, hops=forward.hops + 1))
        elif forward.age_ms < OWNER_WAIT_S * 1000:
            age_ms = forward.age_ms + int(OWNER_RETRY_S * 1000)
            later = replace(forward, age_ms=age_ms, hops=0)
            asyncio.get_running_loop().call_later(OWNER_RETRY_S, self._route, later)
        else:
            self._replies.answer_unroutable(forward, Reason.NO_OWNER)

    def _send_pin(self, forward: Forward, upstream_id: UpstreamId) -> None:
        """Tell the ingress which upstream serves the flow, unless it knows already."""
        if forward.pinned and forward.upstream_id == upstream_id:
            return
        if forward.ingress == self._host_id:
            self.pin_flow(FlowKey(forward.flow_key), upstream_id)
        else:
            message = PinFlow(forward.flow_key, upstream_id)
            self._environment.peers.send(HostId(forward.ingress), message)

    def _now_s(self) -> float:
        return self._environment.clock.now_s()


def caller_of(flow_key: FlowKey) -> CallerId:
    """The caller of a flow: its source IP address, which many flows may share."""
    return CallerId(proxyheader.source(flow_key).ip)
