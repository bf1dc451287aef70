"""Makes an application's file from the inventory and a few answers.

What it writes passes the check, or is not written.  A file that somebody has edited is not written over
without saying what would be lost: the first line holds a digest of what the tool wrote.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from fractions import Fraction
from pathlib import Path

from arrowrail.config import units
from arrowrail.config.faults import FAULT, Faults, nearest, shown
from arrowrail.config.files import write_atomically
from arrowrail.config.folder import Checked, Tables, check
from arrowrail.config.load import SUFFIX, Folder
from arrowrail.config.records import Limits, Pool
from arrowrail.config.rules import Inventory, host_port, links_each
from arrowrail.config.schema import NAME, RefTo, Text, keys_of
from arrowrail.config.show import shown_values
from arrowrail.pools.config import fallback_order

MARK = "// written by arrowrail config write; digest "
FIRST_PORT, LAST_PORT = 5081, 5999
TIME_STEP = 10 * units.MS
ATTEMPTS = 2
RATE = "50/s"
GIVE_UP = "3s"


class WriteError(Exception):
    """Nothing was written; each line says why."""

    def __init__(self, *lines: str) -> None:
        super().__init__("; ".join(lines))
        self.lines = lines


@dataclass(frozen=True, slots=True)
class Answers:
    """What the operator said; empty or ``None`` where the tool decides."""

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
class Written:
    path: Path
    changed: bool
    lost: tuple[str, ...] = ()


def digest(body: str) -> str:
    return hashlib.sha256(body.encode()).hexdigest()[:16]


def edited(text: str) -> bool:
    """Whether a file is not, or no longer, as the tool wrote it."""
    first, _, body = text.partition("\n")
    return not first.startswith(MARK) or first.removeprefix(MARK).strip() != digest(body)


def write_application(folder: Path, answers: Answers, force: bool = False) -> Written:
    """Write ``NAME.rail``; ``WriteError`` says what is wrong, or what would be lost without ``force``."""
    if not NAME.fullmatch(answers.application):
        raise WriteError(f"{shown(answers.application)} can't be used as a name")
    before = check(folder)
    v = _inventory(folder, answers)
    body = _body(before, v, answers)
    text = f"{MARK}{digest(body)}\n{body}"
    name = answers.application + SUFFIX
    path = folder / name
    try:
        old = path.read_text(encoding="utf-8") if path.exists() else None
    except (OSError, UnicodeDecodeError) as wrong:
        raise WriteError(f"{path}: can't be read before it is replaced: {wrong}") from wrong
    if old == text:
        return Written(path, False)
    after = check(folder, {name: text.encode()})
    wrong_now = [str(f) for f in after.faults if f.severity == FAULT and f.place.file == name]
    if wrong_now:
        raise WriteError("what would be written does not pass the check:", *wrong_now)
    lost: tuple[str, ...] = ()
    if old is not None and edited(old):
        lost = tuple(_lost(before, after, answers.application, old, text))
        if not force:
            raise WriteError(f"{path} was edited; --force writes over it, and this would be lost:", *lost)
    try:
        write_atomically(path, text.encode())
    except OSError as wrong:
        raise WriteError(f"{path}: can't be written: {wrong.strerror}") from wrong
    return Written(path, True, lost)


def _inventory(folder: Path, answers: Answers) -> Inventory:
    """The inventory on its own, whatever else the folder holds."""
    path = folder / answers.inventory
    if not path.is_file():
        raise WriteError(f"{path}: no such inventory")
    faults = Faults()
    inventory = Tables(faults).inventory(Folder(folder, faults).load(answers.inventory))
    if faults.bad:
        wrong = [str(f) for f in faults if f.severity == FAULT]
        raise WriteError("the inventory does not pass the check:", *wrong)
    return inventory


def _pick(asked: tuple[str, ...], known: Iterable[str], what: str) -> list[str]:
    names = list(known)
    for name in asked:
        if name not in names:
            raise WriteError(f"no {what} {shown(name)}; {nearest(name, names)}")
    return list(dict.fromkeys(asked)) or names


def _pool_for(v: Inventory, district: str) -> Pool | None:
    """The pool of that name, else the one with most exchanges of the district; it must be able to serve."""

    def serves(pool: Pool) -> bool:
        order = fallback_order(v.fallbacks, pool.name)
        members = [v.exchanges[e] for n in order for e in v.pools[n].exchanges if e in v.exchanges]
        return any(e.state == "in_service" for e in members)

    named = v.pools.get(district)
    if named is not None and serves(named):
        return named
    best: tuple[int, int, str] | None = None
    for pool in v.pools.values():
        members = [v.exchanges[e] for e in pool.exchanges if e in v.exchanges]
        here = sum(1 for e in members if e.district == district and e.state == "in_service")
        if here and serves(pool):
            rank = (-here, len(members), pool.name)
            best = min(best, rank) if best is not None else rank
    return v.pools[best[2]] if best is not None else None


def _quantity(text: str, kind: str, what: str) -> int | Fraction:
    try:
        found, value = units.read(text)
    except units.UnitError as wrong:
        raise WriteError(f"{what} {shown(text)}: {wrong}") from wrong
    if found != kind or isinstance(value, float):
        raise WriteError(f"{what} {shown(text)}: a {kind} with its unit is wanted: {units.units_of(kind)}")
    return value


def _free_port(before: Checked, v: Inventory, name: str) -> str:
    taken = {host_port(e.address)[1] for e in v.exchanges.values()}
    for a in before.applications.values():
        if a.name != name:
            taken |= {host_port(x)[1] for x in (a.listen.sip, a.listen.m3ua) if x}
    port = next((p for p in range(FIRST_PORT, LAST_PORT) if p not in taken), None)
    if port is None:
        raise WriteError(f"no port is free from {FIRST_PORT} to {LAST_PORT}; name one with --sip")
    return f"127.0.0.1:{port}"


def _body(before: Checked, v: Inventory, answers: Answers) -> str:
    assert v.site is not None
    classes = _pick(answers.classes, v.classes, "class")
    wanted = _pick(answers.districts, v.districts, "district")
    pools = {d: p for d in wanted if (p := _pool_for(v, d)) is not None}
    without = [d for d in wanted if d not in pools]
    if without and answers.districts:
        raise WriteError(f"no pool with an exchange in service serves {', '.join(without)}")
    if not pools or not classes:
        raise WriteError("the inventory has no class, or no district with a pool that can serve")
    give_up = int(_quantity(answers.give_up or GIVE_UP, units.DURATION, "--give-up"))
    give_up = min([give_up, *(v.classes[c].give_up for c in classes)])
    pauses = (ATTEMPTS - 1) * v.site.release_pause
    attempts = ATTEMPTS if give_up - pauses >= ATTEMPTS * TIME_STEP else 1
    time_out = (give_up - (attempts - 1) * v.site.release_pause) // attempts // TIME_STEP * TIME_STEP
    if time_out < TIME_STEP:
        raise WriteError(f"--give-up {units.write(units.DURATION, give_up)} leaves no time for an attempt")
    rate = Fraction(_quantity(answers.rate or RATE, units.RATE, "--rate"))
    reached = {
        e
        for pool in pools.values()
        for n in fallback_order(v.fallbacks, pool.name)
        for e in v.pools[n].exchanges
        if e in v.exchanges
    }
    circuits = sum(v.exchanges[e].circuits for e in reached)
    most = max(1, int(rate * (give_up + units.S) / units.S))
    open_ = answers.open if answers.open is not None else min(circuits, most)
    connections = {k.name: k.default for k in keys_of(Limits)}["connections"]
    descriptors = 1024
    while connections + 16 + len(reached) * links_each(descriptors) > descriptors:
        descriptors *= 2
    sip = answers.sip or (None if answers.m3ua else _free_port(before, v, answers.application))
    texts, district, pool_ref = Text(), RefTo("district"), RefTo("pool")
    lines = [
        f"include {texts.write(answers.inventory)}",
        "",
        f"application: {texts.write(answers.application)}: {{",
    ]
    if sip:
        lines.append(f"  listen: sip: {texts.write(sip)}")
    if answers.m3ua:
        lines.append(f"  listen: m3ua: {texts.write(answers.m3ua)}")
    lines += [f"  serves: [{', '.join(district.write(d) for d in pools)}]", "  calls: {"]
    for number, name in enumerate(classes):
        by_district = ", ".join(f"{texts.write(d)}: {pool_ref.write(p.name)}" for d, p in pools.items())
        category = f", category: {number}" if answers.m3ua and len(classes) > 1 else ""
        lines.append(
            f"    {texts.write(name)}: {{give_up: {units.write(units.DURATION, give_up)}, "
            f"time_out: {units.write(units.DURATION, time_out)}, pools: {{{by_district}}}{category}}}"
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


def _lost(before: Checked, after: Checked, name: str, old: str, new: str) -> list[str]:
    """Values that would change, and the operator's own notes."""
    lost: list[str] = []
    if name in before.applications:
        was = {s.key: s.text for s in shown_values(before, name) if s.key.startswith("application.")}
        will = {s.key: s.text for s in shown_values(after, name) if s.key.startswith("application.")}
        for key, text in was.items():
            if will.get(key) != text:
                lost.append(f"{key}: {text} (would be {will.get(key, 'absent')})")
    else:
        kept = set(new.splitlines())
        lost += [line.strip() for line in old.splitlines() if line.strip() and line not in kept]
    notes = [line.strip() for line in old.splitlines() if "//" in line and not line.startswith(MARK)]
    lost += [f"the note {shown(note)}" for note in notes]
    return lost or ["nothing but its layout"]
