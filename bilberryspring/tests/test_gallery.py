"""Each script of the gallery runs against a fleet and prints the expected output."""

import asyncio
import sys

from bilberryspring.standin.deployments import DEPLOYMENTS, start_deployment
from bilberryspring.standin.fleet import make_fleet
from bilberryspring.standin.fleet_process import SOURCE_ROOT

GALLERY = SOURCE_ROOT / "docs" / "gallery"
SMALL_SIZES = {"engine_count": 2, "service_count": 1, "router_count": 2}
SCRIPT_TIMEOUT_S = 60

EXPECTED_OUTPUTS = {
    "stream_chat.py": ["The answer is whole."],
    "resume_answer.py": ["5 + 19 events, whole."],
    "record_print_order.py": ["replayed: false", "replayed: true"],
    "read_refusal.py": ["kind: invalid_idempotency_key", "outcome: not_run"],
    "continue_chat.py": ["0 of 6 prompt tokens", "38 of 43 prompt tokens"],
}


async def run_script(name, *arguments):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(GALLERY / name),
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    async with asyncio.timeout(SCRIPT_TIMEOUT_S):
        output, _ = await process.communicate()
    return process.returncode, output.decode()


async def test_every_script_of_the_gallery(tmp_path):
    deployment = DEPLOYMENTS["printing-works"].resize(**SMALL_SIZES)
    async with make_fleet(tmp_path, deployment.region) as fleet:
        running = await start_deployment(fleet, deployment)
        addresses = [router.caller_address for router in running.routers]
        for name, expected_texts in EXPECTED_OUTPUTS.items():
            code, output = await run_script(name, *addresses)
            assert code == 0, output
            assert all(text in output for text in expected_texts), output
    assert set(EXPECTED_OUTPUTS) == {path.name for path in GALLERY.glob("*.py")}
