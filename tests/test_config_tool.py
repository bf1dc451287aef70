"""The configuration tool: what it writes, what it finds, how it exits; and the program's own start."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from arrowrail.config.__main__ import main
from arrowrail.config.model import Operator, check_against, read
from arrowrail.config.template import TEMPLATE, render
from tests.live import settings


def test_write_makes_a_good_file_and_overwrites_only_if_told(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "kagoshima.toml"
    write = ["write", "kagoshima", "--folder", str(tmp_path)]
    assert main(write) == 0 and main(["check", str(file)]) == 0
    file.write_text('application = "mine"\n')
    assert main(write) == 1 and "is there already" in capsys.readouterr().err
    assert file.read_text() == 'application = "mine"\n'
    assert main([*write, "--force"]) == 0 and file.read_text() == render("kagoshima")


def test_the_commented_defaults_are_the_defaults() -> None:
    lines = [
        line.removeprefix("# ") if " = " in line or "[[" in line else line for line in TEMPLATE.split("\n")
    ]
    shown = tomllib.loads("\n".join(lines).replace("{application}", '"x"'))
    for table in ("log", "m3ua", "etcd"):
        for key, field in type(getattr(Operator(application="x"), table)).model_fields.items():
            if field.default not in (None, ()):
                assert shown[table][key] == field.default, key
            assert key in shown[table], key


@pytest.mark.parametrize(
    ("text", "key", "said"),
    [
        ("", "application", "missing"),
        ("application = 3", "application", "string"),
        ('application = "a"\ncolour = 1', "colour", "unknown key; allowed: application, log, m3ua, etcd"),
        ('application = "a"\n[m3ua]\nheartbeat_ms = 5', "m3ua.heartbeat_ms", "allowed: 100 to 60000"),
        ('application = "a"\n[m3ua]\nlisten = "here"', "m3ua.listen", '"address:port"'),
        ('application = "a"\n[m3ua]\nenabled = true', "m3ua.classes", "at least one"),
        ('application = "a"\n[[m3ua.classes]]\nname = "x"', "m3ua.classes[0].deadline_ms", "missing"),
        ('application = "a"\n[[m3ua.numbers]]\nprefix = "z"\nexchange=1', "m3ua.numbers[0].prefix", "digits"),
        ('application = "a"\n[log]\nlevel = "LOUD"', "log.level", "TRACE, DEBUG"),
        ('application = "a"\n[etcd]\nprefix = ""', "etcd.prefix", "not empty"),
        ("application = ", "-", "no TOML"),
    ],
)  # fmt: skip
def test_check_names_file_key_fault_and_what_is_allowed(
    text: str, key: str, said: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "a.toml"
    file.write_text(text)
    assert main(["check", str(file)]) == 1
    shown = capsys.readouterr().err
    assert f"{file}: {key}: " in shown and said in shown


def test_check_lists_every_fault_of_every_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    file = tmp_path / "a.toml"
    file.write_text('[m3ua]\npoint_code = -1\ncircuits = 0\n[etcd]\naddress = "x"\n')
    assert main(["check", str(file), str(tmp_path / "none.toml")]) == 1
    assert len(capsys.readouterr().err.splitlines()) == 5


def test_desks_that_clash_and_classes_the_settings_lack(tmp_path: Path) -> None:
    file = tmp_path / "a.toml"
    desk = '[[m3ua.desks]]\nuid = "u"\naddress = "127.0.0.1:1"\npoint_code = 1\nexchange = 1\n'
    file.write_text('application = "a"\n' + desk * 2)
    assert {f.key for f in read(file)[1]} == {
        "m3ua.desks.uid", "m3ua.desks.address", "m3ua.desks[0].point_code", "m3ua.desks[1].point_code",
    }  # fmt: skip
    file.write_text('application = "a"\n[[m3ua.classes]]\nname = "x"\ndeadline_ms = 5\n')
    operator = read(file)[0]
    assert operator is not None
    (fault,) = check_against("a", operator, ["voice"])
    assert (fault.key, fault.allowed) == ("m3ua.classes[0].name", "voice")


@pytest.mark.parametrize("arguments", [[], ["frob"], ["write"], ["write", "../a"], ["check"]])
def test_usage_faults_exit_2(arguments: list[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        main(arguments)
    assert ended.value.code == 2


def test_the_program_starts_with_the_same_check(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text(json.dumps({"listen": "127.0.0.1:0", "settings": settings()}))
    file = tmp_path / "a.toml"
    file.write_text('application = "a"\n[m3ua]\ncircuits = 0\n')
    run = subprocess.run(
        [sys.executable, "-m", "arrowrail", "--config", str(file)],
        capture_output=True, timeout=60, check=False,
        env=os.environ | {"PROXY_CONFIG": str(tmp_path / "config.json")},
    )  # fmt: skip
    assert run.returncode == 1 and b"m3ua.circuits: 0: " in run.stderr and b"allowed: 1 to 4095" in run.stderr
