"""Run a role on the users' platform from a source checkout."""

import pathlib
import signal
import sys

# By default, a SIGHUP before `main` installs its handler ends the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from sardinespool.platform.main import main  # noqa: E402

main()
