"""The configuration in the store, and its way to all hosts."""

from .admin import AdminClient, AdminServer, revision_view
from .configstore import GOSSIP_KEY, ConfigFollower
from .fleet import Progress, find_hosts, running_revision, wait_in_force
from .platformhosts import PlatformHost, read_platform_hosts
from .store_consul import ConsulStore
from .submission import Submitted, new_submission_id, read_record, submit

__all__ = [
    "GOSSIP_KEY",
    "AdminClient",
    "AdminServer",
    "ConfigFollower",
    "ConsulStore",
    "PlatformHost",
    "Progress",
    "Submitted",
    "find_hosts",
    "new_submission_id",
    "read_platform_hosts",
    "read_record",
    "revision_view",
    "running_revision",
    "submit",
    "wait_in_force",
]
