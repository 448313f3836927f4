"""Tests of TLS between processes."""

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
from sardinespool.transport.group_client import GroupClient
from sardinespool.transport.tls import peer_server_context
from testing.transport.test_frames import cluster_settings
from testing.transport.test_frames import free_address
from testing.transport.test_frames import LONG_TIMEOUT_MS
from testing.transport.test_frames import RecordingHandler


def write_tls_files(
    folder: pathlib.Path, authority: trustme.CA
) -> TlsSettings:
    """Issue a certificate and write the TLS files of one host."""
    folder.mkdir()
    certificate = authority.issue_cert("127.0.0.1")
    certificate.private_key_pem.write_to_path(folder / "key.pem")
    for certificate_pem in certificate.cert_chain_pems:
        certificate_pem.write_to_path(folder / "certificate.pem", append=True)
    authority.cert_pem.write_to_path(folder / "authority.pem")
    return TlsSettings(
        certificate_file=str(folder / "certificate.pem"),
        key_file=str(folder / "key.pem"),
        authority_file=str(folder / "authority.pem"),
    )


def cluster_settings_with(tls: TlsSettings | None) -> ClusterSettings:
    base_settings = cluster_settings()
    return ClusterSettings(
        failure_domains=base_settings.failure_domains,
        stores=(),
        entries=(),
        cluster_token=base_settings.cluster_token,
        credentials=(),
        tls=tls,
    )


@pytest.mark.parametrize("client", ["same authority", "other", "plain"])
def test_only_certificates_of_the_authority_are_accepted(
    tmp_path: pathlib.Path, client: str
) -> None:
    """Guards against a client that has the token but no certificate."""
    trusted_authority, other_authority = trustme.CA(), trustme.CA()
    settings = write_tls_files(tmp_path / "server", trusted_authority)
    tls = {
        "same authority": write_tls_files(
            tmp_path / "client", trusted_authority
        ),
        "other": write_tls_files(tmp_path / "other", other_authority),
        "plain": None,
    }[client]
    handler = RecordingHandler([])

    async def run() -> None:
        address = free_address()
        server = FrameServer("secret", handler, peer_server_context(settings))
        server.start_listening(address)
        connector = Connector(cluster_settings_with(tls), "test", "a")
        if client == "same authority":
            group = GroupClient("g", {"a": address}, connector)
            deadline = system_clock.now().unix_ms + LONG_TIMEOUT_MS
            reply = await group.call(ReadConfiguration(), deadline)
            assert reply == Configuration()
        else:
            with pytest.raises(ConnectionLostError):
                await connector.call(address, "g", b"", 0, LONG_TIMEOUT_MS)
        await connector.close()
        server.close()

    asyncio.run(run())
    assert handler.calls == (client == "same authority")
