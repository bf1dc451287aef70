"""Turns an operator's TOML file of before into records that mean the same."""

from __future__ import annotations

from pathlib import Path

from arrowrail.config import units
from arrowrail.config.before import Operator, read
from arrowrail.config.controller import read_controller
from arrowrail.config.files import write_atomically
from arrowrail.config.load import SUFFIX
from arrowrail.config.schema import Text


class ConvertError(Exception):
    """Nothing was written; each line says why."""

    def __init__(self, *lines: str) -> None:
        super().__init__("; ".join(lines))
        self.lines = lines


def convert(file: Path, folder: Path, force: bool = False) -> tuple[list[Path], list[str]]:
    """Write ``NAME.rail`` beside what the folder holds; returns the files written and what to look at."""
    operator, faults = read(file)
    if operator is None:
        raise ConvertError(*(str(f) for f in faults))
    path = folder / (file.stem + SUFFIX)
    if path.exists() and not force:
        raise ConvertError(f"{path} is there already; --force writes over it")
    text = render(operator, file.name)
    folder.mkdir(parents=True, exist_ok=True)
    try:
        write_atomically(path, text.encode())
    except OSError as wrong:
        raise ConvertError(f"{path}: can't be written: {wrong.strerror}") from wrong
    found, after = read_controller(path)
    if found is None:  # a value that was good before and is none now: the file stays, to be mended
        raise ConvertError(f"{path} was written, and has faults:", *(str(f) for f in after))
    return [path], [str(f) for f in after]


def render(o: Operator, name: str) -> str:
    """The records of an operator's file; values at their defaults are left out, as nobody stated them."""
    text = Text()
    given = o.model_fields_set
    lines = [f"// converted from {name}", "controller: {", f"  application: {text.write(o.application)}"]
    if "log" in given:
        lines.append(f"  log: level: {text.write(o.log.level)}")
    if "m3ua" in given:
        lines += _m3ua(o, text)
    if "etcd" in given:
        e = o.etcd
        lines += [
            "  etcd: {",
            f"    enabled: {'true' if e.enabled else 'false'}",
            f"    address: {text.write(e.address)}",
            f"    prefix: {text.write(e.prefix)}",
            "  }",
        ]
    return "\n".join([*lines, "}", ""])


def _ms(value: int) -> str:
    return units.write(units.DURATION, value * units.MS)


def _m3ua(o: Operator, text: Text) -> list[str]:
    m = o.m3ua
    lines = ["  m3ua: {", f"    enabled: {'true' if m.enabled else 'false'}"]
    lines += [f"    listen: {text.write(m.listen)}", f"    point_code: {m.point_code}"]
    for name in ("routing_context", "network_appearance"):
        value = getattr(m, name)
        if value is not None:
            lines.append(f"    {name}: {value}")
    lines += [f"    heartbeat: {_ms(m.heartbeat_ms)}", f"    circuits: {m.circuits}"]
    rows: dict[str, list[str]] = {"classes": [], "numbers": [], "desks": []}
    for c in m.classes:
        row = f"class: {text.write(c.name)}, deadline: {_ms(c.deadline_ms)}"
        for name in ("category", "requirement"):
            value = getattr(c, name)
            row += f", {name}: {value}" if value is not None else ""
        rows["classes"].append(row)
    rows["numbers"] = [f"prefix: {text.write(n.prefix)}, exchange: {n.exchange}" for n in m.numbers]
    for d in m.desks:
        row = f"uid: {text.write(d.uid)}, address: {text.write(d.address)}, point_code: {d.point_code}"
        row += f", exchange: {d.exchange}, zone: {text.write(d.zone)}, circuits: {d.circuits}"
        rows["desks"].append(row)
    for name, found in rows.items():
        if found:
            lines += [f"    {name}: [", *(f"      {{{row}}}" for row in found), "    ]"]
    return [*lines, "  }"]
