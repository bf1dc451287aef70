"""What no single key shows: faults across the records of a site and between its applications.  No I/O.

Each rule is a function from records to faults.  Those over the inventory run once however many applications
include it; those over applications run for each, and a last set over all of them together.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from fractions import Fraction
from functools import cached_property

from arrowrail.config import units
from arrowrail.config.faults import Faults, Place, shown
from arrowrail.config.records import Application, CallClass, District, Exchange, Group, Pool, Site
from arrowrail.pools.config import fallback_order
from arrowrail.state.address import parse_address

RESERVED = 16  # descriptors of the process itself: its log, the loop, listeners and sources of the list
MOST_LINKS, LINK_SHARE = 4, 64  # connections to one exchange: one for each 64 descriptors, four at most


@dataclass(frozen=True)
class Inventory:
    """The tables of a site that applications share."""

    site: Site | None
    districts: Mapping[str, District]
    exchanges: Mapping[str, Exchange]
    classes: Mapping[str, CallClass]
    pools: Mapping[str, Pool]
    fallbacks: Mapping[str, tuple[str, ...]]
    whole: bool = True  # false: part of it could not be read, so what is missing proves nothing

    @cached_property
    def taken(self) -> Mapping[tuple[str, int], Exchange]:
        """The exchanges that are not gone, by their address in one spelling."""
        return {host_port(e.address): e for e in self.exchanges.values() if e.state != "gone"}

    @cached_property
    def by_point_code(self) -> Mapping[int, Exchange]:
        m3ua = [e for e in self.exchanges.values() if e.signalling == "m3ua"]
        return {e.point_code: e for e in m3ua if e.point_code is not None}


def host_port(address: str) -> tuple[str, int]:
    """An address in one spelling: ``localhost`` and every form of an IP address as that address."""
    host, port = parse_address(address)
    if host == "localhost":
        host = "127.0.0.1"
    try:
        ip = ipaddress.ip_address(host)
    except ValueError:
        return host.lower(), port
    if isinstance(ip, ipaddress.IPv6Address) and ip.ipv4_mapped is not None:
        ip = ip.ipv4_mapped
    return str(ip), port


def links_each(descriptors: int) -> int:
    """Connections that are kept to each exchange."""
    return max(1, min(MOST_LINKS, descriptors // LINK_SHARE))


def is_wildcard(host: str) -> bool:
    return host in ("0.0.0.0", "::", "*")


def is_loopback(host: str) -> bool:
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


# --- The inventory ----------------------------------------------------------------------------------------


def one_address_each(v: Inventory, faults: Faults) -> None:
    seen: dict[tuple[str, int], Exchange] = {}
    for exchange in v.exchanges.values():
        if exchange.state == "gone":
            continue
        at = host_port(exchange.address)
        before = seen.setdefault(at, exchange)
        if before is not exchange:
            faults.add(
                "AR311", exchange.place("address"), f"exchange.{exchange.name}.address",
                f"{exchange.address} is {before.name}'s", other=before.place("address"),
            )  # fmt: skip


def point_codes(v: Inventory, faults: Faults) -> None:
    seen: dict[int, Exchange] = {}
    for exchange in v.exchanges.values():
        if exchange.signalling != "m3ua":
            continue
        key = f"exchange.{exchange.name}.point_code"
        if exchange.point_code is None:
            faults.add("AR317", exchange.at, key, "m3ua without a point code", "add point_code")
            continue
        before = seen.setdefault(exchange.point_code, exchange)
        if before is not exchange:
            faults.add("AR313", exchange.place("point_code"), key,
                       f"{exchange.point_code} is {before.name}'s",
                       other=before.place("point_code"))  # fmt: skip


def one_district_a_number(v: Inventory, faults: Faults) -> None:
    seen: dict[str, tuple[District, Place]] = {}
    for district in v.districts.values():
        for number, prefix in enumerate(district.numbers):
            place = district.place(f"numbers[{number}]")
            before = seen.setdefault(prefix, (district, place))
            if before[0] is not district:
                faults.add("AR308", place, f"district.{district.name}.numbers[{number}]",
                           f"{shown(prefix)} leads to {before[0].name} too", other=before[1])  # fmt: skip


def wanted_before_given_up(v: Inventory, faults: Faults) -> None:
    for kind in v.classes.values():
        if kind.wanted > kind.give_up:
            faults.add("AR316", kind.place("wanted"), f"class.{kind.name}.wanted",
                       f"{_ns(kind.wanted)} wanted, {_ns(kind.give_up)} given up",
                       other=kind.place("give_up"))  # fmt: skip


def no_pool_cycles(v: Inventory, faults: Faults) -> None:
    """Each cycle once, at the fall-back that closes it."""
    done: set[str] = set()
    for start in v.pools:
        path: list[str] = []
        todo: list[tuple[str, int]] = [(start, 0)]
        while todo:
            name, at = todo.pop()
            if at == 0:
                if name in done:
                    continue
                path.append(name)
            pool = v.pools[name]
            if at == len(pool.fallback):
                done.add(name)
                path.pop()
                continue
            todo.append((name, at + 1))
            following = pool.fallback[at]
            if following in path:
                loop = [*path[path.index(following) :], following]
                faults.add("AR307", pool.place(f"fallback[{at}]"), f"pool.{name}.fallback[{at}]",
                           " -> ".join(loop[:10]))  # fmt: skip
            elif following in v.pools and following not in done:
                todo.append((following, 0))


def pools_that_can_serve(v: Inventory, faults: Faults) -> None:
    for pool in v.pools.values():
        key = f"pool.{pool.name}.exchanges"
        if len(pool.exchanges) == 1 and not pool.fallback:
            faults.add("AR401", pool.place("exchanges"), key, f"only {pool.exchanges[0]}")
        for number, name in enumerate(pool.exchanges):
            exchange = v.exchanges.get(name)
            if exchange is not None and exchange.state != "in_service":
                faults.add("AR404", pool.place(f"exchanges[{number}]"), f"{key}[{number}]",
                           f"{name} is {exchange.state}", other=exchange.place("state"))  # fmt: skip


def exchanges_in_pools(v: Inventory, faults: Faults) -> None:
    used = {name for pool in v.pools.values() for name in pool.exchanges}
    for exchange in v.exchanges.values():
        if exchange.name not in used and exchange.state == "in_service" and v.whole:
            faults.add("AR402", exchange.at, f"exchange.{exchange.name}", f"{exchange.name} is in no pool")


INVENTORY_RULES: tuple[Callable[[Inventory, Faults], None], ...] = (
    one_address_each, point_codes, one_district_a_number, wanted_before_given_up, no_pool_cycles,
    pools_that_can_serve, exchanges_in_pools,
)  # fmt: skip


# --- One application ----------------------------------------------------------------------------------------


def listeners(a: Application, v: Inventory, faults: Faults) -> None:
    key = f"application.{a.name}.listen"
    given = [(n, address) for n, address in (("sip", a.listen.sip), ("m3ua", a.listen.m3ua)) if address]
    if not given and not {"sip", "m3ua"} & a.listen.places.keys():
        faults.add("AR207", a.listen.at, key, "neither sip nor m3ua", "add one of the two")
    for name, address in given:
        host, port = host_port(address)
        place = a.listen.place(name)
        if is_wildcard(host) or not is_loopback(host):
            faults.add("AR318", place, f"{key}.{name}", address)
        met = v.taken.get((host, port))
        if met is not None:
            faults.add("AR314", place, f"{key}.{name}", f"{address} is exchange {met.name}'s",
                       other=met.place("address"))  # fmt: skip
    if a.listen.sip and a.listen.m3ua and _meets(host_port(a.listen.sip), host_port(a.listen.m3ua)):
        faults.add("AR302", a.listen.place("m3ua"), f"{key}.m3ua",
                   f"{a.listen.m3ua} is its sip listener's too", other=a.listen.place("sip"))  # fmt: skip


def times(a: Application, v: Inventory, faults: Faults) -> None:
    pause = v.site.release_pause if v.site is not None else 0
    for calls in a.calls.values():
        key = f"application.{a.name}.calls.{calls.name}"
        if calls.time_out > calls.give_up:
            faults.add("AR303", calls.place("time_out"), f"{key}.time_out",
                       f"{_ns(calls.time_out)}, and callers give up after {_ns(calls.give_up)}",
                       other=calls.place("give_up"))  # fmt: skip
            continue
        longest = a.attempts * calls.time_out + (a.attempts - 1) * pause
        if longest > calls.give_up:
            faults.add("AR304", calls.place("time_out"), f"{key}.time_out",
                       f"{a.attempts} attempts of {_ns(calls.time_out)} and {a.attempts - 1} pauses of "
                       f"{_ns(pause)} take {_ns(longest)}; callers give up after {_ns(calls.give_up)}",
                       other=a.place("attempts"))  # fmt: skip
        kind = v.classes.get(calls.name)
        if kind is not None and calls.give_up > kind.give_up:
            faults.add("AR303", calls.place("give_up"), f"{key}.give_up",
                       f"a try of {_ns(calls.give_up)}, and the class is given up after {_ns(kind.give_up)}",
                       "a try ends before its caller gives up for good",
                       other=kind.place("give_up"))  # fmt: skip


def pools_of_classes(a: Application, v: Inventory, faults: Faults) -> None:
    """Each class has a pool with an exchange in service in each district that is served."""
    if not a.calls and not any(key.startswith("calls.") for key in a.places):
        faults.add("AR216", a.place("calls"), f"application.{a.name}.calls", "no class of calls")
    for calls in a.calls.values():
        key = f"application.{a.name}.calls.{calls.name}.pools"
        for district in a.serves:
            if f"pools.{district}" not in calls.places and v.whole:
                faults.add("AR305", calls.place("pools"), key, f"{calls.name} has no pool in {district}")
        for district, pool in calls.pools.items():
            place = calls.place(f"pools.{district}")
            if district not in a.serves and f"serves[{len(a.serves)}]" not in a.places:
                faults.add("AR322", place, f"{key}.{district}",
                           f"{district} is not among {', '.join(a.serves[:5])}",
                           other=a.place("serves"))  # fmt: skip
            order = fallback_order(v.fallbacks, pool)
            members = [v.exchanges[e] for name in order for e in v.pools[name].exchanges if e in v.exchanges]
            if members and all(e.state != "in_service" for e in members) and v.whole:
                names = ", ".join(f"{e.name} is {e.state}" for e in members[:4])
                faults.add("AR306", place, f"{key}.{district}", f"pool {pool}: {names}",
                           other=members[0].place("state"))  # fmt: skip


def limits(a: Application, v: Inventory, faults: Faults) -> None:
    key, lim = f"application.{a.name}.limits", a.limits
    reached = {e for c in a.calls.values() for p in c.pools.values() for n in fallback_order(v.fallbacks, p)
               for e in v.pools[n].exchanges if e in v.exchanges}  # fmt: skip
    circuits = sum(v.exchanges[e].circuits for e in reached)
    if reached and lim.open > circuits and v.whole:
        faults.add("AR310", lim.place("open"), f"{key}.open",
                   f"{lim.open} set-ups; {circuits} circuits of its {len(reached)} exchanges")  # fmt: skip
    links = len(reached) * links_each(a.descriptors)
    need = lim.connections + RESERVED + links
    if need > a.descriptors:
        faults.add("AR309", lim.place("connections"), f"{key}.connections",
                   f"{lim.connections} connections, {links} to exchanges and {RESERVED} of its own "
                   f"are {need}; descriptors: {a.descriptors}", other=a.place("descriptors"))  # fmt: skip
    for part in ("open", "rate"):
        total = sum((getattr(s, part) for s in lim.shares.values()), Fraction(0))
        if total > 1:
            faults.add("AR312", lim.place("shares"), f"{key}.shares",
                       f"the shares of {part} add up to {units.write(units.SHARE, total)}")  # fmt: skip
    for name, share in lim.shares.items():
        if f"calls.{name}" not in a.places and v.whole:
            faults.add("AR315", share.at, f"{key}.shares.{name}", f"calls has no {name}")
    slowest = max((c.give_up for c in a.calls.values()), default=0)
    if slowest and lim.rate * slowest / units.S + lim.rate * lim.burst / units.S < lim.open:
        faults.add("AR405", lim.place("open"), f"{key}.open",
                   f"{units.write(units.RATE, lim.rate)} for {_ns(slowest)} never makes {lim.open}",
                   other=lim.place("rate"))  # fmt: skip


def signalling(a: Application, v: Inventory, faults: Faults) -> None:
    exchange = v.by_point_code.get(a.m3ua.point_code)
    if exchange is not None:
        faults.add(
            "AR313", a.m3ua.place("point_code"), f"application.{a.name}.m3ua.point_code",
            f"{a.m3ua.point_code} is exchange {exchange.name}'s", other=exchange.place("point_code"),
        )  # fmt: skip
    if not a.listen.m3ua:
        return
    seen: dict[tuple[int | None, int | None], str] = {}
    for calls in a.calls.values():
        before = seen.setdefault((calls.category, calls.requirement), calls.name)
        if before != calls.name:
            faults.add("AR324", calls.at, f"application.{a.name}.calls.{calls.name}",
                       f"category and requirement are {before}'s", other=a.calls[before].at)  # fmt: skip


def source(a: Application, v: Inventory, faults: Faults) -> None:
    if a.list.kind != "records" and a.list.address is None:
        faults.add("AR323", a.list.at, f"application.{a.name}.list.address",
                   f"{a.list.kind} without an address", "add address")  # fmt: skip


def group(a: Application, v: Inventory, faults: Faults) -> None:
    g = a.group
    if g is None:
        return
    key = f"application.{a.name}.group"
    for name, table in (("members", g.members), ("joining", g.joining)):
        if table and len(table) % 2 == 0:
            faults.add("AR501", g.place(name), f"{key}.{name}", f"{len(table)} {name}")
    for name, address in {**g.members, **g.joining}.items():
        if name == g.me and host_port(address) != host_port(g.listen):
            faults.add("AR502", g.place("listen"), f"{key}.listen", f"{g.listen}, where {name} is {address}")
        other = next(
            (n for n, x in g.members.items() if n != name and host_port(x) == host_port(address)), ""
        )
        if other and name in g.members and name > other:
            faults.add(
                "AR502", g.place(f"members.{name}"), f"{key}.members.{name}", f"{address} is {other}'s"
            )
    if not g.members and "members" in g.places:
        faults.add("AR216", g.place("members"), f"{key}.members", "no member")
    if g.probe_time_out >= g.probe_period:
        faults.add("AR503", g.place("probe_period"), f"{key}.probe_period",
                   f"{_ns(g.probe_period)}, and a run may take {_ns(g.probe_time_out)}",
                   other=g.place("probe_time_out"))  # fmt: skip
    for number, text in g.keys.items():
        good = number.isdigit() and 1 <= int(number) <= 255 and len(text) >= 32 and len(text) % 2 == 0
        if not good or any(c not in "0123456789abcdefABCDEF" for c in text):
            faults.add("AR504", g.place(f"keys.{number}"), f"{key}.keys.{number}", f"key {shown(number)}")
    if str(g.send_key) not in g.keys:
        faults.add("AR504", g.place("send_key"), f"{key}.send_key", f"no key {g.send_key} among keys")
    if g.joining and not set(g.members) & set(g.joining):
        faults.add("AR505", g.place("joining"), f"{key}.joining", "none of the members stays")


APPLICATION_RULES: tuple[Callable[[Application, Inventory, Faults], None], ...] = (
    listeners, times, pools_of_classes, limits, signalling, source, group,
)  # fmt: skip


# --- All applications together --------------------------------------------------------------------------


def ports(applications: Iterable[Application], faults: Faults) -> None:
    """Two listeners on one port, also a wildcard against an address and two spellings of one address."""
    by_port: dict[int, list[tuple[str, Application, str, Place]]] = {}
    for a in applications:
        for name, address in (("sip", a.listen.sip), ("m3ua", a.listen.m3ua)):
            if not address:
                continue
            host, port = host_port(address)
            place = a.listen.place(name)
            for other_host, other, other_address, other_place in by_port.get(port, ()):
                if other is not a and _meets((host, port), (other_host, port)):
                    faults.add("AR302", place, f"application.{a.name}.listen.{name}",
                               f"{address} is claimed by {other.name} as {other_address}",
                               other=other_place)  # fmt: skip
                    break
            by_port.setdefault(port, []).append((host, a, address, place))


def groups(applications: Iterable[Application], faults: Faults) -> None:
    """Instances of one group have to agree on who grants; while it changes, on one of the two sides."""
    by_name: dict[str, list[tuple[Application, Group]]] = {}
    for a in applications:
        if a.group is not None:
            by_name.setdefault(a.group.group, []).append((a, a.group))
    for found in by_name.values():
        first = found[0][1]
        known = {host_port(g.listen) for _, g in found}
        known |= {host_port(x) for _, g in found for x in (*g.members.values(), *g.joining.values())}
        names: dict[str, Group] = {}
        for a, g in found:
            key = f"application.{a.name}.group"
            # A step of a change: one has the new members already, which the other lists as joining.
            step = g.members in (first.members, first.joining) or first.members == g.joining
            if not step:
                faults.add("AR506", g.place("members"), f"{key}.members",
                           f"{', '.join(sorted(g.members))} here, {', '.join(sorted(first.members))} there",
                           other=first.place("members"))  # fmt: skip
            before = names.setdefault(g.me, g)
            if before is not g:
                faults.add("AR506", g.place("me"), f"{key}.me", f"two are called {shown(g.me)}",
                           other=before.place("me"))  # fmt: skip
            for number, seed in enumerate(g.seeds):
                if host_port(seed) not in known:
                    faults.add("AR507", g.place(f"seeds[{number}]"), f"{key}.seeds[{number}]", seed)


def used_pools(applications: Iterable[Application], v: Inventory, faults: Faults) -> None:
    apps = list(applications)
    used = {
        n
        for a in apps
        for c in a.calls.values()
        for p in c.pools.values()
        for n in fallback_order(v.fallbacks, p)
    }
    for pool in v.pools.values():
        if pool.name not in used:
            faults.add("AR403", pool.at, f"pool.{pool.name}", f"no application uses {pool.name}")


def _meets(one: tuple[str, int], other: tuple[str, int]) -> bool:
    return one[1] == other[1] and (one[0] == other[0] or is_wildcard(one[0]) or is_wildcard(other[0]))


def _ns(value: int) -> str:
    return units.write(units.DURATION, value)
