"""Durable file operations."""

import contextlib
import os
import pathlib

TEMPORARY_SUFFIX = ".tmp"


def sync_folder(folder: pathlib.Path) -> None:
    """Make the creation, renaming and removal of a folder's files durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def create_folder(folder: pathlib.Path) -> None:
    """Create a folder and its parents durably.

    Without the syncs, a crash could remove a new folder. The member would
    then start as if it had lost its disk.
    """
    if not folder.exists():
        create_folder(folder.parent)
        folder.mkdir(exist_ok=True)
        sync_folder(folder.parent)


def write_all(descriptor: int, data: bytes) -> None:
    """Write all bytes, since a single `os.write` may be partial."""
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[os.write(descriptor, remaining) :]


def replace_file_atomically(path: pathlib.Path, *parts: bytes) -> None:
    """Atomically replace a file: write to a temporary file, sync, rename.

    After a crash the path has either the old or the new content, which is
    the concatenation of `parts`. A write that fails leaves no file behind.
    """
    temporary_path = path.with_name(path.name + TEMPORARY_SUFFIX)
    descriptor = os.open(
        temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644
    )
    try:
        for part in parts:
            write_all(descriptor, part)
        os.fsync(descriptor)
    except OSError:
        with contextlib.suppress(OSError):
            temporary_path.unlink()
        raise
    finally:
        os.close(descriptor)
    os.rename(temporary_path, path)
    sync_folder(path.parent)
