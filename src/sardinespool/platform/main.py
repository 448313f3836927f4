"""Entry point of the front and core processes."""

import asyncio
import gc
import os
import pathlib
import signal
import sys

from sardinespool.errors import SardinespoolError
from sardinespool.observability.json_log_writer import JsonLogWriter
from sardinespool.observability.logs import configure_logs
from sardinespool.observability.logs import get_logger
from sardinespool.observability.logs import use_json_lines
from sardinespool.platform.settings import load_platform_settings
from sardinespool.platform.settings import PlatformSettings
from sardinespool.platform.settings import SETTINGS_VARIABLE

EXIT_FAILED = 1
GC_THRESHOLD = 20_000
"""Allocation threshold of the youngest generation.

Reference counting frees almost everything; a full collection takes tens of
milliseconds on a small machine.
"""

_LOG = get_logger("main")


def main() -> None:
    """Run the role given on the command line, ``front`` or ``core``."""
    role = sys.argv[1] if len(sys.argv) > 1 else ""
    configure_logs()
    json_lines: JsonLogWriter | None = None
    try:
        path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
        settings = load_platform_settings(path)
        json_lines = use_json_lines(settings.node)
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD, 20, 50)
        asyncio.run(_run(role, settings))
    except SardinespoolError as error:
        _LOG.error(error.text, **{**error.details, "code": error.code})
        sys.exit(EXIT_FAILED)
    except OSError as error:
        _LOG.error("Operating system call failed.", reason=error)
        sys.exit(EXIT_FAILED)
    finally:
        if json_lines is not None:
            json_lines.close()


async def _run(role: str, settings: PlatformSettings) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    # SIGHUP reloads nothing: only the seeds may change while the process
    # runs, and they are used at startup only.
    loop.add_signal_handler(signal.SIGHUP, _LOG.info, "reload")
    # Imported here so that each role loads only the modules that it uses.
    match role:
        case "front":
            from sardinespool.platform.front_process import FrontProcess

            await FrontProcess(settings).run(stopping)
        case "core":
            from sardinespool.platform.core_process import CoreProcess

            await CoreProcess(settings).run(stopping)
        case _:
            raise SardinespoolError("Role must be front or core.", role=role)
