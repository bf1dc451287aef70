"""Invalid configurations: a valid one, and edits of it with the faults that they must cause.

An edit replaces a text of a file.  The line and column of the fault are given by hand, as an editor counts
them.
"""

from __future__ import annotations

from dataclasses import dataclass

INVENTORY_TEXT = """\
site: {label: "test", controllers: 2}
district: fukuoka: numbers: ["092"]
district: kumamoto: numbers: ["096"]
class: {
  "alarm": {worth: 4, width: 2, wanted: 2500ms, give_up: 9s}
  "report": {worth: 1, wanted: 2s, give_up: 9s}
}
exchange: {
  "f-1": {district: district.fukuoka, address: "127.0.0.1:6101"}
  "f-2": {district: district.fukuoka, address: "127.0.0.1:6102"}
  "k-1": {district: district.kumamoto, address: "127.0.0.1:6103", circuits: 60}
  "k-2": {district: district.kumamoto, address: "127.0.0.1:6104", circuits: 60}
}
pool: {
  f: {exchanges: [exchange.f-1, exchange.f-2], fallback: [pool.k]}
  k: {exchanges: [exchange.k-1, exchange.k-2]}
}
"""
LIFTS_TEXT = """\
include "inventory.rail"
application: lifts: {
  listen: sip: "127.0.0.1:5081"
  serves: [district.fukuoka, district.kumamoto]
  calls: {
    alarm: {give_up: 3s, time_out: 1300ms, pools: {fukuoka: pool.f, kumamoto: pool.k}}
    report: {give_up: 3s, time_out: 1300ms, pools: {fukuoka: pool.f, kumamoto: pool.k}}
  }
  limits: {open: 100, rate: 50/s, shares: alarm: {open: 40%, rate: 40%}}
  attempts: 2
}
"""
GROUP_TEXT = """\
  attempts: 2
  group: {
    group: "g"
    me: "a"
    listen: "127.0.0.1:7001"
    members: {a: "127.0.0.1:7001"}
    keys: "1": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
    send_key: 1
    probe_period: 10s
  }
"""
PANELS_TEXT = LIFTS_TEXT.replace("lifts", "panels").replace("5081", "5082")
VALID_FILES = {"inventory.rail": INVENTORY_TEXT, "lifts.rail": LIFTS_TEXT, "panels.rail": PANELS_TEXT}
INVENTORY_FILE, LIFTS_FILE, PANELS_FILE = "inventory.rail", "lifts.rail", "panels.rail"


@dataclass(frozen=True)
class Case:
    """An edit of one file, and the code and location of the fault that it causes."""

    code: str
    line: int
    column: int
    file: str
    old: str
    new: str
    fault_file: str = ""  # the file with the fault, if it is another one


def apply_edit(case: Case, raw: bool = False) -> dict[str, bytes]:
    files = dict(VALID_FILES)
    assert case.old in files[case.file], case
    files[case.file] = files[case.file].replace(case.old, case.new, 1)
    return {name: text.encode("utf-8", "surrogateescape") for name, text in files.items()}


SINGLE_FAULTS = (
    # Syntax
    Case("AR102", 1, 17, INVENTORY_FILE, '"test"', '"t\udcffst"'),
    Case("AR103", 1, 17, INVENTORY_FILE, '"test"', '"t\0st"'),
    Case("AR103", 2, 9, INVENTORY_FILE, "district: fukuoka", "district\x07: fukuoka"),
    Case("AR105", 1, 4097, INVENTORY_FILE, 'site: {label: "test"', 'site: {label: "test"' + " " * 5000),
    Case("AR106", 2, 51, INVENTORY_FILE, 'district: fukuoka: numbers: ["092"]', "a: " + "[" * 60 + "]" * 60),
    Case("AR107", 3, 10, INVENTORY_FILE, "district: kumamoto", "district = kumamoto"),
    Case("AR107", 1, 15, INVENTORY_FILE, '"test"', '"test'),
    Case("AR107", 1, 15, INVENTORY_FILE, '"test"', "'test'"),
    Case("AR107", 7, 1, INVENTORY_FILE, "class: {\n", "class: [\n"),
    Case("AR107", 8, 11, INVENTORY_FILE, '  "k-2": {district: district.kumamoto, address: "127.0.0.1:6104", circuits: 60}\n}\n',
         '  "k-2": {district: district.kumamoto, address: "127.0.0.1:6104", circuits: 60}\n'),
    Case("AR107", 10, 13, LIFTS_FILE, "attempts: 2", "attempts: "),
    Case("AR107", 1, 1, INVENTORY_FILE, "site: {", "# a note\nsite: {"),
    Case("AR107", 10, 15, LIFTS_FILE, "attempts: 2", "attempts: 2 3"),
    Case("AR107", 6, 24, LIFTS_FILE, "give_up: 3s", "give_up: 3 s"),
    Case("AR107", 10, 13, LIFTS_FILE, "attempts: 2", "attempts: *2"),
    Case("AR107", 1, 15, INVENTORY_FILE, '"test"', '"te\\qst"'),
    Case("AR107", 10, 19, LIFTS_FILE, "attempts: 2", 'attempts: 2 & =~"("'),
    # Includes
    Case("AR108", 1, 1, LIFTS_FILE, "inventory.rail", "inventry.rail"),
    Case("AR109", 1, 1, INVENTORY_FILE, "site: {", 'include "inventory.rail"\nsite: {'),
    Case("AR110", 1, 1, LIFTS_FILE, "inventory.rail", "../inventory.rail"),
    Case("AR110", 1, 1, LIFTS_FILE, "inventory.rail", "/etc/inventory.rail"),
    # Values
    Case("AR201", 11, 13, LIFTS_FILE, "  attempts: 2\n", "  attempts: 2\n  attempts: 3\n"),
    Case("AR201", 2, 14, LIFTS_FILE, "application: lifts", 'site: label: "other"\napplication: lifts'),
    Case("AR201", 11, 13, LIFTS_FILE, "  attempts: 2\n", "  attempts: 2\n  attempts: {}\n"),
    Case("AR202", 10, 13, LIFTS_FILE, "attempts: 2", 'attempts: "2"'),
    Case("AR202", 4, 11, LIFTS_FILE, "serves: [district.fukuoka, district.kumamoto]", "serves: 5"),
    Case("AR202", 9, 11, LIFTS_FILE, "limits: {open: 100, rate: 50/s, shares: alarm: {open: 40%, rate: 40%}}",
         "limits: 5"),
    Case("AR203", 6, 22, LIFTS_FILE, "give_up: 3s", "give_up: 3000"),
    Case("AR203", 9, 29, LIFTS_FILE, "rate: 50/s", "rate: 50"),
    Case("AR203", 9, 57, LIFTS_FILE, "open: 40%", "open: 0.4"),
    Case("AR204", 6, 22, LIFTS_FILE, "give_up: 3s", "give_up: 3/s"),
    Case("AR204", 9, 29, LIFTS_FILE, "rate: 50/s", "rate: 50s"),
    Case("AR204", 10, 13, LIFTS_FILE, "attempts: 2", "attempts: 2s"),
    Case("AR205", 10, 13, LIFTS_FILE, "attempts: 2", "attempts: 5"),
    Case("AR205", 1, 36, INVENTORY_FILE, "controllers: 2", "controllers: 0"),
    Case("AR205", 1, 38, INVENTORY_FILE, "controllers: 2", "release_pause: 200ms"),
    Case("AR205", 9, 29, LIFTS_FILE, "rate: 50/s", "rate: 0/s"),
    Case("AR206", 10, 3, LIFTS_FILE, "attempts: 2", "atempts: 2"),
    Case("AR206", 2, 1, LIFTS_FILE, "application: lifts", "aplication: x: {}\napplication: lifts"),
    Case("AR206", 9, 62, LIFTS_FILE, "alarm: {open: 40%, rate", "alarm: {open: 40%, rat", ),
    Case("AR207", 2, 14, LIFTS_FILE, "  limits: {open: 100, rate: 50/s, shares: alarm: {open: 40%, rate: 40%}}\n", ""),
    Case("AR207", 5, 3, INVENTORY_FILE, "worth: 4, ", ""),
    Case("AR207", 3, 11, LIFTS_FILE, 'listen: sip: "127.0.0.1:5081"', "listen: {}"),
    Case("AR208", 4, 30, LIFTS_FILE, "district.kumamoto]", "district.kumamto]"),
    Case("AR208", 6, 61, LIFTS_FILE, "fukuoka: pool.f", "fukuoka: pool.ff"),
    Case("AR208", 7, 5, LIFTS_FILE, "report: {give_up", "repport: {give_up"),
    Case("AR208", 15, 59, INVENTORY_FILE, "fallback: [pool.k]", "fallback: [pool.x]"),
    Case("AR208", 10, 13, LIFTS_FILE, "attempts: 2", "attempts: site.tries"),
    Case("AR209", 10, 13, LIFTS_FILE, "attempts: 2", "attempts: application.lifts.attempts"),
    Case("AR210", 10, 13, LIFTS_FILE, "attempts: 2", "attempts: 2 | 3"),
    Case("AR210", 10, 13, LIFTS_FILE, "attempts: 2", "attempts: int"),
    Case("AR211", 10, 13, LIFTS_FILE, "attempts: 2", "attempts: 2 & >=3"),
    Case("AR212", 10, 13, LIFTS_FILE, "attempts: 2", "attempts: 2 & (3 | 4)"),
    Case("AR212", 11, 15, LIFTS_FILE, "  attempts: 2\n", '  attempts: 2\n  log: level: "LOUD"\n'),
    Case("AR213", 3, 16, LIFTS_FILE, '"127.0.0.1:5081"', '"127.0.0.1"'),
    Case("AR213", 3, 16, LIFTS_FILE, '"127.0.0.1:5081"', '"127.0.0.1:99999"'),
    Case("AR214", 15, 33, INVENTORY_FILE, "[exchange.f-1, exchange.f-2]", "[exchange.f-1, exchange.f-1]"),
    Case("AR215", 6, 22, LIFTS_FILE, "give_up: 3s", "give_up: 3sec"),
    Case("AR215", 6, 22, LIFTS_FILE, "give_up: 3s", "give_up: 0.0000000001s"),
    Case("AR216", 4, 11, LIFTS_FILE, "serves: [district.fukuoka, district.kumamoto]", "serves: []"),
    Case("AR217", 13, 3, INVENTORY_FILE, 'circuits: 60}\n}', 'circuits: 60}\n'
         '  "k 3": {district: district.kumamoto, address: "127.0.0.1:6105"}\n}'),
    # Consistency of records
    Case("AR301", 15, 33, INVENTORY_FILE, "exchange.f-2]", "exchange.f-3]"),
    Case("AR302", 3, 16, PANELS_FILE, "127.0.0.1:5082", "127.0.0.1:5081"),
    Case("AR302", 3, 16, PANELS_FILE, "127.0.0.1:5082", "localhost:5081"),
    Case("AR302", 3, 16, PANELS_FILE, "127.0.0.1:5082", "[::ffff:127.0.0.1]:5081"),
    Case("AR303", 6, 36, LIFTS_FILE, "time_out: 1300ms", "time_out: 13s"),
    Case("AR303", 6, 22, LIFTS_FILE, "give_up: 3s, time_out: 1300ms", "give_up: 10s, time_out: 1300ms"),
    Case("AR304", 6, 36, LIFTS_FILE, "time_out: 1300ms", "time_out: 1500ms"),
    Case("AR305", 7, 52, LIFTS_FILE, "report: {give_up: 3s, time_out: 1300ms, pools: {fukuoka: pool.f, kumamoto: pool.k}}",
         "report: {give_up: 3s, time_out: 1300ms, pools: {fukuoka: pool.f}}"),
    Case("AR308", 3, 31, INVENTORY_FILE, '["096"]', '["092"]'),
    Case("AR309", 9, 87, LIFTS_FILE, "rate: 40%}}", "rate: 40%}, connections: 1010}"),
    Case("AR310", 9, 18, LIFTS_FILE, "open: 100", "open: 400"),
    Case("AR311", 10, 48, INVENTORY_FILE, "127.0.0.1:6102", "127.0.0.1:6101"),
    Case("AR312", 9, 43, LIFTS_FILE, "shares: alarm: {open: 40%, rate: 40%}",
         "shares: {alarm: {open: 60%}, report: {open: 50%}}"),
    Case("AR314", 3, 16, LIFTS_FILE, "127.0.0.1:5081", "127.0.0.1:6101"),
    Case("AR315", 8, 43, LIFTS_FILE, "    report: {give_up: 3s, time_out: 1300ms, pools: {fukuoka: pool.f, kumamoto: pool.k}}\n"
         "  }\n  limits: {open: 100, rate: 50/s, shares: alarm: {",
         "  }\n  limits: {open: 100, rate: 50/s, shares: report: {"),
    Case("AR316", 5, 41, INVENTORY_FILE, "wanted: 2500ms", "wanted: 10s"),
    Case("AR317", 10, 3, INVENTORY_FILE, '"f-2": {', '"f-2": {signalling: "m3ua", '),
    Case("AR318", 3, 16, LIFTS_FILE, "127.0.0.1:5081", "0.0.0.0:5081"),
    Case("AR318", 3, 16, LIFTS_FILE, "127.0.0.1:5081", "10.0.0.1:5081"),
    Case("AR319", 2, 14, PANELS_FILE, "application: panels", "application: lifts"),
    Case("AR502", 14, 13, LIFTS_FILE, "  attempts: 2\n", GROUP_TEXT.replace("7001\"}", "7009\"}")),
    Case("AR503", 18, 19, LIFTS_FILE, "  attempts: 2\n", GROUP_TEXT.replace("10s", "1s")),
    Case("AR504", 17, 15, LIFTS_FILE, "  attempts: 2\n", GROUP_TEXT.replace("send_key: 1", "send_key: 2")),
    Case("AR504", 16, 11, LIFTS_FILE, "  attempts: 2\n", GROUP_TEXT.replace("aaaaaaaaaaaaaaaa", "short")),
    Case("AR505", 16, 14, LIFTS_FILE, "  attempts: 2\n",
         GROUP_TEXT.replace("    keys", '    joining: {z: "127.0.0.1:7005"}\n    keys')),
    Case("AR323", 11, 9, LIFTS_FILE, "  attempts: 2\n", '  attempts: 2\n  list: kind: "etcd"\n'),
)  # fmt: skip

# Edits that cause several faults, all of which are reported, ordered by file, line and column.
MULTIPLE_FAULTS: tuple[tuple[str, str, str, tuple[str, ...]], ...] = (
    (LIFTS_FILE, 'listen: sip: "127.0.0.1:5081"', 'listen: {sip: "127.0.0.1:5081", m3ua: "127.0.0.1:5081"}',
     ("lifts.rail:3:41 AR302", "lifts.rail:7:5 AR324")),
    (PANELS_FILE, "127.0.0.1:5082", "0.0.0.0:5081", ("panels.rail:3:16 AR302", "panels.rail:3:16 AR318")),
    (LIFTS_FILE, "  attempts: 2\n}\n", "  attempts: 2\n}\napplication: more: application.lifts & {}\n",
     ("lifts.rail:3:16 AR302", "lifts.rail:12:14 AR320")),
    (LIFTS_FILE, "serves: [district.fukuoka, district.kumamoto]", "serves: [district.kumamoto]",
     ("lifts.rail:6:52 AR322", "lifts.rail:7:53 AR322")),
    (LIFTS_FILE, "give_up: 3s, time_out: 1300ms", "give_up: 3, time_out: 1300, tries: 4",
     ("lifts.rail:6:22 AR203", "lifts.rail:6:35 AR203", "lifts.rail:6:41 AR206")),
    (INVENTORY_FILE, "fallback: [pool.k]", "fallback: [pool.k, pool.x], kep: 1%",
     ("inventory.rail:15:67 AR208", "inventory.rail:15:76 AR206")),
    (INVENTORY_FILE, "  k: {exchanges: [exchange.k-1, exchange.k-2]}", "  k: {exchanges: [exchange.k-1], fallback: [pool.f]}",
     ("inventory.rail:16:45 AR307",)),
    (INVENTORY_FILE, 'address: "127.0.0.1:6103", circuits: 60}', 'address: "127.0.0.1:6103", circuits: 60, state: "draining"}',
     ()),
    (INVENTORY_FILE, INVENTORY_TEXT[INVENTORY_TEXT.index('  "k-1"') : INVENTORY_TEXT.index("}\npool")],
     '  "k-1": {district: district.kumamoto, address: "127.0.0.1:6103", state: "draining"}\n'
     '  "k-2": {district: district.kumamoto, address: "127.0.0.1:6104", state: "gone"}\n',
     tuple(f"{file}:{place} AR306" for file in (LIFTS_FILE, PANELS_FILE) for place in ("6:69", "7:70"))),
    (INVENTORY_FILE, '"f-1": {district: district.fukuoka, address: "127.0.0.1:6101"}',
     '"f-1": {district: district.fukuka, address: "127.0.0.1", circuits: 5000}',
     ("inventory.rail:9:21 AR208", "inventory.rail:9:47 AR213", "inventory.rail:9:70 AR205")),
)  # fmt: skip
