"""Exception hierarchy of sardinespool.

All modules of the hierarchy are imported here, so that `error_from_code`
knows each error that another process can report.
"""

from sardinespool.errors import configuration
from sardinespool.errors import logs
from sardinespool.errors import replication
from sardinespool.errors import requests
from sardinespool.errors import settings
from sardinespool.errors import storage
from sardinespool.errors import tasks
from sardinespool.errors import transport
from sardinespool.errors.base import error_from_code
from sardinespool.errors.base import SardinespoolError

__all__ = [
    "SardinespoolError",
    "configuration",
    "error_from_code",
    "logs",
    "replication",
    "requests",
    "settings",
    "storage",
    "tasks",
    "transport",
]
