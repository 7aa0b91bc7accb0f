"""Return to a chat: its history is served from the engine's cache."""

import asyncio
import sys

import aiohttp

KEY = "Bearer test-key-cankaya-clerks"
QUESTIONS = [
    "List the streets of ward seven.",
    "Now those of ward eight.",
    "Which of them have an odd number of houses?",
]


async def main(address: str) -> None:
    """Hold a chat of three turns through the router at `address`."""
    messages: list[dict[str, str]] = []
    url = f"http://{address}/v1/chat/completions"
    async with aiohttp.ClientSession(headers={"Authorization": KEY}) as session:
        for question in QUESTIONS:
            messages.append({"role": "user", "content": question})
            chat = {"model": "roll-writer-large", "messages": messages}
            async with session.post(url, json=chat | {"max_tokens": 32}) as response:
                response.raise_for_status()
                answer = await response.json()
            messages.append(answer["choices"][0]["message"])
            usage = answer["usage"]
            cached = usage["prompt_tokens_details"]["cached_tokens"]
            print(f"{cached} of {usage['prompt_tokens']} prompt tokens were cached")


asyncio.run(main(sys.argv[1]))
