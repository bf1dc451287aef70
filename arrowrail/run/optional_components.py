"""What an operator's file turns on: the M3UA-style front and back, and the list in etcd."""

from __future__ import annotations

from loguru import logger

from arrowrail.config.records import Controller, ControllerM3ua
from arrowrail.core.engine import Core
from arrowrail.loop import Loop
from arrowrail.run.config import Config
from arrowrail.state.endpoints import IN_SERVICE, EndpointEntry
from arrowrail.wire.etcd.client import EtcdClient
from arrowrail.wire.m3ua.association import M3uaSettings
from arrowrail.wire.m3ua.backend import M3uaBackend
from arrowrail.wire.m3ua.frontend import M3uaFrontend
from arrowrail.wire.m3ua.mappings import ClassMapping, PrefixMapping

SOURCE = "operator"


class OptionalComponents:
    """The parts that an operator's file turned on."""

    def __init__(self, loop: Loop, core: Core, config: Config, operator: Controller) -> None:
        self.core, self.config, self.operator = core, config, operator
        m = operator.m3ua
        self.frontend: M3uaFrontend | None = None
        self.etcd: EtcdClient | None = None
        if m.enabled:
            settings = M3uaSettings(m.point_code, m.routing_context, m.network_appearance, m.heartbeat)
            self.back = M3uaBackend(
                loop, core, settings, self._classes(m), m.circuits, config.connect_timeout_ns
            )
            core.update_endpoints(SOURCE, True, _desks(m))
            self.frontend = M3uaFrontend(loop, core, m.listen, settings, self._classes(m), _numbers(m))
            self.frontend.start()
        if operator.etcd.enabled:
            self.etcd = EtcdClient(loop, core, operator.etcd.address, operator.etcd.prefix)
            self.etcd.start()

    def reload(self, operator: Controller) -> None:
        """Take up desk exchanges, numbers, classes and etcd's address; new calls see them, old ones don't.

        Who listens where, and under which point code, is agreed with the peers: that needs a restart.
        """
        if self.frontend is not None and operator.m3ua.enabled:
            self.core.update_endpoints(SOURCE, True, _desks(operator.m3ua))
            self.back.update_mappings(self._classes(operator.m3ua))
            self.frontend.update_mappings(self._classes(operator.m3ua), _numbers(operator.m3ua))
        if self.etcd is not None and operator.etcd.enabled:
            self.etcd.change_source(operator.etcd.address, operator.etcd.prefix)
        if _fixed(operator) != _fixed(self.operator):
            logger.warning("reload: a changed listen, point code or switch needs a restart")
        self.operator = operator

    def _classes(self, m: ControllerM3ua) -> tuple[ClassMapping, ...]:
        widths = {c.name: c.width for c in self.config.settings.classes}
        return tuple(
            ClassMapping(c.class_, c.deadline, widths[c.class_], c.category, c.requirement) for c in m.classes
        )


def _fixed(o: Controller) -> tuple[object, ...]:
    m = o.m3ua
    return (
        m.enabled, m.listen, m.point_code, m.routing_context, m.network_appearance, m.heartbeat,
        m.circuits, o.etcd.enabled,
    )  # fmt: skip


def _desks(m: ControllerM3ua) -> list[EndpointEntry]:
    return [
        EndpointEntry(d.uid, d.address, d.zone, d.exchange, IN_SERVICE, 0, "m3ua", d.point_code, d.circuits)
        for d in m.desks
    ]


def _numbers(m: ControllerM3ua) -> tuple[PrefixMapping, ...]:
    return tuple(PrefixMapping(n.prefix, n.exchange) for n in m.numbers)
