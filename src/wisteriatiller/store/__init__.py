"""The configuration store, and the distribution of configurations to all hosts."""

from .admin import AdminClient, AdminServer, revision_status
from .configfollower import GOSSIP_KEY, ConfigFollower
from .consul import ConsulStore
from .platformhosts import PlatformHost, read_platform_hosts
from .rollout import (
    RolloutProgress,
    find_hosts,
    highest_running_revision,
    wait_until_in_force,
)
from .submission import (
    Submitted,
    check_successor,
    new_submission_id,
    read_record,
    submit,
)

__all__ = [
    "GOSSIP_KEY",
    "AdminClient",
    "AdminServer",
    "ConfigFollower",
    "ConsulStore",
    "PlatformHost",
    "RolloutProgress",
    "Submitted",
    "check_successor",
    "find_hosts",
    "highest_running_revision",
    "new_submission_id",
    "read_platform_hosts",
    "read_record",
    "revision_status",
    "submit",
    "wait_until_in_force",
]
