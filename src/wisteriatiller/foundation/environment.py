"""The central object: settings and ports of one host."""

from dataclasses import dataclass, field

from wisteriatiller.configuration import HostSettings

from .ports import (
    Clock,
    DatagramPorts,
    LoopClock,
    Metrics,
    PeerPort,
    RandomSource,
    Store,
)
from .report import ServiceLevel


@dataclass(slots=True)
class Environment:
    """What every module of a host shares."""

    settings: HostSettings
    datagrams: DatagramPorts
    peers: PeerPort
    store: Store
    metrics: Metrics
    clock: Clock = field(default_factory=LoopClock)
    random: RandomSource = field(default_factory=RandomSource)
    service_level: ServiceLevel = field(init=False)

    def __post_init__(self):
        self.service_level = ServiceLevel(self.clock)
