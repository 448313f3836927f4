"""Commands for patches and failure domains."""

from typing import Annotated

import msgspec
import typer

from sardinespool.errors.tasks import NoFailureDomainError
from sardinespool.messages.configuration import Change
from sardinespool.messages.configuration import ConfigurationStatusReply
from sardinespool.messages.configuration import PatchList
from sardinespool.programs.command_line import changes as patch_changes
from sardinespool.programs.command_line.output import format_time
from sardinespool.programs.command_line.paths import quote_segment
from sardinespool.programs.command_line.session import AsJson
from sardinespool.programs.command_line.session import DEFAULT_SETTINGS_FILE
from sardinespool.programs.command_line.session import handle_errors
from sardinespool.programs.command_line.session import open_session
from sardinespool.programs.command_line.session import Session
from sardinespool.programs.command_line.session import SettingsFile

patch_app = typer.Typer(
    help="Submit, review and approve configuration changes.",
    no_args_is_help=True,
)
domains_app = typer.Typer(
    help="Take failure domains out of service and return them.",
    no_args_is_help=True,
)

PatchId = Annotated[
    str,
    typer.Option(
        "--patch-id", help="Patch ID; use the same one to resend a patch."
    ),
]
Base = Annotated[
    int | None,
    typer.Option(
        "--base", min=0, help="Base version; defaults to the current one."
    ),
]
DomainName = Annotated[str, typer.Argument(help="Name of the failure domain.")]


@patch_app.command("submit")
@handle_errors
def submit_patch(
    file: Annotated[
        str, typer.Argument(help="YAML file with a list of {op, key, value}.")
    ] = "",
    settings_values: Annotated[
        list[str] | None,
        typer.Option(
            "--set", metavar="KEY=JSON", help="Set a key to a JSON value."
        ),
    ] = None,
    removals: Annotated[
        list[str] | None,
        typer.Option("--remove", metavar="KEY", help="Remove a key."),
    ] = None,
    patch_id: PatchId = "",
    base: Base = None,
    dry_run: Annotated[
        bool,
        typer.Option(
            "--dry-run", help="Only show the effect on the current version."
        ),
    ] = False,
    as_json: AsJson = False,
    settings: SettingsFile = DEFAULT_SETTINGS_FILE,
) -> None:
    """Submit a patch against a base version."""
    changes = patch_changes.parse_changes(
        file, settings_values or (), removals or ()
    )
    with open_session(settings, as_json) as session:
        if dry_run:
            patch_changes.dry_run(session, base, changes)
        else:
            patch_changes.submit(session, patch_id, base, changes)


@patch_app.command("approve")
@handle_errors
def approve_patch(
    patch_id: str,
    digest: Annotated[str, typer.Argument(help="Digest from the receipt.")],
    as_json: AsJson = False,
    settings: SettingsFile = DEFAULT_SETTINGS_FILE,
) -> None:
    """Approve a pending patch; its author is not allowed to."""
    with open_session(settings, as_json) as session:
        path = f"patches/{quote_segment(patch_id)}/approve"
        session.output.print_fields(
            session.client.post(path, {"digest": digest})
        )


@patch_app.command("reject")
@handle_errors
def reject_patch(
    patch_id: str,
    as_json: AsJson = False,
    settings: SettingsFile = DEFAULT_SETTINGS_FILE,
) -> None:
    """Reject a pending patch."""
    with open_session(settings, as_json) as session:
        path = f"patches/{quote_segment(patch_id)}/reject"
        session.output.print_fields(session.client.post(path))


@patch_app.command("list")
@handle_errors
def list_patches(
    as_json: AsJson = False,
    settings: SettingsFile = DEFAULT_SETTINGS_FILE,
) -> None:
    """List the pending patches."""
    with open_session(settings, as_json) as session:
        answer = session.client.get("patches")
        patches = msgspec.convert(answer, PatchList).patches
        session.output.print_table(
            answer,
            ("patch", "author", "base", "keys", "digest"),
            [
                (
                    patch.receipt.patch_id,
                    patch.author,
                    patch.receipt.base_version,
                    [change.key for change in patch.changes],
                    patch.receipt.digest,
                )
                for patch in patches
            ],
        )


@patch_app.command("diff")
@handle_errors
def diff_patch(
    patch_id: str,
    as_json: AsJson = False,
    settings: SettingsFile = DEFAULT_SETTINGS_FILE,
) -> None:
    """Compare a patch with the current version."""
    with open_session(settings, as_json) as session:
        base, changes = patch_changes.find_changes(session, patch_id)
        current = patch_changes.read_configuration(session)
        if base != current.version:
            session.output.print_note(
                f"base {base} is not the current version {current.version}"
            )
        patch_changes.print_diff(session, base, current, changes)


def _require_reported_domain(session: Session, domain: str) -> None:
    """Reject the name of a failure domain that has not reported yet.

    The configuration accepts any name, so a misspelt one would be approved
    without effect. To configure a failure domain before it reports for the
    first time, use ``patch submit``.
    """
    answer = session.client.get("status")
    status = msgspec.convert(answer, ConfigurationStatusReply)
    known_domains = [item.failure_domain for item in status.domains]
    if domain not in known_domains:
        raise NoFailureDomainError(
            f"Failure domain {domain} has not reported yet.",
            known=known_domains,
        )


def _submit_domain_state(
    domain: str,
    state: str,
    patch_id: str,
    base: int | None,
    settings: str,
    as_json: bool,
) -> None:
    change = Change(
        op="set", key=f"failure_domains/{domain}", value={"state": state}
    )
    with open_session(settings, as_json) as session:
        _require_reported_domain(session, domain)
        patch_changes.submit(session, patch_id, base, (change,))


@domains_app.command("drain")
@handle_errors
def drain_domain(
    domain: DomainName,
    patch_id: PatchId = "",
    base: Base = None,
    as_json: AsJson = False,
    settings: SettingsFile = DEFAULT_SETTINGS_FILE,
) -> None:
    """Submit a patch that takes a failure domain out of service."""
    _submit_domain_state(
        domain, "out-of-service", patch_id, base, settings, as_json
    )


@domains_app.command("return")
@handle_errors
def return_domain(
    domain: DomainName,
    patch_id: PatchId = "",
    base: Base = None,
    as_json: AsJson = False,
    settings: SettingsFile = DEFAULT_SETTINGS_FILE,
) -> None:
    """Submit a patch that returns a failure domain to service."""
    _submit_domain_state(
        domain, "in-service", patch_id, base, settings, as_json
    )


@domains_app.command("restrict")
@handle_errors
def restrict_domain(
    domain: DomainName,
    as_json: AsJson = False,
    settings: SettingsFile = DEFAULT_SETTINGS_FILE,
) -> None:
    """Stop task starts directly at the domain, without the global group.

    A later version that returns the domain to service lifts the restriction.
    """
    with open_session(settings, as_json) as session:
        path = f"failure-domains/{quote_segment(domain)}/restrict"
        answer = session.client.post(path)
        session.output.print_fields({"failure_domain": domain, **answer})


@domains_app.command("list")
@handle_errors
def list_domains(
    as_json: AsJson = False,
    settings: SettingsFile = DEFAULT_SETTINGS_FILE,
) -> None:
    """List failure domains with their state and configuration version."""
    with open_session(settings, as_json) as session:
        answer = session.client.get("status")
        status = msgspec.convert(answer, ConfigurationStatusReply)
        session.output.print_table(
            answer,
            ("failure domain", "state", "version", "reported"),
            [
                (
                    domain.failure_domain,
                    "in service" if domain.in_service else "out of service",
                    domain.version,
                    format_time(domain.reported_unix_ms),
                )
                for domain in status.domains
            ],
        )
