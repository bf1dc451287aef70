"""Reads and checks the operator's record file of a controller that the platform starts."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from arrowrail.config.diagnostics import Diagnostics, Location, quote, suggestion
from arrowrail.config.loader import RecordLoader
from arrowrail.config.records import Controller, ControllerFile
from arrowrail.config.schema import INVALID, ReadContext, read_record


def read_controller_file(
    path: Path, class_names: Iterable[str] | None = None
) -> tuple[Controller | None, Diagnostics]:
    """Read and check the ``controller`` record; class rules must use one of the class names, if given."""
    diagnostics = Diagnostics()
    if path.suffix == ".toml":
        diagnostics.add(
            "AR107",
            Location(str(path), 1, 1),
            "",
            "a TOML file, which is no longer supported",
            f"convert it into records: python -m arrowrail config convert {path}",
        )
        return None, diagnostics
    if not path.is_file():
        diagnostics.add("AR101", Location(str(path)), "", "no such file")
        return None, diagnostics
    loaded = RecordLoader(path.parent, diagnostics).load(path.name)
    context = ReadContext(diagnostics, loaded.root, loaded.complete)
    root = read_record(ControllerFile, loaded.root, context, "", "")
    if root is INVALID:
        return None, diagnostics
    controller: Controller = root.controller
    _check_consistency(controller, diagnostics)
    if class_names is not None:
        _check_class_names(controller, tuple(class_names), diagnostics)
    return (None if diagnostics.has_faults else controller), diagnostics


def _check_consistency(controller: Controller, diagnostics: Diagnostics) -> None:
    """Report duplicate names, addresses, prefixes and point codes, and tables that M3UA signalling lacks."""
    m3ua = controller.m3ua
    for section, values in (
        ("desks", [(desk.uid, desk.location_of("uid")) for desk in m3ua.desks]),
        ("desks", [(desk.address, desk.location_of("address")) for desk in m3ua.desks]),
        ("numbers", [(rule.prefix, rule.location_of("prefix")) for rule in m3ua.numbers]),
    ):
        seen: dict[str, Location] = {}
        for value, location in values:
            if value in seen:
                diagnostics.add(
                    "AR214", location, f"controller.m3ua.{section}", quote(value), other=seen[value]
                )
            seen.setdefault(value, location)
    for index, desk in enumerate(m3ua.desks):
        if desk.point_code == m3ua.point_code:
            diagnostics.add(
                "AR313",
                desk.location_of("point_code"),
                f"controller.m3ua.desks[{index}].point_code",
                f"{desk.point_code} is the point code of the controller",
                other=m3ua.location_of("point_code"),
            )
    if m3ua.enabled:
        for section, entries in (("classes", m3ua.classes), ("numbers", m3ua.numbers)):
            if not entries:
                diagnostics.add(
                    "AR317", m3ua.location, f"controller.m3ua.{section}", f"enabled without {section}"
                )


def _check_class_names(controller: Controller, names: tuple[str, ...], diagnostics: Diagnostics) -> None:
    for index, rule in enumerate(controller.m3ua.classes):
        if rule.class_ not in names:
            diagnostics.add(
                "AR208",
                rule.location_of("class"),
                f"controller.m3ua.classes[{index}].class",
                f"{quote(rule.class_)} is not a class of the settings; {suggestion(rule.class_, names)}",
            )
