"""Resident memory of an open connection between two processes."""

import gc
import statistics
from dataclasses import dataclass

from bilberryspring.connection.peers import PeerPool, make_peer_pool, make_peer_server
from bilberryspring.load.slopes import Slope
from bilberryspring.process.accounting import Ledger, make_ledger
from bilberryspring.process.budget import read_resident_bytes
from bilberryspring.process.settings import ProcessSettings
from bilberryspring.standin.addresses import make_address_block

__all__ = ["measure_connections"]

CONNECTION_COUNTS = (100, 200, 400, 800)
PORT = 7000


@dataclass(frozen=True, slots=True)
class _ProcessStub:
    ledger: Ledger


def _make_settings(instance_id: str) -> ProcessSettings:
    return ProcessSettings(
        instance_id=instance_id,
        availability_zone="z1",
        region="r1",
        fleet_secret="secret-of-the-measurement",
        key_value_addresses=["127.0.0.1:1"],
        instance_list_address="127.0.0.1:1",
    )


async def measure_connections() -> Slope:
    """Measure the resident memory of idle connections with both ends in this process.

    :returns: resident bytes by number of connections; an end costs half of an item.
    """
    block = make_address_block()
    address = f"{block.take_host()}:{PORT}"
    process = _ProcessStub(make_ledger())
    server = make_peer_server(_make_settings("agent-1"), address, process, None)
    await server.start()
    pools: list[PeerPool] = []
    points: list[tuple[int, float]] = []
    try:
        await _connect(pools, process, address, CONNECTION_COUNTS[0])
        before_bytes = _read_resident_bytes_after_gc()
        for size in CONNECTION_COUNTS:
            await _connect(pools, process, address, CONNECTION_COUNTS[0] + size)
            points.append((size, float(_read_resident_bytes_after_gc() - before_bytes)))
    finally:
        for pool in pools:
            await pool.close()
        await server.close()
        block.close()
    line = statistics.linear_regression(*zip(*points, strict=True))
    return Slope(
        "connection, both ends",
        "connection",
        "bytes",
        tuple(points),
        line.slope,
        line.intercept,
    )


async def _connect(
    pools: list[PeerPool], process: _ProcessStub, address: str, count: int
) -> None:
    while len(pools) < count:
        settings = _make_settings(f"router-{len(pools)}")
        pool = make_peer_pool(settings, process, None)
        link = await pool.connect(address)
        assert not link.is_closed
        pools.append(pool)


def _read_resident_bytes_after_gc() -> int:
    gc.collect()
    return read_resident_bytes()
