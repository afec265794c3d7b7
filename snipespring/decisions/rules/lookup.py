"""Find the route of a request."""

from bisect import bisect_left
from collections.abc import Iterator

from ...records import Configuration, Request, RouteRule
from .paths import first_segment, list_prefixes, normalise_path, prefix_sort_key

__all__ = ["find_request_route", "find_route"]

_ANY_METHOD = "*"
_ROOT = "/"


def find_request_route(cfg: Configuration, request: Request) -> RouteRule | None:
    """Return the route of a request; routes for its host name take precedence.

    The prefix of a route for a host name is compared with the path as it was received,
    without decoding.
    """
    path = request.path.partition("?")[0]
    for rule in cfg.host_routes.get(request.host, ()):
        if path.startswith(rule.prefix) and _matches_method(rule, request.method):
            return rule
    return find_route(cfg, request.method, request.path)


def find_route(cfg: Configuration, method: str, path: str) -> RouteRule | None:
    """Return the rule that matches method and path with the longest prefix."""
    normalised = normalise_path(path)
    if normalised is None:
        return None
    for rule in _list_prefix_matches(cfg, normalised):
        if _matches_method(rule, method):
            return rule
    return None


def _list_prefix_matches(cfg: Configuration, path: str) -> Iterator[RouteRule]:
    rules = cfg.routes.get(first_segment(path), ())
    if path != _ROOT and rules:
        for prefix in list_prefixes(path, max_length=len(rules[0].prefix)):
            yield from _list_rules_with_prefix(rules, prefix)
    yield from cfg.routes.get(_ROOT, ())


def _list_rules_with_prefix(
    rules: tuple[RouteRule, ...], prefix: str
) -> Iterator[RouteRule]:
    start = bisect_left(rules, prefix_sort_key(prefix), key=_rule_sort_key)
    for index in range(start, len(rules)):
        if rules[index].prefix != prefix:
            return
        yield rules[index]


def _rule_sort_key(rule: RouteRule) -> tuple[int, str]:
    return prefix_sort_key(rule.prefix)


def _matches_method(rule: RouteRule, method: str) -> bool:
    return method in rule.methods or _ANY_METHOD in rule.methods
