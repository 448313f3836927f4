"""Folders of members whose writes are refused beyond a size, or all."""

import errno
import os
import pathlib

import pytest


class LimitedDisks:
    """Refuses writes to folders that are full, or would be.

    Attributes
    ----------
    full : set of pathlib.Path
        Folders to which every write is refused.
    """

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, limit_bytes: int
    ) -> None:
        self.full: set[pathlib.Path] = set()
        self._limit_bytes = limit_bytes
        self._write = os.write
        self._open = os.open
        monkeypatch.setattr(os, "write", self._write_limited)
        monkeypatch.setattr(os, "open", self._open_limited)
        # Processes are killed, but no power is lost.
        monkeypatch.setattr(os, "fsync", lambda descriptor: None)
        monkeypatch.setattr(os, "fdatasync", lambda descriptor: None)

    def _write_limited(self, descriptor: int, data: bytes) -> int:
        path = pathlib.Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        self._check(path.parent, len(data))
        return self._write(descriptor, data)

    def _open_limited(
        self, path: os.PathLike[str], flags: int, mode: int = 0o777
    ) -> int:
        if flags & os.O_CREAT and not os.path.exists(path):
            self._check(pathlib.Path(path).parent, 0)
        return self._open(path, flags, mode)

    def _check(self, folder: pathlib.Path, added_bytes: int) -> None:
        if folder in self.full or (
            added_bytes
            and used_bytes(folder) + added_bytes > self._limit_bytes
        ):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


def used_bytes(folder: pathlib.Path) -> int:
    """Return the size of the files of a folder."""
    return sum(path.stat().st_size for path in folder.iterdir())
