"""Converts an operator's file in the former TOML format into equivalent records."""

from __future__ import annotations

from pathlib import Path

from arrowrail.config import units
from arrowrail.config.atomic_file import write_atomically
from arrowrail.config.controller_file import read_controller_file
from arrowrail.config.legacy_toml import OperatorTable, read_operator_file
from arrowrail.config.loader import SUFFIX
from arrowrail.config.schema import String


class ConvertError(Exception):
    """The conversion failed; each line gives a reason."""

    def __init__(self, *lines: str) -> None:
        super().__init__("; ".join(lines))
        self.lines = lines


def convert(file: Path, folder: Path, force: bool = False) -> tuple[list[Path], list[str]]:
    """Write ``NAME.rail`` to the folder; return the files written and the remaining diagnostics."""
    operator, faults = read_operator_file(file)
    if operator is None:
        raise ConvertError(*(str(fault) for fault in faults))
    path = folder / (file.stem + SUFFIX)
    if path.exists() and not force:
        raise ConvertError(f"{path} already exists; --force overwrites it")
    text = render(operator, file.name)
    folder.mkdir(parents=True, exist_ok=True)
    try:
        write_atomically(path, text.encode())
    except OSError as error:
        raise ConvertError(f"{path}: cannot be written: {error.strerror}") from error
    controller, diagnostics = read_controller_file(path)
    if controller is None:  # a value that is no longer valid; the file is kept for manual correction
        raise ConvertError(
            f"{path} was written, but has faults:", *(str(diagnostic) for diagnostic in diagnostics)
        )
    return [path], [str(diagnostic) for diagnostic in diagnostics]


def render(operator: OperatorTable, name: str) -> str:
    """Render an operator's file as records; tables that the operator did not set are omitted."""
    string_type = String()
    given = operator.model_fields_set
    lines = [
        f"// converted from {name}",
        "controller: {",
        f"  application: {string_type.format(operator.application)}",
    ]
    if "log" in given:
        lines.append(f"  log: level: {string_type.format(operator.log.level)}")
    if "m3ua" in given:
        lines += _m3ua(operator, string_type)
    if "etcd" in given:
        etcd = operator.etcd
        lines += [
            "  etcd: {",
            f"    enabled: {'true' if etcd.enabled else 'false'}",
            f"    address: {string_type.format(etcd.address)}",
            f"    prefix: {string_type.format(etcd.prefix)}",
            "  }",
        ]
    return "\n".join([*lines, "}", ""])


def _ms(value: int) -> str:
    return units.write(units.DURATION, value * units.MS)


def _m3ua(operator: OperatorTable, string_type: String) -> list[str]:
    m3ua = operator.m3ua
    lines = ["  m3ua: {", f"    enabled: {'true' if m3ua.enabled else 'false'}"]
    lines += [f"    listen: {string_type.format(m3ua.listen)}", f"    point_code: {m3ua.point_code}"]
    for name in ("routing_context", "network_appearance"):
        value = getattr(m3ua, name)
        if value is not None:
            lines.append(f"    {name}: {value}")
    lines += [f"    heartbeat: {_ms(m3ua.heartbeat_ms)}", f"    circuits: {m3ua.circuits}"]
    rows: dict[str, list[str]] = {"classes": [], "numbers": [], "desks": []}
    for class_table in m3ua.classes:
        row = f"class: {string_type.format(class_table.name)}, deadline: {_ms(class_table.deadline_ms)}"
        for name in ("category", "requirement"):
            value = getattr(class_table, name)
            row += f", {name}: {value}" if value is not None else ""
        rows["classes"].append(row)
    rows["numbers"] = [
        f"prefix: {string_type.format(number.prefix)}, exchange: {number.exchange}" for number in m3ua.numbers
    ]
    for desk in m3ua.desks:
        row = (
            f"uid: {string_type.format(desk.uid)}, address: {string_type.format(desk.address)}, "
            f"point_code: {desk.point_code}"
        )
        row += (
            f", exchange: {desk.exchange}, zone: {string_type.format(desk.zone)}, circuits: {desk.circuits}"
        )
        rows["desks"].append(row)
    for name, table_rows in rows.items():
        if table_rows:
            lines += [f"    {name}: [", *(f"      {{{row}}}" for row in table_rows), "    ]"]
    return [*lines, "  }"]
