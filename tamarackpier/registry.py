"""A registry of named implementations, filled by a decorator."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

__all__ = ["Registry"]

T = TypeVar("T")


class Registry(Generic[T]):
    """Maps names to implementations of one kind of behaviour.

    Attributes:
        kind: Kind of the entries, used in error messages.
        entries: Implementations by name.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that adds its argument under `name`.

        Raises:
            ValueError: The name is already registered.
        """

        def add(entry: T) -> T:
            if name in self.entries:
                raise ValueError(f"{self.kind} {name!r} is already registered")
            self.entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> T:
        """Returns the implementation called `name`.

        Raises:
            KeyError: The name is not registered; the message lists the
                registered names.
        """
        if name not in self.entries:
            registered = ", ".join(sorted(self.entries))
            raise KeyError(f"no {self.kind} {name!r}; registered: {registered}")
        return self.entries[name]

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self.entries))
