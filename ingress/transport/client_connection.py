"""A client connection: decodes requests, passes them on and writes the responses in order."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from enum import Enum, auto
from typing import TYPE_CHECKING, Final, cast

from ingress.core.calls import REJECTED_RESPONSE, DuplicateRequestError, InvalidCallError
from ingress.core.ports import ClientPresence
from ingress.transport.client_protocol import MalformedFrameError
from ingress.transport.close_reason import CloseReason
from ingress.transport.incomplete_request import IncompleteRequest
from ingress.transport.input_buffer import InputBuffer
from ingress.transport.pending_response import PendingResponse
from ingress.transport.presence_probe import PresenceProbe
from ingress.transport.response_queue import ResponseQueue
from ingress.transport.socket_state import accepts_output

if TYPE_CHECKING:
    from ingress.transport.client_listener import ClientListener

log = logging.getLogger(__name__)

MAX_PIPELINED_REQUESTS: Final = 64  # unanswered on one connection
MAX_REQUESTS_PER_TURN: Final = 32  # of one connection in one iteration of the event loop
MAX_CONSECUTIVE_MALFORMED_REQUESTS: Final = 8  # after these the connection is closed
MAX_DISCARDED_BYTES: Final = 1024 * 1024  # after these a closing connection is no longer read
# For a first request, for the rest of a partial one, and for the client to read responses.  Lost
# segments are retransmitted after 0.2, 0.4 and 0.8 s.
PROGRESS_TIMEOUT_S: Final = 2.0
LARGE_READ_BYTES: Final = 64 * 1024  # after a larger read other connections are served first
MAX_REJECTION_BYTES: Final = 128  # of a codec's own response while requests are rejected
MAX_UNBLOCKED_BYTES: Final = 64 * 1024  # unsent; a client that leaves more does not read
MAX_BATCHED_BYTES: Final = 16 * 1024  # of responses that are collected for one write
# Longer than PROGRESS_TIMEOUT_S, since a new connection costs both sides more than an idle one.
IDLE_TIMEOUT_S: Final = 5.0
LINGER_TIME_S: Final = 1.0  # for a client to read its last error while its input is discarded
# For the first request on a connection that is accepted while the listener closes.
FIRST_REQUEST_GRACE_S: Final = 0.2


class ParseEnd(Enum):
    """Why the parsing of received bytes stopped."""

    EMPTY = auto()
    """All bytes are parsed, or the connection is closing."""
    PARTIAL = auto()
    """An incomplete request is left."""
    WAITING = auto()
    """Earlier responses must be completed or read first."""
    TURN_OVER = auto()
    """Other connections are served before the next requests of this one."""


class ClientConnection:
    """One client connection.

    The class has the methods of `asyncio.Protocol` but does not inherit from it, because a compiled
    class can't inherit from an interpreted one.

    Attributes:
        busy: Whether a request is open or its response is not written; else the connection is one
            of the listener's idle connections.
        last_used_at: When the connection was made, when its last open request was answered, or when
            the client of a closing connection resumed reading; in seconds of the active clock.
        input: Received bytes that are an incomplete request or are not parsed yet.
        incomplete: The timeout of a request that the client has sent in part.
        write_blocked_at: Time since which the client has not read its responses, in seconds of the
            active clock, or None.
        close_reason: Why the connection ends; meaningful once it is closed.
        probe: Finds out from the socket whether the client still waits.
        closing: Whether further requests are ignored; the connection closes after the pending
            responses.
        pipeline_full: Whether parsing has stopped at `MAX_PIPELINED_REQUESTS`.
        turn_scheduled: Whether parsing continues in a later iteration of the event loop.
        yielding: Whether reading is paused until the next turn, after a large read.
        reading_paused: Whether reading from the socket is paused.
        parsing: Whether received bytes are being parsed; responses are then collected for one
            write.
    """

    __slots__ = (
        "busy",
        "close_reason",
        "closing",
        "consecutive_malformed",
        "discarded_bytes",
        "incomplete",
        "input",
        "last_used_at",
        "listener",
        "parsing",
        "pipeline_full",
        "probe",
        "protocol",
        "reading_paused",
        "received_at",
        "responses",
        "sock",
        "transport",
        "turn_scheduled",
        "write_blocked_at",
        "yielding",
    )

    def __init__(self, listener: ClientListener, sock: socket.socket) -> None:
        now = listener.clock()
        self.listener = listener
        self.sock = sock
        self.protocol = listener.make_protocol()
        self.responses = ResponseQueue(listener.unsent_responses)
        self.transport: asyncio.Transport | None = None
        self.input = InputBuffer()
        self.incomplete = IncompleteRequest()
        self.received_at = now
        self.last_used_at = listener.active_clock.now()
        self.write_blocked_at: float | None = None
        self.consecutive_malformed = 0
        self.discarded_bytes = 0
        self.probe = PresenceProbe(sock, now)
        self.pipeline_full = False
        self.busy = False
        self.close_reason = CloseReason.CLIENT
        self.closing = False
        self.reading_paused = False
        self.parsing = False
        self.turn_scheduled = False
        self.yielding = False

    @property
    def pending(self) -> deque[PendingResponse]:
        """The responses that are not written yet, in the order of their requests."""
        return self.responses.pending

    @property
    def unparsed(self) -> bytes:
        """The received bytes that are not parsed yet."""
        return self.input.joined()

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the new connection and adds it to the idle connections."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop has its own transport class
        # Each write is tried at once, so the size of the write buffer is that of unsent responses.
        self.transport.set_write_buffer_limits(high=0)
        self.last_used_at = self.listener.active_clock.now()
        self.listener.idle_connections.add_new(self)
        if self.listener.draining:
            # Accepted during the drain; without a first request it would stay open.
            self.listener.loop.call_later(FIRST_REQUEST_GRACE_S, self.close_if_idle)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes, or discards them if the connection is closing."""
        if self.closing:
            self._discard(len(data))
            return
        listener = self.listener
        self.received_at = listener.stall_detector.arrival_time()
        listener.buffered_bytes += len(data)
        self.input.append(data)
        if len(data) >= LARGE_READ_BYTES:
            # The event loop would read from this connection again before it serves others.
            self.yielding = True
            self.incomplete.restart(listener.active_clock.now())
            self._schedule_turn()
        else:
            self.probe.drained_at = listener.stall_detector.last_active_at
            if self.input.may_be_complete() and not self.turn_scheduled:
                self._parse()
        self._fail_overdue_request()
        self._update_flow_control()
        if listener.buffered_bytes > listener.max_buffered_bytes:
            listener.reduce_input()

    def release_input(self) -> bool:
        """Rejects the complete requests that are not parsed, or drops the incomplete one.

        Returns:
            Whether there was any input.
        """
        size = self.input.size
        if not size or self.transport is None:
            return False
        self._parse(rejecting=True)
        if self.input.size == size:
            self._fail("too much is on the way", CloseReason.INPUT_LIMIT)
        self._update_flow_control()
        return True

    def pause_writing(self) -> None:
        """Pauses reading requests if the client does not read its responses."""
        self._update_unsent()

    def resume_writing(self) -> None:
        """Resumes parsing, since the client reads its responses again."""
        self._update_unsent()
        if self.write_blocked_at is None:
            return
        self.write_blocked_at = None
        now = self.listener.active_clock.now()
        self.incomplete.restart(now)  # a client may send nothing while it can't read
        if self.closing:
            self.last_used_at = now  # its client has yet to read the last bytes
        self._schedule_turn()

    def eof_received(self) -> None:
        """Treats the end of the client's sending as a disconnection."""
        self.handle_disconnect()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the disconnection and removes the closed connection from the listener."""
        self.handle_disconnect()
        self.listener.remove(self)

    # Requests

    def _parse(self, rejecting: bool = False) -> None:
        """Handles complete requests in the received bytes, then writes completed responses.

        Args:
            rejecting: Whether to reject all of these requests, including those that would have to
                wait for earlier responses or for the next turn.
        """
        data = self.input.joined()
        self._drop_input()
        self.parsing = True
        at, parse_end = self._handle_frames(data, rejecting)
        if not self.closing and self.transport is not None:
            self._keep_input(data[at:], parse_end)
        if parse_end is ParseEnd.PARTIAL:
            # Not `received_at`: since the last read, this process may have paused reading, and then
            # the client could not send the rest.
            self.incomplete.begin(self.listener.active_clock.now())
        else:
            self.incomplete.end()
        self.parsing = False
        self.flush()
        if parse_end is ParseEnd.TURN_OVER:
            self._schedule_turn()

    def _handle_frames(self, data: bytes, rejecting: bool) -> tuple[int, ParseEnd]:
        """Handles the complete requests in `data` until the connection has to wait.

        Returns:
            The end of the last handled request, and why parsing stopped there.
        """
        at = 0
        requests_left = MAX_REQUESTS_PER_TURN
        while self.transport is not None and not self.closing and at < len(data):
            if not rejecting:
                if self._must_wait():
                    return at, ParseEnd.WAITING
                if not requests_left or self.listener.unsent_responses.is_full():
                    return at, ParseEnd.TURN_OVER
            requests_left -= 1
            try:
                end = self.protocol.find_frame_end(data, at)
                if end < 0:
                    self._send_interim_response()
                    return at, ParseEnd.PARTIAL
                frame = data[at:end]
                at = end
                self.incomplete.end()
                self._handle_frame(frame, rejecting)
            except MalformedFrameError as error:
                self._fail(str(error))
            except Exception:
                # A codec fault while finding frames ends only this connection.
                self.listener.log_codec_fault("a frame")
                self._fail("not understood")
        return at, ParseEnd.EMPTY

    def _keep_input(self, data: bytes, parse_end: ParseEnd) -> None:
        """Keeps the bytes that are not parsed."""
        min_size = 1
        if parse_end is ParseEnd.PARTIAL:
            min_size = len(data) + self.protocol.missing_bytes
        self.input.replace(data, min_size)
        self.listener.buffered_bytes += len(data)

    def _schedule_turn(self) -> None:
        """Continues in a later iteration of the event loop, after other connections."""
        if not self.turn_scheduled:
            self.turn_scheduled = True
            self.listener.turns.add(self)

    def take_turn(self) -> None:
        """Parses the next requests, and reads further input."""
        self.turn_scheduled = False
        self.yielding = False
        if self.closing:
            self._resume_discarding()
            return
        if self.input.may_be_complete() and not self._reads_more_first():
            self._parse()
        self._update_flow_control()

    def _reads_more_first(self) -> bool:
        """Returns whether more input is read before requests are handled.

        The client of a request may have closed the connection behind input that is not read yet.
        """
        return (
            self.input.size < self.listener.read_ahead_bytes
            and self.presence() is ClientPresence.UNKNOWN
        )

    def _must_wait(self) -> bool:
        """Returns whether earlier responses must be written before more requests are handled."""
        self.pipeline_full = len(self.pending) >= MAX_PIPELINED_REQUESTS
        return self.pipeline_full or self.write_blocked_at is not None

    def _send_interim_response(self) -> None:
        """Writes the interim response that the client awaits, unless a response is pending."""
        if not self.pending and self.transport is not None:
            data = self.protocol.interim_response()
            if data:
                self.transport.write(data)

    def _handle_frame(self, frame: bytes, rejecting: bool) -> None:
        protocol = self.protocol
        try:
            call = protocol.decode_request(frame)
        except InvalidCallError as error:
            self.listener.log_malformed(str(error))
            self._reject_malformed(str(error))
            return
        except MalformedFrameError:
            raise
        except Exception:
            # A codec fault counts as one malformed request, which is answered too.
            self.listener.log_codec_fault("a request")
            self._reject_malformed("not understood")
            return
        pending = PendingResponse(self)
        self._append(pending)
        self.closing = protocol.close_requested
        if isinstance(call, bytes):
            if rejecting and len(call) > MAX_REJECTION_BYTES:
                pending.respond(REJECTED_RESPONSE)
            else:
                pending.complete(call)
            return
        self.consecutive_malformed = 0
        if rejecting:
            pending.respond(REJECTED_RESPONSE)
            return
        pending.call = call
        try:
            self.listener.handler.request(pending, call, self.received_at)
        except DuplicateRequestError as duplicate:
            self.listener.log_malformed(str(duplicate))
            pending.complete(protocol.encode_error(str(duplicate)))
        except Exception:
            # An exception in one request must not end the process or affect other requests.
            log.exception("request handler failed")
            pending.complete(protocol.encode_error("internal error"))

    def _reject_malformed(self, reason: str) -> None:
        self.consecutive_malformed += 1
        self.closing = (
            self.consecutive_malformed >= MAX_CONSECUTIVE_MALFORMED_REQUESTS
            or self.protocol.close_requested
        )
        if self.closing:
            self.close_reason = CloseReason.MALFORMED
        pending = PendingResponse(self)
        self._append(pending)
        pending.complete(self.protocol.encode_error(reason))

    def _append(self, pending: PendingResponse) -> None:
        if not self.busy:
            self.busy = True
            self.listener.idle_connections.remove(self)
        self.pending.append(pending)

    def _fail(self, reason: str, close_reason: CloseReason = CloseReason.MALFORMED) -> None:
        """Closes the connection after the pending responses; later input can't be decoded."""
        self.listener.log_malformed(reason)
        self.close_reason = close_reason
        self.closing = True
        self.incomplete.end()
        self._drop_input()
        pending = PendingResponse(self)
        self._append(pending)
        pending.complete(self.protocol.encode_error(reason, fatal=True))

    def _drop_input(self) -> None:
        self.listener.buffered_bytes -= self.input.size
        self.input.replace(b"", 1)

    def _discard(self, size: int) -> None:
        """Discards input of a closing connection.

        Closing the socket with unread input would send a reset, and the client would lose its last
        error.
        """
        self.discarded_bytes += size
        if self.transport is None or self.reading_paused:
            return
        if size >= LARGE_READ_BYTES or self.discarded_bytes > MAX_DISCARDED_BYTES:
            self.reading_paused = True
            self.transport.pause_reading()
            self.listener.hangup_watcher.watch(self)
            self._schedule_turn()

    def _resume_discarding(self) -> None:
        """Reads more input of a closing connection, unless it has sent too much of it."""
        if self.transport is None or not self.reading_paused:
            return
        if self.discarded_bytes <= MAX_DISCARDED_BYTES:
            self.reading_paused = False
            self.transport.resume_reading()
            self.listener.hangup_watcher.unwatch(self)

    # Responses

    def flush(self) -> None:
        """Writes the completed responses that precede the first pending one."""
        if self.parsing and self.responses.completed_bytes < MAX_BATCHED_BYTES:
            return
        data = self.responses.take_ready()
        if data and self.transport is not None:
            self.transport.write(data)
            if self.responses.buffered_bytes or self.transport.get_write_buffer_size():
                self.responses.written(data)
                self._update_unsent()
        if self.listener.unsent_responses.exceeds_limit():
            self.listener.close_largest_responses()
        if not self.parsing:
            self._responses_written()

    def _responses_written(self) -> None:
        """Continues after a write: the connection may be idle, or may parse more requests."""
        if self.transport is None:
            return
        if self.busy and not self.pending:
            self.busy = False
            self.last_used_at = self.listener.active_clock.now()
            self.listener.idle_connections.add(self)
            if self.closing:
                self.transport.write_eof()
            elif self.listener.draining:
                self.close_if_idle()
        if (
            self.pipeline_full
            and not self.closing
            and len(self.pending) <= MAX_PIPELINED_REQUESTS // 2
        ):
            self.pipeline_full = False
            self._schedule_turn()

    def response_completed(self, data: bytes) -> None:
        """Counts the bytes of a completed response, and writes it when its turn comes."""
        self.responses.completed(data)
        self.flush()

    def _update_unsent(self) -> None:
        """Updates the size of the write buffer and whether the client reads its responses."""
        unsent = self.measure_unsent()
        if unsent > MAX_UNBLOCKED_BYTES and self.write_blocked_at is None:
            self.write_blocked_at = self.listener.active_clock.now()
            self._update_flow_control()

    def measure_unsent(self) -> int:
        """Returns the size of the write buffer, and updates the memory of unsent responses."""
        transport = self.transport
        size = 0 if transport is None else transport.get_write_buffer_size()
        if not size:
            self.responses.all_sent()
        return size

    def _update_flow_control(self) -> None:
        """Pauses reading while parsing has to wait and enough input is buffered."""
        if self.transport is None or self.transport.is_closing() or self.closing:
            return
        waiting = self.turn_scheduled or self.pipeline_full or self.write_blocked_at is not None
        if not waiting and not self.reading_paused:
            return
        pause = self.yielding or (waiting and self.input.size >= self.listener.read_ahead_bytes)
        if pause is self.reading_paused:
            return
        self.reading_paused = pause
        if pause:
            self.transport.pause_reading()
            self.listener.hangup_watcher.watch(self)
        else:
            self.incomplete.restart(self.listener.active_clock.now())
            self.transport.resume_reading()
            self.listener.hangup_watcher.unwatch(self)

    # Shutdown and timeouts

    def has_unread_input(self) -> bool:
        """Returns whether the socket has unread bytes or an unread end of the connection."""
        return self.probe.has_unread_input()

    def presence(self) -> ClientPresence:
        """Returns whether the client still waits for its responses."""
        if self.transport is None:
            return ClientPresence.GONE
        return self.probe.presence(self.listener.clock())

    def owes_response(self) -> bool:
        """Returns whether a response is not written yet, or complete requests may be unparsed.

        This can be the case although no request is open: the client does not read its responses, or
        the parsing of the requests behind a full pipeline or in a large read is scheduled.
        """
        unparsed = self.input.may_be_complete()
        return bool(self.pending) or unparsed or self.write_blocked_at is not None

    def close_if_idle(self) -> None:
        """Closes the connection after all writes, unless a request is open or has arrived.

        A request that has arrived, even in part, is answered before the connection is closed.
        """
        if (
            self.transport is not None
            and not self.pending
            and not self.input.size
            and not self.has_unread_input()
        ):
            self.close_reason = CloseReason.IDLE
            self.transport.close()

    def abort(self, reason: CloseReason) -> None:
        """Closes the connection immediately; unsent responses are dropped."""
        transport = self.transport
        if transport is not None:
            self.close_reason = reason
            self.handle_disconnect()
            transport.abort()

    def is_open(self) -> bool:
        """Returns whether the connection is neither closed nor being closed."""
        return self.transport is not None and not self.transport.is_closing()

    def half_close(self) -> None:
        """Rejects the requests that were read, ends the sending side and discards further input.

        Closing the socket with unread input would send a reset, and the client would lose its last
        responses.
        """
        self._parse(rejecting=True)
        self.closing = True
        self._drop_input()
        if self.transport is not None and not self.transport.is_closing():
            if self.reading_paused:
                self.reading_paused = False
                self.transport.resume_reading()
                self.listener.hangup_watcher.unwatch(self)
            self.transport.write_eof()

    def enforce_timeouts(self, now: float) -> None:
        """Closes a connection whose client makes no progress, or that is idle, for too long.

        Each timeout runs from the start of the wait; single bytes do not extend it. It counts only
        the time in which the client could act and this process could notice it.

        Args:
            now: The time of the active clock.
        """
        if self.transport is None:
            return
        if self.write_blocked_at is not None:
            if now - self.write_blocked_at > PROGRESS_TIMEOUT_S and not self._can_write_unsent():
                self.abort(CloseReason.NOT_READING)
        elif self.closing and not self.pending:
            if now - self.last_used_at > LINGER_TIME_S and not self._can_write_unsent():
                lingered = self.close_reason is CloseReason.CLIENT
                self.abort(CloseReason.LINGER if lingered else self.close_reason)
        elif self.incomplete.waiting_since is not None:
            if self.incomplete.has_expired(now, PROGRESS_TIMEOUT_S):
                self._expire_incomplete_request()
        elif not self.pending:
            new = self in self.listener.idle_connections.awaiting_first_request
            if now - self.last_used_at > (PROGRESS_TIMEOUT_S if new else IDLE_TIMEOUT_S):
                self.close_if_idle()

    def _can_write_unsent(self) -> bool:
        """Returns whether the client has read so much that more responses can be written now.

        Then the event loop, not the client, is the one that has not acted yet.
        """
        return bool(self.measure_unsent()) and accepts_output(self.sock)

    def _expire_incomplete_request(self) -> None:
        """Closes the connection, unless the rest of the request may have arrived unread."""
        if self.reading_paused:
            return
        self.incomplete.overdue = True
        if not self.has_unread_input():
            self._fail_overdue_request()

    def _fail_overdue_request(self) -> None:
        """Closes the connection if its request is still incomplete after all bytes were parsed."""
        if self.incomplete.overdue and not self.turn_scheduled:
            self._fail("the rest of the command did not come", CloseReason.INCOMPLETE)

    def handle_disconnect(self) -> None:
        """Notifies the handler that the client no longer waits for its open requests."""
        if self.reading_paused:
            self.listener.hangup_watcher.unwatch(self)
        self.transport = None
        self.listener.turns.remove(self)
        abandoned = self.responses.clear()
        self._drop_input()
        self.listener.idle_connections.remove(self)
        for pending in abandoned:
            pending.data = b""
            self.listener.handler.client_disconnected(pending)
