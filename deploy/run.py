"""Run a role on the users' platform from a source checkout."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from sardinespool.platform.main import main  # noqa: E402

main()
