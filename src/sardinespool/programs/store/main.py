"""Entry point of ``sardinespool-store``."""

import asyncio

from sardinespool.programs.daemon import run_daemon
from sardinespool.programs.store.store_process import StoreProcess
from sardinespool.settings.model import StoreSettings


def main() -> None:
    """Run the store program."""
    run_daemon(
        "sardinespool-store",
        "Run the replicated groups of a sardinespool store.",
        StoreSettings,
        lambda settings: asyncio.run(StoreProcess(settings).run()),
    )


if __name__ == "__main__":
    main()
