"""The checker reports each fault with its code and location, and no input raises an exception."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arrowrail.config.checker import CheckResult, check_application, check_folder, faults_of_application
from arrowrail.config.diagnostics import CODES, FAULT, WARNING
from tests.records.corpus import (
    GROUP_TEXT,
    MULTIPLE_FAULTS,
    SINGLE_FAULTS,
    VALID_FILES,
    Case,
    apply_edit,
)

QUICK = settings(max_examples=60, deadline=None, derandomize=True)


def write_files(path: Path, files: dict[str, bytes]) -> Path:
    path.mkdir(exist_ok=True)
    for name, data in files.items():
        (path / name).write_bytes(data)
    return path


def valid_files() -> dict[str, bytes]:
    return {name: text.encode() for name, text in VALID_FILES.items()}


def located_codes(result: CheckResult, severity: str = FAULT) -> list[str]:
    return [f"{fault.location} {fault.code}" for fault in result.diagnostics if fault.severity == severity]


def test_valid_files_produce_no_diagnostics(tmp_path: Path) -> None:
    result = check_folder(write_files(tmp_path, valid_files()))
    assert (
        result.valid and len(result.diagnostics) == 0 and sorted(result.applications) == ["lifts", "panels"]
    )


@pytest.mark.parametrize("case", SINGLE_FAULTS, ids=lambda c: f"{c.code}-{c.line}-{c.column}-{c.new[:18]!r}")
def test_each_fault_is_reported_once_with_its_location(case: Case, tmp_path: Path) -> None:
    result = check_folder(write_files(tmp_path, apply_edit(case)))
    assert located_codes(result) == [f"{case.fault_file or case.file}:{case.line}:{case.column} {case.code}"]
    (fault,) = [fault for fault in result.diagnostics if fault.severity == FAULT]
    assert fault.message and str(fault).count("; ") >= 2 and "\n" not in str(fault)


@pytest.mark.parametrize(("file", "old", "new", "expected"), MULTIPLE_FAULTS)
def test_all_faults_of_a_file_are_reported(
    file: str, old: str, new: str, expected: tuple[str, ...], tmp_path: Path
) -> None:
    files = VALID_FILES | {file: VALID_FILES[file].replace(old, new, 1)}
    assert files[file] != VALID_FILES[file]
    assert located_codes(
        check_folder(write_files(tmp_path, {name: text.encode() for name, text in files.items()}))
    ) == list(expected)


def test_the_corpus_has_sixty_cases_and_nearly_every_code() -> None:
    assert len(SINGLE_FAULTS) >= 60
    covered = {case.code for case in SINGLE_FAULTS} | {
        entry.split()[1] for *_, expected in MULTIPLE_FAULTS for entry in expected
    }
    faults = {name for name, code in CODES.items() if code.severity == FAULT}
    assert faults - covered == {
        "AR101", "AR104", "AR111", "AR313", "AR321", "AR324", "AR506", "AR507",
    } - covered  # fmt: skip


def test_warnings_do_not_make_a_folder_invalid(tmp_path: Path) -> None:
    files = valid_files()
    files["inventory.rail"] = (
        files["inventory.rail"]
        .replace(b'"k-2": {', b'"k-3": {district: district.kumamoto, address: "127.0.0.1:6105"}\n  "k-2": {')
        .replace(b"exchange.k-2]", b"exchange.k-2]}\n  l: {exchanges: [exchange.k-1]")
        .replace(b'"127.0.0.1:6102"', b'"127.0.0.1:6102", state: "draining"')
    )
    files["spare.rail"] = b"pool: {}\n"
    result = check_folder(write_files(tmp_path, files))
    assert result.valid
    assert [entry.split()[1] for entry in located_codes(result, WARNING)] == [
        "AR402",
        "AR404",
        "AR403",
        "AR401",
        "AR406",
    ]


def test_point_codes_and_categories_with_m3ua(tmp_path: Path) -> None:
    files = valid_files()
    files["inventory.rail"] = files["inventory.rail"].replace(
        b'"127.0.0.1:6101"', b'"127.0.0.1:6101", signalling: "m3ua", point_code: 1'
    )
    files["lifts.rail"] = files["lifts.rail"].replace(b"listen: sip:", b"listen: m3ua:")
    codes = located_codes(check_folder(write_files(tmp_path, files)))
    assert codes == ["lifts.rail:2:14 AR313", "lifts.rail:7:5 AR324", "panels.rail:2:14 AR313"]


def test_instances_of_a_group_must_agree(tmp_path: Path) -> None:
    def group(app: str, me: str, port: int, members: str, more: str = "") -> bytes:
        text = GROUP_TEXT.replace('me: "a"', f'me: "{me}"').replace(
            '"127.0.0.1:7001"\n', f'"127.0.0.1:{port}"\n'
        )
        text = text.replace('{a: "127.0.0.1:7001"}', "{" + members + "}" + more)
        return VALID_FILES[app].replace("  attempts: 2\n", text).encode()

    members = 'a: "127.0.0.1:7001", b: "127.0.0.1:7002", c: "127.0.0.1:7003"'
    files = valid_files() | {"lifts.rail": group("lifts.rail", "a", 7001, members)}
    files["panels.rail"] = group("panels.rail", "b", 7002, members, '\n    seeds: ["127.0.0.1:7003"]')
    assert located_codes(check_folder(write_files(tmp_path, files))) == []
    files["panels.rail"] = group("panels.rail", "b", 7002, 'b: "127.0.0.1:7002"')
    assert located_codes(check_folder(write_files(tmp_path, files))) == ["panels.rail:15:14 AR506"]
    files["panels.rail"] = group("panels.rail", "a", 7001, members, '\n    seeds: ["127.0.0.1:9"]')
    assert located_codes(check_folder(write_files(tmp_path, files))) == [
        "panels.rail:13:9 AR506",
        "panels.rail:16:13 AR507",
    ]
    grown = members + ', d: "127.0.0.1:7004", e: "127.0.0.1:7005"'
    files["panels.rail"] = group("panels.rail", "b", 7002, members, "\n    joining: {" + grown + "}")
    assert located_codes(check_folder(write_files(tmp_path, files))) == []


def test_a_start_reads_only_its_own_application(tmp_path: Path) -> None:
    files = valid_files() | {"panels.rail": b"\0", "spare.rail": b"application: odd: 5"}
    result = check_application(write_files(tmp_path, files), "lifts")
    assert result.valid and list(result.loaded) == ["inventory.rail", "lifts.rail"]
    assert check_application(tmp_path, "panels").diagnostics.has_faults
    (tmp_path / "lifts.rail").rename(tmp_path / "other.rail")
    assert "lifts" in check_application(tmp_path, "lifts").applications


def test_an_application_starts_despite_a_fault_in_another(tmp_path: Path) -> None:
    files = valid_files()
    files["panels.rail"] = files["panels.rail"].replace(b"attempts: 2", b"attempts: 9")
    result = check_folder(write_files(tmp_path, files))
    assert faults_of_application(result, "lifts") == []
    assert [fault.code for fault in faults_of_application(result, "panels")] == ["AR205"]
    files["inventory.rail"] = files["inventory.rail"].replace(b"wanted: 2s", b"wanted: 2")
    result = check_folder(write_files(tmp_path, files))
    assert [fault.code for fault in faults_of_application(result, "lifts")] == ["AR203"]


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
def test_hostile_files_are_reported_in_a_bounded_message(data: bytes, code: str, tmp_path: Path) -> None:
    result = check_folder(write_files(tmp_path, valid_files() | {"lifts.rail": data}))
    assert code in [fault.code for fault in result.diagnostics if fault.location.file == "lifts.rail"]
    assert all(len(str(fault)) < 600 for fault in result.diagnostics)


def test_diagnostics_are_limited_and_the_rest_counted(tmp_path: Path) -> None:
    unknown_keys = "".join(f"slip{n}: 1\n" for n in range(3000)).encode()
    found = list(
        check_folder(
            write_files(tmp_path, valid_files() | {"lifts.rail": valid_files()["lifts.rail"] + unknown_keys})
        ).diagnostics
    )
    assert len(found) == 501 and found[-1].code == "AR111" and "2500 more" in found[-1].message


def test_a_record_file_that_is_not_regular_is_a_fault(tmp_path: Path) -> None:
    write_files(tmp_path, valid_files())
    (tmp_path / "odd.rail").mkdir()
    (tmp_path / "lifts.rail").unlink()
    (tmp_path / "lifts.rail").symlink_to("/dev/zero")
    result = check_folder(tmp_path)
    assert "lifts.rail:0:0 AR101" in located_codes(result)
    assert located_codes(check_folder(tmp_path / "nothing")) == [f"{tmp_path / 'nothing'}:0:0 AR216"]


def test_json_has_the_content_of_the_text_form(tmp_path: Path) -> None:
    result = check_folder(write_files(tmp_path, apply_edit(SINGLE_FAULTS[-1])))
    (fault,) = result.diagnostics
    document = json.loads(json.dumps(fault.as_json()))
    assert (document["code"], document["file"], document["line"]) == ("AR323", "lifts.rail", 11)
    assert document["what"] in str(fault) and document["why"] in str(fault)


TOKENS = """include site district class exchange pool application lifts { } [ ] ( ) : , * & | >= != =~ " // 3s
5% 50/s 2 true null int duration #t pool.f exchange.f-1 "inventory.rail" "x" calls limits ."""
TOKEN = st.sampled_from([*TOKENS.split(), "\n"])


@QUICK
@given(st.lists(TOKEN, max_size=60))
def test_random_tokens_never_raise(tmp_path_factory: pytest.TempPathFactory, tokens: list[str]) -> None:
    path = write_files(
        tmp_path_factory.mktemp("tokens"), valid_files() | {"lifts.rail": " ".join(tokens).encode()}
    )
    list(map(str, check_folder(path).diagnostics))


@QUICK
@given(st.binary(max_size=200), st.integers(0, len(VALID_FILES["inventory.rail"])), st.integers(0, 40))
def test_damaged_files_never_raise(
    tmp_path_factory: pytest.TempPathFactory, data: bytes, at: int, cut: int
) -> None:
    original = VALID_FILES["inventory.rail"].encode()
    damaged = original[:at] + data + original[at + cut :]
    path = write_files(tmp_path_factory.mktemp("damage"), valid_files() | {"inventory.rail": damaged})
    result = check_folder(path)
    assert result.valid or list(map(str, result.diagnostics))


@QUICK
@given(st.data())
def test_swapped_tokens_never_raise(tmp_path_factory: pytest.TempPathFactory, data: st.DataObject) -> None:
    name = data.draw(st.sampled_from(sorted(VALID_FILES)))
    tokens = VALID_FILES[name].replace("{", " { ").replace("}", " } ").split()
    for _ in range(data.draw(st.integers(1, 6))):
        first, second = (data.draw(st.integers(0, len(tokens) - 1)) for _ in range(2))
        tokens[first], tokens[second] = tokens[second], tokens[first]
    path = write_files(tmp_path_factory.mktemp("swap"), valid_files() | {name: " ".join(tokens).encode()})
    list(map(str, check_folder(path).diagnostics))
