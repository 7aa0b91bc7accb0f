"""Fleet of processes that the tests start."""

import pytest
from aiohttp import ClientConnectionError

from bilberryspring.standin.fleet import FleetError, make_fleet

CONFIGURATION = {"pools": [{"name": "desk", "kind": "service"}]}


async def test_processes_start_report_and_stop(tmp_path):
    async with make_fleet(tmp_path) as fleet:
        await fleet.start_platform(key_value={"writes_per_s": 100})
        proxy = fleet.start_proxy("proxy", fleet.key_value_address)
        await fleet.wait_ready(proxy)
        assert await fleet.publish(CONFIGURATION) == 1
        assert await fleet.publish(CONFIGURATION) == 2
        calls = await fleet.read_report(fleet.processes["key-value"], "calls")
        assert calls["writes"] > 0
        proxy.freeze()
        proxy.thaw()
        assert await proxy.stop() == 0
        assert "standin_stopped" in proxy.read_log()
        proxy.start()
        await fleet.wait_ready(proxy)
        exit_codes = await fleet.stop_all()
        assert exit_codes == {"key-value": 0, "instances": 0, "proxy": 0}
    assert not any(process.is_running for process in fleet.processes.values())


async def test_failed_start_reports_the_cause(tmp_path):
    async with make_fleet(tmp_path) as fleet:
        process = fleet.start_standin("engine", "engine", {"max_batch": 0})
        with pytest.raises(FleetError, match="max_batch"):
            await fleet.wait_ready(process)


async def test_publishing_an_invalid_document_raises(tmp_path):
    async with make_fleet(tmp_path) as fleet:
        await fleet.start_platform()
        with pytest.raises(FleetError, match="the document is invalid"):
            await fleet.publish({"pools": [{"name": ""}]})


async def test_journal_survives_a_crash_of_the_engine(tmp_path):
    async with make_fleet(tmp_path) as fleet:
        path = str(tmp_path / "journal")
        engine = fleet.start_standin("engine", "engine", {"journal_path": path})
        await fleet.wait_ready(engine)
        message = {"role": "user", "content": "!crash!"}
        body = {"model": "model", "messages": [message]}
        url = f"http://{engine.settings['address']}/v1/chat/completions"
        with pytest.raises(ClientConnectionError):
            await fleet.session.post(url, json=body)
        assert await engine.wait_ended() == 70
        engine.start()
        await fleet.wait_ready(engine)
        (run,) = (await fleet.read_report(engine, "journal"))["runs"]
        assert (run["state"], run["finished_s"]) == ("running", None)
