"""Publication of configuration versions to the key-value service.

Guards against two publications with one version, and against one that takes effect
twice or whose failure is reported wrongly when a response is lost.
"""

import asyncio

import pytest

from bilberryspring.process.accounting import ControlMechanism
from bilberryspring.request.errors import ErrorKind, Failure, Outcome
from bilberryspring.standin.configurations import (
    TARGET_WORKSPACE_COUNT,
    make_configuration,
)
from bilberryspring.version import publish as publishing
from bilberryspring.version.delta import (
    apply_delta,
    decode_delta,
    digest_configuration,
)
from bilberryspring.version.publish import (
    Publication,
    PublishConflict,
    list_changes,
    make_token,
    publish_configuration,
    read_change,
    read_head,
    read_version,
)
from bilberryspring.version.record import (
    MAX_RECORD_BYTES,
    change_key,
    decompress_configuration,
    encode_version_record,
    version_key,
)
from bilberryspring.version.tests.key_value_fixture import open_key_value

CHANGES_A_DAY = 2_600
SECONDS_A_DAY = 86_400


async def publish(key_value, base, configuration, operator="ayse", token="", **options):
    return await publish_configuration(
        key_value, base, configuration, operator, token or make_token(), **options
    )


async def set_faults(control, **faults):
    response = await control.post("/standin/faults", json=faults)
    assert response.status == 200


async def test_versions_are_consecutive_and_can_be_read_back_in_full():
    async with open_key_value() as (key_value, _):
        for version in (1, 2):
            configuration = make_configuration(weight=version)
            publication = await publish(key_value, version - 1, configuration)
            assert publication.version == version
        head = await read_head(key_value)
        record = await read_version(key_value, head.version)
        stored = decompress_configuration(record.document)
        assert digest_configuration(stored) == head.digest == record.digest
        assert (await list_changes(key_value, 3, 9))[0].counts["workspaces"].changed


async def test_of_concurrent_publications_one_is_accepted_and_the_others_conflict():
    async with open_key_value() as (key_value, _):
        operators = [f"operator-{number}" for number in range(8)]
        results = await asyncio.gather(
            *(
                publish(key_value, 0, make_configuration(seed=number), operator)
                for number, operator in enumerate(operators)
            )
        )
        accepted = [item for item in results if isinstance(item, Publication)]
        conflicts = [item for item in results if isinstance(item, PublishConflict)]
        assert (len(accepted), len(conflicts)) == (1, 7)
        assert {item.version for item in conflicts} == {1}
        assert {item.operator for item in conflicts} == {accepted[0].change.operator}
        head = await read_head(key_value)
        assert head.digest == accepted[0].change.digest


@pytest.mark.parametrize("fault", ["lose_replies", "hang_replies"])
async def test_a_publication_with_a_lost_response_is_accepted_once(fault):
    async with open_key_value(timeout_s=0.5) as (key_value, control):
        await set_faults(control, **{fault: 1})
        publication = await publish(key_value, 0, make_configuration())
        assert isinstance(publication, Publication)
        assert (await read_head(key_value)).version == 1
        assert await read_version(key_value, 2) is None


async def test_a_lost_response_during_an_outage_is_unknown_until_it_is_retried():
    async with open_key_value(timeout_s=0.5) as (key_value, control):
        token, configuration = make_token(), make_configuration()
        await set_faults(control, lose_replies=1000)
        failure = await publish(
            key_value, 0, configuration, token=token, confirm_timeout_s=0
        )
        assert isinstance(failure, Failure)
        assert failure.outcome is Outcome.UNKNOWN
        await set_faults(control)
        retried = await publish(key_value, 0, configuration, token=token)
        assert isinstance(retried, Publication) and retried.version == 1
        other = await publish(key_value, 0, configuration)
        assert isinstance(other, PublishConflict)


async def test_a_publication_during_an_outage_fails_and_changes_nothing():
    async with open_key_value(timeout_s=0.5) as (key_value, control):
        await publish(key_value, 0, make_configuration())
        await set_faults(control, unavailable=True)
        failure = await publish(key_value, 1, make_configuration(weight=2))
        assert failure.kind is ErrorKind.PLATFORM_UNAVAILABLE
        await set_faults(control)
        assert (await read_head(key_value)).version == 1


async def test_the_number_of_stored_versions_and_changes_is_limited(monkeypatch):
    monkeypatch.setattr(publishing, "MAX_STORED_DOCUMENTS", 3)
    monkeypatch.setattr(publishing, "MAX_STORED_CHANGES", 5)
    monkeypatch.setattr(publishing, "PAGE_DIGITS", 1)
    async with open_key_value() as (key_value, _):
        for base in range(13):
            await publish(key_value, base, make_configuration(weight=base + 1))
        stored = await key_value.get_prefix(
            version_key(0)[:-12], mechanism=ControlMechanism.CONFIGURATION
        )
        assert [item.key for item in stored.items] == [
            version_key(n) for n in (11, 12, 13)
        ]
        versions = [change.version for change in await list_changes(key_value, 14, 99)]
        assert versions == [13, 12, 11, 10, 9]
        older = await list_changes(key_value, 12, 2)
        assert [change.version for change in older] == [11, 10]
        assert await read_change(key_value, 8) is None


async def test_the_delta_traffic_of_a_day_at_target_size_is_below_100_bytes_per_s():
    async with open_key_value() as (key_value, _):
        base = make_configuration(TARGET_WORKSPACE_COUNT)
        await publish(key_value, 0, base)
        changed = make_configuration(TARGET_WORKSPACE_COUNT, weight=9)
        await publish(key_value, 1, changed)
        record = await read_version(key_value, 2)
        assert len(encode_version_record(record)) < MAX_RECORD_BYTES
        change = await read_change(key_value, 2)
        result = apply_delta(
            base, digest_configuration(base), decode_delta(change.delta)
        )
        assert digest_configuration(result) == digest_configuration(changed)
        daily_bytes = len(change.delta) * CHANGES_A_DAY
        assert 0 < daily_bytes / SECONDS_A_DAY < 100


async def test_a_delta_is_refused_on_a_different_base_and_when_corrupt():
    async with open_key_value() as (key_value, _):
        base, changed = make_configuration(), make_configuration(weight=9)
        await publish(key_value, 0, base)
        await publish(key_value, 1, changed)
        raw = (await read_change(key_value, 2)).delta
        delta = decode_delta(raw)
        digest = digest_configuration(base)
        other = make_configuration(weight=4)
        refused = apply_delta(other, digest_configuration(other), delta)
        assert isinstance(refused, Failure)
        corrupt = decode_delta(raw.replace(b"9.0", b"8.0"))
        assert isinstance(apply_delta(base, digest, corrupt), Failure)
        assert isinstance(decode_delta(raw[:-5]), Failure)
        assert change_key(2) != change_key(1)
