"""Optional components of an instance, each imported only if the operator's file enables it."""

from __future__ import annotations

from typing import Any, Protocol


class Component(Protocol):
    """An optional component, which runs from the start of the program to its end."""

    async def open(self) -> None:
        """Starts the component.

        Raises:
            OSError: An address can't be bound or a file can't be opened.
            ConfigurationError: Its settings conflict with the rest of the configuration.
        """

    def close(self) -> None:
        """Stops the component and releases its resources."""

    def counts(self) -> dict[str, Any]:
        """Returns the counts since the start, by the keys under which the program reports them."""
