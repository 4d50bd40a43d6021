"""Backend health shared between gateways, so that few of them probe a backend that is down.

If hundreds of gateways had to detect a dead backend independently, each of them would send failing
requests to it and keep retrying. Instead, only the probers of a backend that is considered down
send requests to it. Rendezvous hashing (Thaler and Ravishankar, 1996) chooses the probers, so that
their number does not grow with the fleet.

Trust is bounded: one observer cannot eject a backend, and one that received a later response
outweighs all others. Without fresh observations, each gateway relies on its own.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from heapq import nlargest
from math import inf
from typing import Final, Protocol

import msgspec

from ingress.fleet_shedding.reports import Received, Report, decode, is_amount, is_name
from ingress.membership.messages import MAX_NAME_LENGTH

QUORUM: Final = 2  # observers; a single one may be wrong or unhealthy itself
PROBERS_PER_ZONE: Final = 2  # gateways that keep sending requests to a backend that is down
MAX_AGE_S: Final = 15.0  # exceeds the policy's longest delay before a prober retries
MAX_BACKENDS: Final = 2000  # backends with observations
MAX_OBSERVERS: Final = 32  # per backend; a new observer replaces the oldest observation
MAX_OBSERVATIONS_SENT: Final = 10  # per message, in addition to the load reports
MAX_DOWN_SHARE: Final = (
    0.5  # of the backends; a gateway that finds more of them down is unhealthy itself
)
MAX_TRUSTED_LOCAL_HEALTH: Final = 1  # worst local health at which a gateway reports failures


class ObservedBackend(Protocol):
    """The part of the policy's state of a backend that this module reads. Times are in seconds."""

    consecutive_failures: int
    unreachable: bool
    last_response_at: float


class HealthObservation(Report, array_like=True, frozen=True, tag="look"):
    """One gateway's observation of one backend, made `age_s` seconds before it was sent."""

    zone: str
    backend: str
    is_down: bool
    age_s: float

    def is_valid(self) -> bool:
        """Returns whether all fields are in range."""
        return (
            self.has_valid_origin()
            and is_name(self.backend)
            and len(self.zone) <= MAX_NAME_LENGTH
            and is_amount(self.age_s, inf)
        )


@dataclass(slots=True)
class HealthCounts:
    """Counts since the start.

    Attributes:
        own_changes: Changes to this gateway's own observations.
        accepted: Observations of other gateways that were newer than the known ones.
        rejected: Observations rejected because MAX_BACKENDS was reached.
        ejections: Backends ejected because of the observations of the fleet.
        prober_selections: Backends, summed over all ticks, of which this gateway was a prober.
    """

    own_changes: int = 0
    accepted: int = 0
    rejected: int = 0
    ejections: int = 0
    prober_selections: int = 0


_decoder: msgspec.msgpack.Decoder[HealthObservation] = msgspec.msgpack.Decoder(HealthObservation)


def decode_observation(payload: bytes) -> HealthObservation | None:
    """Returns the observation in a payload, or None if there is none or a field is out of range."""
    observation = decode(_decoder, payload)
    return observation if observation is not None and observation.is_valid() else None


def choose_probers(backend: str, names: Iterable[str]) -> list[str]:
    """Returns the probers of a backend among `names`, whose order does not matter."""
    return nlargest(
        PROBERS_PER_ZONE,
        names,
        key=lambda name: blake2b(f"{backend}\0{name}".encode(), digest_size=8).digest(),
    )


class HealthGossip:
    """The newest observation of each backend by each gateway, including this one.

    Attributes:
        observations: The observations by backend and origin.
        last_failures: The consecutive failures of each backend at the last `observe_backends`.
        ejected: The backends that this gateway currently avoids.
    """

    def __init__(self, origin: str, zone: str, incarnation: int) -> None:
        self.origin = origin
        self.zone = zone
        self.incarnation = incarnation
        self.sequence_number = 0
        self.observations: dict[str, dict[str, Received[HealthObservation]]] = {}
        self.last_failures: dict[str, int] = {}
        self.ejected: set[str] = set()
        self.counts = HealthCounts()

    # Own observations

    def observe_backends(
        self,
        now: float,
        backends: Mapping[str, ObservedBackend],
        ejection_threshold: int,
        local_health: int,
    ) -> None:
        """Records this gateway's own observations from the policy's state of the backends.

        A backend is down if it is unreachable or after `ejection_threshold` consecutive failures.
        In poor local health, or with too many backends down, no new failure is recorded, since the
        cause is likely this gateway itself.
        """
        self._remove_unlisted(backends)
        down = {
            name
            for name, backend in backends.items()
            if backend.unreachable or backend.consecutive_failures >= ejection_threshold
        }
        is_trusted = local_health <= MAX_TRUSTED_LOCAL_HEALTH and len(down) <= max(
            1.0, MAX_DOWN_SHARE * len(backends)
        )
        for name, backend in backends.items():
            failed_again = backend.consecutive_failures > self.last_failures.get(name, 0)
            self.last_failures[name] = backend.consecutive_failures
            if is_trusted and failed_again and name in down:
                self._record_own(now, name, True)
            elif not backend.consecutive_failures and self._is_refuted(name, backend):
                self._record_own(backend.last_response_at, name, False)

    def _remove_unlisted(self, backends: Mapping[str, ObservedBackend]) -> None:
        for name in [name for name in self.last_failures if name not in backends]:
            del self.last_failures[name]
            self.observations.pop(name, None)

    def _is_refuted(self, name: str, backend: ObservedBackend) -> bool:
        """Returns whether a response refutes a failure and this is not recorded yet."""
        by_origin = self.observations.get(name, {})
        own = by_origin.get(self.origin)
        if own is not None and not own.report.is_down:
            return False
        return any(
            received.report.is_down and received.made_at < backend.last_response_at
            for received in by_origin.values()
        )

    def _record_own(self, made_at: float, backend: str, is_down: bool) -> None:
        if self._is_full_for(backend):
            return
        self.sequence_number += 1
        self.counts.own_changes += 1
        observation = HealthObservation(
            self.origin,
            self.incarnation,
            self.sequence_number,
            self.zone,
            backend,
            is_down,
            0.0,
        )
        by_origin = self.observations.setdefault(backend, {})
        by_origin[self.origin] = Received(observation, made_at)

    def _is_full_for(self, backend: str) -> bool:
        return backend not in self.observations and len(self.observations) >= MAX_BACKENDS

    # Observations of other gateways

    def merge(self, now: float, observation: HealthObservation) -> None:
        """Merges another gateway's observation, which may arrive repeatedly and in any order."""
        if observation.origin == self.origin or observation.age_s > MAX_AGE_S:
            return
        if self._is_full_for(observation.backend):
            self.counts.rejected += 1
            return
        by_origin = self.observations.setdefault(observation.backend, {})
        received = by_origin.get(observation.origin)
        if received is not None and not observation.is_newer_than(received.report):
            return
        if received is None and len(by_origin) >= MAX_OBSERVERS:
            del by_origin[min(by_origin, key=lambda origin: by_origin[origin].made_at)]
        by_origin[observation.origin] = Received(observation, now - observation.age_s)
        self.counts.accepted += 1

    def encode_newest(self, now: float) -> list[bytes]:
        """Returns the newest observations, encoded to be sent."""
        self._remove_expired(now)
        all_received = [
            received for by_origin in self.observations.values() for received in by_origin.values()
        ]
        newest = nlargest(
            MAX_OBSERVATIONS_SENT, all_received, key=lambda received: received.made_at
        )
        return [received.encode(now) for received in newest]

    def _remove_expired(self, now: float) -> None:
        for backend, by_origin in list(self.observations.items()):
            fresh = {
                origin: received
                for origin, received in by_origin.items()
                if now - received.made_at <= MAX_AGE_S
            }
            if fresh:
                self.observations[backend] = fresh
            else:
                del self.observations[backend]

    # Ejections

    def update_ejected(
        self,
        now: float,
        alive: Collection[str],
        backends: Collection[str],
        zones: Mapping[str, str],
    ) -> tuple[str, ...]:
        """Returns the names of the backends that this gateway must avoid, sorted.

        Args:
            now: The current time in seconds.
            alive: Names of the other members that are reachable.
            backends: Names of the backends in the endpoint list.
            zones: Zones by member, as far as they are known.
        """
        down = {
            name
            for name in self.observations
            if name in backends and self.is_down(now, name, alive)
        }
        probed: set[str] = set()
        if down:
            own_zone = [self.origin, *(name for name in alive if zones.get(name) == self.zone)]
            probed = {name for name in down if self.origin in choose_probers(name, own_zone)}
        avoided = down - probed
        self.counts.prober_selections += len(probed)
        self.counts.ejections += len(avoided - self.ejected)
        self.ejected = avoided
        return tuple(sorted(avoided))

    def is_down(self, now: float, backend: str, alive: Collection[str]) -> bool:
        """Returns whether enough reachable gateways found it down after its last known response.

        Observations from this gateway's zone take precedence, because a network path may be broken
        for one zone only. Observations of unreachable members are ignored.
        """
        fresh = [
            received
            for origin, received in self.observations[backend].items()
            if now - received.made_at <= MAX_AGE_S and (origin == self.origin or origin in alive)
        ]
        own_zone = [entry for entry in fresh if entry.report.zone == self.zone]
        counted = own_zone or fresh
        responded_at = max(
            (entry.made_at for entry in counted if not entry.report.is_down), default=0.0
        )
        observers = sum(entry.report.is_down and entry.made_at > responded_at for entry in counted)
        return observers >= QUORUM
