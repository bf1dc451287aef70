"""A sidecar without limits, which the benchmark compares with one that has them."""

from __future__ import annotations

import sys
from pathlib import Path

from arrowrail.limits.limiter import ADMITTED_RESULT, AdmissionResult, Limiter
from arrowrail.run.log import configure_logging
from arrowrail.run.reader_process import read_and_wait
from arrowrail.sidecar.main import Sidecar


class UnlimitedLimiter(Limiter):
    """Admits every set-up and counts nothing."""

    def admit(self, now: int, class_name: str, connection: object) -> AdmissionResult:
        return ADMITTED_RESULT

    def set_up_ended(self, now: int, class_name: str, connection: object, duration_ns: int) -> None:
        pass


def main(application: str, folder: Path) -> None:
    configure_logging("WARNING")
    result = read_and_wait("sidecar", folder, application, {})
    if result.value is None:
        raise RuntimeError(result.faults)
    sidecar = Sidecar(result.value, folder, 1)
    sidecar.admission.limiter = UnlimitedLimiter(result.value.limits, 0)
    sidecar.run()


if __name__ == "__main__":
    main(sys.argv[1], Path(sys.argv[2]))
