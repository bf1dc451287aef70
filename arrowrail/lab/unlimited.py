"""A sidecar that lets everything in: what the benchmark compares the limits with, on sockets."""

from __future__ import annotations

import sys
from pathlib import Path

from arrowrail.limits.limiter import ADMITTED_RESULT, AdmissionResult, Limiter
from arrowrail.run.log import configure_logging
from arrowrail.run.reader_process import read_and_wait
from arrowrail.sidecar.main import Sidecar


class NoLimits(Limiter):
    """Lets everything in and counts nothing."""

    def admit(self, now: int, class_name: str, connection: object) -> AdmissionResult:
        return ADMITTED_RESULT

    def setup_ended(self, now: int, class_name: str, connection: object, duration_ns: int) -> None:
        pass


def main(application: str, folder: Path) -> None:
    configure_logging("WARNING")
    result = read_and_wait("sidecar", folder, application, {})
    if result.value is None:
        raise RuntimeError(result.faults)
    sidecar = Sidecar(result.value, folder, 1)
    sidecar.admission.limiter = NoLimits(result.value.limits, 0)
    sidecar.run()


if __name__ == "__main__":
    main(sys.argv[1], Path(sys.argv[2]))
