"""An application's records as what the running parts work with: settings, pools, limits, list.  No I/O.

The result holds plain values only, so that it can be made in another process than the one that serves.
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

STATES = {"in_service": IN_SERVICE, "draining": TERMINATING, "gone": TERMINATED}
REPEAT_WINDOW_NS = 5_000_000_000  # of no effect where repeats are free
FIRST_NUMBER = 1


@dataclass(frozen=True, slots=True)
class ExchangeConfig:
    """An exchange of the inventory."""

    name: str
    number: int
    address: str
    zone: str
    state: str
    signalling: str
    point_code: int
    circuits: int


@dataclass(frozen=True, slots=True)
class ClassConfig:
    """What the admission controller needs to know of a class that the application brings in."""

    name: str
    width: int
    give_up_ns: int
    time_out_ns: int
    category: int | None
    requirement: int | None


@dataclass(frozen=True, slots=True)
class TransportConfig:
    """Sockets and files: what a reload leaves as it is."""

    sip: str
    m3ua: str
    point_code: int
    routing_context: int | None
    network_appearance: int | None
    heartbeat_ns: int
    source: str
    source_address: str
    source_prefix: str
    descriptors: int
    connect_timeout_ns: int


@dataclass(frozen=True, slots=True)
class SidecarConfig:
    application: str
    site: str
    settings: interface.Settings
    limits: limits.LimitsConfig
    pools: pools.RoutingConfig
    classes: Mapping[str, ClassConfig]
    exchanges: tuple[ExchangeConfig, ...]
    transport: TransportConfig
    connections: int
    orphans_ns: int
    log_level: str
    log_form: str
    connections_per_exchange: int
    group: GroupConfig | None = None


def build_config(a: Application, v: Inventory, numbers: Mapping[str, int] | None = None) -> SidecarConfig:
    """``numbers`` keeps exchanges the numbers that a running sidecar has given them."""
    if v.site is None:
        raise ValueError("no site")
    reached = {
        e
        for calls in a.calls.values()
        for pool in calls.pools.values()
        for name in fallback_order(v.fallbacks, pool)
        for e in v.pools[name].exchanges
    }
    known = dict(numbers or {})
    for name in sorted(reached):
        if name not in known:
            known[name] = max(known.values(), default=FIRST_NUMBER - 1) + 1
    plan = _pools(a, v, known)
    return SidecarConfig(
        a.name, v.site.label, _settings(a, v, plan), _limits(a, v), plan, _classes(a, v),
        tuple(_line(v.exchanges[n], known[n], v) for n in sorted(reached) if n in v.exchanges),
        _links(a, v.site), a.limits.connections, a.orphans, a.log.level, a.log.form,
        connections_per_exchange(a.descriptors), _group(a),
    )  # fmt: skip


def _group(a: Application) -> GroupConfig | None:
    g = a.group
    if g is None:
        return None
    return GroupConfig(
        g.group, g.me, g.listen, g.bind or g.listen, dict(g.members), dict(g.joining), g.seeds,
        {int(n): bytes.fromhex(text) for n, text in g.keys.items()}, g.send_key, g.lease,
        int(g.drift * 1_000_000), g.memory, g.control, g.probe_period, g.probe_time_out,
    )  # fmt: skip


def _line(e: Exchange, number: int, v: Inventory) -> ExchangeConfig:
    district = v.districts.get(e.district)
    zone = (district.zone if district is not None else "") or e.district
    return ExchangeConfig(
        e.name, number, e.address, zone, STATES[e.state], e.signalling, e.point_code or 0, e.circuits
    )


def _pools(a: Application, v: Inventory, numbers: Mapping[str, int]) -> pools.RoutingConfig:
    used: dict[str, pools.PoolConfig] = {}
    routes: dict[str, pools.RouteConfig] = {}
    for calls in a.calls.values():
        for district, first in calls.pools.items():
            order = fallback_order(v.fallbacks, first)
            name = route_name(calls.name, district)
            routes[name] = pools.RouteConfig(name, calls.name, district, order)
            for pool in order:
                members = tuple(
                    pools.PoolMember(numbers[e], v.exchanges[e].weight)
                    for e in v.pools[pool].exchanges
                    if e in v.exchanges
                )
                used[pool] = pools.PoolConfig(pool, members, v.pools[pool].keep)
    prefixes = {p: d for d in a.serves if d in v.districts for p in v.districts[d].numbers}
    return pools.RoutingConfig(used, routes, prefixes)


def _classes(a: Application, v: Inventory) -> dict[str, ClassConfig]:
    return {
        c.name: ClassConfig(c.name, v.classes[c.name].width, c.give_up, c.time_out, c.category, c.requirement)
        for c in a.calls.values()
    }


def _limits(a: Application, v: Inventory) -> limits.LimitsConfig:
    lim = a.limits
    worths = {c: float(v.classes[c].worth) for c in a.calls}
    shares = {n: (s.open, s.rate) for n, s in lim.shares.items()}
    wait = v.site.stay_away if v.site is not None else 0
    return limits.build_limits(lim.open, lim.rate, lim.burst, lim.connection_share, worths, shares, wait)


def _links(a: Application, site: Site) -> TransportConfig:
    return TransportConfig(
        a.listen.sip or "", a.listen.m3ua or "", a.m3ua.point_code, a.m3ua.routing_context,
        a.m3ua.network_appearance, a.m3ua.heartbeat, a.list.kind, a.list.address or "", a.list.prefix,
        a.descriptors, site.connect_time_out,
    )  # fmt: skip


def _settings(a: Application, v: Inventory, plan: pools.RoutingConfig) -> interface.Settings:
    """The decision module sees each class in each district as a class of its own: they have other pools."""
    site = v.site
    assert site is not None
    kinds = []
    for route in plan.routes.values():
        c = v.classes[route.class_name]
        kinds.append(
            interface.CallClass(
                route.name, float(c.worth), float(c.late), c.wanted, 0.0, c.give_up, c.holding, c.width,
                "free", "all", REPEAT_WINDOW_NS,
            )
        )  # fmt: skip
    return interface.Settings(
        classes=tuple(kinds), tenants=(), over_share_worth=1.0, layout="groups", own_exchange=-1, own_zone="",
        pools_by_class=tuple((-1,) for _ in kinds),  # none until the route table reports exchanges
        controllers=site.controllers, rank=0, discovery="push", list_query_deadline_ns=0,
        release_ns=site.release_pause, resend_ns=site.resend, drain_grace_ns=site.drain_grace,
        start_capacity=float(site.start_capacity), cold_ns=site.cold, fall_multiple=float(site.fall_multiple),
        fall_ns=site.fall_window, max_attempts=a.attempts, may_probe=False, may_message_peers=False,
        may_cancel=True, may_send_retry_after=site.stay_away > 0, max_retry_after_ns=site.stay_away,
        central_advice=False, redials_marked=a.redials_marked, report_fields=("spare", "total"),
    )  # fmt: skip
