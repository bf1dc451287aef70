"""The former TOML format of the operator's file, which only the converter still reads."""

from __future__ import annotations

import tomllib
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from arrowrail.state.address import CALLED_NUMBER_DIGITS, parse_address


def _address(text: str) -> str:
    try:
        host, port = parse_address(text)
    except ValueError:
        port, host = -1, ""
    if not host or not 0 <= port <= 65535:
        raise ValueError("not an address and port")
    return text


def _digits(text: str) -> str:
    if any(digit not in CALLED_NUMBER_DIGITS for digit in text):
        raise ValueError("not a string of digits")
    return text


Address = Annotated[str, AfterValidator(_address)]
Byte = Annotated[int, Field(ge=0, le=255)]
# 24 bits hold the point codes of all national variants.
PointCode = Annotated[int, Field(ge=0, le=0xFFFFFF)]
Name = Annotated[str, Field(min_length=1, max_length=64)]


class Table(BaseModel):
    """Base of all tables: immutable, without implicit conversions or unknown keys."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class ClassTable(Table):
    """Selects the class and deadline of an M3UA client's set-up."""

    name: Name = Field(description="a class of the settings, 1 to 64 characters")
    deadline_ms: int = Field(ge=1, le=600_000, description="1 to 600000")
    category: Byte | None = Field(None, description="0 to 255, or absent for any")
    requirement: Byte | None = Field(None, description="0 to 255, or absent for any")


class NumberTable(Table):
    """Maps a number prefix to an exchange."""

    prefix: Annotated[str, AfterValidator(_digits)] = Field(
        description="digits 0-9, A-E; empty for all numbers"
    )
    exchange: int = Field(ge=0, le=65535, description="0 to 65535, an exchange of the list")


class DeskTable(Table):
    """A desk exchange with M3UA-style signalling."""

    uid: Name = Field(description="1 to 64 characters, unique")
    address: Address = Field(description='"address:port"')
    point_code: PointCode = Field(description="0 to 16777215")
    exchange: int = Field(ge=0, le=65535, description="0 to 65535")
    zone: str = Field("", description="a text")
    circuits: int = Field(0, ge=0, le=4095, description="1 to 4095, or 0 for the common value")


class M3uaTable(Table):
    """M3UA-style signalling."""

    enabled: bool = Field(False, description="true or false")
    listen: Address = Field("127.0.0.1:2905", description='"address:port" where clients connect')
    point_code: PointCode = Field(1, description="0 to 16777215")
    routing_context: int | None = Field(None, ge=0, le=0xFFFFFFFF, description="0 to 4294967295, or absent")
    network_appearance: int | None = Field(
        None, ge=0, le=0xFFFFFFFF, description="0 to 4294967295, or absent"
    )
    heartbeat_ms: int = Field(5000, ge=100, le=60_000, description="100 to 60000")
    circuits: int = Field(120, ge=1, le=4095, description="1 to 4095")
    classes: tuple[ClassTable, ...] = Field((), description="tables [[m3ua.classes]]")
    numbers: tuple[NumberTable, ...] = Field((), description="tables [[m3ua.numbers]]")
    desks: tuple[DeskTable, ...] = Field((), description="tables [[m3ua.desks]]")


class EtcdTable(Table):
    """The exchange list in etcd."""

    enabled: bool = Field(False, description="true or false")
    address: Address = Field("127.0.0.1:2379", description='"address:port" of the JSON gateway')
    prefix: str = Field("/arrowrail/desks/", min_length=1, description="a key prefix, not empty")


class LogTable(Table):
    """Logging."""

    level: str = Field(
        "INFO",
        pattern="^(TRACE|DEBUG|INFO|WARNING|ERROR)$",
        description="TRACE, DEBUG, INFO, WARNING or ERROR",
    )


class OperatorTable(Table):
    """Top level of the file."""

    application: Name = Field(description="the application's name, 1 to 64 characters")
    log: LogTable = Field(LogTable(), description="a table [log]")
    m3ua: M3uaTable = Field(M3uaTable(), description="a table [m3ua]")
    etcd: EtcdTable = Field(EtcdTable(), description="a table [etcd]")


@dataclass(frozen=True, slots=True)
class TomlFault:
    """An invalid key of the file and the values allowed for it."""

    file: str
    key: str
    message: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.file}: {self.key}: {self.message}; allowed: {self.allowed}"


def read_operator_file(path: Path) -> tuple[OperatorTable | None, list[TomlFault]]:
    """Read the file's content, or else every fault in it."""
    name = str(path)
    try:
        # Values are immutable: lists become tuples, as the strict models require.
        raw = _lists_to_tuples(tomllib.loads(path.read_text(encoding="utf-8")))
    except OSError as error:
        return None, [TomlFault(name, "-", f"cannot be read ({error.strerror})", "a readable TOML file")]
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return None, [TomlFault(name, "-", f"invalid TOML: {error}", "TOML 1.0 in UTF-8")]
    try:
        operator = OperatorTable.model_validate(raw)
    except ValidationError as error:
        faults = [
            _fault(name, item["loc"], item["type"], item["msg"], item.get("input")) for item in error.errors()
        ]
        return None, faults
    faults = list(_check_consistency(name, operator))
    return (None, faults) if faults else (operator, [])


def _lists_to_tuples(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _lists_to_tuples(item) for key, item in value.items()}
    return tuple(_lists_to_tuples(item) for item in value) if isinstance(value, list) else value


def _fault(file: str, path: tuple[int | str, ...], error_type: str, text: str, value: Any) -> TomlFault:
    key = "".join(f"[{step}]" if isinstance(step, int) else f".{step}" for step in path).lstrip(".")
    table, allowed = _allowed(path)
    if error_type == "missing":
        return TomlFault(file, key, "missing", allowed)
    if error_type == "extra_forbidden":
        return TomlFault(file, key, "unknown key", ", ".join(table.model_fields) if table else "no such key")
    shown = repr(value) if isinstance(value, str | int | float | bool) else type(value).__name__
    return TomlFault(file, key, f"{shown}: {text[0].lower()}{text[1:]}", allowed)


def _allowed(path: tuple[int | str, ...]) -> tuple[type[Table] | None, str]:
    """Return the table that contains a key, and the description of the values allowed for it."""
    table: type[Table] | None = OperatorTable
    description = "see the file"
    tables: dict[str, type[Table]] = {
        "log": LogTable, "m3ua": M3uaTable, "etcd": EtcdTable, "classes": ClassTable, "numbers": NumberTable,
        "desks": DeskTable,
    }  # fmt: skip
    for step in path:
        if isinstance(step, int) or table is None:
            continue
        field = table.model_fields.get(step)
        if field is None:
            return table, description
        description = field.description or description
        if step in tables:
            table = tables[step]
    return table, description


def _check_consistency(file: str, operator: OperatorTable) -> Iterable[TomlFault]:
    """Report duplicate names, addresses, prefixes and point codes, and tables that M3UA signalling lacks."""
    m3ua = operator.m3ua
    for key, values in (
        ("m3ua.desks.uid", [desk.uid for desk in m3ua.desks]),
        ("m3ua.desks.address", [desk.address for desk in m3ua.desks]),
        ("m3ua.numbers.prefix", [number.prefix for number in m3ua.numbers]),
    ):
        for duplicate in sorted({value for value in values if values.count(value) > 1}):
            yield TomlFault(file, key, f"{duplicate!r} occurs twice", "each once")
    for index, desk in enumerate(m3ua.desks):
        if desk.point_code == m3ua.point_code:
            yield TomlFault(
                file,
                f"m3ua.desks[{index}].point_code",
                "is the point code of the controller",
                "another point code",
            )
    if m3ua.enabled:
        for key, entries in (("classes", m3ua.classes), ("numbers", m3ua.numbers)):
            if not entries:
                yield TomlFault(
                    file, f"m3ua.{key}", "empty, although m3ua.enabled is set", f"at least one [[m3ua.{key}]]"
                )
