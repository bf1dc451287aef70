"""Run a sidecar without the libraries of the command line; ``python -m arrowrail sidecar`` executes this."""

import argparse
import sys
from pathlib import Path

from arrowrail.sidecar.main import main

parser = argparse.ArgumentParser(prog="python -m arrowrail.sidecar", description=__doc__)
parser.add_argument("application")
parser.add_argument("--config", type=Path, required=True)
parser.add_argument("--log-form", choices=("text", "json"))
arguments = parser.parse_args()
sys.exit(main(arguments.application, arguments.config, arguments.log_form))
