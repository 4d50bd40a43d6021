"""A new process at the address of one that has gone is not taken for the old one."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from ingress.membership.member_state import MemberState
from ingress.membership.messages import Message, MessageKind
from ingress.membership.settings import SwimSettings
from ingress.membership.swim import SwimProtocol
from ingress.platform.endpoint_discovery import EndpointList
from ingress.policy.actions import StartAttempt
from ingress.policy.events import Backend, BackendsChanged, EndpointListKind, Outcome, Readiness
from ingress.policy.settings import DeduplicationScope
from tests.conftest import SETTINGS as POLICY_SETTINGS
from tests.conftest import GatewayDriver, keyed_class_with_scope, sends
from tests.peers import Address, Caller, backend, command, config, entry, run, until
from tests.support.applications import ScriptedPolicy, serving, start_attempt
from tests.support.pools import PoolHarness

NEW_STARTED_AT = 1000.0


def as_list(*entries: tuple[Backend, Address]) -> EndpointList:
    return EndpointList(
        2,
        False,
        tuple(listed for listed, _ in entries),
        {listed.id: address for listed, address in entries},
    )


def test_a_removed_backends_work_does_not_go_to_its_successor_at_the_same_address() -> None:
    """Guards against sending the old backend's requests to a new one that has its address."""

    async def body() -> None:
        async with backend() as peer:
            old = entry(peer.address, "old")
            async with serving(config(old)) as (ingress, address):
                policy = ScriptedPolicy(lambda event: start_attempt(event, "old"))
                ingress.exchange.policy = policy
                new = Backend("new", "a", started_at=NEW_STARTED_AT)
                ingress.update_endpoints(EndpointListKind.UPDATE, as_list((new, peer.address)))
                [changed] = policy.events_of(BackendsChanged)
                readiness = {listed.id: listed.readiness for listed in changed.backends}
                assert readiness == {"old": Readiness.REMOVED, "new": Readiness.READY}
                caller = await Caller.connect(address)
                caller.writer.write(command("r1"))
                await until(lambda: ingress.exchange.request_count)
                await until(lambda: not ingress.exchange.attempts)
                assert not peer.commands

    run(body())


def test_an_attempt_does_not_go_to_a_process_that_replaced_its_backend_while_it_waited() -> None:
    """Guards against writing to a new process an attempt that was decided for the old one."""

    async def body() -> None:
        async with backend() as peer:
            pool = PoolHarness(peer.address)
            pool.start()
            await pool.outcome()
            waiting = pool.start()  # for the settle time of the only connection
            assert not waiting.ended
            pool.update((Backend("s0", started_at=NEW_STARTED_AT), peer.address), full=False)
            assert await pool.outcome(2) == (Outcome.CONNECT_FAILED, None)
            starting = pool.start()  # its connection is opened in the next iteration
            pool.update((Backend("s0", started_at=NEW_STARTED_AT + 1), peer.address), full=False)
            assert await pool.outcome(3) == (Outcome.CONNECT_FAILED, None)
            assert starting.ended
            assert len(peer.commands) == 1

    run(body())


def test_a_retry_stays_in_the_group_in_which_the_earlier_attempt_ran() -> None:
    """Guards against a second effect: the backend returned in another group after the attempt."""
    scoped = replace(
        POLICY_SETTINGS,
        classes=(keyed_class_with_scope(DeduplicationScope.CELL),),
    )
    fleet = (Backend("b0", "a", cell=1), Backend("b1", "b", cell=2))
    driver = GatewayDriver(scoped, fleet)
    [first] = sends(driver.receive_request(request_class="order", is_write=True))
    other = 3 - {backend.id: backend.cell for backend in fleet}[first.backend]
    moved = Backend(first.backend, cell=other, started_at=NEW_STARTED_AT)
    driver.at(0.01, BackendsChanged(EndpointListKind.UPDATE, (moved,)))
    actions = driver.end_attempt(first, Outcome.RESET)
    assert not [action for action in actions if isinstance(action, StartAttempt)]


def swim(name: str, port: int) -> SwimProtocol:
    return SwimProtocol(name, ("127.0.0.1", port), 1, (), Random(1), SwimSettings())


def test_another_member_at_the_address_of_a_failed_one_does_not_acknowledge_for_it() -> None:
    """Guards against taking a failed member for alive because its address answers."""
    prober = swim("prober", 1)
    failed = swim("failed", 2)
    newcomer = swim("newcomer", 2)
    update = failed.own_update(MemberState.ALIVE)
    prober.receive(0.0, failed.address, Message(MessageKind.PUSH_STATE, "failed", 0, "", [update]))
    [ping] = [out for out in prober.tick(1.0) if out.message.kind == MessageKind.PING]
    [ack] = newcomer.receive(1.0, ("127.0.0.1", 1), ping.message)
    prober.receive(1.0, ("127.0.0.1", 2), ack.message)
    assert prober.detector.probes
