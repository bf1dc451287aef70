"""The config commands: written files pass the check, edits are not lost silently, TOML files convert."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arrowrail.config.atomic_file import write_atomically
from arrowrail.config.checker import check_folder
from arrowrail.config.controller_file import read_controller_file
from arrowrail.config.convert import ConvertError, convert
from arrowrail.config.diagnostics import CODES
from arrowrail.config.explain import explain, reference
from arrowrail.config.records import all_keys
from arrowrail.config.show import DEFAULT, effective_values
from arrowrail.config.writer import Answers, WriteError, write_application
from tests.live import settings as platform_settings
from tests.records.corpus import INVENTORY_TEXT, VALID_FILES

ROOT = Path(__file__).parents[2]


def run(*arguments: str, **more: str) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "arrowrail", *arguments], capture_output=True, timeout=60, check=False,
        env=os.environ | {"PYTHONPATH": str(ROOT)} | more,
    )  # fmt: skip


def write_inventory(path: Path) -> Path:
    (path / "inventory.rail").write_text(INVENTORY_TEXT)
    return path


def test_a_written_file_passes_the_check_and_is_not_rewritten(tmp_path: Path) -> None:
    folder = write_inventory(tmp_path)
    assert write_application(folder, Answers("lifts")).changed
    assert write_application(folder, Answers("panels", m3ua="127.0.0.1:2905", rate="20/s")).changed
    result = check_folder(folder)
    assert result.valid and sorted(result.applications) == ["lifts", "panels"]
    assert not write_application(folder, Answers("lifts")).changed
    # An unedited file is replaced without force when the answers change.
    assert write_application(folder, Answers("lifts", rate="10/s")).changed


def test_an_edited_file_is_not_overwritten_silently(tmp_path: Path) -> None:
    folder = write_inventory(tmp_path)
    path = write_application(folder, Answers("lifts")).path
    text = path.read_text().replace("attempts: 2", "attempts: 1  // the night shift's wish")
    path.write_text(text)
    with pytest.raises(WriteError) as error:
        write_application(folder, Answers("lifts"))
    message = "\n".join(error.value.lines)
    assert "application.lifts.attempts: 1 (would be 2)" in message and "night shift" in message
    assert path.read_text() == text
    written = write_application(folder, Answers("lifts"), force=True)
    assert written.discarded == error.value.lines[1:] and path.read_text() != text


@pytest.mark.parametrize(
    ("answers", "expected"),
    [
        (Answers("a b"), "can't be used as a name"),
        (Answers("a", inventory="none.rail"), "no such inventory"),
        (Answers("a", districts=("fukuka",)), "did you mean 'fukuoka'?"),
        (Answers("a", classes=("alrm",)), "did you mean 'alarm'?"),
        (Answers("a", rate="50"), "with its unit"),
        (Answers("a", give_up="1ms"), "no time for an attempt"),
        (Answers("a", sip="127.0.0.1:6101"), "AR314"),
        (Answers("a", open=4000), "AR310"),
    ],
)  # fmt: skip
def test_answers_that_cannot_be_met_write_nothing(answers: Answers, expected: str, tmp_path: Path) -> None:
    folder = write_inventory(tmp_path)
    with pytest.raises(WriteError) as error:
        write_application(folder, answers)
    assert expected in str(error.value) and sorted(os.listdir(folder)) == ["inventory.rail"]


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.data())
def test_a_written_file_always_passes_the_check(
    tmp_path_factory: pytest.TempPathFactory, data: st.DataObject
) -> None:
    """For any valid inventory and any answers, the file passes the check or is not written, with a reason."""
    folder = tmp_path_factory.mktemp("any")
    district_count = data.draw(st.integers(1, 4))
    lines = [f'site: {{label: "x", release_pause: {data.draw(st.sampled_from(["300ms", "2s"]))}}}']
    states = st.sampled_from(["in_service", "in_service", "draining", "gone"])
    for district in range(district_count):
        lines.append(f'district: d{district}: numbers: ["{district}"]')
        for number in range(data.draw(st.integers(1, 3))):
            port = 7000 + 10 * district + number
            circuits = data.draw(st.integers(1, 300))
            lines.append(f'exchange: "e{district}-{number}": {{district: district.d{district}, '
                         f'address: "127.0.0.1:{port}", '
                         f'circuits: {circuits}, state: "{data.draw(states)}"}}')  # fmt: skip
        lines.append(f"pool: d{district}: {{exchanges: [exchange.e{district}-0]}}")
    for class_number in range(data.draw(st.integers(1, 3))):
        give_up = data.draw(st.integers(20, 9000))
        lines.append(f"class: c{class_number}: {{worth: {class_number}, wanted: 10ms, give_up: {give_up}ms}}")
    (folder / "inventory.rail").write_text("\n".join(lines) + "\n")
    answers = Answers(
        "app", sip=data.draw(st.sampled_from([None, "127.0.0.1:5999", "[::1]:5999"])),
        m3ua=data.draw(st.sampled_from([None, "127.0.0.1:2905"])),
        rate=data.draw(st.sampled_from([None, "1/s", "90/min", "4000/s"])),
        open=data.draw(st.sampled_from([None, 1, 50])),
        give_up=data.draw(st.sampled_from([None, "40ms", "2s", "1min"])),
    )  # fmt: skip
    try:
        path = write_application(folder, answers).path
    except WriteError as error:
        assert error.lines and not (folder / "app.rail").exists()
        return
    result = check_folder(folder)
    assert result.valid, [str(f) for f in result.diagnostics]
    assert path.exists() and "app" in result.applications


def test_a_failed_write_keeps_the_old_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "a"
    path.write_bytes(b"old")

    def disk_full(_descriptor: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("os.fsync", disk_full)
    with pytest.raises(OSError, match="No space"):
        write_atomically(path, b"new")
    assert path.read_bytes() == b"old" and os.listdir(tmp_path) == ["a"]


def test_show_gives_the_source_of_each_value(tmp_path: Path) -> None:
    for name, text in VALID_FILES.items():
        (tmp_path / name).write_text(text)
    values = {v.key_path: v for v in effective_values(check_folder(tmp_path), "lifts")}
    assert (
        values["application.lifts.limits.rate"].value, values["application.lifts.limits.rate"].source,
    ) == ("50/s", "lifts.rail:9:29")  # fmt: skip
    assert values["application.lifts.descriptors"].source == DEFAULT
    assert values["exchange.k-1.circuits"].source == "inventory.rail:11:77"
    assert values["pool.f.fallback"].value == "[pool.k]"
    assert "exchange.f-2.address" in values and "class.alarm.late" in values


def test_explain_knows_every_key_and_code_and_the_reference_page_is_current() -> None:
    for what in (*all_keys(), *CODES, "application.lifts.limits.open", "time_out"):
        assert explain(what).known, what
    unknown = explain("application.*.limits.opn")
    assert not unknown.known and "application.*.limits.open" in unknown.lines[0]
    page = ROOT / "docs" / "operators" / "reference.md"
    assert page.read_text() == reference() + "\n", "python -m arrowrail config reference > " + str(page)


LEGACY_TOML = """\
application = "kagoshima"
[log]
level = "WARNING"
[m3ua]
enabled = true
heartbeat_ms = 2500
[[m3ua.classes]]
name = "check"
deadline_ms = 3000
category = 11
[[m3ua.numbers]]
prefix = "099"
exchange = 2
[[m3ua.desks]]
uid = "k-1"
address = "127.0.0.1:2906"
point_code = 21
exchange = 2
[etcd]
prefix = "/x/"
"""


def test_a_toml_file_converts_to_equivalent_records(tmp_path: Path) -> None:
    old = tmp_path / "kagoshima.toml"
    old.write_text(LEGACY_TOML)
    assert read_controller_file(old)[0] is None
    ((path,), diagnostics) = convert(old, tmp_path)
    found, faults = read_controller_file(path, ["check"])
    assert found is not None and len(faults) == 0 and diagnostics == []
    m3ua = found.m3ua
    assert (found.log.level, m3ua.enabled, m3ua.heartbeat, m3ua.classes[0].deadline) == (
        "WARNING", True, 2_500_000_000, 3_000_000_000,
    )  # fmt: skip
    assert (m3ua.numbers[0].prefix, m3ua.desks[0].point_code, found.etcd.prefix) == ("099", 21, "/x/")
    with pytest.raises(ConvertError, match="already exists"):
        convert(old, tmp_path)
    old.write_text("application = 3\n")
    with pytest.raises(ConvertError, match="application"):
        convert(old, tmp_path, force=True)


def test_controller_records_are_checked_against_the_settings(tmp_path: Path) -> None:
    path = tmp_path / "a.rail"
    path.write_text(
        "controller: {\n"
        '  application: "a"\n'
        '  m3ua: {point_code: 5, classes: [{class: "vioce", deadline: 3s}]}\n'
        '  m3ua: desks: [{uid: "u", address: "127.0.0.1:1", point_code: 5, exchange: 1}]\n'
        "}\n"
    )
    found, faults = read_controller_file(path, ["voice"])
    assert found is None
    assert [(f.code, f.location.line, f.location.column) for f in faults] == [
        ("AR208", 3, 43),
        ("AR313", 4, 64),
    ]


def test_commands_have_the_documented_exit_codes(tmp_path: Path) -> None:
    folder = write_inventory(tmp_path)
    assert run("config", "write", "lifts", "--folder", str(folder)).returncode == 0
    result = run("config", "check", str(folder), "--json")
    assert result.returncode == 0 and json.loads(result.stdout)["applications"] == ["lifts"]
    shown = json.loads(run("config", "show", "lifts", "--folder", str(folder), "--json").stdout)
    assert {"key": "application.lifts.attempts", "value": "2", "source": "lifts.rail:12:13"} in shown
    assert b"AR302 (fault)" in run("config", "explain", "AR302").stdout
    assert run("config", "explain", "nothing.like.it").returncode == 1
    assert run("config", "frob").returncode == 2 and run("frob").returncode == 2
    (folder / "lifts.rail").write_text((folder / "lifts.rail").read_text().replace("attempts", "atempts"))
    result = run("config", "check", str(folder))
    assert result.returncode == 1 and b"lifts.rail:12:3: AR206" in result.stderr
    started = run("sidecar", "lifts", "--config", str(folder), "--log-form", "json")
    assert started.returncode == 1
    assert json.loads(started.stderr.splitlines()[0])["event"] == "start.fault"
    assert run("drill", "frob").returncode == 2


def test_a_start_by_the_platform_runs_the_same_check(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    config.write_text(json.dumps({"listen": "127.0.0.1:0", "settings": platform_settings()}))
    path = tmp_path / "a.rail"
    path.write_text('controller: {application: "a", m3ua: circuits: 0}\n')
    started = run("--config", str(path), PROXY_CONFIG=str(config))
    assert started.returncode == 1 and b"a.rail:1:48: AR205: controller.m3ua.circuits" in started.stderr


def test_a_plain_run_imports_no_tool_libraries() -> None:
    code = (
        "import sys; import arrowrail.run.main; "
        "print([m for m in ('lark', 'typer', 'rich', 'pydantic', 'arrowrail.config', 'arrowrail.sidecar', "
        "'arrowrail.lab', 'hypothesis') if m in sys.modules])"
    )
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True, cwd=ROOT)
    assert found.stdout.strip() == b"[]"
