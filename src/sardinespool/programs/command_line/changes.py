"""Parsing, comparison and submission of the changes of a patch."""

import pathlib
import secrets
import time
from collections.abc import Sequence
from typing import Any

import msgspec
import typer
import yaml

from sardinespool.errors.configuration import PatchNotFoundError
from sardinespool.errors.configuration import VersionConflictError
from sardinespool.messages.configuration import Change
from sardinespool.messages.configuration import Configuration
from sardinespool.messages.configuration import PatchList
from sardinespool.messages.configuration import PatchReceipt
from sardinespool.messages.configuration import PatchRecord
from sardinespool.messages.configuration import VersionList
from sardinespool.messages.configuration import VersionRecord
from sardinespool.programs.command_line.session import Session

DiffRow = tuple[str, str, Any, Any]


def new_patch_id() -> str:
    """Return a new patch ID; IDs sort by creation time."""
    return f"patch-{int(time.time())}-{secrets.token_hex(4)}"


def parse_changes(
    file: str, settings: Sequence[str], removals: Sequence[str]
) -> tuple[Change, ...]:
    """Return the changes given by a file and by options.

    Raises
    ------
    typer.BadParameter
        The file or an option is malformed, or no change is given.
    """
    changes = list(_read_file(file)) if file else []
    for setting in settings:
        key, separator, text = setting.partition("=")
        if not separator:
            raise typer.BadParameter(f"{setting!r} is not KEY=JSON")
        try:
            value = msgspec.json.decode(text)
        except msgspec.MsgspecError as error:
            raise typer.BadParameter(
                f"value of {key} is not valid JSON: {error}"
            ) from error
        changes.append(Change(op="set", key=key, value=value))
    changes.extend(Change(op="remove", key=key) for key in removals)
    if not changes:
        raise typer.BadParameter(
            "no changes given; use a file, --set or --remove"
        )
    return tuple(changes)


def _read_file(file: str) -> tuple[Change, ...]:
    try:
        content = yaml.safe_load(pathlib.Path(file).read_text("utf-8"))
        return msgspec.convert(content, tuple[Change, ...])
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise typer.BadParameter(f"{file}: {error}") from error
    except msgspec.ValidationError as error:
        raise typer.BadParameter(
            f"{file}: {error}; expected a list of {{op, key, value}}"
        ) from error


def read_configuration(session: Session) -> Configuration:
    """Return the current configuration."""
    answer = session.client.get("configuration")
    return msgspec.convert(answer, Configuration)


def diff_changes(
    changes: Sequence[Change], values: dict[str, Any]
) -> list[DiffRow]:
    """Return the key, effect, present and new value of each change."""
    rows: list[DiffRow] = []
    for change in changes:
        present = values.get(change.key)
        if change.op == "remove":
            effect = "removed" if change.key in values else "unchanged"
            rows.append((change.key, effect, present, None))
        elif change.key not in values:
            rows.append((change.key, "added", None, change.value))
        else:
            effect = "unchanged" if present == change.value else "changed"
            rows.append((change.key, effect, present, change.value))
    return rows


def print_diff(
    session: Session,
    base_version: int,
    current: Configuration,
    changes: Sequence[Change],
) -> None:
    """Print the effect of changes on the current version."""
    rows = diff_changes(changes, current.values)
    answer = {
        "base_version": base_version,
        "current_version": current.version,
        "changes": [
            {"key": key, "effect": effect, "present": present, "new": new}
            for key, effect, present, new in rows
        ],
    }
    columns = ("key", "effect", "present", "new")
    session.output.print_table(answer, columns, rows)


def dry_run(
    session: Session, base_version: int | None, changes: Sequence[Change]
) -> None:
    """Print the effect of a patch, or reject it as the server would."""
    current = read_configuration(session)
    base = current.version if base_version is None else base_version
    if base != current.version:
        raise VersionConflictError(
            f"Base {base} is not the current version {current.version}.",
            current_version=current.version,
        )
    print_diff(session, base, current, changes)


def submit(
    session: Session,
    patch_id: str,
    base_version: int | None,
    changes: Sequence[Change],
) -> None:
    """Submit a patch and print its receipt and the next step.

    The patch ID and base version are printed first, so that the command can
    be repeated with the same effect if the response is lost.
    """
    if base_version is None:
        base_version = _find_base_version(session, patch_id)
    patch_id = patch_id or new_patch_id()
    session.output.print_note(
        f"patch id {patch_id}, base version {base_version}; to resend, add "
        f"--patch-id {patch_id} --base {base_version}"
    )
    answer = session.client.post(
        "patches",
        {
            "patch_id": patch_id,
            "base_version": base_version,
            "changes": changes,
        },
    )
    session.output.print_fields(answer)
    receipt = msgspec.convert(answer, PatchReceipt)
    if receipt.state == "pending":
        session.output.print_note(
            "not in force yet; an approver other than the author must run:\n"
            f"  sardinespool patch approve {receipt.patch_id} {receipt.digest}"
        )


def _find_base_version(session: Session, patch_id: str) -> int:
    """Return the base version of a patch submitted before, or the current.

    A resent patch must have the same base version as the first one.
    """
    if patch_id:
        pending = find_pending(session, patch_id)
        if pending is not None:
            return pending.receipt.base_version
        version = find_version(session, patch_id)
        if version is not None:
            return version.version - 1
    return read_configuration(session).version


def find_pending(session: Session, patch_id: str) -> PatchRecord | None:
    """Return the pending patch with this ID, or None."""
    answer = msgspec.convert(session.client.get("patches"), PatchList)
    for patch in answer.patches:
        if patch.receipt.patch_id == patch_id:
            return patch
    return None


def find_version(session: Session, patch_id: str) -> VersionRecord | None:
    """Return the version created by a patch, or None."""
    for version in read_versions(session, 0):
        if version.patch_id == patch_id:
            return version
    return None


def read_versions(session: Session, after: int) -> list[VersionRecord]:
    """Return all versions above `after`, read page by page."""
    versions: list[VersionRecord] = []
    while True:
        answer = session.client.get("versions", after=str(after))
        page = msgspec.convert(answer, VersionList).versions
        if not page or page[-1].version <= after:
            return versions
        versions.extend(page)
        after = page[-1].version


def find_changes(
    session: Session, patch_id: str
) -> tuple[int, tuple[Change, ...]]:
    """Return the base version and changes of a pending or approved patch."""
    pending = find_pending(session, patch_id)
    if pending is not None:
        return pending.receipt.base_version, pending.changes
    version = find_version(session, patch_id)
    if version is None:
        raise PatchNotFoundError(
            f"There is no pending or approved patch {patch_id}.",
            patch_id=patch_id,
        )
    return version.version - 1, version.changes
