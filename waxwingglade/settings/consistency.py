"""Checks for inconsistencies between settings whose values are valid individually."""

from collections import Counter
from collections.abc import Iterable
from urllib.parse import urlsplit

from waxwingglade.settings.process import (
    DurabilitySettings,
    ProcessSettings,
    TargetKind,
    TargetSettings,
)

HTTP = ("http", "https")
PEER_SCHEME = "tcp"


def find_inconsistencies(settings: ProcessSettings) -> list[str]:
    """Return all inconsistencies, each with its path and the reason."""
    return [
        *_duplicates("targets", "target", (each.target for each in settings.targets)),
        *_duplicates("peers", "entry", (each.entry for each in settings.peers)),
        *_duplicates(
            "operator_keys", "operator", (each.operator for each in settings.operator_keys)
        ),
        *_own_name(settings),
        *_durability(settings.durability),
        *_urls(settings),
        *_target_orders(settings),
        *(error for number, each in enumerate(settings.targets) for error in _target(number, each)),
    ]


def _duplicates(section: str, field: str, names: Iterable[str]) -> list[str]:
    counted = Counter(names)
    return [
        f"$.{section}: `{name}` is the {field} of {count} items"
        for name, count in counted.items()
        if count > 1
    ]


def _own_name(settings: ProcessSettings) -> list[str]:
    if any(peer.entry == settings.entry for peer in settings.peers):
        return [f"$.peers: `{settings.entry}` is this entry itself"]
    return []


def _durability(durability: DurabilitySettings) -> list[str]:
    errors = []
    if durability.copies % 2 == 0:
        errors.append("$.durability.copies: must be odd, so that a majority is clear")
    if durability.suspect_after_s < 2 * durability.heartbeat_s:
        errors.append("$.durability.suspect_after_s: must be at least twice heartbeat_s")
    if durability.append_timeout_s <= durability.suspect_after_s:
        errors.append("$.durability.append_timeout_s: must be longer than suspect_after_s")
    return errors


def _target_orders(settings: ProcessSettings) -> list[str]:
    if settings.target_orders.margin_s * 2 <= settings.store.lease_ttl_s:
        return []
    return ["$.target_orders.margin_s: must be at most half of store.lease_ttl_s"]


def _urls(settings: ProcessSettings) -> list[str]:
    named = [(f"$.store.urls[{number}]", url) for number, url in enumerate(settings.store.urls)]
    named += [(f"$.targets[{n}].url", each.url) for n, each in enumerate(settings.targets)]
    if settings.platform.vms_url:
        named.append(("$.platform.vms_url", settings.platform.vms_url))
    errors = [
        f"{path}: `{url}` is not an HTTP URL"
        for path, url in named
        if urlsplit(url).scheme not in HTTP or not urlsplit(url).netloc
    ]
    return errors + [
        f"$.peers[{number}].peer_address: `{peer.peer_address}` is not like tcp://10.0.0.1:7001"
        for number, peer in enumerate(settings.peers)
        if urlsplit(peer.peer_address).scheme != PEER_SCHEME
    ]


def _target(number: int, target: TargetSettings) -> list[str]:
    path = f"$.targets[{number}]"
    if target.kind is TargetKind.MODEL and not target.models:
        return [f"{path}.models: a model target without models gets no calls"]
    if target.kind is TargetKind.SERVICE and not target.tools:
        return [f"{path}.tools: a service target without tools gets no calls"]
    return _duplicates(f"targets[{number}].tools", "tool", (each.tool for each in target.tools))
