"""Opening of flows: claims at earlier homes, and the choice of the upstream."""

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass

from wisteriatiller.configuration import ConfigSource, Service
from wisteriatiller.foundation import Environment, log_event
from wisteriatiller.ids import FlowKey, ShardId, UpstreamId
from wisteriatiller.leases import Ownership
from wisteriatiller.outcomes import OutcomeUnknown, Reason
from wisteriatiller.placement import earlier_homes

from .flowmessages import ClaimAnswer, ClaimFlow, Forward, OpenAnswer, OpenFlow
from .homes import HomeResolver

CLAIM_TIMEOUT_S = 0.2
CLAIM_ATTEMPTS = 3
CLAIM_RETRY_S = 0.1


class UpstreamChooser(ABC):
    """Interface of the balancing policy: chooses the upstream of a new flow."""

    @abstractmethod
    def choose(
        self, service: Service, flow_key: FlowKey, home: UpstreamId
    ) -> UpstreamId: ...


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """The result of claiming a flow at its earlier homes.

    ``open_on`` is the upstream on which the flow is open, or None if every reachable
    earlier home has released it. ``certain`` is False if the zone of one of them could
    not be reached.
    """

    open_on: UpstreamId | None = None
    certain: bool = True


class FlowOpener:
    """Claims flows at earlier homes, chooses upstreams and opens flows on them."""

    def __init__(
        self,
        environment: Environment,
        ownership: Ownership,
        source: ConfigSource,
        homes: HomeResolver,
        chooser: UpstreamChooser,
    ):
        self._environment = environment
        self._ownership = ownership
        self._source = source
        self._homes = homes
        self._chooser = chooser

    def needs_claims(self, forward: Forward, service: Service) -> bool:
        """Whether the flow must be claimed at owners of other shards."""
        return bool(self._earlier_homes(forward, service))

    def choose(self, forward: Forward, service: Service) -> UpstreamId:
        """The upstream that the balancing policy chooses for the flow."""
        return self._chooser.choose(
            service, FlowKey(forward.flow_key), UpstreamId(forward.upstream_id)
        )

    async def claim_at_earlier_homes(
        self, forward: Forward, service: Service
    ) -> ClaimResult | OutcomeUnknown:
        """Claim the flow at its earlier homes in turn until one has it open.

        Returns ``OutcomeUnknown`` if the owner of an earlier home did not answer
        although its zone can be reached.
        """
        certain = True
        for home in self._earlier_homes(forward, service):
            answer = await self._claim(forward, home)
            if isinstance(answer, OutcomeUnknown):
                return answer
            if answer.open_on is not None:
                return answer
            certain = certain and answer.certain
        return ClaimResult(certain=certain)

    async def open_remote(
        self, forward: Forward, upstream_id: UpstreamId, certain: bool
    ) -> bool:
        """Ask the owner of another upstream to open the flow; False if it did not."""
        owner = self._owner_of(upstream_id)
        if owner is None:
            return False
        message = OpenFlow(forward.flow_key, upstream_id, forward.revision, certain)
        answer = await self._environment.peers.call(owner, message, CLAIM_TIMEOUT_S)
        return isinstance(answer, OpenAnswer) and answer.opened

    def _earlier_homes(self, forward: Forward, service: Service) -> list[UpstreamId]:
        """The flow's earlier homes in other shards.

        An earlier home in this shard needs no claim: it shares the flow table.
        """
        configuration = self._source.configuration
        upstreams = configuration.upstreams
        homes = earlier_homes(
            FlowKey(forward.flow_key),
            configuration.placement_tables[service.service_id],
            configuration.earlier_placement_tables.get(service.service_id, ()),
        )
        shard = configuration.shard_of(upstreams[UpstreamId(forward.upstream_id)])
        return [h for h in homes if configuration.shard_of(upstreams[h]) != shard]

    async def _claim(
        self, forward: Forward, home: UpstreamId
    ) -> ClaimResult | OutcomeUnknown:
        """Claim the flow at one earlier home, with retries."""
        revision = self._source.configuration.revision
        message = ClaimFlow(forward.flow_key, home, forward.upstream_id, revision)
        failures = []
        for _ in range(CLAIM_ATTEMPTS):
            if not self._homes.is_reachable(home):
                return ClaimResult(certain=False)
            owner = self._owner_of(home)
            if owner is not None:
                answer = await self._environment.peers.call(
                    owner, message, CLAIM_TIMEOUT_S
                )
                if isinstance(answer, ClaimAnswer) and answer.owned:
                    open_on = UpstreamId(answer.open_on) if answer.open_on else None
                    return ClaimResult(open_on)
                failures.append(f"{owner}: {type(answer).__name__}")
            else:
                failures.append("no owner known")
            await asyncio.sleep(CLAIM_RETRY_S)
        log_event(
            "claim_unanswered",
            level="warning",
            flow=forward.flow_key.hex(),
            earlier_home=home,
            home=forward.upstream_id,
            shard=self._shard_of(home),
            config_revision=revision,
            attempts="; ".join(failures),
        )
        return OutcomeUnknown(Reason.CLAIM_UNANSWERED)

    def _shard_of(self, upstream_id: UpstreamId) -> ShardId | None:
        configuration = self._source.configuration
        upstream = configuration.upstreams.get(upstream_id)
        return None if upstream is None else configuration.shard_of(upstream)

    def _owner_of(self, upstream_id: UpstreamId):
        """The host that owns the upstream's shard, or None."""
        shard = self._shard_of(upstream_id)
        return None if shard is None else self._ownership.owner(shard)
