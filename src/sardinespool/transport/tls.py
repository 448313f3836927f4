"""TLS contexts built from the settings."""

import ssl

from sardinespool.settings.model import TlsSettings


def server_context(settings: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the server-side context, or None without TLS settings."""
    if settings is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings.certificate_file, settings.key_file)
    return context


def peer_server_context(
    settings: TlsSettings | None,
) -> ssl.SSLContext | None:
    """Return the context of servers for other processes.

    Clients must present a certificate issued by the deployment's authority.
    """
    context = server_context(settings)
    if context is not None and settings is not None:
        context.load_verify_locations(settings.authority_file)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def peer_client_context(
    settings: TlsSettings | None,
) -> ssl.SSLContext | None:
    """Return the context of connections to other processes.

    Host names are not verified: processes are addressed by IP address, which
    host certificates need not list. Any certificate of the deployment's
    authority is accepted.
    """
    if settings is None:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.SERVER_AUTH, cafile=settings.authority_file
    )
    context.check_hostname = False
    context.load_cert_chain(settings.certificate_file, settings.key_file)
    return context
