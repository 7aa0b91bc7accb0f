"""Record a print order, then send the same order again with the same key."""

import asyncio
import secrets
import sys
import time
import uuid

import aiohttp

KEY = "Bearer test-key-cankaya-clerks"
ORDER = {"document": "summons notices of ward seven", "copies": 40}


def make_idempotency_key() -> str:
    """Return a version 7 UUID of the present time."""
    number = int(time.time() * 1000) << 80 | secrets.randbits(80)
    number = number & ~(0xF << 76) | 0x7 << 76
    number = number & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=number))


async def main(address: str) -> None:
    """Send the order twice to the router at `address`."""
    headers = {"Authorization": KEY, "Idempotency-Key": make_idempotency_key()}
    url = f"http://{address}/services/print-orders"
    async with aiohttp.ClientSession(headers=headers) as session:
        for _ in range(2):
            async with session.post(url, json=ORDER) as response:
                replayed = response.headers.get("Idempotency-Replayed", "false")
                print(response.status, await response.json(), f"replayed: {replayed}")


asyncio.run(main(sys.argv[1]))
