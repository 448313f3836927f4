"""Durable operations on files."""

import os
import pathlib

TEMPORARY_SUFFIX = ".tmp"


def sync_folder(folder: pathlib.Path) -> None:
    """Make created, renamed and removed names of a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_folder(folder: pathlib.Path) -> None:
    """Create a folder and its parents durably.

    A folder that vanished in a crash would be taken for a lost disk.
    """
    if not folder.exists():
        make_folder(folder.parent)
        folder.mkdir(exist_ok=True)
        sync_folder(folder.parent)


def write_all(descriptor: int, data: bytes) -> None:
    """Write all bytes; a single write may be partial."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def replace_file(path: pathlib.Path, data: bytes) -> None:
    """Replace a file by a temporary name, a sync and a rename.

    After a crash the path has either the old or the new content.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    descriptor = os.open(
        temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644
    )
    try:
        write_all(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.rename(temporary, path)
    sync_folder(path.parent)
