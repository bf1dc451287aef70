"""Simulator adapter: runs many isolated controllers behind the simulator's protocol on stdin and stdout.

Translates between the protocol's JSON lines and ``interface.py``, and decides nothing.
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

Message = dict[str, Any]


class WireError(Exception):
    """An input line is not a valid batch."""


def read_settings(info: Message) -> interface.Settings:
    """Read settings from the ``info`` object; ``ValueError`` names a field that is missing or invalid."""
    try:
        family, limits, contract = info["family-info"], info["policy-limits"], info["contract"]
        report = info.get("report") or {}
        return interface.Settings(
            classes=tuple(_read_class(fields, n, family) for n, fields in enumerate(info["classes"])),
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
            list_query_deadline_ns=int(contract.get("must-ask-in-ns", 0)),
            release_ns=int(family["release-ns"] if "release-ns" in family else family["clear-ns"]),
            resend_ns=int(family.get("resend-ns", 0)),
            drain_grace_ns=int(contract["drain-grace-ns"]),
            start_capacity=float(contract["start-capacity"]),
            cold_ns=int(contract["cold-ns"]),
            fall_multiple=float(contract["fall-multiple"]),
            fall_ns=int(contract["fall-ns"]),
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
    except KeyError as error:
        raise ValueError(f"missing setting: {error.args[0]}") from error
    except (TypeError, IndexError) as error:
        raise ValueError(f"invalid settings: {error}") from error


def _read_class(fields: Message, index: int, family: Message) -> interface.CallClass:
    for name in ("class-hold-ns", "mean-hold-ns", "widths"):
        if len(family.get(name, range(index + 1))) <= index:
            raise ValueError(f"missing setting: {name} of class {index}")
    holding_times = family["class-hold-ns"] if "class-hold-ns" in family else family["mean-hold-ns"]
    return interface.CallClass(
        name=str(fields["name"]),
        worth=float(fields["worth"]),
        late_share=float(fields.get("late-share", 0.0)),
        aim_ns=int(fields["objective-ns"]),
        aim_work_factor=float(fields.get("aim-stretch", 0.0)),
        deadline_ns=int(fields["deadline-ns"]),
        holding_ns=int(holding_times[index]),
        width=int(family["widths"][index]),
        repeat=fields.get("repeat", "free"),
        repeat_scope=fields.get("dedup-scope", "all"),
        repeat_window_ns=int(fields.get("window-ns", 0)),
    )


def _read_report(usage: dict[str, float] | None) -> interface.LoadReport | None:
    if not usage:
        return None
    metrics = tuple((name, value) for name, value in usage.items() if name not in ("spare", "total"))
    return interface.LoadReport(usage.get("spare", -1), usage.get("total", -1), metrics)


def _read_offer(fields: Message) -> interface.CallOffered:
    return interface.CallOffered(
        call_id=fields["rid"],
        class_name=fields.get("kind", ""),
        tenant=str(fields.get("user-group") or ""),
        destination=fields.get("called-node", -1),
        number=fields.get("affinity", 0),
        width=fields.get("width", 1),
        deadline_ns=fields["deadline-ns"],
        expected_work_ns=fields.get("expected-ns", 0),
        in_transit=fields.get("midflow", False),
        redialled=fields.get("again-by-client", False),
        replaces_cut_call=fields.get("came-back", False),
        via_exchange=fields.get("through", -1),
    )


def _read_outcome(fields: Message) -> interface.AttemptEnded:
    return interface.AttemptEnded(
        fields["rid"], fields["office"], fields.get("go", 0), fields["code"], fields.get("lag-ns", 0),
        fields.get("last", False), fields.get("cause", 0), _read_report(fields.get("usage")),
    )  # fmt: skip


READERS: dict[str, Callable[[Message], interface.Event]] = {
    "inbound": _read_offer,
    "outcome": _read_outcome,
    "head-received": lambda fields: interface.CallEstablished(
        fields["rid"], fields["office"], fields.get("go", 0), fields.get("lag-ns", 0)
    ),
    "status-back": lambda fields: interface.TrunkGroupReport(
        fields["office"], fields.get("code", ""), fields.get("lag-ns", 0), _read_report(fields.get("usage"))
    ),
    "dropped": lambda fields: interface.CallAbandoned(fields["rid"]),
    "elapsed": lambda fields: interface.TimerExpired(fields.get("ctx", "")),
    "message": lambda fields: interface.PeerMessage(
        fields.get("by", -1), base64.b64decode(fields.get("msg", ""))
    ),
}


def write_action(action: interface.Action) -> Message:
    """Convert an action to its form in the protocol."""
    match action:
        case interface.SendSetUp(call_id, endpoint_id, timeout_ns):
            body: Message = {"rid": call_id, "office": endpoint_id}
            return {"dispatch": body | {"within-ns": timeout_ns} if timeout_ns else body}
        case interface.RefuseCall(call_id, retry_after_ns):
            return {
                "push-back": {"rid": call_id, "backoff-ns": retry_after_ns}
                if retry_after_ns
                else {"rid": call_id}
            }
        case interface.FailCall(call_id):
            return {"report-failure": {"rid": call_id}}
        case interface.SetTimer(delay_ns, timer_id):
            return {"timer": {"in-ns": delay_ns, "ctx": timer_id}}
        case interface.WatchExchangeList():
            return {"stream-changes": {"active": True}}
        case interface.CancelSetUp(call_id, attempt):
            return {"drop-attempt": {"rid": call_id, "go": attempt}}
        case interface.Probe(endpoint_id):
            return {"ping": {"office": endpoint_id}}
        case interface.SendPeerMessage(peer, payload):
            receiver: int | str = "*" if peer < 0 else peer
            return {"signal": {"neighbour-id": receiver, "msg": base64.b64encode(payload).decode()}}


class Host:
    """The controllers of one process, and the pages of the exchange list that they share."""

    def __init__(self) -> None:
        self.controllers: dict[int, Controller] = {}
        self.pages: dict[int, tuple[interface.ListEntry, ...]] = {}

    def batch(self, line: bytes) -> bytes:
        """Handle one input line and return the reply line; raise ``WireError`` if it is not a batch."""
        try:
            request = orjson.loads(line)
            now, groups = request["t-ns"], request["groups"]
            batches = [(g["server-id"], g["msgs"]) for g in groups]
        except (orjson.JSONDecodeError, KeyError, TypeError) as error:
            raise WireError(f"not a batch: {error}") from error
        replies = []
        for server_id, messages in batches:
            try:
                actions = self._handle(server_id, now, messages)
            except Exception as error:
                # The protocol requires every failure of the decision code to be reported.
                traceback.print_exc()
                actions = [{"panic": {"message": f"{type(error).__name__}: {error}"}}]
            if actions:
                replies.append({"server-id": server_id, "decisions": actions})
        return orjson.dumps({"groups": replies})

    def _handle(self, server_id: int, now: int, messages: list[Message]) -> list[Message]:
        events: list[interface.Event] = []
        actions: list[Message] = []
        for message in messages:
            for name, fields in message.items():
                if name == "page":
                    self.pages[fields["page"]] = tuple(_read_entry(line) for line in fields["lines"])
                elif name == "announce":
                    entries = (
                        () if fields["form"] == "unavailable" else self.pages.get(fields.get("page", -1), ())
                    )
                    events.append(interface.ExchangeListUpdate(fields["form"], entries))
                elif name in ("stop", "spawn"):
                    actions += self._run(server_id, now, events)
                    events = []
                    self.controllers.pop(server_id, None)
                    if name == "stop":
                        actions = []
                    else:
                        self.controllers[server_id] = Controller(
                            read_settings(fields["info"]), fields.get("prng", 0)
                        )
                elif name in READERS:
                    events.append(READERS[name](fields))
        return actions + self._run(server_id, now, events)

    def _run(self, server_id: int, now: int, events: list[interface.Event]) -> list[Message]:
        controller = self.controllers.get(server_id)
        if controller is None or not events:
            return []
        return [write_action(a) for a in controller.step(now, events)]


def _read_entry(fields: Message) -> interface.ListEntry:
    return interface.ListEntry(
        fields["office"],
        fields.get("site", ""),
        fields.get("cell", -1),
        fields["readiness"],
        fields.get("since-ns", 0),
    )


def main() -> int:
    """Answer batches line by line until the end of input; return the exit status."""
    host = Host()
    out = sys.stdout.buffer
    for line in sys.stdin.buffer:
        try:
            reply = host.batch(line)
        except WireError as error:
            print(f"simhost: {error}", file=sys.stderr)
            return 2
        out.write(reply + b"\n")
        out.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
