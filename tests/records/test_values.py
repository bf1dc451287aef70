"""Unification is commutative and reports conflicts; formatted quantities parse to the same value."""

from __future__ import annotations

from fractions import Fraction
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arrowrail.config import units
from arrowrail.config.diagnostics import Diagnostics
from arrowrail.config.syntax import parse
from arrowrail.config.values import Struct, plain_data

QUICK = settings(max_examples=150, deadline=None, derandomize=True)


def read(text: str) -> tuple[Any, list[str]]:
    diagnostics = Diagnostics()
    parsed = parse("t", text.encode(), diagnostics)
    assert isinstance(parsed.own, Struct)
    found = {label: plain_data(entry.value, diagnostics) for label, entry in parsed.own.public()}
    return found, [diagnostic.code for diagnostic in diagnostics]


@pytest.mark.parametrize(
    ("text", "value"),
    [
        ("a: 1 & int", 1),
        ("a: *1 | int\na: 5", 5),
        ("a: *1 | int", 1),
        ('a: "x" | "y"\na: "y"', "y"),
        ("a: >=1 & <=9 & 4", 4),
        ("a: 250ms & duration & <1s", "250ms"),
        ("a: 1000ms & 1s", "1s"),
        ("a: {b: 1}\na: c: 2", {"b": 1, "c": 2}),
        ("#t: {b: *1 | int, c: 2}\na: #t & {b: 7}", {"b": 7, "c": 2}),
        ("x: y: 3\na: x.y", 3),
        ("a: [string]: {w: *1 | int}\na: {p: {}, q: {w: 2}}", {"p": {"w": 1}, "q": {"w": 2}}),
        ("a: [1, int]\na: [int, 2]", [1, 2]),
        ('a: "z-1" & =~"^z-[0-9]"', "z-1"),
        ("a: (1 | 2) & (2 | 3)", 2),
        ("a: null", None),
        ("a: 60/min", "1/s"),
        ("a: 0.5%", "0.5%"),
        ("a: 64KiB", "64KiB"),
        ("a: 1 // a note\n// another\n", 1),
    ],
)  # fmt: skip
def test_values_unify_to_the_expected_result(text: str, value: object) -> None:
    found, codes = read(text)
    assert codes == [] and found["a"] == value


@pytest.mark.parametrize(
    ("text", "codes"),
    [
        ("a: 1\na: 2", ["AR201"]),
        ("a: 1s & int", ["AR202"]),
        ("a: 5 & duration", ["AR203"]),
        ("a: 5 & >9", ["AR211"]),
        ("a: 1 | 2", ["AR210"]),
        ("a: b\nb: a", ["AR209"]),
        ("a: {b: 1}\na: [1]", ["AR201"]),
        ("a: [1]\na: [1, 2]", ["AR201"]),
        ('a: "x" & ("y" | "z")', ["AR212"]),
        ('a: "x" & >3', ["AR202"]),
        ("a: duration & rate", ["AR201"]),
    ],
)  # fmt: skip
def test_conflicting_values_report_the_expected_code(text: str, codes: list[str]) -> None:
    assert read(text)[1] == codes


CONJUNCTS = st.lists(
    st.sampled_from(["int", ">=2", "<=8", "*4 | int", "3 | 4 | 9", "4", "!=5", "number", "*3 | *4 | int"]),
    min_size=1, max_size=5,
)  # fmt: skip


@QUICK
@given(CONJUNCTS, st.randoms(use_true_random=False))
def test_unification_does_not_depend_on_order(conjuncts: list[str], shuffle: Any) -> None:
    other = list(conjuncts)
    shuffle.shuffle(other)
    one = read("a: " + " & ".join(f"({c})" for c in conjuncts))
    two = read("\n".join(f"a: {c}" for c in other))
    assert one[0] == two[0]
    assert bool(one[1]) == bool(two[1])


@QUICK
@given(st.integers(0, 10**18))
def test_durations_read_back(value: int) -> None:
    assert units.read(units.write(units.DURATION, value)) == (units.DURATION, value)


@QUICK
@given(st.integers(0, 10**9), st.sampled_from([1, 2, 4, 5, 8, 10, 100]))
def test_shares_and_rates_read_back(above: int, below: int) -> None:
    value = Fraction(above, below)
    for kind in (units.SHARE, units.RATE):
        assert units.read(units.write(kind, value)) == (kind, value)


def test_quantities_beyond_float_precision_read_back() -> None:
    """Rates and shares formatted through a float lose digits and read back as another value."""
    quantities = [
        (units.RATE, Fraction(45257579, 5)),
        (units.RATE, Fraction(1, 524288)),
        (units.SHARE, Fraction(1, 524288)),
    ]
    assert [units.read(units.write(kind, value)) for kind, value in quantities] == quantities
