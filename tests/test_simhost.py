"""Protocol of the simulator adapter, with hand-written lines."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from trackhatch.simhost import Host, read_settings

INFO: dict[str, Any] = {
    "classes": [{
        "deadline-ns": 9000000000, "dedup-scope": "all", "late-share": 0.25, "name": "check",
        "objective-ns": 2000000000, "repeat": "free", "streamed": True, "window-ns": 5000000000, "worth": 1.0,
    }],
    "contract": {"cold-ns": 15000000000, "drain-grace-ns": 2000000000, "fall-multiple": 4.0,
                 "fall-ns": 1000000000, "must-ask-in-ns": 10000000000, "start-capacity": 0.29},
    "discovery": "push",
    "family-info": {"class-hold-ns": [12800000000], "layout": "meshed", "pools-by-class": [None],
                    "release-ns": 300000000, "resend-ns": 400000000, "self-no": 0, "widths": [1]},
    "instances": 2,
    "policy-limits": {"max-attempts": 4, "retry-after": True, "max-retry-after-ns": 2000000000},
    "novelty": 1,
}  # fmt: skip
PAGE = {"page": {"page": 0, "lines": [
    {"office": 11, "site": "z", "cell": 0, "readiness": "in_service"},
    {"office": 12, "site": "z", "cell": 1, "readiness": "in_service", "units": 1},
]}}  # fmt: skip
START = [
    {"spawn": {"prng": 5, "info": INFO}},
    PAGE,
    {"announce": {"form": "restored", "index": 0, "page": 0}},
    {
        "status-back": {
            "office": 12,
            "lag-ns": 0,
            "code": "served",
            "usage": {"spare": 3, "total": 3, "x": -1},
        }
    },
]
CALL = {
    "inbound": {"rid": "r-a", "called-node": 1, "deadline-ns": 4000000000, "affinity": 3, "kind": "check"}
}


def batch(*messages: Any, server: int = 1, at: int = 1000000000) -> bytes:
    return json.dumps({"t-ns": at, "groups": [{"server-id": server, "msgs": list(messages)}]}).encode()


def decisions(reply: bytes) -> list[Any]:
    return [d for g in json.loads(reply)["groups"] for d in g["decisions"]]


def test_call_is_dispatched_and_an_unknown_event_is_ignored() -> None:
    host = Host()
    assert decisions(host.batch(batch(*START))) == []
    assert decisions(host.batch(batch({"tomorrow": {}}, CALL))) == [
        {"dispatch": {"rid": "r-a", "office": 12}}
    ]


def test_instances_share_nothing() -> None:
    host = Host()
    host.batch(batch(*START, server=1))
    host.batch(batch(*START, server=2))
    end = {
        "outcome": {"rid": "r-a", "go": 0, "office": 12, "code": "no_connection", "lag-ns": 1, "last": True}
    }
    host.batch(batch(CALL, server=1))
    host.batch(batch(end, server=1))
    assert decisions(host.batch(batch(CALL, server=2))) == [{"dispatch": {"rid": "r-a", "office": 12}}]


def test_stop_drops_all_state_and_a_new_list_page_is_used() -> None:
    host = Host()
    host.batch(batch(*START, CALL))
    assert decisions(host.batch(batch({"stop": {}}))) == []
    assert decisions(host.batch(batch({"elapsed": {"ctx": "r-a"}}))) == []
    again = {"inbound": dict(CALL["inbound"], rid="r-b")}
    assert decisions(host.batch(batch(*START, again))) == [{"dispatch": {"rid": "r-b", "office": 12}}]


def test_failure_of_the_decision_module_is_reported_as_panic(capsys: pytest.CaptureFixture[str]) -> None:
    host = Host()
    reply = decisions(host.batch(batch({"spawn": {"prng": 1, "info": {"classes": []}}})))
    assert list(reply[0]) == ["panic"] and "family-info" in reply[0]["panic"]["message"]
    assert "Traceback" in capsys.readouterr().err


@pytest.mark.parametrize("missing", ["discovery", "contract", "instances"])
def test_missing_settings_are_named(missing: str) -> None:
    with pytest.raises(ValueError, match=missing):
        read_settings({k: v for k, v in INFO.items() if k != missing})


@pytest.mark.parametrize("line", [b"not json\n", b"[1]\n", b'{"groups": []}\n'])
def test_input_that_is_not_a_batch_ends_the_adapter(line: bytes) -> None:
    run = subprocess.run(
        [sys.executable, "-m", "trackhatch.simhost"], input=line, capture_output=True, timeout=60, check=False
    )
    assert run.returncode != 0 and run.stdout == b"" and len(run.stderr.strip().splitlines()) == 1


def test_empty_batch_is_answered_and_end_of_input_ends_the_adapter() -> None:
    run = subprocess.run(
        [sys.executable, "-m", "trackhatch.simhost"],
        input=b'{"t-ns":1,"groups":[]}\n', capture_output=True, timeout=60, check=False,
    )  # fmt: skip
    assert run.returncode == 0 and json.loads(run.stdout) == {"groups": []}


def test_readme_example_prints_what_it_says(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text(encoding="utf-8")
    code = text.split("```python\n")[1].split("```")[0]
    exec(compile(code, "README.md", "exec"), {})
    assert capsys.readouterr().out.strip() == code.split("print(action)  # ")[1].strip()


def test_class_without_a_width_is_reported() -> None:
    with pytest.raises(ValueError, match="widths"):
        read_settings(INFO | {"family-info": INFO["family-info"] | {"widths": []}})
