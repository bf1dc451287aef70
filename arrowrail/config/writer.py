"""Generates the record file of an application from the inventory and a few answers.

A file is written only if it passes the check.  A file that was edited by hand is not overwritten without
listing what would be lost; the first line holds a digest of the generated text to detect edits.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from fractions import Fraction
from pathlib import Path

from arrowrail.config import units
from arrowrail.config.atomic_file import write_atomically
from arrowrail.config.checker import CheckResult, TableReader, check_folder
from arrowrail.config.diagnostics import FAULT, Diagnostics, quote, suggestion
from arrowrail.config.loader import SUFFIX, RecordLoader
from arrowrail.config.records import Limits, Pool
from arrowrail.config.rules import Inventory, connections_per_exchange, normalized_address
from arrowrail.config.schema import NAME, String, TableRef, keys_of
from arrowrail.config.show import effective_values
from arrowrail.pools.config import fallback_order

HEADER_PREFIX = "// written by arrowrail config write; digest "
FIRST_PORT, LAST_PORT = 5081, 5999
TIME_OUT_STEP = 10 * units.MS
DEFAULT_ATTEMPTS = 2
DEFAULT_RATE = "50/s"
DEFAULT_GIVE_UP = "3s"


class WriteError(Exception):
    """Nothing was written; each line gives a reason."""

    def __init__(self, *lines: str) -> None:
        super().__init__("; ".join(lines))
        self.lines = lines


@dataclass(frozen=True, slots=True)
class Answers:
    """The operator's choices; the tool decides where a value is empty or ``None``."""

    application: str
    inventory: str = "inventory" + SUFFIX
    sip: str | None = None
    m3ua: str | None = None
    districts: tuple[str, ...] = ()
    classes: tuple[str, ...] = ()
    open: int | None = None
    rate: str | None = None
    give_up: str | None = None


@dataclass(frozen=True, slots=True)
class WriteResult:
    """The file, whether it changed, and the edits that were overwritten."""

    path: Path
    changed: bool
    discarded: tuple[str, ...] = ()


def digest(body: str) -> str:
    return hashlib.sha256(body.encode()).hexdigest()[:16]


def edited(text: str) -> bool:
    """Return whether a file differs from what the tool wrote, or was not written by it."""
    first, _, body = text.partition("\n")
    return not first.startswith(HEADER_PREFIX) or first.removeprefix(HEADER_PREFIX).strip() != digest(body)


def write_application(folder: Path, answers: Answers, force: bool = False) -> WriteResult:
    """Write ``NAME.rail``; raise ``WriteError`` with the faults, or with the edits that need ``force``."""
    if not NAME.fullmatch(answers.application):
        raise WriteError(f"{quote(answers.application)} can't be used as a name")
    before = check_folder(folder)
    inventory = _inventory(folder, answers)
    body = _body(before, inventory, answers)
    text = f"{HEADER_PREFIX}{digest(body)}\n{body}"
    name = answers.application + SUFFIX
    path = folder / name
    try:
        old = path.read_text(encoding="utf-8") if path.exists() else None
    except (OSError, UnicodeDecodeError) as error:
        raise WriteError(f"{path}: cannot read the file to be replaced: {error}") from error
    if old == text:
        return WriteResult(path, False)
    after = check_folder(folder, {name: text.encode()})
    remaining_faults = [
        str(fault) for fault in after.diagnostics if fault.severity == FAULT and fault.location.file == name
    ]
    if remaining_faults:
        raise WriteError("the generated file does not pass the check:", *remaining_faults)
    discarded: tuple[str, ...] = ()
    if old is not None and edited(old):
        discarded = tuple(_discarded_parts(before, after, answers.application, old, text))
        if not force:
            raise WriteError(f"{path} was edited; --force overwrites it, and this would be lost:", *discarded)
    try:
        write_atomically(path, text.encode())
    except OSError as error:
        raise WriteError(f"{path}: cannot be written: {error.strerror}") from error
    return WriteResult(path, True, discarded)


def _inventory(folder: Path, answers: Answers) -> Inventory:
    """Read the inventory alone, without the other files of the folder."""
    path = folder / answers.inventory
    if not path.is_file():
        raise WriteError(f"{path}: no such inventory")
    diagnostics = Diagnostics()
    inventory = TableReader(diagnostics).inventory(RecordLoader(folder, diagnostics).load(answers.inventory))
    if diagnostics.has_faults:
        faults = [str(fault) for fault in diagnostics if fault.severity == FAULT]
        raise WriteError("the inventory does not pass the check:", *faults)
    return inventory


def _select(requested: tuple[str, ...], known: Iterable[str], what: str) -> list[str]:
    """Return the requested names, which must be known, or all known names if none are requested."""
    names = list(known)
    for name in requested:
        if name not in names:
            raise WriteError(f"no {what} {quote(name)}; {suggestion(name, names)}")
    return list(dict.fromkeys(requested)) or names


def _pool_for(inventory: Inventory, district: str) -> Pool | None:
    """Return the pool named like the district, or else that with most exchanges of it in service.

    Only pools that can serve calls, if need be through a fall-back, are considered.
    """

    def serves(pool: Pool) -> bool:
        """Return whether the pool or one of its fall-backs has an exchange in service."""
        order = fallback_order(inventory.fallbacks, pool.name)
        members = [
            inventory.exchanges[exchange]
            for name in order
            for exchange in inventory.pools[name].exchanges
            if exchange in inventory.exchanges
        ]
        return any(exchange.state == "in_service" for exchange in members)

    named = inventory.pools.get(district)
    if named is not None and serves(named):
        return named
    best: tuple[int, int, str] | None = None
    for pool in inventory.pools.values():
        members = [
            inventory.exchanges[exchange] for exchange in pool.exchanges if exchange in inventory.exchanges
        ]
        local_count = sum(
            1 for exchange in members if exchange.district == district and exchange.state == "in_service"
        )
        if local_count and serves(pool):
            rank = (-local_count, len(members), pool.name)
            best = min(best, rank) if best is not None else rank
    return inventory.pools[best[2]] if best is not None else None


def _quantity(text: str, kind: str, option: str) -> int | Fraction:
    try:
        found, value = units.read(text)
    except units.UnitError as error:
        raise WriteError(f"{option} {quote(text)}: {error}") from error
    if found != kind or isinstance(value, float):
        raise WriteError(f"{option} {quote(text)}: expected a {kind} with its unit: {units.unit_names(kind)}")
    return value


def _free_port(before: CheckResult, inventory: Inventory, name: str) -> str:
    taken = {normalized_address(exchange.address)[1] for exchange in inventory.exchanges.values()}
    for application in before.applications.values():
        if application.name != name:
            taken |= {
                normalized_address(address)[1]
                for address in (application.listen.sip, application.listen.m3ua)
                if address
            }
    port = next((port for port in range(FIRST_PORT, LAST_PORT) if port not in taken), None)
    if port is None:
        raise WriteError(f"no free port from {FIRST_PORT} to {LAST_PORT}; set one with --sip")
    return f"127.0.0.1:{port}"


def _body(before: CheckResult, inventory: Inventory, answers: Answers) -> str:
    assert inventory.site is not None
    classes = _select(answers.classes, inventory.classes, "class")
    district_names = _select(answers.districts, inventory.districts, "district")
    pools = {name: pool for name in district_names if (pool := _pool_for(inventory, name)) is not None}
    unserved = [name for name in district_names if name not in pools]
    if unserved and answers.districts:
        raise WriteError(f"no pool with an exchange in service serves {', '.join(unserved)}")
    if not pools or not classes:
        raise WriteError(
            "the inventory has no class, or no district with a pool that has an exchange in service"
        )
    give_up = int(_quantity(answers.give_up or DEFAULT_GIVE_UP, units.DURATION, "--give-up"))
    give_up = min([give_up, *(inventory.classes[name].give_up for name in classes)])
    pauses = (DEFAULT_ATTEMPTS - 1) * inventory.site.release_pause
    attempts = DEFAULT_ATTEMPTS if give_up - pauses >= DEFAULT_ATTEMPTS * TIME_OUT_STEP else 1
    time_out = (
        (give_up - (attempts - 1) * inventory.site.release_pause) // attempts // TIME_OUT_STEP * TIME_OUT_STEP
    )
    if time_out < TIME_OUT_STEP:
        raise WriteError(f"--give-up {units.write(units.DURATION, give_up)} leaves no time for an attempt")
    rate = Fraction(_quantity(answers.rate or DEFAULT_RATE, units.RATE, "--rate"))
    reachable = {
        exchange
        for pool in pools.values()
        for name in fallback_order(inventory.fallbacks, pool.name)
        for exchange in inventory.pools[name].exchanges
        if exchange in inventory.exchanges
    }
    circuits = sum(inventory.exchanges[exchange].circuits for exchange in reachable)
    rate_bound = max(1, int(rate * (give_up + units.S) / units.S))
    open_ = answers.open if answers.open is not None else min(circuits, rate_bound)
    connections = {key.name: key.default for key in keys_of(Limits)}["connections"]
    descriptors = 1024
    # 16: rules.RESERVED_DESCRIPTORS, as in the check of the limits.
    while connections + 16 + len(reachable) * connections_per_exchange(descriptors) > descriptors:
        descriptors *= 2
    sip = answers.sip or (None if answers.m3ua else _free_port(before, inventory, answers.application))
    strings, district_ref, pool_ref = String(), TableRef("district"), TableRef("pool")
    lines = [
        f"include {strings.format(answers.inventory)}",
        "",
        f"application: {strings.format(answers.application)}: {{",
    ]
    if sip:
        lines.append(f"  listen: sip: {strings.format(sip)}")
    if answers.m3ua:
        lines.append(f"  listen: m3ua: {strings.format(answers.m3ua)}")
    lines += [f"  serves: [{', '.join(district_ref.format(name) for name in pools)}]", "  calls: {"]
    for number, name in enumerate(classes):
        by_district = ", ".join(
            f"{strings.format(district)}: {pool_ref.format(pool.name)}" for district, pool in pools.items()
        )
        category = f", category: {number}" if answers.m3ua and len(classes) > 1 else ""
        lines.append(
            f"    {strings.format(name)}: {{give_up: {units.write(units.DURATION, give_up)}, "
            f"time_out: {units.write(units.DURATION, time_out)}, "
            f"pools: {{{by_district}}}{category}}}"
        )
    lines += [
        "  }",
        f"  limits: {{open: {open_}, rate: {units.write(units.RATE, rate)}}}",
        f"  attempts: {attempts}",
    ]
    if descriptors != 1024:
        lines.append(f"  descriptors: {descriptors}")
    lines += ["}", ""]
    return "\n".join(lines)


def _discarded_parts(before: CheckResult, after: CheckResult, name: str, old: str, new: str) -> list[str]:
    """List the values that would change and the comments that would be lost."""
    discarded: list[str] = []
    if name in before.applications:
        current = {
            value.key_path: value.value
            for value in effective_values(before, name)
            if value.key_path.startswith("application.")
        }
        replacement = {
            value.key_path: value.value
            for value in effective_values(after, name)
            if value.key_path.startswith("application.")
        }
        for key, text in current.items():
            if replacement.get(key) != text:
                discarded.append(f"{key}: {text} (would be {replacement.get(key, 'absent')})")
    else:
        kept = set(new.splitlines())
        discarded += [line.strip() for line in old.splitlines() if line.strip() and line not in kept]
    comments = [
        line.strip() for line in old.splitlines() if "//" in line and not line.startswith(HEADER_PREFIX)
    ]
    discarded += [f"the comment {quote(comment)}" for comment in comments]
    return discarded or ["only its formatting"]
