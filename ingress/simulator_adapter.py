"""The `sim` command: connects gateways to the simulator by standard input and output.

It only translates the wire protocol.  Unknown keys are skipped; a malformed line ends the program
with a message that names the error; an exception in the policy becomes a fault report.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final, TextIO

from ingress.policy.actions import Action
from ingress.policy.events import Backend, BackendsChanged, EndpointListKind, Event
from ingress.policy.gateway import Gateway
from ingress.policy.settings import Settings
from ingress.simulator_messages import (
    ENDPOINT_LIST_KINDS,
    EVENT_READERS,
    Message,
    Reply,
    read_backend,
    write_action,
)
from ingress.wire_settings import read_enum, read_settings

EXIT_MALFORMED_INPUT: Final = 2


class MalformedInputError(Exception):
    """A line of the input violates the wire protocol."""


@dataclass(frozen=True, slots=True)
class _GatewayStart:
    """Instruction to create a gateway."""

    instance: int
    settings: Settings
    seed: int


@dataclass(frozen=True, slots=True)
class _GatewayEvent:
    """An event for a gateway to handle."""

    instance: int
    event: Event


class SimulatorAdapter:
    """All gateways of one process, and the numbered endpoint lists that messages refer to."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}
        self.endpoint_lists: dict[int, tuple[Backend, ...]] = {}

    def replies(self, now: float, messages: Iterable[Message]) -> list[Reply]:
        """Returns the replies of the gateways to the messages of one batch, in order.

        An exception in a gateway ends the list with a fault report.

        Raises:
            MalformedInputError: A message violates the wire protocol.
        """
        replies: list[Reply] = []
        for message in messages:
            delivery = self._receive(message)
            if delivery is None:
                continue
            instance = delivery.instance
            try:
                for action in self._actions(now, delivery):
                    replies.append(write_action(action) | {"ingress": instance})
            except Exception as error:  # the simulator ends its run and shows this text
                cause = f"{type(error).__name__}: {error} at {now} on {message['m']}"
                replies.append({"m": "BailOut", "ingress": instance, "reason-text": cause})
                return replies
        return replies

    def _actions(self, now: float, delivery: _GatewayStart | _GatewayEvent) -> list[Action]:
        if isinstance(delivery, _GatewayStart):
            self.gateways[delivery.instance] = Gateway(delivery.settings, delivery.seed)
            return []
        if delivery.instance not in self.gateways:
            return []
        return self.gateways[delivery.instance].handle(now, delivery.event)

    def _receive(self, message: Message) -> _GatewayStart | _GatewayEvent | None:
        try:
            return self._read(message)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            cause = f"{message.get('m')}: {type(error).__name__}: {error}"
            raise MalformedInputError(cause) from error

    def _read(self, message: Message) -> _GatewayStart | _GatewayEvent | None:
        """Returns the work for a gateway; None if the message only changed the adapter's state."""
        name = message["m"]
        if name == "SnapshotRows":
            entries = tuple(read_backend(entry) for entry in message["members-list"])
            self.endpoint_lists[message.get("set-id", 0)] = entries
            return None
        instance: int = message["ingress"]
        if name == "Start":
            seed: int = message["nonce64"]
            return _GatewayStart(instance, read_settings(message["env"]), seed)
        if name == "PowerOff":
            self.gateways.pop(instance, None)
            return None
        if name == "BackendsChanged":
            return _GatewayEvent(instance, self._read_endpoint_list(message))
        if name not in EVENT_READERS:
            raise ValueError(f"unknown message {name!r}")
        return _GatewayEvent(instance, EVENT_READERS[name](message))

    def _read_endpoint_list(self, message: Message) -> BackendsChanged:
        kind = read_enum("kind", message["kind"], ENDPOINT_LIST_KINDS)
        backends: tuple[Backend, ...] = ()
        if kind is not EndpointListKind.UNAVAILABLE:
            backends = self.endpoint_lists[message.get("set-id", 0)]
        return BackendsChanged(kind, backends, message.get("epoch", 0))


@dataclass(frozen=True, slots=True)
class Batch:
    """Messages of one point in time.

    Attributes:
        now: Time of the batch, in seconds of the simulation.
        messages: Messages in order.
        last_line: Number of the input line that ended the batch.
    """

    now: float
    messages: list[Message]
    last_line: int


def _parse_line(line: str) -> Message:
    message = json.loads(line)
    if not isinstance(message, dict):
        raise TypeError("a line must contain a JSON object")
    return message


def read_batches(source: Iterable[str]) -> Iterator[Batch]:
    """Yields each batch of the input as soon as its last line has arrived.

    Raises:
        MalformedInputError: A line is not a message or is outside a batch, or a batch has no end.
    """
    now: float | None = None
    messages: list[Message] = []
    for number, line in enumerate(source, 1):
        if not line.strip():
            continue
        try:
            message = _parse_line(line)
            name = message.get("m")
            if name == "BeginBatch":
                now = float(message["ts-s"])
                messages = []
                continue
        except (KeyError, TypeError, ValueError) as error:
            raise MalformedInputError(f"line {number}: {error}") from error
        if now is None:
            raise MalformedInputError(f"line {number}: {name!r} is outside a batch")
        if name == "Eob":
            yield Batch(now, messages, number)
            now = None
        else:
            messages.append(message)
    if now is not None:
        raise MalformedInputError("the input ends inside a batch")


def serve(source: Iterable[str], sink: TextIO) -> None:
    """Writes the replies to each batch of `source` to `sink` until the input ends.

    Raises:
        MalformedInputError: The input violates the wire protocol; the message names the line.
    """
    adapter = SimulatorAdapter()
    for batch in read_batches(source):
        try:
            for reply in adapter.replies(batch.now, batch.messages):
                sink.write(json.dumps(reply) + "\n")
        except (MalformedInputError, KeyError, TypeError, ValueError) as error:
            raise MalformedInputError(f"line {batch.last_line}: {error}") from error
        sink.write('{"m":"Finished"}\n')
        sink.flush()


def main() -> int:
    """Serves standard input and output; returns the exit status."""
    try:
        serve(sys.stdin, sys.stdout)
    except MalformedInputError as error:
        sys.stderr.write(f"ingress.simulator_adapter: malformed input: {error}\n")
        return EXIT_MALFORMED_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
