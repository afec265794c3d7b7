"""Serve the platform's address queries and readiness probes."""

import json
from collections.abc import Callable, Iterable, Mapping
from urllib.parse import parse_qs

from attrs import define

from ..frontends.http_server import Environ, StartResponse
from ..records import AddressAnswer, DomainName

__all__ = ["DirectoryApp", "ReadinessApp"]

RESOLVE_PATH = "/v1/resolve"
READY_PATH = "/v1/ready"
JSON_TYPE = "application/json"
NOT_FOUND = "404 Not Found"
OK = "200 OK"
UNAVAILABLE = "503 Service Unavailable"


@define(kw_only=True, eq=False)
class DirectoryApp:
    """List the addresses that callers in a failure domain should use."""

    list_addresses: Callable[[DomainName], AddressAnswer]

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one HTTP request."""
        if environ["PATH_INFO"] != RESOLVE_PATH:
            return _respond(start_response, NOT_FOUND, {"Error": "no such call"})
        query = parse_qs(environ["QUERY_STRING"])
        answer = self.list_addresses(DomainName(query.get("Zone", [""])[0]))
        content = {
            "Addresses": [str(offer.address) for offer in answer.offers],
            "Ttl": f"{int(answer.lifetime_s * 1000)}ms",
        }
        return _respond(start_response, OK if answer.offers else UNAVAILABLE, content)


@define(kw_only=True, eq=False)
class ReadinessApp:
    """Report to the platform whether this host accepts requests, or why it does not."""

    list_unready_reasons: Callable[[], tuple[str, ...]]

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one HTTP request."""
        if environ["PATH_INFO"] != READY_PATH:
            return _respond(start_response, NOT_FOUND, {"Error": "no such call"})
        reasons = self.list_unready_reasons()
        if not reasons:
            return _respond(start_response, OK, {})
        return _respond(start_response, UNAVAILABLE, {"Reasons": reasons})


def _respond(
    start_response: StartResponse, status: str, content: Mapping[str, object]
) -> list[bytes]:
    body = json.dumps(content).encode()
    headers = [("Content-Type", JSON_TYPE), ("Content-Length", str(len(body)))]
    start_response(status, headers)
    return [body]
