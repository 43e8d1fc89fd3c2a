"""Write the catalogue pages into a folder: ``python -m turmericreach.telemetry FOLDER``."""

import sys
from pathlib import Path

from turmericreach.telemetry import render_event_catalogue, render_metric_catalogue

if __name__ == "__main__":
    folder = Path(sys.argv[1])
    folder.joinpath("events.md").write_text(render_event_catalogue(), encoding="utf-8")
    folder.joinpath("metrics.md").write_text(render_metric_catalogue(), encoding="utf-8")
