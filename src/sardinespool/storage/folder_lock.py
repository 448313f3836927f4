"""Exclusive lock on a data folder."""

import fcntl
import os
import pathlib

from sardinespool.errors.storage import DataFolderError
from sardinespool.storage.files import create_folder


class FolderLock:
    """File lock that is held until `release` or the end of the process."""

    def __init__(self, folder: pathlib.Path) -> None:
        try:
            create_folder(folder)
            self._descriptor = os.open(
                folder / "lock", os.O_RDWR | os.O_CREAT, 0o644
            )
        except OSError as error:
            raise DataFolderError(
                f"The data folder can't be created or locked: "
                f"{error.strerror}.",
                folder=str(folder),
            ) from error
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._descriptor)
            raise DataFolderError(
                "The data folder is in use by another process.",
                folder=str(folder),
            ) from error

    def release(self) -> None:
        """Release the lock; a second call does nothing."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
