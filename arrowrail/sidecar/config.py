"""Converts an application's records to the configuration of its sidecar.  No I/O.

The result holds plain values only, so that another process than the serving one can build it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from arrowrail.config.records import Application, Exchange, Site
from arrowrail.config.rules import Inventory, connections_per_exchange
from arrowrail.group.config import GroupConfig
from arrowrail.limits import config as limits
from arrowrail.pools import config as pools
from arrowrail.pools.config import fallback_order, route_name
from arrowrail.state.endpoints import IN_SERVICE, TERMINATED, TERMINATING
from trackhatch import interface

ENDPOINT_STATES = {"in_service": IN_SERVICE, "draining": TERMINATING, "gone": TERMINATED}
REPEAT_WINDOW_NS = 5_000_000_000  # has no effect, since repeats are free in all classes
FIRST_EXCHANGE_NUMBER = 1


@dataclass(frozen=True, slots=True)
class ExchangeConfig:
    """An exchange of the inventory."""

    name: str
    number: int  # by which the decision module and the route table know it
    address: str
    zone: str
    state: str  # IN_SERVICE, TERMINATING or TERMINATED
    signalling: str
    point_code: int
    circuits: int


@dataclass(frozen=True, slots=True)
class ClassConfig:
    """The settings of a call class that admission control and signalling need."""

    name: str
    width: int
    caller_timeout_ns: int  # after which callers abandon a set-up
    attempt_timeout_ns: int
    category: int | None  # calling party's category that selects the class, with M3UA
    requirement: int | None  # transmission medium requirement that selects it


@dataclass(frozen=True, slots=True)
class TransportConfig:
    """Addresses and protocol parameters; changes take effect at the next start."""

    sip: str  # address of the SIP listener; empty: none
    m3ua: str  # address of the M3UA listener; empty: none
    point_code: int
    routing_context: int | None
    network_appearance: int | None
    heartbeat_ns: int
    source: str  # of list updates: "records" (none), "bus" or "etcd"
    source_address: str
    source_prefix: str  # key prefix in etcd
    max_descriptors: int
    connect_timeout_ns: int


@dataclass(frozen=True, slots=True)
class SidecarConfig:
    """The configuration of one sidecar."""

    application: str
    site: str
    settings: interface.Settings
    limits: limits.LimitsConfig
    pools: pools.RoutingConfig
    classes: Mapping[str, ClassConfig]
    exchanges: tuple[ExchangeConfig, ...]
    transport: TransportConfig
    max_connections: int  # that the application may have open
    orphan_timeout_ns: int  # calls are released after this time without a connection of the application
    log_level: str
    log_form: str
    connections_per_exchange: int
    group: GroupConfig | None = None


def build_config(
    application: Application, inventory: Inventory, numbers: Mapping[str, int] | None = None
) -> SidecarConfig:
    """Build the configuration; ``numbers`` are the exchange numbers that a running sidecar already uses."""
    if inventory.site is None:
        raise ValueError("the inventory has no site")
    exchange_names = {
        name
        for app_class in application.calls.values()
        for pool in app_class.pools.values()
        for pool_name in fallback_order(inventory.fallbacks, pool)
        for name in inventory.pools[pool_name].exchanges
    }
    number_by_name = dict(numbers or {})
    for name in sorted(exchange_names):
        if name not in number_by_name:
            number_by_name[name] = max(number_by_name.values(), default=FIRST_EXCHANGE_NUMBER - 1) + 1
    routing = _routing_config(application, inventory, number_by_name)
    return SidecarConfig(
        application.name, inventory.site.label, _settings(application, inventory, routing),
        _limits_config(application, inventory), routing, _class_configs(application, inventory),
        tuple(
            _exchange_config(inventory.exchanges[n], number_by_name[n], inventory)
            for n in sorted(exchange_names)
            if n in inventory.exchanges
        ),
        _transport_config(application, inventory.site), application.limits.connections, application.orphans,
        application.log.level, application.log.form, connections_per_exchange(application.descriptors),
        _group_config(application),
    )  # fmt: skip


def _group_config(application: Application) -> GroupConfig | None:
    group = application.group
    if group is None:
        return None
    return GroupConfig(
        group.group, group.me, group.listen, group.bind or group.listen, dict(group.members),
        dict(group.joining), group.seeds,
        {int(n): bytes.fromhex(text) for n, text in group.keys.items()}, group.send_key, group.lease,
        int(group.drift * 1_000_000), group.memory, group.control, group.probe_period, group.probe_time_out,
    )  # fmt: skip


def _exchange_config(exchange: Exchange, number: int, inventory: Inventory) -> ExchangeConfig:
    district = inventory.districts.get(exchange.district)
    zone = (district.zone if district is not None else "") or exchange.district
    return ExchangeConfig(
        exchange.name,
        number,
        exchange.address,
        zone,
        ENDPOINT_STATES[exchange.state],
        exchange.signalling,
        exchange.point_code or 0,
        exchange.circuits,
    )


def _routing_config(
    application: Application, inventory: Inventory, numbers: Mapping[str, int]
) -> pools.RoutingConfig:
    used_pools: dict[str, pools.PoolConfig] = {}
    routes: dict[str, pools.RouteConfig] = {}
    for app_class in application.calls.values():
        for district, first_pool in app_class.pools.items():
            order = fallback_order(inventory.fallbacks, first_pool)
            name = route_name(app_class.name, district)
            routes[name] = pools.RouteConfig(name, app_class.name, district, order)
            for pool in order:
                members = tuple(
                    pools.PoolMember(numbers[e], inventory.exchanges[e].weight)
                    for e in inventory.pools[pool].exchanges
                    if e in inventory.exchanges
                )
                used_pools[pool] = pools.PoolConfig(pool, members, inventory.pools[pool].keep)
    district_by_prefix = {
        p: d for d in application.serves if d in inventory.districts for p in inventory.districts[d].numbers
    }
    return pools.RoutingConfig(used_pools, routes, district_by_prefix)


def _class_configs(application: Application, inventory: Inventory) -> dict[str, ClassConfig]:
    return {
        c.name: ClassConfig(
            c.name, inventory.classes[c.name].width, c.give_up, c.time_out, c.category, c.requirement
        )
        for c in application.calls.values()
    }


def _limits_config(application: Application, inventory: Inventory) -> limits.LimitsConfig:
    configured = application.limits
    worths = {c: float(inventory.classes[c].worth) for c in application.calls}
    shares = {n: (s.open, s.rate) for n, s in configured.shares.items()}
    max_retry_after_ns = inventory.site.stay_away if inventory.site is not None else 0
    return limits.build_limits(
        configured.open,
        configured.rate,
        configured.burst,
        configured.connection_share,
        worths,
        shares,
        max_retry_after_ns,
    )


def _transport_config(application: Application, site: Site) -> TransportConfig:
    return TransportConfig(
        application.listen.sip or "", application.listen.m3ua or "", application.m3ua.point_code,
        application.m3ua.routing_context, application.m3ua.network_appearance, application.m3ua.heartbeat,
        application.list.kind, application.list.address or "", application.list.prefix,
        application.descriptors, site.connect_time_out,
    )  # fmt: skip


def _settings(
    application: Application, inventory: Inventory, routing: pools.RoutingConfig
) -> interface.Settings:
    """Build the decision module's settings, with one class per route: its pools depend on the district."""
    site = inventory.site
    assert site is not None
    call_classes = []
    for route in routing.routes.values():
        call_class = inventory.classes[route.class_name]
        call_classes.append(
            interface.CallClass(
                route.name, float(call_class.worth), float(call_class.late), call_class.wanted, 0.0,
                call_class.give_up, call_class.holding, call_class.width,
                "free", "all", REPEAT_WINDOW_NS,
            )
        )  # fmt: skip
    return interface.Settings(
        classes=tuple(call_classes), tenants=(), over_share_worth=1.0, layout="groups", own_exchange=-1,
        own_zone="",
        pools_by_class=tuple((-1,) for _ in call_classes),  # no exchanges until the route table reports them
        controllers=site.controllers, rank=0, discovery="push", list_query_deadline_ns=0,
        release_ns=site.release_pause, resend_ns=site.resend, drain_grace_ns=site.drain_grace,
        start_capacity=float(site.start_capacity), cold_ns=site.cold, fall_multiple=float(site.fall_multiple),
        fall_ns=site.fall_window, max_attempts=application.attempts, may_probe=False, may_message_peers=False,
        may_cancel=True, may_send_retry_after=site.stay_away > 0, max_retry_after_ns=site.stay_away,
        central_advice=False, redials_marked=application.redials_marked, report_fields=("spare", "total"),
    )  # fmt: skip
