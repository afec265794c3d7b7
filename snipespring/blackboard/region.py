"""Define a typed part of the blackboard and the controller that writes it."""

from typing import Generic, TypeVar

from attrs import field, frozen

__all__ = ["Region"]

T = TypeVar("T")


@frozen(kw_only=True, eq=False)
class Region(Generic[T]):
    """Define a region by its name, its only writer and its initial record."""

    name: str
    writer: str
    initial: T = field(repr=False)
