"""Send a print order without a key and read why it is refused."""

import asyncio
import sys

import aiohttp

KEY = "Bearer test-key-cankaya-clerks"


async def main(address: str) -> None:
    """Send the order to the router at `address`."""
    headers = {"Authorization": KEY}
    url = f"http://{address}/services/print-orders"
    async with aiohttp.ClientSession(headers=headers) as session:
        async with session.post(url, data=b"120 copies") as response:
            problem = await response.json(content_type="application/problem+json")
    print(problem["status"], problem["title"])
    print("kind:", problem["type"].rpartition(":")[2])
    # not_run: sending it again cannot make it run twice.
    print("outcome:", problem["outcome"])
    print("retry after:", problem.get("retry_after_s", "never, as it is"))


asyncio.run(main(sys.argv[1]))
