"""The central object: settings and ports of one host."""

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
from .report import ServiceLevel


@dataclass(slots=True)
class Environment:
    """What every module of a host shares."""

    settings: HostSettings
    datagrams: DatagramSocketFactory
    peers: PeerMessenger
    store: Store
    metrics: Metrics
    clock: Clock = field(default_factory=EventLoopClock)
    random: RandomSource = field(default_factory=RandomSource)
    service_level: ServiceLevel = field(init=False)

    def __post_init__(self):
        self.service_level = ServiceLevel(self.clock)
