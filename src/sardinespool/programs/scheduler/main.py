"""Entry point of ``sardinespool-scheduler``."""

import asyncio

from sardinespool.programs.daemon import run_daemon
from sardinespool.programs.scheduler.scheduler_process import SchedulerProcess
from sardinespool.settings.model import SchedulerSettings


def main() -> None:
    """Run the scheduler program."""
    run_daemon(
        "sardinespool-scheduler",
        "Place the tasks of a failure domain on its workers.",
        SchedulerSettings,
        lambda settings: asyncio.run(SchedulerProcess(settings).run()),
    )


if __name__ == "__main__":
    main()
