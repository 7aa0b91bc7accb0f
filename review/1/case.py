"""A replica streams bytes without end; the router answers nobody meanwhile."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from roll_office import (
    DESK_SERVICE,
    ENGINE_SERVICE,
    draft_headers,
    make_configuration,
    order_repeatedly,
)
from standins import Client, Replica, is_troubled, make_head, run_case

ORDER_TIMEOUT_MS = 1000
# Clients wait longer than the operator's limit, so that they see what comes after it.
ORDER_DEADLINE_MS = 4000
DRAFT_DEADLINE_MS = 8000
ORDER_CLIENTS = 6
DRAFT_CLIENTS = 6
CALM_S = 5.0
TROUBLE_S = 30.0
# An event of the stand-in's stream without its end, a few tokens in each chunk.
TEXT = b"and so on and so on and so on and so on and so on and so on and "
BLOCK = b"".join(b"%x\r\n%b\r\n" % (len(TEXT), TEXT) for _ in range(500))


class EndlessReplica(Replica):
    """A replica that, once in trouble, writes text without end and without events."""

    is_in_trouble = False

    async def stream(self, request, writer):
        """Write events, or bytes until the caller closes."""
        if not self.is_in_trouble:
            await super().stream(request, writer)
            return
        self.record.note(f"{self.replica_id} begins to write without end")
        headers = [
            *self.make_headers(request),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        writer.write(make_head(200, headers) + b"6\r\ndata: \r\n")
        written = 0
        try:
            while True:
                writer.write(BLOCK)
                await writer.drain()
                written += len(BLOCK)
                await asyncio.sleep(0)
        finally:
            self.record.note(f"its connection was closed after {written} bytes")


async def draft_repeatedly(address, subject, until_s, record):
    """Ask for drafts one after the other."""
    client = Client(address)
    while time.monotonic() < until_s:
        answer = await client.call(
            "/drafts/1", DRAFT_DEADLINE_MS, draft_headers(subject), b"{}"
        )
        if answer.status != 200 or not answer.is_complete:
            record.note(
                f"draft {answer.attempt_id}: {answer.status} {answer.error}"
                f" after {answer.taken_s:.2f} s"
            )
        await asyncio.sleep(0.3)
    client.close()


async def watch_readiness(router, until_s, record):
    """Ask once a second whether the router is ready, as the platform does."""
    while time.monotonic() < until_s:
        if not await router.is_ready():
            record.note("GET /ready: no 200 within a second")
        await asyncio.sleep(1.0)


async def play(deployment):
    """Play the case; return whether the rule held."""
    record = deployment.record
    troubled = EndlessReplica("i-e1", ENGINE_SERVICE, record)
    replicas = [
        troubled,
        Replica("i-e2", ENGINE_SERVICE, record),
        Replica("i-d1", DESK_SERVICE, record, slots=6, work_s=0.05),
        Replica("i-d2", DESK_SERVICE, record, slots=6, work_s=0.05),
    ]
    await deployment.start(make_configuration(7, ORDER_TIMEOUT_MS), replicas)
    router = deployment.routers[0]
    end_s = time.monotonic() + CALM_S + TROUBLE_S
    orders = []
    tasks = [
        asyncio.create_task(
            order_repeatedly(router.address, end_s, ORDER_DEADLINE_MS, orders)
        )
        for _ in range(ORDER_CLIENTS)
    ]
    tasks += [
        asyncio.create_task(draft_repeatedly(router.address, subject, end_s, record))
        for subject in range(DRAFT_CLIENTS)
    ]
    tasks.append(asyncio.create_task(watch_readiness(router, end_s, record)))
    await asyncio.sleep(CALM_S)
    troubled.is_in_trouble = is_troubled()
    await asyncio.gather(*tasks)
    limit_s = ORDER_TIMEOUT_MS / 1000
    open_at_limit = [each for each in orders if each.taken_s > limit_s]
    open_later = [each for each in open_at_limit if each.taken_s > limit_s + 0.5]
    for each in open_later:
        record.note(
            f"order {each.attempt_id}: status {each.status} {each.error}"
            f" after {each.taken_s:.2f} s"
        )
    record.note(
        f"{len(orders)} orders; {len(open_at_limit)} unanswered at timeoutMs"
        f" ({ORDER_TIMEOUT_MS}), {len(open_later)} still half a second later"
    )
    return not open_later or 2 * len(open_later) <= len(open_at_limit)


if __name__ == "__main__":
    run_case(play, Path(__file__).parent)
