"""Load generator client that sends the requests of a plan and records the responses."""

import asyncio
import random
import time
import uuid
from collections.abc import Sequence
from dataclasses import dataclass, field

import aiohttp

from bilberryspring.identifiers import digest_content
from bilberryspring.load.records import CallOutcome, CallRecord
from bilberryspring.load.request_plans import (
    PlannedCall,
    PlannedChat,
    PlannedTurn,
    RequestPlan,
)
from bilberryspring.load.response_streams import read_streamed_response
from bilberryspring.load.workload_mixes import make_workspace_key
from bilberryspring.request.errors import PROBLEM_TYPE_PREFIX

__all__ = ["LoadClient", "draw_idempotency_key", "run_plan"]

REQUEST_TIMEOUT_S = 90.0
MAX_ATTEMPTS = 3
NOT_RUN_OUTCOME = "not_run"
REQUEST_ID_HEADER = "X-Request-Id"


def draw_idempotency_key(unix_s: float, generator: random.Random) -> str:
    """Return a version 7 UUID with the given time.

    :param unix_s: Unix time in seconds.
    :param generator: random number generator for the remaining bits.

    >>> draw_idempotency_key(1_700_000_000, random.Random(1))[:15]
    '018bcfe5-6800-7'
    """
    time_bits = int(unix_s * 1000) << 80
    version_bits = 0x7 << 76
    variant_bits = 0x2 << 62
    random_bits = generator.getrandbits(12) << 64 | generator.getrandbits(62)
    return str(uuid.UUID(int=time_bits | version_bits | variant_bits | random_bits))


@dataclass(slots=True)
class LoadClient:
    """Client that sends all requests of one run.

    :param session: HTTP client session.
    :param routers: addresses of the routers; each attempt chooses one at random.
    :param model: model that chats request.
    :param follows_retry_after: whether a rejected request is retried after the delay of
        the ``Retry-After`` header.
    :param generator: random number generator for routers and idempotency keys.
    :param started_s: start of the run on the monotonic clock, in seconds.
    :param records: one record for each request, in the order of completion.
    """

    session: aiohttp.ClientSession
    routers: Sequence[str]
    model: str
    follows_retry_after: bool
    generator: random.Random
    started_s: float = 0.0
    records: list[CallRecord] = field(default_factory=list)

    def now_s(self) -> float:
        """Return the time since the start of the run, in seconds."""
        return time.monotonic() - self.started_s

    def choose_router(self) -> str:
        """Return the base URL of a random router, as a load balancer chooses one."""
        return f"http://{self.generator.choice(self.routers)}"

    async def wait_until(self, at_s: float) -> None:
        """Sleep until a time, given in seconds from the start of the run."""
        delay_s = at_s - self.now_s()
        if delay_s > 0:
            await asyncio.sleep(delay_s)


async def run_plan(
    plan: RequestPlan,
    routers: Sequence[str],
    model: str,
    *,
    seed: int = 0,
    follows_retry_after: bool = False,
) -> list[CallRecord]:
    """Send every request of a plan at its intended time and wait for the responses.

    :param plan: requests to send.
    :param routers: addresses of the routers, ``ip:port``.
    :param model: model that chats request.
    :param seed: seed for the choice of routers and idempotency keys.
    :param follows_retry_after: whether a rejected request is retried after the delay of
        the ``Retry-After`` header.
    :returns: one record for each request, in the order of completion.
    """
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        client = LoadClient(
            session, routers, model, follows_retry_after, random.Random(seed)
        )
        client.started_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for chat in plan.chats:
                group.create_task(_run_chat(client, chat))
            for call in plan.calls:
                group.create_task(_run_call(client, call))
    return client.records


def _make_message_text(name: str, turn: int, tokens: int) -> str:
    generator = random.Random(f"{name}/{turn}")
    return " ".join(f"w{generator.randrange(5000)}" for _ in range(tokens))


async def _run_chat(client: LoadClient, chat: PlannedChat) -> None:
    history: list[dict[str, str]] = []
    reusable_tokens = 0
    for number, turn in enumerate(chat.turns):
        await client.wait_until(turn.at_s)
        message_text = _make_message_text(chat.name, number, turn.message_tokens)
        messages = [*history, {"role": "user", "content": message_text}]
        record = CallRecord(
            name=f"{chat.name}/{number}",
            request_id="",
            workspace=chat.workspace,
            rank=chat.rank,
            route="chat",
            intended_s=turn.at_s,
            reusable_tokens=reusable_tokens,
        )
        response_text = await _send_turn(client, record, messages, turn)
        client.records.append(record)
        if record.outcome is CallOutcome.DONE:
            history = [*messages, {"role": "assistant", "content": response_text}]
            reusable_tokens = record.prompt_tokens


async def _send_turn(
    client: LoadClient,
    record: CallRecord,
    messages: list[dict[str, str]],
    turn: PlannedTurn,
) -> str:
    body = {
        "model": client.model,
        "messages": messages,
        "stream": True,
        "max_tokens": turn.answer_tokens,
    }
    while True:
        headers = _start_attempt(client, record)
        url = client.choose_router() + "/v1/chat/completions"
        response_text = ""
        try:
            async with client.session.post(url, json=body, headers=headers) as response:
                _record_response_head(record, response)
                if response.status == 200:
                    response_text = await _record_stream(client, record, response)
                else:
                    await _record_problem(record, response)
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            _record_client_error(record, error)
        record.finished_s = client.now_s()
        if not await _wait_for_retry(client, record):
            return response_text


def _start_attempt(client: LoadClient, record: CallRecord) -> dict[str, str]:
    record.tries += 1
    record.last_try_at_s = time.monotonic()
    if record.tries == 1:
        record.sent_s = client.now_s()
    name_digest = digest_content(f"{client.started_s}/{record.name}".encode())
    record.request_id = f"{name_digest[:24]}-{record.tries}"
    return {
        "Authorization": f"Bearer {make_workspace_key(record.workspace)}",
        "X-Work-Rank": record.rank,
        REQUEST_ID_HEADER: record.request_id,
    }


def _record_response_head(record: CallRecord, response: aiohttp.ClientResponse) -> None:
    record.status = response.status
    record.request_id = response.headers.get(REQUEST_ID_HEADER, record.request_id)


async def _record_stream(
    client: LoadClient, record: CallRecord, response: aiohttp.ClientResponse
) -> str:
    streamed = await read_streamed_response(response)
    times_s = [time_s - client.started_s for time_s in streamed.token_times_s]
    record.first_token_s = times_s[0] if times_s else 0.0
    record.gaps_s = [
        after - before for before, after in zip(times_s, times_s[1:], strict=False)
    ]
    record.answer_tokens = len(times_s)
    record.prompt_tokens = streamed.prompt_tokens
    record.cached_tokens = streamed.cached_tokens
    if streamed.problem:
        _record_problem_members(record, streamed.problem)
        record.outcome = CallOutcome.FAILED
    else:
        record.outcome = (
            CallOutcome.DONE if streamed.is_whole else CallOutcome.TRUNCATED
        )
    return streamed.text


async def _record_problem(record: CallRecord, response: aiohttp.ClientResponse) -> None:
    try:
        members = await response.json(content_type=None)
    except ValueError:
        members = {}
    _record_problem_members(record, members if isinstance(members, dict) else {})
    retry_after = response.headers.get("Retry-After", "")
    if retry_after and not record.retry_after_s:
        record.retry_after_s = float(retry_after)
    is_refusal = record.stated_outcome == NOT_RUN_OUTCOME
    record.outcome = CallOutcome.REFUSED if is_refusal else CallOutcome.FAILED


def _record_problem_members(record: CallRecord, members: dict[str, object]) -> None:
    record.problem = str(members.get("type", "")).removeprefix(PROBLEM_TYPE_PREFIX)
    record.stated_outcome = str(members.get("outcome", ""))
    record.retry_after_s = float(members.get("retry_after_s", 0.0))


def _record_client_error(record: CallRecord, error: Exception) -> None:
    record.problem = f"client:{type(error).__name__}"
    record.outcome = CallOutcome.FAILED


async def _wait_for_retry(client: LoadClient, record: CallRecord) -> bool:
    if not client.follows_retry_after or record.tries >= MAX_ATTEMPTS:
        return False
    if record.outcome is not CallOutcome.REFUSED or record.retry_after_s <= 0:
        return False
    await asyncio.sleep(record.retry_after_s)
    return True


async def _run_call(client: LoadClient, call: PlannedCall) -> None:
    await client.wait_until(call.at_s)
    record = CallRecord(
        name=call.name,
        request_id="",
        workspace=call.workspace,
        rank=call.workload.rank,
        route=call.workload.route,
        intended_s=call.at_s,
    )
    method = "GET" if call.workload.is_idempotent else "POST"
    key = draw_idempotency_key(time.time(), client.generator)
    while True:
        headers = _start_attempt(client, record)
        if not call.workload.is_idempotent:
            headers["Idempotency-Key"] = key
        url = f"{client.choose_router()}/services/{call.workload.route}/{call.name}"
        try:
            async with client.session.request(method, url, headers=headers) as response:
                _record_response_head(record, response)
                if response.status < 300:
                    await response.read()
                    record.outcome = CallOutcome.DONE
                else:
                    await _record_problem(record, response)
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            _record_client_error(record, error)
        record.finished_s = client.now_s()
        if not await _wait_for_retry(client, record):
            break
    client.records.append(record)
