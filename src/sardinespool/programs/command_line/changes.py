"""Changes of a patch: read from options and files, compared, submitted."""

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
    """Return an id that sorts by time."""
    return f"patch-{int(time.time())}-{secrets.token_hex(4)}"


def parse_changes(
    file: str, settings: Sequence[str], removals: Sequence[str]
) -> tuple[Change, ...]:
    """Return the changes of a file and of options.

    Raises
    ------
    typer.BadParameter
        The file or an option is malformed, or there is no change.
    """
    changes = list(_read_file(file)) if file else []
    for setting in settings:
        key, separator, text = setting.partition("=")
        if not separator:
            raise typer.BadParameter(f"{setting!r} is not KEY=JSON")
        try:
            value = msgspec.json.decode(text)
        except msgspec.MsgspecError as error:
            raise typer.BadParameter(f"value of {key}: {error}") from error
        changes.append(Change(op="set", key=key, value=value))
    changes.extend(Change(op="remove", key=key) for key in removals)
    if not changes:
        raise typer.BadParameter("no change: give a file, --set or --remove")
    return tuple(changes)


def _read_file(file: str) -> tuple[Change, ...]:
    try:
        content = yaml.safe_load(pathlib.Path(file).read_text("utf-8"))
        return msgspec.convert(content, tuple[Change, ...])
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise typer.BadParameter(f"{file}: {error}") from error
    except msgspec.ValidationError as error:
        raise typer.BadParameter(
            f"{file}: {error}; a list of {{op, key, value}} is allowed"
        ) from error


def read_configuration(session: Session) -> Configuration:
    """Return the current version."""
    answer = session.client.get("configuration")
    return msgspec.convert(answer, Configuration)


def diff(changes: Sequence[Change], values: dict[str, Any]) -> list[DiffRow]:
    """Return key, effect, present and new value of each change."""
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
    """Print what changes would do to the current version."""
    rows = diff(changes, current.values)
    answer = {
        "base_version": base_version,
        "current_version": current.version,
        "changes": [
            {"key": key, "effect": effect, "present": present, "new": new}
            for key, effect, present, new in rows
        ],
    }
    columns = ("key", "effect", "present", "new")
    session.output.table(answer, columns, rows)


def dry_run(
    session: Session, base_version: int | None, changes: Sequence[Change]
) -> None:
    """Print what a patch would change, or refuse as the system would."""
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
    """Submit a patch and print its receipt and what is left to do.

    The id and the base version are printed first, so that the command can be
    repeated with the same effect when the answer is lost.
    """
    if base_version is None:
        base_version = _base_version(session, patch_id)
    patch_id = patch_id or new_patch_id()
    session.output.note(
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
    session.output.fields(answer)
    receipt = msgspec.convert(answer, PatchReceipt)
    if receipt.state == "pending":
        session.output.note(
            "not in force yet: an approver other than the author has to run\n"
            f"  sardinespool patch approve {receipt.patch_id} {receipt.digest}"
        )


def _base_version(session: Session, patch_id: str) -> int:
    """Return the base of a patch that was sent before, else the current.

    A resent patch must carry the base of the first one.
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
    """Return a pending patch, or None."""
    answer = msgspec.convert(session.client.get("patches"), PatchList)
    for patch in answer.patches:
        if patch.receipt.patch_id == patch_id:
            return patch
    return None


def find_version(session: Session, patch_id: str) -> VersionRecord | None:
    """Return the version that a patch made, or None."""
    for version in read_versions(session, 0):
        if version.patch_id == patch_id:
            return version
    return None


def read_versions(session: Session, after: int) -> list[VersionRecord]:
    """Return all versions above `after`, a page of the list at a time."""
    versions: list[VersionRecord] = []
    while True:
        answer = session.client.get("versions", after=str(after))
        page = msgspec.convert(answer, VersionList).versions
        if not page or page[-1].version <= after:
            return versions
        versions.extend(page)
        after = page[-1].version


def changes_of(
    session: Session, patch_id: str
) -> tuple[int, tuple[Change, ...]]:
    """Return base version and changes of a pending or approved patch."""
    pending = find_pending(session, patch_id)
    if pending is not None:
        return pending.receipt.base_version, pending.changes
    version = find_version(session, patch_id)
    if version is None:
        raise PatchNotFoundError(
            f"No pending or approved patch {patch_id}.", patch_id=patch_id
        )
    return version.version - 1, version.changes
