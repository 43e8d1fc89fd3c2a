"""Run the demo by ``python -m demo``."""

import sys

from demo.main import app

sys.exit(app())
