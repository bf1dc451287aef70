"""The checker: each broken configuration brings its fault at its place, and no input makes it fail."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arrowrail.config.checker import CheckResult, check_application, check_folder, faults_of_application
from arrowrail.config.diagnostics import CODES, FAULT, WARNING
from tests.records.corpus import CASES, GOOD, GROUP, SEVERAL, Case, edited

QUICK = settings(max_examples=60, deadline=None, derandomize=True)


def folder(path: Path, files: dict[str, bytes]) -> Path:
    path.mkdir(exist_ok=True)
    for name, data in files.items():
        (path / name).write_bytes(data)
    return path


def good() -> dict[str, bytes]:
    return {name: text.encode() for name, text in GOOD.items()}


def located_codes(checked: CheckResult, severity: str = FAULT) -> list[str]:
    return [f"{f.location} {f.code}" for f in checked.diagnostics if f.severity == severity]


def test_good_ones_pass_without_a_word(tmp_path: Path) -> None:
    checked = check_folder(folder(tmp_path, good()))
    assert (
        checked.valid
        and len(checked.diagnostics) == 0
        and sorted(checked.applications) == ["lifts", "panels"]
    )


@pytest.mark.parametrize("case", CASES, ids=lambda c: f"{c.code}-{c.line}-{c.column}-{c.new[:18]!r}")
def test_each_fault_is_told_once_with_its_place(case: Case, tmp_path: Path) -> None:
    checked = check_folder(folder(tmp_path, edited(case)))
    assert located_codes(checked) == [f"{case.at or case.file}:{case.line}:{case.column} {case.code}"]
    (fault,) = [f for f in checked.diagnostics if f.severity == FAULT]
    assert fault.message and str(fault).count("; ") >= 2 and "\n" not in str(fault)


@pytest.mark.parametrize(("file", "old", "new", "wanted"), SEVERAL)
def test_several_faults_are_all_listed(
    file: str, old: str, new: str, wanted: tuple[str, ...], tmp_path: Path
) -> None:
    files = GOOD | {file: GOOD[file].replace(old, new, 1)}
    assert files[file] != GOOD[file]
    assert located_codes(check_folder(folder(tmp_path, {n: t.encode() for n, t in files.items()}))) == list(
        wanted
    )


def test_the_corpus_holds_sixty_and_nearly_every_code() -> None:
    assert len(CASES) >= 60
    told = {c.code for c in CASES} | {w.split()[1] for *_, wanted in SEVERAL for w in wanted}
    faults = {name for name, code in CODES.items() if code.severity == FAULT}
    assert faults - told == {
        "AR101", "AR104", "AR111", "AR313", "AR321", "AR324", "AR506", "AR507",
    } - told  # fmt: skip


def test_warnings_are_no_faults(tmp_path: Path) -> None:
    files = good()
    files["inventory.rail"] = (
        files["inventory.rail"]
        .replace(b'"k-2": {', b'"k-3": {district: district.kumamoto, address: "127.0.0.1:6105"}\n  "k-2": {')
        .replace(b"exchange.k-2]", b"exchange.k-2]}\n  l: {exchanges: [exchange.k-1]")
        .replace(b'"127.0.0.1:6102"', b'"127.0.0.1:6102", state: "draining"')
    )
    files["spare.rail"] = b"pool: {}\n"
    checked = check_folder(folder(tmp_path, files))
    assert checked.valid
    assert [w.split()[1] for w in located_codes(checked, WARNING)] == [
        "AR402",
        "AR404",
        "AR403",
        "AR401",
        "AR406",
    ]


def test_point_codes_and_categories_with_m3ua(tmp_path: Path) -> None:
    files = good()
    files["inventory.rail"] = files["inventory.rail"].replace(
        b'"127.0.0.1:6101"', b'"127.0.0.1:6101", signalling: "m3ua", point_code: 1'
    )
    files["lifts.rail"] = files["lifts.rail"].replace(b"listen: sip:", b"listen: m3ua:")
    told = located_codes(check_folder(folder(tmp_path, files)))
    assert told == ["lifts.rail:2:14 AR313", "lifts.rail:7:5 AR324", "panels.rail:2:14 AR313"]


def test_instances_of_one_group_have_to_agree(tmp_path: Path) -> None:
    def group(app: str, me: str, port: int, members: str, more: str = "") -> bytes:
        text = GROUP.replace('me: "a"', f'me: "{me}"').replace('"127.0.0.1:7001"\n', f'"127.0.0.1:{port}"\n')
        text = text.replace('{a: "127.0.0.1:7001"}', "{" + members + "}" + more)
        return GOOD[app].replace("  attempts: 2\n", text).encode()

    both = 'a: "127.0.0.1:7001", b: "127.0.0.1:7002", c: "127.0.0.1:7003"'
    files = good() | {"lifts.rail": group("lifts.rail", "a", 7001, both)}
    files["panels.rail"] = group("panels.rail", "b", 7002, both, '\n    seeds: ["127.0.0.1:7003"]')
    assert located_codes(check_folder(folder(tmp_path, files))) == []
    files["panels.rail"] = group("panels.rail", "b", 7002, 'b: "127.0.0.1:7002"')
    assert located_codes(check_folder(folder(tmp_path, files))) == ["panels.rail:15:14 AR506"]
    files["panels.rail"] = group("panels.rail", "a", 7001, both, '\n    seeds: ["127.0.0.1:9"]')
    assert located_codes(check_folder(folder(tmp_path, files))) == [
        "panels.rail:13:9 AR506",
        "panels.rail:16:13 AR507",
    ]
    grown = both + ', d: "127.0.0.1:7004", e: "127.0.0.1:7005"'
    files["panels.rail"] = group("panels.rail", "b", 7002, both, "\n    joining: {" + grown + "}")
    assert located_codes(check_folder(folder(tmp_path, files))) == []


def test_a_start_reads_its_own_application_and_no_other(tmp_path: Path) -> None:
    files = good() | {"panels.rail": b"\0", "spare.rail": b"application: odd: 5"}
    checked = check_application(folder(tmp_path, files), "lifts")
    assert checked.valid and list(checked.loaded) == ["inventory.rail", "lifts.rail"]
    assert check_application(tmp_path, "panels").diagnostics.has_faults
    (tmp_path / "lifts.rail").rename(tmp_path / "other.rail")
    assert "lifts" in check_application(tmp_path, "lifts").applications


def test_one_application_starts_beside_anothers_slip(tmp_path: Path) -> None:
    files = good()
    files["panels.rail"] = files["panels.rail"].replace(b"attempts: 2", b"attempts: 9")
    checked = check_folder(folder(tmp_path, files))
    assert faults_of_application(checked, "lifts") == []
    assert [f.code for f in faults_of_application(checked, "panels")] == ["AR205"]
    files["inventory.rail"] = files["inventory.rail"].replace(b"wanted: 2s", b"wanted: 2")
    checked = check_folder(folder(tmp_path, files))
    assert [f.code for f in faults_of_application(checked, "lifts")] == ["AR203"]


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"x" * (1 << 20), "AR105"),
        (b"\0" * 1000, "AR103"),
        (b"a: " + b"{b: " * 800, "AR106"),
        (b"a: " + b"b: " * 1000 + b"1", "AR106"),
        ("a: 1\n".encode("utf-16"), "AR102"),
        (b"\xef\xbb\xbfa: 1\n", "AR103"),
        (b"a: 1 | " * 500 + b"2", "AR106"),
        (b"a: " + b"1 | " * 900 + b"2", "AR106"),
        (b"application: #x0\n" + b"".join(b"#x%d: #x%d\n" % (n, n + 1) for n in range(900)), "AR106"),
        (b'a: =~"(a+)+b" & "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"', "AR107"),
        (b"a: 1\n" * 900_000, "AR104"),
    ],
)  # fmt: skip
def test_monstrous_files_get_a_clear_fault_within_a_bound(data: bytes, code: str, tmp_path: Path) -> None:
    checked = check_folder(folder(tmp_path, good() | {"lifts.rail": data}))
    assert code in [f.code for f in checked.diagnostics if f.location.file == "lifts.rail"]
    assert all(len(str(f)) < 600 for f in checked.diagnostics)


def test_faults_are_bounded_and_the_rest_counted(tmp_path: Path) -> None:
    slips = "".join(f"slip{n}: 1\n" for n in range(3000)).encode()
    found = list(
        check_folder(folder(tmp_path, good() | {"lifts.rail": good()["lifts.rail"] + slips})).diagnostics
    )
    assert len(found) == 501 and found[-1].code == "AR111" and "2500 more" in found[-1].message


def test_what_is_no_file_is_a_fault(tmp_path: Path) -> None:
    folder(tmp_path, good())
    (tmp_path / "odd.rail").mkdir()
    (tmp_path / "lifts.rail").unlink()
    (tmp_path / "lifts.rail").symlink_to("/dev/zero")
    checked = check_folder(tmp_path)
    assert "lifts.rail:0:0 AR101" in located_codes(checked)
    assert located_codes(check_folder(tmp_path / "nothing")) == [f"{tmp_path / 'nothing'}:0:0 AR216"]


def test_json_holds_what_the_line_says(tmp_path: Path) -> None:
    checked = check_folder(folder(tmp_path, edited(CASES[-1])))
    (fault,) = checked.diagnostics
    told = json.loads(json.dumps(fault.as_json()))
    assert (told["code"], told["file"], told["line"]) == ("AR323", "lifts.rail", 11)
    assert told["what"] in str(fault) and told["why"] in str(fault)


SOUP = """include site district class exchange pool application lifts { } [ ] ( ) : , * & | >= != =~ " // 3s
5% 50/s 2 true null int duration #t pool.f exchange.f-1 "inventory.rail" "x" calls limits ."""
WORDS = st.sampled_from([*SOUP.split(), "\n"])


@QUICK
@given(st.lists(WORDS, max_size=60))
def test_no_soup_of_words_makes_it_raise(tmp_path_factory: pytest.TempPathFactory, words: list[str]) -> None:
    path = folder(tmp_path_factory.mktemp("soup"), good() | {"lifts.rail": " ".join(words).encode()})
    list(map(str, check_folder(path).diagnostics))


@QUICK
@given(st.binary(max_size=200), st.integers(0, len(GOOD["inventory.rail"])), st.integers(0, 40))
def test_no_damage_makes_it_raise(
    tmp_path_factory: pytest.TempPathFactory, data: bytes, at: int, cut: int
) -> None:
    whole = GOOD["inventory.rail"].encode()
    spoilt = whole[:at] + data + whole[at + cut :]
    path = folder(tmp_path_factory.mktemp("damage"), good() | {"inventory.rail": spoilt})
    checked = check_folder(path)
    assert checked.valid or list(map(str, checked.diagnostics))


@QUICK
@given(st.data())
def test_no_swap_of_tokens_makes_it_raise(
    tmp_path_factory: pytest.TempPathFactory, data: st.DataObject
) -> None:
    name = data.draw(st.sampled_from(sorted(GOOD)))
    tokens = GOOD[name].replace("{", " { ").replace("}", " } ").split()
    for _ in range(data.draw(st.integers(1, 6))):
        a, b = (data.draw(st.integers(0, len(tokens) - 1)) for _ in range(2))
        tokens[a], tokens[b] = tokens[b], tokens[a]
    path = folder(tmp_path_factory.mktemp("swap"), good() | {name: " ".join(tokens).encode()})
    list(map(str, check_folder(path).diagnostics))
