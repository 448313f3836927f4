"""Command line of the entry process."""

import asyncio

from sardinespool.programs.daemon import run_daemon
from sardinespool.programs.entry.entry_process import EntryProcess
from sardinespool.settings.model import EntrySettings


def main() -> None:
    """Run ``sardinespool-entry``."""
    run_daemon(
        "sardinespool-entry",
        "Routes callers' requests to the endpoints of a failure domain.",
        EntrySettings,
        lambda settings: asyncio.run(EntryProcess(settings).run()),
    )


if __name__ == "__main__":
    main()
