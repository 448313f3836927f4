"""Settings of a controller process."""

import dataclasses
import pathlib

from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.settings.model import ReplicationSettings

CONTROL_GROUP = "control"


@dataclasses.dataclass(frozen=True, slots=True)
class ControllerSettings:
    """What one member of a control group needs.

    Attributes
    ----------
    address : str
        ``ip:port`` for other processes; also the name of the member.
    peers : tuple of str
        Addresses of members to ask at the start.
    bootstrap : bool
        Form the group with `peers` if all of them are empty too.
    cluster_token : str
        First word between the processes of a deployment.
    """

    address: str
    peers: tuple[str, ...]
    bootstrap: bool
    data_folder: pathlib.Path
    cluster_token: str
    dispatch: DispatchSettings = DispatchSettings()
    replication: ReplicationSettings = ReplicationSettings()
