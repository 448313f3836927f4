"""Messages about endpoints and slot grants."""

from sardinespool.messages.base import Message
from sardinespool.messages.base import Record
from sardinespool.messages.configuration import Configuration


class SlotDemand(Record, frozen=True, kw_only=True):
    """Use of an endpoint by an entry since the entry's last `EntrySync`.

    `in_use` is the largest number of slots that were in use at once.
    """

    worker_id: str
    in_use: int


class EntrySync(Message, frozen=True, kw_only=True):
    """Report of an entry; answered by `EntryView`.

    With `stopping` the entry returns its slot grants. `incarnation` is the
    start time of its process.
    """

    entry_id: str
    address: str
    known_version: int
    known_table_version: int
    demands: tuple[SlotDemand, ...] = ()
    queued: int = 0
    stopping: bool = False
    incarnation: int = 0


class Endpoint(Record, frozen=True, kw_only=True):
    """An endpoint that can receive requests."""

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
    """Configuration, endpoints and slot grants for an entry.

    `configuration` and `endpoints` are None if the entry has the current
    ones. Each entry may use the floor of an endpoint without a grant:
    ``slots // entry_count``, with the entry count of the settings.
    """

    unix_ms: int
    group_incarnation: str
    version: int
    configuration: Configuration | None
    table_version: int
    endpoints: tuple[Endpoint, ...] | None
    grants: tuple[SlotGrant, ...] = ()
