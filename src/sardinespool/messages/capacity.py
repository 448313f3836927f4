"""Messages of endpoints and slot grants."""

from sardinespool.messages.base import Message
from sardinespool.messages.base import Record
from sardinespool.messages.configuration import Configuration


class SlotDemand(Record, frozen=True, kw_only=True):
    """Use of one endpoint by one entry since its last synchronisation.

    `in_use` is the largest number of slots in use at once.
    """

    worker_id: str
    in_use: int


class EntrySync(Message, frozen=True, kw_only=True):
    """Report of an entry; answered by `EntryView`.

    `stopping` hands the entry's grants back.
    """

    entry_id: str
    address: str
    known_version: int
    known_table_version: int
    demands: tuple[SlotDemand, ...] = ()
    queued: int = 0
    stopping: bool = False


class Endpoint(Record, frozen=True, kw_only=True):
    """An endpoint that may receive requests."""

    worker_id: str
    incarnation: int
    address: str
    services: tuple[str, ...]
    slots: int
    connections: int
    leaving: bool


class SlotGrant(Record, frozen=True, kw_only=True):
    """Slots beyond the floor that an entry may use until the deadline."""

    worker_id: str
    slots: int
    deadline_unix_ms: int


class EntryView(Message, frozen=True, kw_only=True):
    """What an entry follows.

    `configuration` and `endpoints` are None when the entry has the present
    ones. The floor of an endpoint is ``slots // entry_count`` of the
    settings and needs no grant.
    """

    unix_ms: int
    group_incarnation: str
    version: int
    configuration: Configuration | None
    table_version: int
    endpoints: tuple[Endpoint, ...] | None
    grants: tuple[SlotGrant, ...] = ()
