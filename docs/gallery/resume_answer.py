"""Lose the connection after five events, then fetch the rest by Last-Event-ID."""

import asyncio
import json
import sys

import aiohttp

KEY = "Bearer test-key-cankaya-clerks"
CHAT = {
    "model": "roll-writer-large",
    "messages": [{"role": "user", "content": "Draft a summons notice."}],
    "max_tokens": 24,
    "stream": True,
}
EVENTS_BEFORE_LOSS = 5


async def read_answer(
    response: aiohttp.ClientResponse, longest: int
) -> tuple[list[str], str, bool]:
    """Return the words, the id of the last event, and whether the end was marked."""
    words: list[str] = []
    event_id = ""
    async for line in response.content:
        if line.startswith(b"id: "):
            event_id = line[4:].decode().strip()
        elif line.startswith(b"data: [DONE]"):
            return words, event_id, True
        elif line.startswith(b"data: {"):
            words.append(json.loads(line[6:])["choices"][0]["delta"]["content"])
            if len(words) == longest:
                break
    return words, event_id, False


async def main(first_address: str, second_address: str) -> None:
    """Start at one router and go on at another, which may be the same."""
    path = "/v1/chat/completions"
    headers = {"Authorization": KEY}
    async with aiohttp.ClientSession(headers=headers) as session:
        async with session.post(f"http://{first_address}{path}", json=CHAT) as response:
            response.raise_for_status()
            begun, last_id, _ = await read_answer(response, EVENTS_BEFORE_LOSS)
            response.close()
        print(f"Connection lost after event {last_id}.")
        resumed = {"Last-Event-ID": last_id}
        async with session.get(
            f"http://{second_address}{path}", headers=resumed
        ) as response:
            response.raise_for_status()
            rest, _, is_whole = await read_answer(response, CHAT["max_tokens"] + 1)
    print("".join(begun), "| ", "".join(rest), sep="")
    print(f"{len(begun)} + {len(rest)} events, {'whole' if is_whole else 'broken'}.")


asyncio.run(main(sys.argv[1], sys.argv[-1]))
