"""Outgoing connections to other processes of the deployment."""

import asyncio

from sardinespool.settings.model import ClusterSettings
from sardinespool.transport.frames import Frame
from sardinespool.transport.frames import FrameKind
from sardinespool.transport.peer_link import hello_frame
from sardinespool.transport.peer_link import PeerLink
from sardinespool.transport.tls import peer_client_context


class Connector:
    """Keeps one `PeerLink` for each address, opened on first use.

    Parameters
    ----------
    cluster : ClusterSettings
        Source of the cluster token and the TLS certificates.
    program : str
        Name of the program; sent to the peer with `name`.
    name : str
        Name of the process.
    """

    def __init__(
        self, cluster: ClusterSettings, program: str, name: str
    ) -> None:
        self._hello_frame = hello_frame(
            f"{program}/{name}", cluster.cluster_token
        )
        self._tls_context = peer_client_context(cluster.tls)
        self._links: dict[str, PeerLink] = {}

    def send_replication_message(
        self, address: str, group: str, sender: str, body: bytes
    ) -> None:
        """Send a replication message without waiting for delivery."""
        self._link_to(address).send(
            Frame(kind=FrameKind.PEER, group=group, sender=sender, body=body)
        )

    async def call(
        self,
        address: str,
        group: str,
        body: bytes,
        deadline_unix_ms: int,
        timeout_ms: int,
    ) -> bytes:
        """Call a group at an address; see `PeerLink.call`."""
        return await self._link_to(address).call(
            group, body, deadline_unix_ms, timeout_ms
        )

    async def close(self) -> None:
        """Close all connections."""
        links = list(self._links.values())
        self._links.clear()
        await asyncio.gather(*(link.close() for link in links))

    def _link_to(self, address: str) -> PeerLink:
        link = self._links.get(address)
        if link is None:
            link = PeerLink(address, self._hello_frame, self._tls_context)
            self._links[address] = link
        return link
