"""Consistency checks across the records of a site and between its applications.  No I/O.

Each rule reports the faults of the records it is given.  Inventory rules run once, however many applications
include the inventory; application rules run for each application; the last set compares all applications.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from fractions import Fraction
from functools import cached_property

from arrowrail.config import units
from arrowrail.config.diagnostics import Diagnostics, Location, quote
from arrowrail.config.records import Application, CallClass, District, Exchange, Group, Pool, Site
from arrowrail.pools.config import fallback_order
from arrowrail.state.address import parse_address

# File descriptors that the process itself needs: log, event loop, listeners and exchange list sources.
RESERVED_DESCRIPTORS = 16
# One connection to each exchange for every 64 file descriptors, but at most four.
MAX_CONNECTIONS_PER_EXCHANGE, DESCRIPTORS_PER_CONNECTION = 4, 64


@dataclass(frozen=True)
class Inventory:
    """The tables of a site that its applications share."""

    site: Site | None
    districts: Mapping[str, District]
    exchanges: Mapping[str, Exchange]
    classes: Mapping[str, CallClass]
    pools: Mapping[str, Pool]
    fallbacks: Mapping[str, tuple[str, ...]]
    complete: bool = True  # false if a part could not be read: a missing entry is then not an error

    @cached_property
    def active_by_address(self) -> Mapping[tuple[str, int], Exchange]:
        """The exchanges that are not gone, by normalized address."""
        return {
            normalized_address(exchange.address): exchange
            for exchange in self.exchanges.values()
            if exchange.state != "gone"
        }

    @cached_property
    def by_point_code(self) -> Mapping[int, Exchange]:
        m3ua = [exchange for exchange in self.exchanges.values() if exchange.signalling == "m3ua"]
        return {exchange.point_code: exchange for exchange in m3ua if exchange.point_code is not None}


def normalized_address(address: str) -> tuple[str, int]:
    """Return host and port in canonical form: ``localhost`` and IPv4-mapped addresses become IPv4."""
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


def connections_per_exchange(descriptors: int) -> int:
    """Return the number of connections kept open to each exchange."""
    return max(1, min(MAX_CONNECTIONS_PER_EXCHANGE, descriptors // DESCRIPTORS_PER_CONNECTION))


def is_wildcard(host: str) -> bool:
    return host in ("0.0.0.0", "::", "*")


def is_loopback(host: str) -> bool:
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


# --- The inventory ----------------------------------------------------------------------------------------


def check_unique_addresses(inventory: Inventory, diagnostics: Diagnostics) -> None:
    seen: dict[tuple[str, int], Exchange] = {}
    for exchange in inventory.exchanges.values():
        if exchange.state == "gone":
            continue
        address = normalized_address(exchange.address)
        previous = seen.setdefault(address, exchange)
        if previous is not exchange:
            diagnostics.add(
                "AR311",
                exchange.location_of("address"),
                f"exchange.{exchange.name}.address",
                f"{exchange.address} is the address of {previous.name}",
                other=previous.location_of("address"),
            )


def check_point_codes(inventory: Inventory, diagnostics: Diagnostics) -> None:
    seen: dict[int, Exchange] = {}
    for exchange in inventory.exchanges.values():
        if exchange.signalling != "m3ua":
            continue
        key_path = f"exchange.{exchange.name}.point_code"
        if exchange.point_code is None:
            diagnostics.add(
                "AR317", exchange.location, key_path, "m3ua without a point code", "add point_code"
            )
            continue
        previous = seen.setdefault(exchange.point_code, exchange)
        if previous is not exchange:
            diagnostics.add(
                "AR313",
                exchange.location_of("point_code"),
                key_path,
                f"{exchange.point_code} is the point code of {previous.name}",
                other=previous.location_of("point_code"),
            )


def check_unique_number_prefixes(inventory: Inventory, diagnostics: Diagnostics) -> None:
    seen: dict[str, tuple[District, Location]] = {}
    for district in inventory.districts.values():
        for index, prefix in enumerate(district.numbers):
            location = district.location_of(f"numbers[{index}]")
            previous = seen.setdefault(prefix, (district, location))
            if previous[0] is not district:
                diagnostics.add(
                    "AR308",
                    location,
                    f"district.{district.name}.numbers[{index}]",
                    f"{quote(prefix)} is also a prefix of {previous[0].name}",
                    other=previous[1],
                )


def check_set_up_times(inventory: Inventory, diagnostics: Diagnostics) -> None:
    for call_class in inventory.classes.values():
        if call_class.wanted > call_class.give_up:
            diagnostics.add(
                "AR316",
                call_class.location_of("wanted"),
                f"class.{call_class.name}.wanted",
                f"wanted in {_duration(call_class.wanted)}, given up after {_duration(call_class.give_up)}",
                other=call_class.location_of("give_up"),
            )


def check_pool_cycles(inventory: Inventory, diagnostics: Diagnostics) -> None:
    """Report each cycle of fall-backs once, at the fall-back that closes it, by a depth-first search."""
    visited: set[str] = set()
    for start in inventory.pools:
        path: list[str] = []
        stack: list[tuple[str, int]] = [(start, 0)]
        while stack:
            name, index = stack.pop()
            if index == 0:
                if name in visited:
                    continue
                path.append(name)
            pool = inventory.pools[name]
            if index == len(pool.fallback):
                visited.add(name)
                path.pop()
                continue
            stack.append((name, index + 1))
            next_pool = pool.fallback[index]
            if next_pool in path:
                cycle = [*path[path.index(next_pool) :], next_pool]
                diagnostics.add(
                    "AR307",
                    pool.location_of(f"fallback[{index}]"),
                    f"pool.{name}.fallback[{index}]",
                    " -> ".join(cycle[:10]),
                )
            elif next_pool in inventory.pools and next_pool not in visited:
                stack.append((next_pool, 0))


def check_pool_members(inventory: Inventory, diagnostics: Diagnostics) -> None:
    for pool in inventory.pools.values():
        key_path = f"pool.{pool.name}.exchanges"
        if len(pool.exchanges) == 1 and not pool.fallback:
            diagnostics.add("AR401", pool.location_of("exchanges"), key_path, f"only {pool.exchanges[0]}")
        for index, name in enumerate(pool.exchanges):
            exchange = inventory.exchanges.get(name)
            if exchange is not None and exchange.state != "in_service":
                diagnostics.add(
                    "AR404",
                    pool.location_of(f"exchanges[{index}]"),
                    f"{key_path}[{index}]",
                    f"{name} is {exchange.state}",
                    other=exchange.location_of("state"),
                )


def check_unused_exchanges(inventory: Inventory, diagnostics: Diagnostics) -> None:
    used = {name for pool in inventory.pools.values() for name in pool.exchanges}
    for exchange in inventory.exchanges.values():
        if exchange.name not in used and exchange.state == "in_service" and inventory.complete:
            diagnostics.add(
                "AR402", exchange.location, f"exchange.{exchange.name}", f"{exchange.name} is in no pool"
            )


INVENTORY_RULES: tuple[Callable[[Inventory, Diagnostics], None], ...] = (
    check_unique_addresses,
    check_point_codes,
    check_unique_number_prefixes,
    check_set_up_times,
    check_pool_cycles,
    check_pool_members,
    check_unused_exchanges,
)


# --- One application ----------------------------------------------------------------------------------------


def check_listeners(application: Application, inventory: Inventory, diagnostics: Diagnostics) -> None:
    key_path = f"application.{application.name}.listen"
    configured = [
        (name, address)
        for name, address in (("sip", application.listen.sip), ("m3ua", application.listen.m3ua))
        if address
    ]
    if not configured and not {"sip", "m3ua"} & application.listen.locations.keys():
        diagnostics.add(
            "AR207",
            application.listen.location,
            key_path,
            "neither sip nor m3ua is set",
            "add one of the two",
        )
    for name, address in configured:
        host, port = normalized_address(address)
        location = application.listen.location_of(name)
        if is_wildcard(host) or not is_loopback(host):
            diagnostics.add("AR318", location, f"{key_path}.{name}", address)
        exchange = inventory.active_by_address.get((host, port))
        if exchange is not None:
            diagnostics.add(
                "AR314",
                location,
                f"{key_path}.{name}",
                f"{address} is the address of exchange {exchange.name}",
                other=exchange.location_of("address"),
            )
    if (
        application.listen.sip
        and application.listen.m3ua
        and _overlap(normalized_address(application.listen.sip), normalized_address(application.listen.m3ua))
    ):
        diagnostics.add(
            "AR302",
            application.listen.location_of("m3ua"),
            f"{key_path}.m3ua",
            f"{application.listen.m3ua} is also the address of the sip listener",
            other=application.listen.location_of("sip"),
        )


def check_time_outs(application: Application, inventory: Inventory, diagnostics: Diagnostics) -> None:
    pause = inventory.site.release_pause if inventory.site is not None else 0
    for class_settings in application.calls.values():
        key_path = f"application.{application.name}.calls.{class_settings.name}"
        if class_settings.time_out > class_settings.give_up:
            diagnostics.add(
                "AR303",
                class_settings.location_of("time_out"),
                f"{key_path}.time_out",
                f"{_duration(class_settings.time_out)}, "
                f"but callers give up after {_duration(class_settings.give_up)}",
                other=class_settings.location_of("give_up"),
            )
            continue
        longest = application.attempts * class_settings.time_out + (application.attempts - 1) * pause
        if longest > class_settings.give_up:
            diagnostics.add(
                "AR304",
                class_settings.location_of("time_out"),
                f"{key_path}.time_out",
                f"{application.attempts} attempts of {_duration(class_settings.time_out)} and "
                f"{application.attempts - 1} pauses of {_duration(pause)} take {_duration(longest)}; "
                f"callers give up after {_duration(class_settings.give_up)}",
                other=application.location_of("attempts"),
            )
        call_class = inventory.classes.get(class_settings.name)
        if call_class is not None and class_settings.give_up > call_class.give_up:
            diagnostics.add(
                "AR303",
                class_settings.location_of("give_up"),
                f"{key_path}.give_up",
                f"callers give up a try after {_duration(class_settings.give_up)}, "
                f"but give up the class after {_duration(call_class.give_up)}",
                "set give_up of a try to at most give_up of its class",
                other=call_class.location_of("give_up"),
            )


def check_class_pools(application: Application, inventory: Inventory, diagnostics: Diagnostics) -> None:
    """Check that each class has a pool with an exchange in service in each district that is served."""
    if not application.calls and not any(key.startswith("calls.") for key in application.locations):
        diagnostics.add(
            "AR216",
            application.location_of("calls"),
            f"application.{application.name}.calls",
            "no call class",
        )
    for class_settings in application.calls.values():
        key_path = f"application.{application.name}.calls.{class_settings.name}.pools"
        for district in application.serves:
            if f"pools.{district}" not in class_settings.locations and inventory.complete:
                diagnostics.add(
                    "AR305",
                    class_settings.location_of("pools"),
                    key_path,
                    f"{class_settings.name} has no pool in {district}",
                )
        for district, pool in class_settings.pools.items():
            location = class_settings.location_of(f"pools.{district}")
            if (
                district not in application.serves
                and f"serves[{len(application.serves)}]" not in application.locations
            ):
                diagnostics.add(
                    "AR322",
                    location,
                    f"{key_path}.{district}",
                    f"{district} is not among {', '.join(application.serves[:5])}",
                    other=application.location_of("serves"),
                )
            order = fallback_order(inventory.fallbacks, pool)
            members = [
                inventory.exchanges[exchange]
                for name in order
                for exchange in inventory.pools[name].exchanges
                if exchange in inventory.exchanges
            ]
            if members and all(exchange.state != "in_service" for exchange in members) and inventory.complete:
                names = ", ".join(f"{exchange.name} is {exchange.state}" for exchange in members[:4])
                diagnostics.add(
                    "AR306",
                    location,
                    f"{key_path}.{district}",
                    f"pool {pool}: {names}",
                    other=members[0].location_of("state"),
                )


def check_limits(application: Application, inventory: Inventory, diagnostics: Diagnostics) -> None:
    key_path, limits = f"application.{application.name}.limits", application.limits
    reachable = {
        exchange
        for class_settings in application.calls.values()
        for first_pool in class_settings.pools.values()
        for pool in fallback_order(inventory.fallbacks, first_pool)
        for exchange in inventory.pools[pool].exchanges
        if exchange in inventory.exchanges
    }
    circuits = sum(inventory.exchanges[exchange].circuits for exchange in reachable)
    if reachable and limits.open > circuits and inventory.complete:
        diagnostics.add(
            "AR310",
            limits.location_of("open"),
            f"{key_path}.open",
            f"{limits.open} open set-ups, but its {len(reachable)} exchanges have {circuits} circuits",
        )
    exchange_connections = len(reachable) * connections_per_exchange(application.descriptors)
    needed = limits.connections + RESERVED_DESCRIPTORS + exchange_connections
    if needed > application.descriptors:
        diagnostics.add(
            "AR309",
            limits.location_of("connections"),
            f"{key_path}.connections",
            f"{limits.connections} connections, {exchange_connections} to exchanges and "
            f"{RESERVED_DESCRIPTORS} reserved descriptors are {needed}; "
            f"descriptors: {application.descriptors}",
            other=application.location_of("descriptors"),
        )
    for limit in ("open", "rate"):
        total = sum((getattr(share, limit) for share in limits.shares.values()), Fraction(0))
        if total > 1:
            diagnostics.add(
                "AR312",
                limits.location_of("shares"),
                f"{key_path}.shares",
                f"the shares of {limit} add up to {units.write(units.SHARE, total)}",
            )
    for name, share in limits.shares.items():
        if f"calls.{name}" not in application.locations and inventory.complete:
            diagnostics.add(
                "AR315", share.location, f"{key_path}.shares.{name}", f"calls has no class {name}"
            )
    longest = max((class_settings.give_up for class_settings in application.calls.values()), default=0)
    if longest and limits.rate * longest / units.S + limits.rate * limits.burst / units.S < limits.open:
        diagnostics.add(
            "AR405",
            limits.location_of("open"),
            f"{key_path}.open",
            f"{units.write(units.RATE, limits.rate)} for {_duration(longest)} never reaches {limits.open}",
            other=limits.location_of("rate"),
        )


def check_m3ua_signalling(application: Application, inventory: Inventory, diagnostics: Diagnostics) -> None:
    exchange = inventory.by_point_code.get(application.m3ua.point_code)
    if exchange is not None:
        diagnostics.add(
            "AR313",
            application.m3ua.location_of("point_code"),
            f"application.{application.name}.m3ua.point_code",
            f"{application.m3ua.point_code} is the point code of exchange {exchange.name}",
            other=exchange.location_of("point_code"),
        )
    if not application.listen.m3ua:
        return
    seen: dict[tuple[int | None, int | None], str] = {}
    for class_settings in application.calls.values():
        previous = seen.setdefault((class_settings.category, class_settings.requirement), class_settings.name)
        if previous != class_settings.name:
            diagnostics.add(
                "AR324",
                class_settings.location,
                f"application.{application.name}.calls.{class_settings.name}",
                f"same category and requirement as {previous}",
                other=application.calls[previous].location,
            )


def check_list_source(application: Application, inventory: Inventory, diagnostics: Diagnostics) -> None:
    if application.list.kind != "records" and application.list.address is None:
        diagnostics.add(
            "AR323",
            application.list.location,
            f"application.{application.name}.list.address",
            f"{application.list.kind} without an address",
            "add address",
        )


def check_group(application: Application, inventory: Inventory, diagnostics: Diagnostics) -> None:
    group = application.group
    if group is None:
        return
    key_path = f"application.{application.name}.group"
    for name, table in (("members", group.members), ("joining", group.joining)):
        if table and len(table) % 2 == 0:
            diagnostics.add("AR501", group.location_of(name), f"{key_path}.{name}", f"{len(table)} {name}")
    for name, address in {**group.members, **group.joining}.items():
        if name == group.me and normalized_address(address) != normalized_address(group.listen):
            diagnostics.add(
                "AR502",
                group.location_of("listen"),
                f"{key_path}.listen",
                f"{group.listen}, but member {name} has the address {address}",
            )
        other = next(
            (
                member
                for member, member_address in group.members.items()
                if member != name and normalized_address(member_address) == normalized_address(address)
            ),
            "",
        )
        if other and name in group.members and name > other:
            diagnostics.add(
                "AR502",
                group.location_of(f"members.{name}"),
                f"{key_path}.members.{name}",
                f"{address} is the address of {other}",
            )
    if not group.members and "members" in group.locations:
        diagnostics.add("AR216", group.location_of("members"), f"{key_path}.members", "no members")
    if group.probe_time_out >= group.probe_period:
        diagnostics.add(
            "AR503",
            group.location_of("probe_period"),
            f"{key_path}.probe_period",
            f"{_duration(group.probe_period)}, but a probe may take {_duration(group.probe_time_out)}",
            other=group.location_of("probe_time_out"),
        )
    for number, digits in group.keys.items():
        valid = number.isdigit() and 1 <= int(number) <= 255 and len(digits) >= 32 and len(digits) % 2 == 0
        if not valid or any(digit not in "0123456789abcdefABCDEF" for digit in digits):
            diagnostics.add(
                "AR504",
                group.location_of(f"keys.{number}"),
                f"{key_path}.keys.{number}",
                f"key {quote(number)}",
            )
    if str(group.send_key) not in group.keys:
        diagnostics.add(
            "AR504",
            group.location_of("send_key"),
            f"{key_path}.send_key",
            f"keys has no key {group.send_key}",
        )
    if group.joining and not set(group.members) & set(group.joining):
        diagnostics.add("AR505", group.location_of("joining"), f"{key_path}.joining", "no member is kept")


APPLICATION_RULES: tuple[Callable[[Application, Inventory, Diagnostics], None], ...] = (
    check_listeners,
    check_time_outs,
    check_class_pools,
    check_limits,
    check_m3ua_signalling,
    check_list_source,
    check_group,
)


# --- All applications together --------------------------------------------------------------------------


def check_listener_ports(applications: Iterable[Application], diagnostics: Diagnostics) -> None:
    """Report listeners of different applications that would bind the same address and port.

    Different spellings of an address are the same address; a wildcard overlaps with every address.
    """
    by_port: dict[int, list[tuple[str, Application, str, Location]]] = {}
    for application in applications:
        for name, address in (("sip", application.listen.sip), ("m3ua", application.listen.m3ua)):
            if not address:
                continue
            host, port = normalized_address(address)
            location = application.listen.location_of(name)
            for other_host, other, other_address, other_location in by_port.get(port, ()):
                if other is not application and _overlap((host, port), (other_host, port)):
                    diagnostics.add(
                        "AR302",
                        location,
                        f"application.{application.name}.listen.{name}",
                        f"{address} is used by {other.name} as {other_address}",
                        other=other_location,
                    )
                    break
            by_port.setdefault(port, []).append((host, application, address, location))


def check_groups(applications: Iterable[Application], diagnostics: Diagnostics) -> None:
    """Check that instances of a group agree on its members: on the old or the new ones during a change."""
    by_name: dict[str, list[tuple[Application, Group]]] = {}
    for application in applications:
        if application.group is not None:
            by_name.setdefault(application.group.group, []).append((application, application.group))
    for instances in by_name.values():
        first = instances[0][1]
        known_addresses = {normalized_address(group.listen) for _, group in instances}
        known_addresses |= {
            normalized_address(address)
            for _, group in instances
            for address in (*group.members.values(), *group.joining.values())
        }
        group_by_instance: dict[str, Group] = {}
        for application, group in instances:
            key_path = f"application.{application.name}.group"
            # During a change, one instance has the new members that another still lists as joining.
            consistent = group.members in (first.members, first.joining) or first.members == group.joining
            if not consistent:
                diagnostics.add(
                    "AR506",
                    group.location_of("members"),
                    f"{key_path}.members",
                    f"{', '.join(sorted(group.members))} differ from {', '.join(sorted(first.members))}",
                    other=first.location_of("members"),
                )
            previous = group_by_instance.setdefault(group.me, group)
            if previous is not group:
                diagnostics.add(
                    "AR506",
                    group.location_of("me"),
                    f"{key_path}.me",
                    f"two instances are called {quote(group.me)}",
                    other=previous.location_of("me"),
                )
            for index, seed in enumerate(group.seeds):
                if normalized_address(seed) not in known_addresses:
                    diagnostics.add(
                        "AR507", group.location_of(f"seeds[{index}]"), f"{key_path}.seeds[{index}]", seed
                    )


def check_unused_pools(
    applications: Iterable[Application], inventory: Inventory, diagnostics: Diagnostics
) -> None:
    all_applications = list(applications)
    used = {
        name
        for application in all_applications
        for class_settings in application.calls.values()
        for first_pool in class_settings.pools.values()
        for name in fallback_order(inventory.fallbacks, first_pool)
    }
    for pool in inventory.pools.values():
        if pool.name not in used:
            diagnostics.add("AR403", pool.location, f"pool.{pool.name}", f"no application uses {pool.name}")


def _overlap(one: tuple[str, int], other: tuple[str, int]) -> bool:
    """Return whether two listeners would bind the same address and port."""
    return one[1] == other[1] and (one[0] == other[0] or is_wildcard(one[0]) or is_wildcard(other[0]))


def _duration(value: int) -> str:
    return units.write(units.DURATION, value)
