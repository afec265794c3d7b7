"""Choose backend servers by load, failure domain and health."""

from .choice import (
    Chosen,
    NoServer,
    choose_server,
    release_server,
    reserve_server,
)

__all__ = [
    "Chosen",
    "NoServer",
    "choose_server",
    "release_server",
    "reserve_server",
]
