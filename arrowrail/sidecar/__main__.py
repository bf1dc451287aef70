"""The sidecar's process, without the command line's libraries: ``python -m arrowrail sidecar`` becomes it."""

import argparse
import sys
from pathlib import Path

from arrowrail.sidecar.main import main

parser = argparse.ArgumentParser(prog="python -m arrowrail.sidecar", description=__doc__)
parser.add_argument("application")
parser.add_argument("--config", type=Path, required=True)
parser.add_argument("--log-form", choices=("text", "json"))
given = parser.parse_args()
sys.exit(main(given.application, given.config, given.log_form))
