"""Quantities: a number with a unit, parsed exactly and formatted in the largest unit that divides it.

Durations are whole nanoseconds, rates are events per second, shares are fractions of one, sizes are bytes.
"""

from __future__ import annotations

import re
from fractions import Fraction
from typing import Final

DURATION, RATE, SHARE, SIZE = "duration", "rate", "share", "size"
NS: Final = 1
US, MS, S = 1_000, 1_000_000, 1_000_000_000
DURATIONS = {"ns": NS, "us": US, "ms": MS, "s": S, "min": 60 * S, "h": 3_600 * S, "d": 86_400 * S}
RATES = {"/s": Fraction(1), "/min": Fraction(1, 60), "/h": Fraction(1, 3_600)}
SHARES = {"%": Fraction(1, 100)}
SIZES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
UNITS: dict[str, dict[str, int | Fraction]] = {
    DURATION: dict(DURATIONS), RATE: dict(RATES), SHARE: dict(SHARES), SIZE: dict(SIZES),
}  # fmt: skip
UNIT_KINDS = {unit: kind for kind, units in UNITS.items() for unit in units}
MAX_NUMBER_LENGTH = 20  # characters; more than any quantity needs
NUMBER = re.compile(r"(-?[0-9][0-9_]*(?:\.[0-9]+)?)(.*)", re.DOTALL)


class UnitError(ValueError):
    """Malformed number or unknown unit."""


def unit_names(kind: str) -> str:
    return ", ".join(UNITS[kind])


def read(text: str) -> tuple[str, int | float | Fraction]:
    """Parse a number with an optional unit into its kind and its value in the base unit.

    Without a unit the kind is ``int`` or ``float``.  Raises ``UnitError`` if the unit is unknown, the number
    is malformed or longer than 20 characters, or a duration or size is not a whole number of base units.
    """
    match = NUMBER.fullmatch(text)
    if match is None or len(match[1]) > MAX_NUMBER_LENGTH:
        raise UnitError("not a number")
    number, unit = match[1].replace("_", ""), match[2]
    if not unit:
        return ("float", float(number)) if "." in number else ("int", int(number))
    kind = UNIT_KINDS.get(unit)
    if kind is None:
        known = ", ".join(UNIT_KINDS)
        raise UnitError(f"unknown unit {unit[:20]!r}; known: {known}")
    value = Fraction(number) * UNITS[kind][unit]
    if kind in (DURATION, SIZE):
        if value.denominator != 1:
            raise UnitError(f"not a whole number of {'nanoseconds' if kind == DURATION else 'bytes'}")
        return kind, int(value)
    return kind, value


def write(kind: str, value: int | float | Fraction) -> str:
    """Format a value in the largest unit that divides it; a rate in the first that gives an exact decimal.

    A share or rate without an exact decimal that ``read`` accepts is rounded.
    """
    if kind == SHARE:
        percentage = Fraction(value) * 100
        return (_exact_decimal(percentage) or f"{float(percentage):.9f}".rstrip("0").rstrip(".")) + "%"
    if kind == RATE:
        for unit, events_per_second in RATES.items():
            number = _exact_decimal(Fraction(value) / events_per_second)
            if number is not None:
                return number + unit
        return f"{float(value):.3f}/s"
    if kind in (DURATION, SIZE):
        table = DURATIONS if kind == DURATION else SIZES
        for unit, size in sorted(table.items(), key=lambda u: -u[1]):
            if value and int(value) % size == 0:
                return f"{int(value) // size}{unit}"
        return "0s" if kind == DURATION else "0B"
    return str(value)


def _exact_decimal(number: Fraction) -> str | None:
    """Return a number as a decimal; ``None`` if it has none of at most ``MAX_NUMBER_LENGTH`` characters."""
    decimals_needed = (n for n in range(MAX_NUMBER_LENGTH) if 10**n % number.denominator == 0)
    places = next(decimals_needed, None)
    if places is None:
        return None
    digits = str(abs(number.numerator) * 10**places // number.denominator).rjust(places + 1, "0")
    whole, decimals = (digits[:-places], "." + digits[-places:]) if places else (digits, "")
    text = ("-" if number < 0 else "") + whole + decimals
    return text if len(text) <= MAX_NUMBER_LENGTH else None
