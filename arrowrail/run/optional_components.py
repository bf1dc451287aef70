"""Components enabled by the operator's file: M3UA-style signalling, and the exchange list in etcd."""

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

OPERATOR_SOURCE = "operator"


class OptionalComponents:
    """Creates the enabled components and applies reloads to them."""

    def __init__(self, loop: Loop, core: Core, config: Config, operator_config: Controller) -> None:
        self.core, self.config, self.operator_config = core, config, operator_config
        m3ua = operator_config.m3ua
        self.frontend: M3uaFrontend | None = None
        self.etcd: EtcdClient | None = None
        if m3ua.enabled:
            settings = M3uaSettings(
                m3ua.point_code, m3ua.routing_context, m3ua.network_appearance, m3ua.heartbeat
            )
            self.backend = M3uaBackend(
                loop, core, settings, self._class_mappings(m3ua), m3ua.circuits, config.connect_timeout_ns
            )
            core.update_endpoints(OPERATOR_SOURCE, True, _endpoint_entries(m3ua))
            self.frontend = M3uaFrontend(
                loop, core, m3ua.listen, settings, self._class_mappings(m3ua), _prefix_mappings(m3ua)
            )
            self.frontend.start()
        if operator_config.etcd.enabled:
            self.etcd = EtcdClient(loop, core, operator_config.etcd.address, operator_config.etcd.prefix)
            self.etcd.start()

    def reload(self, operator_config: Controller) -> None:
        """Apply the desk exchanges, numbers, classes and etcd address; calls in progress are unaffected.

        Listener addresses and point codes are agreed with the peers, so changing them requires a restart.
        """
        if self.frontend is not None and operator_config.m3ua.enabled:
            self.core.update_endpoints(OPERATOR_SOURCE, True, _endpoint_entries(operator_config.m3ua))
            self.backend.update_mappings(self._class_mappings(operator_config.m3ua))
            self.frontend.update_mappings(
                self._class_mappings(operator_config.m3ua), _prefix_mappings(operator_config.m3ua)
            )
        if self.etcd is not None and operator_config.etcd.enabled:
            self.etcd.change_source(operator_config.etcd.address, operator_config.etcd.prefix)
        if _restart_settings(operator_config) != _restart_settings(self.operator_config):
            logger.warning("reload: changed listeners, M3UA parameters and enabled switches need a restart")
        self.operator_config = operator_config

    def _class_mappings(self, m3ua: ControllerM3ua) -> tuple[ClassMapping, ...]:
        widths = {c.name: c.width for c in self.config.settings.classes}
        return tuple(
            ClassMapping(c.class_, c.deadline, widths[c.class_], c.category, c.requirement)
            for c in m3ua.classes
        )


def _restart_settings(operator_config: Controller) -> tuple[object, ...]:
    """Return the settings that take effect only at a restart."""
    m3ua = operator_config.m3ua
    return (
        m3ua.enabled, m3ua.listen, m3ua.point_code, m3ua.routing_context, m3ua.network_appearance,
        m3ua.heartbeat, m3ua.circuits, operator_config.etcd.enabled,
    )  # fmt: skip


def _endpoint_entries(m3ua: ControllerM3ua) -> list[EndpointEntry]:
    return [
        EndpointEntry(d.uid, d.address, d.zone, d.exchange, IN_SERVICE, 0, "m3ua", d.point_code, d.circuits)
        for d in m3ua.desks
    ]


def _prefix_mappings(m3ua: ControllerM3ua) -> tuple[PrefixMapping, ...]:
    return tuple(PrefixMapping(n.prefix, n.exchange) for n in m3ua.numbers)
