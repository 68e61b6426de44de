"""The owner of flows: opening, placement, replication, handover and balancing."""

from .backpressure import BackpressurePolicy
from .balance import BoundedLoadChooser
from .flowhandlers import FlowMessageHandlers
from .flowopening import FlowOpener, UpstreamChooser
from .handover import Handover
from .homes import HomeResolver
from .ingress import Ingress
from .loads import LoadTable
from .maintenance import ShardMaintenance
from .owner import Owner
from .reconciliation import PartitionReconciler
from .replication import Replicator
from .shardtable import ShardTable

__all__ = [
    "BackpressurePolicy",
    "BoundedLoadChooser",
    "FlowMessageHandlers",
    "FlowOpener",
    "Handover",
    "HomeResolver",
    "Ingress",
    "LoadTable",
    "Owner",
    "PartitionReconciler",
    "Replicator",
    "ShardMaintenance",
    "ShardTable",
    "UpstreamChooser",
]
