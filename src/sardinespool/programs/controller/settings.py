"""Settings of a control group member."""

import dataclasses
import pathlib

from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.settings.model import ClusterSettings
from sardinespool.settings.model import ReplicationSettings

CONTROL_GROUP = "control"


@dataclasses.dataclass(frozen=True, slots=True)
class ControlGroupMemberSettings:
    """Settings of one member of a control group.

    Attributes
    ----------
    address : str
        ``ip:port`` for other processes; also the name of the member.
    peers : tuple of str
        Addresses of members to contact when joining the group.
    bootstrap : bool
        Form a new group with `peers` if none of the members has data.
    data_folder : pathlib.Path
        Folder of the group's files.
    cluster_token : str
        Token that processes present when they connect to each other.
    dispatch : DispatchSettings
        Settings of the dispatcher.
    replication : ReplicationSettings
        Timing of the replicated log.
    """

    address: str
    peers: tuple[str, ...]
    bootstrap: bool
    data_folder: pathlib.Path
    cluster_token: str
    dispatch: DispatchSettings = DispatchSettings()
    replication: ReplicationSettings = ReplicationSettings()


def cluster_settings_from_token(token: str) -> ClusterSettings:
    """Return cluster settings that contain only a token.

    Members of a control group discover each other, so none are listed.
    """
    return ClusterSettings(
        failure_domains=(),
        stores=(),
        entries=(),
        cluster_token=token,
        credentials=(),
    )
