"""The operator's command shows where a running router would send a request."""

import asyncio
import json

import aiohttp
import pytest
from cleo.testers.application_tester import ApplicationTester

from bilberryspring.platform.tests.test_front_router import (
    Deployment,
    find_free_port,
)
from bilberryspring.process.operator import make_operator_program
from bilberryspring.process.operator_command import (
    EXIT_FAILED,
    EXIT_FAULTS,
    EXIT_OK,
    EXIT_REFUSED,
    EXIT_USAGE,
)


class ControlledRouter:
    """A router with a control address, before two servers of its pool."""

    def __init__(self, tmp_path):
        self.deployment = Deployment(tmp_path)
        self.control_port = find_free_port()

    async def start(self):
        await self.deployment.start()
        entry = self.deployment.server.make_entry(zone="y")
        await self.deployment.store.put("servers/s2", entry)
        router = await self.deployment.add_router(ip="127.0.0.1")
        await router.close()
        settings = router.path.read_text().replace(
            "[bounds]", f'control = "{router.ip}:{self.control_port}"\n[bounds]'
        )
        router.path.write_text(settings)
        await router.start()
        await router.wait_ready()

    async def explain(self, options, port=None):
        """Run the command; return its exit code and what it printed."""
        tester = ApplicationTester(make_operator_program())
        command = f"explain-request 127.0.0.1:{port or self.control_port} {options}"
        code = await asyncio.to_thread(tester.execute, command)
        return code, tester.io.fetch_output(), tester.io.fetch_error()


@pytest.fixture
async def router(tmp_path):
    router = ControlledRouter(tmp_path)
    await router.start()
    yield router
    await router.deployment.close()


async def test_router_tells_its_choice_and_sends_nothing(router, tmp_path):
    code, output, _ = await router.explain("--route orders --workspace ward --json")
    assert code == EXIT_OK
    document = json.loads(output)
    assert document["choice"] in ("s1", "s2")
    assert document["route"] == "orders" and document["rank_order"] == 1
    assert {each["server"] for each in document["servers"]} == {"s1", "s2"}
    described = tmp_path / "request.json"
    described.write_text('{"host": "a.example", "path": "/orders/x"}')
    code, output, _ = await router.explain(f"--file {described} --tried s1 --tried s2")
    assert code == EXIT_REFUSED
    assert "goes nowhere now" in output and "it was tried" not in output
    assert "the request was tried there" in output
    assert not router.deployment.server.executed


async def test_server_of_an_evacuated_zone_is_named(router):
    await router.deployment.store.put("op/evacuate/y", {})
    async with asyncio.timeout(10):
        while True:
            _, output, _ = await router.explain("--route orders")
            if "its availability zone is evacuated (by store" in output:
                break
            await asyncio.sleep(0.05)
    assert "goes to: s1" in output


@pytest.mark.parametrize(
    ("options", "code", "message"),
    [
        ("--route nowhere", EXIT_FAULTS, "no route 'nowhere'"),
        ("--route orders --workspace other", EXIT_FAULTS, "no key of workspace"),
        ("--host a.example --path /none/", EXIT_FAULTS, "no route for host"),
        ("--route orders --input-tokens=-5", EXIT_FAULTS, "input_tokens"),
        ("--route orders --part a:x", EXIT_USAGE, "invalid literal"),
        ("--file /nonexistent", EXIT_USAGE, "nonexistent"),
    ],
)
async def test_bad_descriptions_are_refused(router, options, code, message):
    found, _, error = await router.explain(options)
    assert found == code and message in error


async def test_address_without_a_router_is_a_failure(router):
    code, _, error = await router.explain("--route orders", find_free_port())
    assert code == EXIT_FAILED and "refused" in error


async def test_other_paths_of_the_control_address_do_not_exist(router):
    url = f"http://127.0.0.1:{router.control_port}"
    async with aiohttp.ClientSession() as session:
        async with session.get(url + "/config") as response:
            assert response.status == 404
        async with session.post(url + "/explain-request", data=b"{") as response:
            assert response.status == 400
