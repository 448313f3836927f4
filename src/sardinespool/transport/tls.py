"""TLS contexts from settings."""

import ssl

from sardinespool.settings.model import TlsSettings


def server_context(settings: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the context of listeners, or None without certificates."""
    if settings is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings.certificate_file, settings.key_file)
    return context


def peer_server_context(
    settings: TlsSettings | None,
) -> ssl.SSLContext | None:
    """Return the context of the listener for other processes.

    Clients must present a certificate of the deployment's authority.
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

    Processes are addressed by IP number, which the certificates of hosts
    need not list; the authority alone decides.
    """
    if settings is None:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.SERVER_AUTH, cafile=settings.authority_file
    )
    context.check_hostname = False
    context.load_cert_chain(settings.certificate_file, settings.key_file)
    return context
