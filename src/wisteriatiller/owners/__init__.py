"""The owners of flows: opening, placing, replication, handover and load."""

from .balance import BoundedLoadChooser
from .flowservice import FlowService
from .handover import Handover
from .healing import ZoneHealing
from .homes import Homes
from .ingress import Ingress
from .loads import LoadBoard
from .opening import FlowOpener, UpstreamChooser
from .owner import Owner
from .pressure import DependencyPolicy
from .replication import Replicator
from .shardtable import ShardTable
from .upkeep import Upkeep

__all__ = [
    "BoundedLoadChooser",
    "DependencyPolicy",
    "FlowOpener",
    "FlowService",
    "Handover",
    "Homes",
    "Ingress",
    "LoadBoard",
    "Owner",
    "Replicator",
    "ShardTable",
    "Upkeep",
    "UpstreamChooser",
    "ZoneHealing",
]
