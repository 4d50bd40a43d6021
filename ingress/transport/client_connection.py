"""A client connection: decodes requests, passes them on and writes the responses in order."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
from collections import deque
from typing import TYPE_CHECKING, Final, cast

from ingress.core.calls import REJECTED_RESPONSE, DuplicateRequestError, InvalidCallError
from ingress.transport.client_protocol import MalformedFrameError
from ingress.transport.close_reason import CloseReason
from ingress.transport.pending_response import PendingResponse

if TYPE_CHECKING:
    from ingress.transport.client_listener import ClientListener

log = logging.getLogger(__name__)

MAX_PIPELINED_REQUESTS: Final = 64  # unanswered on one connection; no more are read meanwhile
MAX_CONSECUTIVE_MALFORMED_REQUESTS: Final = 8  # after these the connection is closed
MAX_DISCARDED_BYTES: Final = 1024 * 1024  # after these a closing connection is no longer read
# For a first request, for the rest of a partial one, and for the client to read responses.  Lost
# segments are retransmitted after 0.2, 0.4 and 0.8 s.
PROGRESS_TIMEOUT_S: Final = 2.0
# Longer than PROGRESS_TIMEOUT_S, since a new connection costs both sides more than an idle one.
IDLE_TIMEOUT_S: Final = 5.0
LINGER_TIME_S: Final = 1.0  # for a client to read its last error while its input is discarded
# For the first request on a connection that is accepted while the listener closes.
FIRST_REQUEST_GRACE_S: Final = 0.2


class ClientConnection:
    """One client connection.

    The class has the methods of `asyncio.Protocol` but does not inherit from it, because a compiled
    class can't inherit from an interpreted one.

    Attributes:
        last_used_at: When the connection was made, when its last open request was answered, or when
            the client of a closing connection resumed reading; in seconds of the clock.
        unparsed: Received bytes that are an incomplete request or are not parsed yet.
        partial_since: Arrival time of the first byte of a partial request, or None.
        write_blocked_at: Time since which the client has not read its responses, or None.
        close_reason: Why the connection ends; meaningful once it is closed.
        closing: Whether further requests are ignored; the connection closes after the pending
            responses.
        pipeline_full: Whether parsing has stopped at `MAX_PIPELINED_REQUESTS`.
        reading_paused: Whether reading from the socket is paused.
        parsing: Whether received bytes are being parsed; responses are then collected for one
            write.
    """

    __slots__ = (
        "close_reason",
        "closing",
        "consecutive_malformed",
        "discarded_bytes",
        "last_used_at",
        "listener",
        "parsing",
        "partial_since",
        "pending",
        "pipeline_full",
        "protocol",
        "reading_paused",
        "received_at",
        "sock",
        "transport",
        "unparsed",
        "write_blocked_at",
    )

    def __init__(self, listener: ClientListener, sock: socket.socket) -> None:
        now = listener.clock()
        self.listener = listener
        self.sock = sock
        self.protocol = listener.make_protocol()
        self.pending: deque[PendingResponse] = deque()
        self.transport: asyncio.Transport | None = None
        self.unparsed = b""
        self.received_at = now
        self.last_used_at = now
        self.partial_since: float | None = None
        self.write_blocked_at: float | None = None
        self.consecutive_malformed = 0
        self.discarded_bytes = 0
        self.pipeline_full = False
        self.close_reason = CloseReason.CLIENT
        self.closing = False
        self.reading_paused = False
        self.parsing = False

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the new connection and adds it to the idle connections."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop has its own transport class
        self.last_used_at = self.listener.clock()
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
        self.unparsed = self.unparsed + data if self.unparsed else data
        self._parse()
        if self._exceeds_buffer_limit():
            self._parse(rejecting=True)
        if self._exceeds_buffer_limit():
            self._fail("too much is on the way", CloseReason.INPUT_LIMIT)

    def _exceeds_buffer_limit(self) -> bool:
        """Returns whether unparsed bytes on all connections, some on this one, are too many."""
        listener = self.listener
        return bool(self.unparsed) and listener.buffered_bytes > listener.max_buffered_bytes

    def pause_writing(self) -> None:
        """Pauses reading requests, since the client does not read its responses."""
        self.write_blocked_at = self.listener.clock()
        self._update_flow_control()

    def resume_writing(self) -> None:
        """Resumes parsing, since the client reads its responses again."""
        self.write_blocked_at = None
        if self.closing:
            self.last_used_at = self.listener.clock()  # its client has yet to read the last bytes
        self.listener.loop.call_soon(self._parse)

    def eof_received(self) -> None:
        """Treats the end of the client's sending as a disconnection."""
        self.handle_disconnect()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the disconnection and removes the closed connection from the listener."""
        self.handle_disconnect()
        self.listener.remove(self)

    # Requests

    def _parse(self, rejecting: bool = False) -> None:
        """Handles the complete requests in the unparsed bytes, then writes completed responses.

        Args:
            rejecting: Whether to reject all of these requests, including those that would have to
                wait until earlier responses are written.
        """
        data = self.unparsed
        self.unparsed = b""
        self.listener.buffered_bytes -= len(data)
        self.parsing = True
        end, partial = self._handle_frames(data, rejecting)
        if not self.closing and self.transport is not None:
            self.unparsed = data[end:]
            self.listener.buffered_bytes += len(self.unparsed)
        if not partial:
            self.partial_since = None
        elif self.partial_since is None:
            self.partial_since = self.received_at
        self.parsing = False
        self.flush()
        self._update_flow_control()

    def _handle_frames(self, data: bytes, rejecting: bool) -> tuple[int, bool]:
        """Handles the complete requests in `data` until the connection has to wait.

        Returns:
            The end of the last handled request, and whether a partial request follows it.
        """
        at = 0
        while self.transport is not None and not self.closing:
            if self._must_wait(rejecting) or at == len(data):
                break
            try:
                end = self.protocol.find_frame_end(data, at)
                if end < 0:
                    self._send_interim_response()
                    return at, True
                frame = data[at:end]
                at = end
                self.partial_since = None
                self._handle_frame(frame, rejecting)
            except MalformedFrameError as error:
                self._fail(str(error))
            except Exception:
                # A codec fault while finding frames ends only this connection.
                self.listener.log_codec_fault("a frame")
                self._fail("not understood")
        return at, False

    def _must_wait(self, rejecting: bool) -> bool:
        """Returns whether earlier responses must be written before more requests are handled."""
        if rejecting:
            return False
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
        if not self.pending:
            self.listener.idle_connections.remove(self)
        self.pending.append(pending)

    def _fail(self, reason: str, close_reason: CloseReason = CloseReason.MALFORMED) -> None:
        """Closes the connection after the pending responses; later input can't be decoded."""
        self.listener.log_malformed(reason)
        self.close_reason = close_reason
        self.closing = True
        self._drop_unparsed()
        pending = PendingResponse(self)
        self._append(pending)
        pending.complete(self.protocol.encode_error(reason, fatal=True))

    def _drop_unparsed(self) -> None:
        self.listener.buffered_bytes -= len(self.unparsed)
        self.unparsed = b""

    def _discard(self, size: int) -> None:
        """Discards input of a closing connection.

        Closing the socket with unread input would send a reset, and the client would lose its last
        error.
        """
        self.discarded_bytes += size
        if (
            self.discarded_bytes > MAX_DISCARDED_BYTES
            and self.transport is not None
            and not self.reading_paused
        ):
            self.reading_paused = True
            self.transport.pause_reading()
            self.listener.hangup_watcher.watch(self)

    # Responses

    def flush(self) -> None:
        """Writes the completed responses that precede the first pending one."""
        if self.parsing:
            return
        ready = []
        while self.pending and self.pending[0].data is not None:
            ready.append(self.pending.popleft().data or b"")
        if self.transport is None or not ready:
            return
        self.transport.write(ready[0] if len(ready) == 1 else b"".join(ready))
        if not self.pending:
            self.last_used_at = self.listener.clock()
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
            self.listener.loop.call_soon(self._parse)

    def _update_flow_control(self) -> None:
        """Pauses reading while the pipeline is full or the client does not read its responses."""
        if self.transport is None or self.transport.is_closing() or self.closing:
            return
        pause = self.pipeline_full or self.write_blocked_at is not None
        if pause is self.reading_paused:
            return
        self.reading_paused = pause
        if pause:
            self.transport.pause_reading()
            self.listener.hangup_watcher.watch(self)
        else:
            self.transport.resume_reading()
            self.listener.hangup_watcher.unwatch(self)

    # Shutdown and timeouts

    def has_unread_input(self) -> bool:
        """Returns whether the socket has unread bytes or an unread end of the connection."""
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        return bool(poll.poll(0))

    def owes_response(self) -> bool:
        """Returns whether a response is not written yet, or complete requests may be unparsed.

        This can be the case although no request is open: the client does not read its responses, or
        the parsing of the requests behind a full pipeline is scheduled.
        """
        complete_unparsed = bool(self.unparsed) and self.partial_since is None
        return bool(self.pending) or complete_unparsed or self.write_blocked_at is not None

    def close_if_idle(self) -> None:
        """Closes the connection after all writes, unless a request is open or has arrived.

        A request that has arrived, even in part, is answered before the connection is closed.
        """
        if (
            self.transport is not None
            and not self.pending
            and not self.unparsed
            and not self.has_unread_input()
        ):
            self.close_reason = CloseReason.IDLE
            self.transport.close()

    def abort(self, reason: CloseReason) -> None:
        """Closes the connection immediately; unsent responses are dropped."""
        if self.transport is not None:
            self.close_reason = reason
            self.transport.abort()

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
        self._drop_unparsed()
        if self.transport is not None and not self.transport.is_closing():
            if self.reading_paused:
                self.reading_paused = False
                self.transport.resume_reading()
                self.listener.hangup_watcher.unwatch(self)
            self.transport.write_eof()

    def enforce_timeouts(self, now: float) -> None:
        """Closes a connection that makes no progress or is idle for too long.

        Each timeout runs from the start of the wait; single bytes do not extend it.
        """
        if self.transport is None:
            return
        if self.write_blocked_at is not None:
            if now - self.write_blocked_at > PROGRESS_TIMEOUT_S:
                self.abort(CloseReason.NOT_READING)
        elif self.closing and not self.pending:
            if now - self.last_used_at > LINGER_TIME_S:
                lingered = self.close_reason is CloseReason.CLIENT
                self.abort(CloseReason.LINGER if lingered else self.close_reason)
        elif self.partial_since is not None:
            if now - self.partial_since > PROGRESS_TIMEOUT_S:
                self._fail("the rest of the command did not come", CloseReason.INCOMPLETE)
        elif not self.pending:
            new = self in self.listener.idle_connections.awaiting_first_request
            if now - self.last_used_at > (PROGRESS_TIMEOUT_S if new else IDLE_TIMEOUT_S):
                self.close_if_idle()

    def handle_disconnect(self) -> None:
        """Notifies the handler that the client no longer waits for its open requests."""
        if self.reading_paused:
            self.listener.hangup_watcher.unwatch(self)
        self.transport = None
        abandoned = self.pending
        self.pending = deque()
        self._drop_unparsed()
        self.listener.idle_connections.remove(self)
        for pending in abandoned:
            if pending.data is None:
                pending.data = b""
                self.listener.handler.client_disconnected(pending)
