"""Slope cases of the load exchange."""

from collections.abc import Callable

from bilberryspring.connection.load_messages import (
    LoadMessage,
    LoadSample,
    WorkspaceUsage,
    decode_load_message,
    encode_load_message,
    hash_name,
)
from bilberryspring.connection.peers import make_peer_pool
from bilberryspring.identifiers import ConfigVersion, InstanceId, PoolName
from bilberryspring.load.slope_cases import (
    NODE_COUNTS,
    build_members,
    make_instance_list_document,
    make_large_configuration,
)
from bilberryspring.load.slopes import register_cpu_case, register_memory_case
from bilberryspring.process.accounting import make_ledger
from bilberryspring.process.exchange import LoadExchange, make_exchange
from bilberryspring.process.settings import ProcessSettings
from bilberryspring.version.holder import ConfigurationHolder, make_holder

__all__ = ["make_load_message"]

POOL_NAME = PoolName("model-0")
KNOWN_SAMPLE_COUNT = 64
SAMPLES_PER_MESSAGE = 7
USAGE_ENTRIES_PER_MESSAGE = 4


class _NullFollower:
    def __init__(self, holder: ConfigurationHolder) -> None:
        self.holder = holder

    def learn_version(self, version: int, from_instance: str) -> None:
        """Ignore the version."""


def _make_settings() -> ProcessSettings:
    return ProcessSettings(
        instance_id="agent-00000",
        availability_zone="z1",
        region="r1",
        fleet_secret="secret-of-the-measurement",
        key_value_addresses=["127.0.0.1:1"],
        instance_list_address="127.0.0.1:1",
    )


def make_load_message(samples: int, first_index: int = 0) -> LoadMessage:
    """Return a load message with the maximum number of workspace usage entries.

    :param samples: number of load samples; seven in the largest message of an agent.
    :param first_index: position in the pool of the first instance with a sample.
    """
    listed = [
        e
        for e in make_instance_list_document(2000)["instances"]
        if e["pool"] == POOL_NAME
    ]
    names = [str(entry["instance_id"]) for entry in listed]
    return LoadMessage(
        hash_name(POOL_NAME),
        ConfigVersion(7),
        tuple(
            LoadSample(hash_name(names[first_index + i]), 1234.5, 400.0, 120)
            for i in range(samples)
        ),
        tuple(
            WorkspaceUsage(hash_name(f"w{i}"), 80.0)
            for i in range(USAGE_ENTRIES_PER_MESSAGE)
        ),
    )


def _make_filled_exchange(nodes: int) -> LoadExchange:
    settings = _make_settings()
    holder, ledger = make_holder(), make_ledger()
    holder.adopt(1, make_large_configuration(425))
    exchange = make_exchange(
        settings,
        POOL_NAME,
        build_members(nodes),
        make_peer_pool(settings, None, None),
        _NullFollower(holder),
        ledger,
    )
    for first in range(1, min(KNOWN_SAMPLE_COUNT, nodes // 5), SAMPLES_PER_MESSAGE):
        payload = encode_load_message(make_load_message(SAMPLES_PER_MESSAGE, first))
        exchange.handle_call(payload, InstanceId(f"agent-{first:05d}"))
    return exchange


@register_memory_case("load table and exchange", "node", NODE_COUNTS)
def build_exchange(size: int) -> LoadExchange:
    """Build a load exchange with a filled load table and the membership table."""
    exchange = _make_filled_exchange(size)
    exchange.loads(POOL_NAME)
    return exchange


@register_cpu_case("encode and decode an exchange reply", "", (1,))
def prepare_message_codec(size: int) -> Callable[[], object]:
    """Prepare the encoding and decoding of the largest usual message."""
    message = make_load_message(SAMPLES_PER_MESSAGE)
    return lambda: decode_load_message(encode_load_message(message))


@register_cpu_case("answer an exchange", "node", NODE_COUNTS)
def prepare_exchange_handling(size: int) -> Callable[[], object]:
    """Prepare the handling of an exchange call at an agent."""
    exchange = _make_filled_exchange(size)
    payload = encode_load_message(make_load_message(1))
    return lambda: exchange.handle_call(payload, InstanceId("agent-00000"))


@register_cpu_case("list the known loads of a pool", "node", NODE_COUNTS)
def prepare_load_listing(size: int) -> Callable[[], object]:
    """Prepare the load lookup that a router does for each request."""
    exchange = _make_filled_exchange(size)
    return lambda: exchange.loads(POOL_NAME)


@register_cpu_case("estimate the mean load", "node", NODE_COUNTS)
def prepare_mean_estimate(size: int) -> Callable[[], object]:
    """Prepare the mean load estimate that an agent makes for each admission."""
    exchange = _make_filled_exchange(size)
    return exchange.mean_load
