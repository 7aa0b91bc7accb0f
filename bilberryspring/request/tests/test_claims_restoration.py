"""Claims while the key-value service is restored from a copy."""

from bilberryspring.process.accounting import ControlMechanism
from bilberryspring.request.claims import Claim
from bilberryspring.request.tests.test_claims import (
    claim,
    harness,
    make_request,
    wait_for_final_writes,
)

__all__ = ["harness"]

CLAIMS = ControlMechanism.CLAIMS


async def test_claim_of_a_reused_revision_is_not_overwritten(harness):
    first = await harness.open_store("agent-1")
    second = await harness.open_store("agent-2")
    other = await harness.open_store("agent-3")
    request = make_request()
    harness.standin.make_copy()
    await first.release(await claim(first, request))
    await wait_for_final_writes(first)
    released_revision = harness.standin.store.revision
    submit = second._submit
    others_claims = []

    async def restore_before_the_second_try(transaction):
        if not others_claims and transaction.compares[0].operand:
            harness.standin.restore()
            client = harness.opened[1]
            while harness.standin.store.revision < released_revision - 1:
                await client.put("/filler", b"", mechanism=CLAIMS)
            others_claims.append(await claim(other, request))
            assert harness.standin.store.revision == released_revision
        return await submit(transaction)

    second._submit = restore_before_the_second_try
    result = await claim(second, request)
    assert others_claims
    assert not (isinstance(result, Claim) and isinstance(others_claims[0], Claim))
