"""TLS between processes."""

import asyncio
import pathlib

import pytest
import trustme

from sardinespool.errors.transport import ConnectionLostError
from sardinespool.messages.configuration import Configuration
from sardinespool.messages.configuration import ReadConfiguration
from sardinespool.settings.model import ClusterSettings
from sardinespool.settings.model import TlsSettings
from sardinespool.transport import system_clock
from sardinespool.transport.connector import Connector
from sardinespool.transport.frame_server import FrameServer
from sardinespool.transport.rpc_client import GroupClient
from sardinespool.transport.tls import peer_server_context
from testing.transport.test_frames import cluster
from testing.transport.test_frames import FAR_MS
from testing.transport.test_frames import free_address
from testing.transport.test_frames import Handler


def issue(folder: pathlib.Path, authority: trustme.CA) -> TlsSettings:
    """Write the files of one host."""
    folder.mkdir()
    certificate = authority.issue_cert("127.0.0.1")
    certificate.private_key_pem.write_to_path(folder / "key.pem")
    for blob in certificate.cert_chain_pems:
        blob.write_to_path(folder / "certificate.pem", append=True)
    authority.cert_pem.write_to_path(folder / "authority.pem")
    return TlsSettings(
        certificate_file=str(folder / "certificate.pem"),
        key_file=str(folder / "key.pem"),
        authority_file=str(folder / "authority.pem"),
    )


def with_tls(tls: TlsSettings | None) -> ClusterSettings:
    plain = cluster()
    return ClusterSettings(
        failure_domains=plain.failure_domains,
        stores=(),
        entries=(),
        cluster_token=plain.cluster_token,
        credentials=(),
        tls=tls,
    )


@pytest.mark.parametrize("client", ["same authority", "other", "plain"])
def test_only_hosts_of_the_authority_are_served(
    tmp_path: pathlib.Path, client: str
) -> None:
    """Guards against a stranger with the token but no certificate."""
    own, other = trustme.CA(), trustme.CA()
    settings = issue(tmp_path / "server", own)
    tls = {
        "same authority": issue(tmp_path / "client", own),
        "other": issue(tmp_path / "other", other),
        "plain": None,
    }[client]
    handler = Handler([])

    async def run() -> None:
        address = free_address()
        server = FrameServer("secret", handler, peer_server_context(settings))
        server.start_listening(address)
        connector = Connector(with_tls(tls), "test", "a")
        if client == "same authority":
            group = GroupClient("g", {"a": address}, connector)
            deadline = system_clock.now().unix_ms + FAR_MS
            reply = await group.call(ReadConfiguration(), deadline)
            assert reply == Configuration()
        else:
            with pytest.raises(ConnectionLostError):
                await connector.call(address, "g", b"", 0, FAR_MS)
        await connector.close()
        server.close()

    asyncio.run(run())
    assert handler.calls == (client == "same authority")
