"""Turns an operator's TOML file of before into records that mean the same."""

from __future__ import annotations

from pathlib import Path

from arrowrail.config import units
from arrowrail.config.atomic_file import write_atomically
from arrowrail.config.controller_file import read_controller_file
from arrowrail.config.legacy_toml import OperatorTable, read_operator_file
from arrowrail.config.loader import SUFFIX
from arrowrail.config.schema import String


class ConvertError(Exception):
    """Nothing was written; each line says why."""

    def __init__(self, *lines: str) -> None:
        super().__init__("; ".join(lines))
        self.lines = lines


def convert(file: Path, folder: Path, force: bool = False) -> tuple[list[Path], list[str]]:
    """Write ``NAME.rail`` beside what the folder holds; returns the files written and what to look at."""
    operator, diagnostics = read_operator_file(file)
    if operator is None:
        raise ConvertError(*(str(f) for f in diagnostics))
    path = folder / (file.stem + SUFFIX)
    if path.exists() and not force:
        raise ConvertError(f"{path} is there already; --force writes over it")
    text = render(operator, file.name)
    folder.mkdir(parents=True, exist_ok=True)
    try:
        write_atomically(path, text.encode())
    except OSError as error:
        raise ConvertError(f"{path}: can't be written: {error.strerror}") from error
    found, after = read_controller_file(path)
    if found is None:  # a value that was good before and is none now: the file stays, to be mended
        raise ConvertError(f"{path} was written, and has faults:", *(str(f) for f in after))
    return [path], [str(f) for f in after]


def render(operator: OperatorTable, name: str) -> str:
    """The records of an operator's file; values at their defaults are left out, as nobody stated them."""
    text = String()
    given = operator.model_fields_set
    lines = [
        f"// converted from {name}",
        "controller: {",
        f"  application: {text.format(operator.application)}",
    ]
    if "log" in given:
        lines.append(f"  log: level: {text.format(operator.log.level)}")
    if "m3ua" in given:
        lines += _m3ua(operator, text)
    if "etcd" in given:
        e = operator.etcd
        lines += [
            "  etcd: {",
            f"    enabled: {'true' if e.enabled else 'false'}",
            f"    address: {text.format(e.address)}",
            f"    prefix: {text.format(e.prefix)}",
            "  }",
        ]
    return "\n".join([*lines, "}", ""])


def _ms(value: int) -> str:
    return units.write(units.DURATION, value * units.MS)


def _m3ua(operator: OperatorTable, text: String) -> list[str]:
    m = operator.m3ua
    lines = ["  m3ua: {", f"    enabled: {'true' if m.enabled else 'false'}"]
    lines += [f"    listen: {text.format(m.listen)}", f"    point_code: {m.point_code}"]
    for name in ("routing_context", "network_appearance"):
        value = getattr(m, name)
        if value is not None:
            lines.append(f"    {name}: {value}")
    lines += [f"    heartbeat: {_ms(m.heartbeat_ms)}", f"    circuits: {m.circuits}"]
    rows: dict[str, list[str]] = {"classes": [], "numbers": [], "desks": []}
    for c in m.classes:
        row = f"class: {text.format(c.name)}, deadline: {_ms(c.deadline_ms)}"
        for name in ("category", "requirement"):
            value = getattr(c, name)
            row += f", {name}: {value}" if value is not None else ""
        rows["classes"].append(row)
    rows["numbers"] = [f"prefix: {text.format(n.prefix)}, exchange: {n.exchange}" for n in m.numbers]
    for d in m.desks:
        row = f"uid: {text.format(d.uid)}, address: {text.format(d.address)}, point_code: {d.point_code}"
        row += f", exchange: {d.exchange}, zone: {text.format(d.zone)}, circuits: {d.circuits}"
        rows["desks"].append(row)
    for name, found in rows.items():
        if found:
            lines += [f"    {name}: [", *(f"      {{{row}}}" for row in found), "    ]"]
    return [*lines, "  }"]
