"""Serve the platform's questions for addresses and for readiness."""

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
    """Tell callers in a failure domain which addresses to use."""

    list_addresses: Callable[[DomainName], AddressAnswer]

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one HTTP request."""
        if environ["PATH_INFO"] != RESOLVE_PATH:
            return _respond(start_response, NOT_FOUND, {"Error": "no such call"})
        asked = parse_qs(environ["QUERY_STRING"])
        answer = self.list_addresses(DomainName(asked.get("Zone", [""])[0]))
        content = {
            "Addresses": [str(offer.address) for offer in answer.offers],
            "Ttl": f"{int(answer.lifetime_s * 1000)}ms",
        }
        return _respond(start_response, OK if answer.offers else UNAVAILABLE, content)


@define(kw_only=True, eq=False)
class ReadinessApp:
    """Tell the platform whether this host takes requests."""

    is_ready: Callable[[], bool]

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one HTTP request."""
        if environ["PATH_INFO"] != READY_PATH:
            return _respond(start_response, NOT_FOUND, {"Error": "no such call"})
        is_ready = self.is_ready()
        return _respond(start_response, OK if is_ready else UNAVAILABLE, {})


def _respond(
    start_response: StartResponse, status: str, content: Mapping[str, object]
) -> list[bytes]:
    body = json.dumps(content).encode()
    headers = [("Content-Type", JSON_TYPE), ("Content-Length", str(len(body)))]
    start_response(status, headers)
    return [body]
