"""The operator's file of a controller that the platform starts: read and checked by the schema of records."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from arrowrail.config.faults import Faults, Place, nearest, shown
from arrowrail.config.load import Folder
from arrowrail.config.records import Controller, ControllerFile
from arrowrail.config.schema import BAD, Reading, read_record


def read_controller(path: Path, class_names: Iterable[str] | None = None) -> tuple[Controller | None, Faults]:
    """The file's ``controller``, or every fault in it; with class names, against the platform's settings."""
    faults = Faults()
    if path.suffix == ".toml":
        faults.add("AR107", Place(str(path), 1, 1), "", "a TOML file of before",
                   f"turn it into records: python -m arrowrail config convert {path}")  # fmt: skip
        return None, faults
    if not path.is_file():
        faults.add("AR101", Place(str(path)), "", "no such file")
        return None, faults
    loaded = Folder(path.parent, faults).load(path.name)
    r = Reading(faults, loaded.root, loaded.whole)
    read = read_record(ControllerFile, loaded.root, r, "", "")
    if read is BAD:
        return None, faults
    controller: Controller = read.controller
    _across(controller, faults)
    if class_names is not None:
        _against(controller, tuple(class_names), faults)
    return (None if faults.bad else controller), faults


def _across(c: Controller, faults: Faults) -> None:
    """What no single key shows: things that are named twice, or missing once a part is turned on."""
    m = c.m3ua
    for key, named in (
        ("desks", [(d.uid, d.place("uid")) for d in m.desks]),
        ("desks", [(d.address, d.place("address")) for d in m.desks]),
        ("numbers", [(n.prefix, n.place("prefix")) for n in m.numbers]),
    ):
        seen: dict[str, Place] = {}
        for value, place in named:
            if value in seen:
                faults.add("AR214", place, f"controller.m3ua.{key}", shown(value), other=seen[value])
            seen.setdefault(value, place)
    for at, desk in enumerate(m.desks):
        if desk.point_code == m.point_code:
            faults.add("AR313", desk.place("point_code"), f"controller.m3ua.desks[{at}].point_code",
                       f"{desk.point_code} is the controller's own", other=m.place("point_code"))  # fmt: skip
    if m.enabled:
        for key, there in (("classes", m.classes), ("numbers", m.numbers)):
            if not there:
                faults.add("AR317", m.at, f"controller.m3ua.{key}", f"enabled without {key}")


def _against(c: Controller, names: tuple[str, ...], faults: Faults) -> None:
    for at, rule in enumerate(c.m3ua.classes):
        if rule.class_ not in names:
            faults.add("AR208", rule.place("class"), f"controller.m3ua.classes[{at}].class",
                       f"{shown(rule.class_)} is no class of the settings; "
                       f"{nearest(rule.class_, names)}")  # fmt: skip
