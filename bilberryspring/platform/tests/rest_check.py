"""What a router still holds once all requests have ended.

Guards against quantities that are raised in one place and lowered in another that may
never run: connections, reservations, waiting requests, held bytes.
"""

import asyncio
import os
import re
import sys
import time

import aiohttp

__all__ = ["SETTLING_S", "find_unrest"]

# Time within which a router that gets no requests lets go of what they held.
SETTLING_S = 3.0
# Gauges that are zero at rest, with all their labels.
RESTING = (
    "requests_in_progress",
    "requests_waiting",
    "reserved_for_requests",
    "received_bytes_held",
)
SAMPLE = re.compile(r"^bilberryspring_(\w+)(\{[^}]*\})? (\S+)$", re.MULTILINE)
ESTABLISHED = "01"
POLL_INTERVAL_S = 0.1


async def find_unrest(router, server_addresses, settling_s=SETTLING_S):
    """Return what is not at rest after the settling time.

    :param router: running router process without requests.
    :param server_addresses: ``ip:port`` of its servers.
    :param settling_s: time in seconds to wait for it.
    :returns: gauges and their values, and counts that differ from the sockets of the
        process; empty if all is at rest.
    """
    end_s = time.monotonic() + settling_s
    while True:
        unrest = await _find_unrest_now(router, server_addresses)
        if not unrest or time.monotonic() > end_s:
            return unrest
        await asyncio.sleep(POLL_INTERVAL_S)


async def _find_unrest_now(router, server_addresses):
    gauges = await _read_gauges(router)
    unrest = [
        f"{name}{labels} {value}"
        for (name, labels), value in gauges.items()
        if name in RESTING and value
    ]
    assert {name for name, _ in gauges} >= {*RESTING}
    sockets = _list_sockets(router.process.pid)
    callers = sum(local == f"{router.ip}:{router.port}" for local, _ in sockets)
    servers = sum(remote in server_addresses for _, remote in sockets)
    for name, count in (
        ("caller_connections", callers),
        ("server_connections", servers),
    ):
        if gauges[name, ""] != count:
            unrest.append(f"{name} {gauges[name, '']}, {count} sockets")
    return unrest


async def _read_gauges(router):
    url = f"http://{router.ip}:{router.ready_port}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        text = await response.text()
    return {
        (name, labels): float(value) for name, labels, value in SAMPLE.findall(text)
    }


def _list_sockets(pid):
    """Return local and remote address of each established connection of a process."""
    inodes = set()
    for descriptor in os.listdir(f"/proc/{pid}/fd"):
        try:
            target = os.readlink(f"/proc/{pid}/fd/{descriptor}")
        except FileNotFoundError:
            continue
        if target.startswith("socket:["):
            inodes.add(target[len("socket:[") : -1])
    sockets = []
    with open("/proc/net/tcp", encoding="ascii") as lines:
        for fields in map(str.split, lines):
            if fields[3] == ESTABLISHED and fields[9] in inodes:
                sockets.append(tuple(map(_decode_address, fields[1:3])))
    return sockets


def _decode_address(text):
    """Return ``ip:port`` of an address as the kernel lists it, in its byte order."""
    ip, port = text.split(":")
    ip_bytes = int(ip, 16).to_bytes(4, sys.byteorder)
    return f"{'.'.join(map(str, ip_bytes))}:{int(port, 16)}"
