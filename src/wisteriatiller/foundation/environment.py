"""The environment of a host: its settings and its access to the outside."""

from dataclasses import dataclass, field

from wisteriatiller.configuration import HostSettings

from .interfaces import (
    Clock,
    DatagramSocketFactory,
    EventLoopClock,
    Metrics,
    PeerMessenger,
    RandomSource,
    Store,
)
from .report import ServiceLevelCounters


@dataclass(slots=True)
class Environment:
    """Settings, interfaces and request counts that all parts of a host share."""

    settings: HostSettings
    datagrams: DatagramSocketFactory
    peers: PeerMessenger
    store: Store
    metrics: Metrics
    clock: Clock = field(default_factory=EventLoopClock)
    random: RandomSource = field(default_factory=RandomSource)
    service_level: ServiceLevelCounters = field(init=False)

    def __post_init__(self):
        self.service_level = ServiceLevelCounters(self.clock)
