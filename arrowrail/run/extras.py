"""What an operator's file turns on: the M3UA-style front and back, and the list in etcd."""

from __future__ import annotations

from arrowrail.config.model import M3uaTable, Operator
from arrowrail.core import MS, Core
from arrowrail.run.config import Config
from arrowrail.run.loop import Loop
from arrowrail.state.directory import IN_SERVICE, Told
from arrowrail.wire.etcd_client import EtcdClient
from arrowrail.wire.m3ua_back import M3uaBack
from arrowrail.wire.m3ua_front import M3uaFront
from arrowrail.wire.m3ua_link import M3uaSettings
from arrowrail.wire.m3ua_rules import ClassRule, NumberRule

SOURCE = "operator"


def start_extras(loop: Loop, core: Core, config: Config, operator: Operator) -> M3uaFront | None:
    front = _start_m3ua(loop, core, config, operator.m3ua) if operator.m3ua.enabled else None
    if operator.etcd.enabled:
        EtcdClient(loop, core, operator.etcd.address, operator.etcd.prefix).start()
    return front


def _start_m3ua(loop: Loop, core: Core, config: Config, m: M3uaTable) -> M3uaFront:
    settings = M3uaSettings(m.point_code, m.routing_context, m.network_appearance, m.heartbeat_ms * MS)
    widths = {c.name: c.width for c in config.settings.classes}
    classes = tuple(
        ClassRule(c.name, c.deadline_ms * MS, widths[c.name], c.category, c.requirement) for c in m.classes
    )
    M3uaBack(loop, core, settings, classes, m.circuits, config.connect_timeout_ns)
    core.list_news(
        SOURCE, True,
        [
            Told(d.uid, d.address, d.zone, d.exchange, IN_SERVICE, 0, "m3ua", d.point_code, d.circuits)
            for d in m.desks
        ],
    )  # fmt: skip
    numbers = tuple(NumberRule(n.prefix, n.exchange) for n in m.numbers)
    front = M3uaFront(loop, core, m.listen, settings, classes, numbers)
    front.start()
    return front
