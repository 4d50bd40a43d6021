"""The ingress: feeds the Gateway its events, carries out its actions, owes each request one answer."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import deque
from dataclasses import replace
from math import ceil

import mulleinhall.interface as api
from mulleinhall.logic import Gateway
from mulleinhall.net.backends import Attempt, Backends
from mulleinhall.net.clients import BadCommand, Clients, Command, Slot, bulk
from mulleinhall.net.clock import Clock, unix_clock
from mulleinhall.net.config import Config
from mulleinhall.net.counter import Counter
from mulleinhall.net.discovery import Discovery, Listing

log = logging.getLogger(__name__)

MARGIN = 0.020  # s before the client's time is up: when the module's time is up
LAST_MARGIN = 0.005  # s before the client's time is up: when a final answer is forced
BASE_COST = 2048  # bytes that an open request takes beside its command
GOES_ON = 0.5  # s that connections are accepted after SIGTERM
KILL_AFTER = 0.7  # s that SIGKILL leaves beside the longest deadline, which counts MOST_DEADLINE at most
MOST_DEADLINE = 3.0  # s
LAST_WORD = 0.25  # s before the earliest SIGKILL: when the rest is answered
FLUSH = 0.1  # s for the last answers to go out
FAILED, BUSY = b"-ERR failed\r\n", b"-BUSY\r\n"


class Open:
    """An open request."""

    __slots__ = ("answered", "command", "deadline", "key", "out", "size", "slot", "timer", "tries")

    def __init__(self, key: str, slot: Slot, command: Command, deadline: float) -> None:
        self.key, self.slot, self.command, self.deadline = key, slot, command, deadline
        self.tries, self.answered = 0, False
        self.size = BASE_COST + sum(map(len, command.words))
        self.out: Attempt | None = None
        self.timer: asyncio.TimerHandle | None = None


class Ingress:
    """One ingress.  It decides nothing: whom to let in and where to send is the Gateway's."""

    def __init__(self, config: Config, clock: Clock | None = None) -> None:
        self.config, self.settings, self.clock = config, config.settings, clock or unix_clock()
        self.loop = asyncio.get_running_loop()
        self.gateway = Gateway(self.settings, config.seed)
        self.open: dict[str, Open] = {}
        self.ids: set[bytes] = set()  # the clients' own, of requests that have no answer yet
        self.attempts: dict[tuple[str, int], Attempt] = {}  # those that are out
        self.held, self.count = 0, 0
        self.events: deque[api.Event] = deque()
        self.running = False
        self.unsupported: set[str] = set()
        self.watch: asyncio.Task[None] | None = None
        self.backends = Backends(config.backend_sockets, config.most_held, config.connect_timeout,
                                 config.idle_time, self.settings.drain_grace, self.clock, self.ended)
        self.counter = None if config.counter is None else Counter(
            config.counter, self.settings.counter_timeout, self.clock, self.feed)
        self.clients = Clients(config.listen, config.client_sockets, config.most_held, self.settings, self,
                               self.clock)

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop` is set, then lets the clients go and ends."""
        self.listed(api.ListKind.RESTORED, self.config.known)
        self.clients.open()
        self._watch()
        log.info("%s serves on %s:%d", self.config.name, *self.config.listen)
        await stop.wait()
        await self._drain()
        if (watch := self.watch) is not None:
            watch.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await watch
        self.backends.close()
        if self.counter is not None:
            self.counter.close()

    def _watch(self) -> None:
        """A new watch on discovery, from a whole list; the old one ends."""
        if self.watch is not None:
            self.watch.cancel()
        self.watch = self.loop.create_task(Discovery(self.config.discovery, self.listed).run())

    def reload(self, config: Config) -> None:
        """The configuration was replaced: discovery and counter may be elsewhere.  What is not told here
        holds from the next start."""
        old, self.config = self.config, replace(
            self.config, discovery=config.discovery, counter=config.counter)
        if config.discovery != old.discovery:
            self._watch()
        if self.counter is not None and config.counter is not None and config.counter != old.counter:
            self.counter.move(config.counter)
        log.info("configuration read again: discovery %s, counter %s", config.discovery, config.counter)
        if replace(config, seed=old.seed, known=old.known, discovery=old.discovery,
                   counter=old.counter) != old:
            log.warning("what else has changed in it holds from the next start")

    async def _drain(self) -> None:
        """A planned restart: what is held is answered, before the earliest SIGKILL whatever happens."""
        longest = min(max(c.deadline for c in self.settings.classes), MOST_DEADLINE)
        last = self.loop.time() + longest + KILL_AFTER - LAST_WORD
        await asyncio.sleep(GOES_ON)
        self.clients.drain()
        while self.clients.connections and self.loop.time() < last:
            await asyncio.sleep(0.02)
        for request in list(self.open.values()):
            self._give_up(request)
        self.clients.close()
        last = self.loop.time() + FLUSH
        while self.clients.connections and self.loop.time() < last:
            await asyncio.sleep(0.01)
        log.info("%s ends", self.config.name)

    # Clients

    def request(self, slot: Slot, command: Command, arrived: float) -> None:
        if command.words[2] in self.ids:
            raise BadCommand("the id belongs to an open request")
        if len(self.open) >= self.config.most_open or self.held > self.config.most_held:
            slot.answer(BUSY)  # the settings' limit on open requests; nothing has run
            return
        self.count += 1
        slot.key = key = str(self.count)  # a client's id may come again once its request is over
        request = self.open[key] = Open(key, slot, command, arrived + command.wait)
        self.held += request.size
        self.ids.add(command.words[2])
        left = request.deadline - self.clock()
        request.timer = self.loop.call_later(max(0.0, left - LAST_MARGIN), self._expired, request)
        # A fixed margin, so that the module sees the same wait as the client named.
        wait = command.wait - min(MARGIN, command.wait / 10)
        self.feed(api.Request(key, command.request_class, command.plan, command.customer, wait, command.units,
                              command.spread, command.first, command.repeat, command.write))

    def hung_up(self, slot: Slot) -> None:
        request = self.open.get(slot.key)
        if request is not None and not request.answered:
            self._over(request)
            self.feed(api.Abandoned(request.key))

    def _expired(self, request: Open) -> None:
        """Guards against a request that nobody answers, whatever the module or a peer does."""
        if not request.answered:
            log.warning("a final answer was forced")
            self._give_up(request)

    def _give_up(self, request: Open) -> None:
        if not request.answered:
            self._answer(request, FAILED)
            self.feed(api.Abandoned(request.key))

    def _answer(self, request: Open, data: bytes) -> None:
        self._over(request)
        request.slot.answer(data)

    def _over(self, request: Open) -> None:
        request.answered = True
        self.ids.discard(request.command.words[2])
        if request.timer is not None:
            request.timer.cancel()

    def _forget(self, key: str) -> None:
        """The module knows that the request is over."""
        request = self.open.pop(key, None)
        if request is not None:
            self.held -= request.size

    # Discovery and backends

    def listed(self, kind: api.ListKind, listing: Listing) -> None:
        self.backends.change(kind is not api.ListKind.UPDATE, listing.backends, listing.addresses)
        self.feed(api.BackendsChanged(kind, listing.backends, listing.version))

    def ended(self, attempt: Attempt, outcome: api.Outcome, value: bytes | None,
              load: dict[str, float]) -> None:
        request = self.open.get(attempt.request)
        self.attempts.pop((attempt.request, attempt.number), None)
        if request is not None:
            if request.out is attempt:
                request.out = None
            if value is not None and not request.answered:
                self._answer(request, bulk(value))
        self.feed(api.AttemptEnded(
            attempt.request, attempt.number, attempt.backend, outcome, self.clock() - attempt.sent,
            request is None or request.answered, load=load))

    # The module

    def feed(self, event: api.Event) -> None:
        """Hands an event to the module; one that comes up meanwhile waits for its turn."""
        self.events.append(event)
        if self.running:
            return
        self.running = True
        try:
            while self.events:
                self._handle(self.events.popleft())
        finally:
            self.running = False

    def _handle(self, event: api.Event) -> None:
        key = getattr(event, "id", None)
        fault = False
        try:
            actions = self.gateway.handle(self.clock(), event)
        except Exception:
            # Guards the process and all other requests against a fault in the module: what it had decided
            # so far is carried out (a timer set anew, say), and the request at hand fails.
            log.exception("the module failed on %s", type(event).__name__)
            actions, fault = self.gateway.actions, True
        for action in list(actions):
            try:
                self._do(action)
            except Exception:
                log.exception("%s failed", type(action).__name__)
        if key is None:
            return
        request = self.open.get(key)
        if request is None:
            return
        if isinstance(event, api.Abandoned) or (isinstance(event, api.AttemptEnded) and event.finished):
            self._forget(key)
        elif fault:
            self._give_up(request)

    def _do(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Refuse(id=key, retry_after=wait):
                self._final(key, b"-BUSY %d\r\n" % ceil(wait * 1000) if wait > 0 else BUSY)
            case api.Fail(id=key):
                self._final(key, FAILED)
            case api.SetTimer(delay=delay, token=token):
                self.loop.call_later(max(0.0, delay), self.feed, api.Timer(token))
            case api.Count(name=name, add=add, lifetime=lifetime) if self.counter is not None:
                self.counter.call(name, add, lifetime)
            case api.Cancel(id=key, attempt=number):
                if attempt := self.attempts.get((key, number)):
                    self.backends.cancel(attempt)
            case api.CloseIdle(backend=backend):
                self.backends.close_idle(backend)
            case api.Log(text=text):
                log.info("%s", text)
            case api.Subscribe() | api.FetchBackends():
                pass  # the watch is always on
            case _:
                kind = type(action).__name__
                if kind not in self.unsupported:
                    self.unsupported.add(kind)
                    log.warning("%s is not possible on these sockets", kind)

    def _final(self, key: str, data: bytes) -> None:
        request = self.open.get(key)
        if request is not None:
            if not request.answered:
                self._answer(request, data)
            self._forget(key)

    def _send(self, action: api.Send) -> None:
        request, now = self.open.get(action.id), self.clock()
        number = 0
        if request is not None:
            number, request.tries = request.tries, request.tries + 1
        if request is None or request.answered or number >= self.settings.max_attempts:
            self.feed(api.AttemptEnded(action.id, number, action.backend, api.Outcome.MOOT,
                                       finished=request is None or request.answered))
            return
        if request.out is not None:
            self.backends.cancel(request.out)  # never two out at once
        last = request.deadline - LAST_MARGIN
        attempt = request.out = Attempt(
            request.key, number, action.backend, now,
            min(last, now + action.timeout) if action.timeout else last, request.command.parts())
        self.attempts[request.key, number] = attempt
        self.backends.start(attempt)
