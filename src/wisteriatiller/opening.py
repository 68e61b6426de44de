"""Opening flows: claims at earlier homes and the choice of the upstream."""

import asyncio
from abc import ABC, abstractmethod

from .config import ConfigSource, Service
from .environment import Environment
from .flowmessages import ClaimAnswer, ClaimFlow, Forward, OpenAnswer, OpenFlow
from .ids import FlowKey, UpstreamId
from .membership import Membership
from .outcomes import OutcomeUnknown, Reason
from .ownership import Ownership
from .placement import earlier_homes

CLAIM_TIMEOUT_S = 0.2
CLAIM_ATTEMPTS = 3
CLAIM_RETRY_S = 0.1


class UpstreamChooser(ABC):
    """Chooses the upstream for a new flow; the policy of balance overrides it."""

    @abstractmethod
    def choose(
        self, service: Service, flow_key: FlowKey, home: UpstreamId
    ) -> UpstreamId: ...


class HomeChooser(UpstreamChooser):
    """Every flow is placed on its home."""

    def choose(self, service, flow_key, home):
        return home


class FlowOpener:
    """Decides where a flow that its home's owner does not know is placed."""

    def __init__(
        self,
        environment: Environment,
        membership: Membership,
        ownership: Ownership,
        source: ConfigSource,
        chooser: UpstreamChooser,
    ):
        self._environment = environment
        self._membership = membership
        self._ownership = ownership
        self._source = source
        self._chooser = chooser

    def needs_peers(self, forward: Forward, service: Service) -> bool:
        """Whether opening the flow takes answers of other owners."""
        return bool(self._earlier_homes(forward, service))

    def choose(self, forward: Forward, service: Service) -> UpstreamId:
        return self._chooser.choose(
            service, FlowKey(forward.flow_key), UpstreamId(forward.upstream_id)
        )

    async def find_open(
        self, forward: Forward, service: Service
    ) -> UpstreamId | None | OutcomeUnknown:
        """The upstream where an earlier home has the flow open, None if nowhere.

        After None, every earlier home has released the flow. ``OutcomeUnknown`` says
        that an earlier home did not answer although its zone can be reached.
        """
        for home in self._earlier_homes(forward, service):
            open_on = await self._claim(forward, home)
            if open_on is not None:
                return open_on
        return None

    async def open_away(self, forward: Forward, upstream_id: UpstreamId) -> bool:
        """Have the owner of another upstream open the flow."""
        owner = self._owner_of(upstream_id)
        if owner is None:
            return False
        message = OpenFlow(forward.flow_key, upstream_id, forward.revision)
        answer = await self._environment.peers.call(owner, message, CLAIM_TIMEOUT_S)
        return isinstance(answer, OpenAnswer) and answer.opened

    def _earlier_homes(self, forward: Forward, service: Service) -> list[UpstreamId]:
        configuration = self._source.configuration
        return earlier_homes(
            FlowKey(forward.flow_key),
            configuration.tables[service.service_id],
            configuration.earlier_tables.get(service.service_id, ()),
        )

    async def _claim(
        self, forward: Forward, home: UpstreamId
    ) -> UpstreamId | None | OutcomeUnknown:
        revision = self._source.configuration.revision
        message = ClaimFlow(forward.flow_key, home, forward.upstream_id, revision)
        for _ in range(CLAIM_ATTEMPTS):
            owner = self._owner_of(home)
            if owner is not None:
                answer = await self._environment.peers.call(
                    owner, message, CLAIM_TIMEOUT_S
                )
                if isinstance(answer, ClaimAnswer) and answer.owned:
                    return UpstreamId(answer.open_on) if answer.open_on else None
            await asyncio.sleep(CLAIM_RETRY_S)
        return OutcomeUnknown(Reason.CLAIM_UNANSWERED)

    def _owner_of(self, upstream_id: UpstreamId):
        configuration = self._source.configuration
        upstream = configuration.upstreams.get(upstream_id)
        if upstream is None:
            return None
        return self._ownership.owner(configuration.shard_of(upstream))
