"""Validation of the settings that all processes share."""

import os
import re
from collections.abc import Iterator
from typing import Any

from sardinespool.settings.addresses import split_address
from sardinespool.settings.problems import ProblemList

GLOBAL_GROUP = "global"
# Names appear in idempotency keys (whose parts are separated by dots), file
# names and log lines.
_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,62}")
_NAME_DESCRIPTION = "1 to 63 letters, digits, hyphens and underscores"


def check_cluster(cluster: dict[str, Any], problems: ProblemList) -> None:
    """Validate the fields of `ClusterSettings` that have valid types."""
    domains = _check_domains(cluster, problems)
    _check_members(cluster, domains, problems)
    _check_groups(cluster, domains, problems)
    _check_credentials(cluster, problems)
    tls = cluster.get("tls")
    if tls is not None:
        for name in ("certificate_file", "key_file", "authority_file"):
            check_readable(f"tls.{name}", tls.get(name), problems)


def check_address(
    key: str, address: str | None, problems: ProblemList
) -> None:
    """Check an ``ip:port``; None stands for an already reported value."""
    if address is None:
        return
    try:
        split_address(address)
    except ValueError:
        problems.add(key, address, "ip:port with a port from 1 to 65535")


def check_token(key: str, token: str | None, problems: ProblemList) -> None:
    """Check that a token can be sent as a header value."""
    if token is not None and not (
        token and token.isascii() and token.isprintable() and " " not in token
    ):
        problems.add_description(
            key,
            "an empty token or one with invalid characters",
            "one or more printable ASCII characters without spaces",
        )


def check_readable(key: str, path: str | None, problems: ProblemList) -> None:
    """Check that a file can be read."""
    if path is not None and not (
        os.path.isfile(path) and os.access(path, os.R_OK)
    ):
        problems.add(key, path, "a readable file")


def _check_name(key: str, name: str | None, problems: ProblemList) -> None:
    if name is not None and not _NAME_PATTERN.fullmatch(name):
        problems.add(key, name, _NAME_DESCRIPTION)


def _check_domains(
    cluster: dict[str, Any], problems: ProblemList
) -> list[str] | None:
    domains = cluster.get("failure_domains")
    if domains is None:
        return None
    if not domains:
        problems.add("failure_domains", domains, "at least one name")
    seen: set[str] = set()
    for index, name in enumerate(domains):
        key = f"failure_domains[{index}]"
        _check_name(key, name, problems)
        if name == GLOBAL_GROUP:
            problems.add(
                key, name, "a name other than that of the global group"
            )
        _check_unique(key, name, seen, problems)
    return [name for name in domains if name is not None]


def _check_members(
    cluster: dict[str, Any], domains: list[str] | None, problems: ProblemList
) -> None:
    addresses: set[str] = set()
    for section in ("stores", "entries"):
        names: set[str] = set()
        for key, member in list_items(cluster, section):
            name = member.get("name")
            _check_name(f"{key}.name", name, problems)
            _check_unique(f"{key}.name", name, names, problems)
            address = member.get("address")
            check_address(f"{key}.address", address, problems)
            _check_unique(f"{key}.address", address, addresses, problems)
            domain = member.get("failure_domain")
            if None not in (domain, domains) and domain not in (domains or ()):
                problems.add(
                    f"{key}.failure_domain", domain, _one_of(domains or ())
                )
        if cluster.get(section) == []:
            problems.add(section, [], "at least one member")


def _check_groups(
    cluster: dict[str, Any], domains: list[str] | None, problems: ProblemList
) -> None:
    if domains is None or "stores" not in cluster:
        return
    groups_with_members: set[str] = set()
    for key, member in list_items(cluster, "stores"):
        seen: set[str] = set()
        member_domain = member.get("failure_domain")
        for index, group in enumerate(member.get("groups", ())):
            group_key = f"{key}.groups[{index}]"
            if group is None:
                continue
            groups_with_members.add(group)
            _check_unique(group_key, group, seen, problems)
            if group not in (GLOBAL_GROUP, *domains):
                problems.add(
                    group_key, group, _one_of((GLOBAL_GROUP, *domains))
                )
            elif (
                group != GLOBAL_GROUP
                and member_domain in domains
                and group != member_domain
            ):
                problems.add(
                    group_key,
                    group,
                    f"{GLOBAL_GROUP} or the failure_domain of the member,"
                    f" {member_domain}",
                )
    for group in (GLOBAL_GROUP, *domains):
        if group not in groups_with_members:
            problems.add_description(
                "stores",
                f"no member with {group} in its groups",
                "at least one member for each group",
            )


def _check_credentials(cluster: dict[str, Any], problems: ProblemList) -> None:
    check_token("cluster_token", cluster.get("cluster_token"), problems)
    names: set[str] = set()
    tokens: set[str] = set()
    for key, credential in list_items(cluster, "credentials"):
        name = credential.get("name")
        _check_unique(f"{key}.name", name, names, problems)
        token = credential.get("token")
        check_token(f"{key}.token", token, problems)
        _check_unique(f"{key}.token", token, tokens, problems)
        if credential.get("roles") == []:
            problems.add(f"{key}.roles", [], "at least one role")


def list_items(
    settings: dict[str, Any], list_name: str
) -> Iterator[tuple[str, dict[str, Any]]]:
    """Yield the key path and value of each mapping in a list."""
    for index, item in enumerate(settings.get(list_name, ())):
        if item is not None:
            yield f"{list_name}[{index}]", item


def _check_unique(
    key: str, value: str | None, seen: set[str], problems: ProblemList
) -> None:
    if value is None:
        return
    if value in seen:
        problems.add(key, value, "a unique value")
    seen.add(value)


def _one_of(names: tuple[str, ...] | list[str]) -> str:
    return "one of " + ", ".join(names)
