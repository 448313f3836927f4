"""Public API for embedding the coordination components in other programs.

Everything else in the package may change without notice. Apart from
`GroupStore`, the components are state machines that use no sockets, clocks or
files.
"""

from sardinespool.capacity.grants import GrantTable
from sardinespool.clock import Instant
from sardinespool.configuration.history import History
from sardinespool.domains.permit import StartPermit
from sardinespool.placement.policy import PlacementPolicy
from sardinespool.placement.settings import PolicySettings
from sardinespool.replication.effects import Apply
from sardinespool.replication.effects import InstallSnapshot
from sardinespool.replication.effects import Persist
from sardinespool.replication.effects import PersistSnapshot
from sardinespool.replication.effects import Send
from sardinespool.replication.entries import EntryKind
from sardinespool.replication.events import PeerMessageReceived
from sardinespool.replication.events import Propose
from sardinespool.replication.events import SnapshotTaken
from sardinespool.replication.events import Tick
from sardinespool.replication.events import TransferLeadership
from sardinespool.replication.replica import Replica
from sardinespool.replication.settings import ReplicaSettings
from sardinespool.requests.table import RequestTable
from sardinespool.routing.router import Router
from sardinespool.storage.group_store import GroupStore
from sardinespool.tasks.leases import LeaseTable

__all__ = [
    "Apply",
    "EntryKind",
    "GrantTable",
    "GroupStore",
    "History",
    "InstallSnapshot",
    "Instant",
    "LeaseTable",
    "Persist",
    "PersistSnapshot",
    "PeerMessageReceived",
    "PlacementPolicy",
    "PolicySettings",
    "Propose",
    "Replica",
    "ReplicaSettings",
    "RequestTable",
    "Router",
    "Send",
    "SnapshotTaken",
    "StartPermit",
    "Tick",
    "TransferLeadership",
]
