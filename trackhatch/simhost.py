"""The simulator's wire on standard input and output, for many isolated controllers.

Translates between the wire and ``interface.py`` and decides nothing.
"""

from __future__ import annotations

import base64
import sys
import traceback
from collections.abc import Callable
from typing import Any

import orjson

from trackhatch import interface
from trackhatch.controller import Controller

Msg = dict[str, Any]


class WireError(Exception):
    """A line that is no batch."""


def read_settings(info: Msg) -> interface.Settings:
    """Settings from the wire's ``info`` object; ``ValueError`` names a field that is missing or wrong."""
    try:
        family, limits, rules = info["family-info"], info["policy-limits"], info["contract"]
        report = info.get("report") or {}
        return interface.Settings(
            classes=tuple(_read_class(c, n, family) for n, c in enumerate(info["classes"])),
            tenants=tuple(
                interface.Tenant(str(t["name"]), float(t["quota-per-s"])) for t in info.get("tenants") or ()
            ),
            over_share_worth=float(info.get("over-share-worth", 1.0)),
            layout=family["layout"],
            own_exchange=int(family["self-no"]),
            own_zone=str(info.get("zone", "")),
            pools_by_class=tuple(tuple(p or ()) for p in family.get("pools-by-class") or ()),
            controllers=int(info["instances"]),
            rank=int(info.get("rank", 0)),
            discovery=info["discovery"],
            list_query_deadline_ns=int(rules.get("must-ask-in-ns", 0)),
            release_ns=int(family["release-ns"] if "release-ns" in family else family["clear-ns"]),
            resend_ns=int(family.get("resend-ns", 0)),
            drain_grace_ns=int(rules["drain-grace-ns"]),
            start_capacity=float(rules["start-capacity"]),
            cold_ns=int(rules["cold-ns"]),
            fall_multiple=float(rules["fall-multiple"]),
            fall_ns=int(rules["fall-ns"]),
            max_attempts=int(limits["max-attempts"]),
            may_probe=bool(limits.get("may-probe")),
            may_message_peers=bool(limits.get("may-tell")),
            may_cancel=bool(limits.get("may-cancel")),
            may_send_retry_after=bool(limits.get("retry-after")),
            max_retry_after_ns=int(limits.get("max-retry-after-ns", 0)),
            central_advice=bool(family.get("advice")),
            redials_marked=bool((info.get("clients") or {}).get("marks-retry")),
            report_fields=tuple(report.get("fields") or ()),
        )
    except KeyError as missing:
        raise ValueError(f"settings lack {missing.args[0]}") from missing
    except (TypeError, IndexError) as wrong:
        raise ValueError(f"settings make no sense: {wrong}") from wrong


def _read_class(c: Msg, n: int, family: Msg) -> interface.CallClass:
    for field in ("class-hold-ns", "mean-hold-ns", "widths"):
        if len(family.get(field, range(n + 1))) <= n:
            raise ValueError(f"settings lack {field} for class {n}")
    holds = family["class-hold-ns"] if "class-hold-ns" in family else family["mean-hold-ns"]
    return interface.CallClass(
        name=str(c["name"]),
        worth=float(c["worth"]),
        late_share=float(c.get("late-share", 0.0)),
        aim_ns=int(c["objective-ns"]),
        aim_work_factor=float(c.get("aim-stretch", 0.0)),
        deadline_ns=int(c["deadline-ns"]),
        holding_ns=int(holds[n]),
        width=int(family["widths"][n]),
        repeat=c.get("repeat", "free"),
        repeat_scope=c.get("dedup-scope", "all"),
        repeat_window_ns=int(c.get("window-ns", 0)),
    )


def _read_report(usage: dict[str, float] | None) -> interface.LoadReport | None:
    if not usage:
        return None
    rest = tuple((k, v) for k, v in usage.items() if k not in ("spare", "total"))
    return interface.LoadReport(usage.get("spare", -1), usage.get("total", -1), rest)


def _inbound(m: Msg) -> interface.CallOffered:
    return interface.CallOffered(
        call_id=m["rid"],
        class_name=m.get("kind", ""),
        tenant=str(m.get("user-group") or ""),
        destination=m.get("called-node", -1),
        number=m.get("affinity", 0),
        width=m.get("width", 1),
        deadline_ns=m["deadline-ns"],
        expected_work_ns=m.get("expected-ns", 0),
        in_transit=m.get("midflow", False),
        redialled=m.get("again-by-client", False),
        replaces_cut_call=m.get("came-back", False),
        via_exchange=m.get("through", -1),
    )


def _outcome(m: Msg) -> interface.AttemptEnded:
    return interface.AttemptEnded(
        m["rid"], m["office"], m.get("go", 0), m["code"], m.get("lag-ns", 0), m.get("last", False),
        m.get("cause", 0), _read_report(m.get("usage")),
    )  # fmt: skip


READERS: dict[str, Callable[[Msg], interface.Event]] = {
    "inbound": _inbound,
    "outcome": _outcome,
    "head-received": lambda m: interface.CallEstablished(
        m["rid"], m["office"], m.get("go", 0), m.get("lag-ns", 0)
    ),
    "status-back": lambda m: interface.TrunkGroupReport(
        m["office"], m.get("code", ""), m.get("lag-ns", 0), _read_report(m.get("usage"))
    ),
    "dropped": lambda m: interface.CallerGone(m["rid"]),
    "elapsed": lambda m: interface.TimerExpired(m.get("ctx", "")),
    "message": lambda m: interface.PeerMessage(m.get("by", -1), base64.b64decode(m.get("msg", ""))),
}


def write_action(action: interface.Action) -> Msg:
    """One action as the wire words it."""
    match action:
        case interface.SendSetUp(call, office, time_out):
            body: Msg = {"rid": call, "office": office}
            return {"dispatch": body | {"within-ns": time_out} if time_out else body}
        case interface.RefuseCall(call, stay_away):
            return {"push-back": {"rid": call, "backoff-ns": stay_away} if stay_away else {"rid": call}}
        case interface.FailCall(call):
            return {"report-failure": {"rid": call}}
        case interface.SetTimer(in_ns, mark):
            return {"timer": {"in-ns": in_ns, "ctx": mark}}
        case interface.WatchExchangeList():
            return {"stream-changes": {"active": True}}
        case interface.CancelSetUp(call, attempt):
            return {"drop-attempt": {"rid": call, "go": attempt}}
        case interface.Probe(office):
            return {"ping": {"office": office}}
        case interface.SendPeerMessage(peer, text):
            to: int | str = "*" if peer < 0 else peer
            return {"signal": {"neighbour-id": to, "msg": base64.b64encode(text).decode()}}


class Host:
    """The controllers of one process, and the list pages that are the process's own."""

    def __init__(self) -> None:
        self.controllers: dict[int, Controller] = {}
        self.pages: dict[int, tuple[interface.ListEntry, ...]] = {}

    def batch(self, line: bytes) -> bytes:
        """Answer one line with one line; ``WireError`` where it is no batch."""
        try:
            outer = orjson.loads(line)
            now, groups = outer["t-ns"], outer["groups"]
            work = [(g["server-id"], g["msgs"]) for g in groups]
        except (orjson.JSONDecodeError, KeyError, TypeError) as wrong:
            raise WireError(f"not a batch: {wrong}") from wrong
        replies = []
        for number, messages in work:
            try:
                actions = self._instance(number, now, messages)
            except Exception as failure:  # the wire wants every failure of the decision code named
                traceback.print_exc()
                actions = [{"panic": {"message": f"{type(failure).__name__}: {failure}"}}]
            if actions:
                replies.append({"server-id": number, "decisions": actions})
        return orjson.dumps({"groups": replies})

    def _instance(self, number: int, now: int, messages: list[Msg]) -> list[Msg]:
        events: list[interface.Event] = []
        actions: list[Msg] = []
        for message in messages:
            for name, m in message.items():
                if name == "page":
                    self.pages[m["page"]] = tuple(_entry(e) for e in m["lines"])
                elif name == "announce":
                    entries = () if m["form"] == "unavailable" else self.pages.get(m.get("page", -1), ())
                    events.append(interface.ExchangeListUpdate(m["form"], entries))
                elif name in ("stop", "spawn"):
                    actions += self._run(number, now, events)
                    events = []
                    self.controllers.pop(number, None)
                    if name == "stop":
                        actions = []
                    else:
                        self.controllers[number] = Controller(read_settings(m["info"]), m.get("prng", 0))
                elif name in READERS:
                    events.append(READERS[name](m))
        return actions + self._run(number, now, events)

    def _run(self, number: int, now: int, events: list[interface.Event]) -> list[Msg]:
        controller = self.controllers.get(number)
        if controller is None or not events:
            return []
        return [write_action(a) for a in controller.step(now, events)]


def _entry(e: Msg) -> interface.ListEntry:
    return interface.ListEntry(
        e["office"], e.get("site", ""), e.get("cell", -1), e["readiness"], e.get("since-ns", 0)
    )


def main() -> int:
    host = Host()
    out = sys.stdout.buffer
    for line in sys.stdin.buffer:
        try:
            reply = host.batch(line)
        except WireError as wrong:
            print(f"simhost: {wrong}", file=sys.stderr)
            return 2
        out.write(reply + b"\n")
        out.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
