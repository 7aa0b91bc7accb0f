"""Requests with a part of a prompt that crashes each replica, beside sound ones.

Each replica is a process of its own, which is started again some seconds after a crash.
"""

import asyncio
import json
import sys
import time
from pathlib import Path

from roll_office import ENGINE_SERVICE, make_configuration
from standins import BORN_MS, Client, find_free_port, is_troubled

__all__ = ["play_deadly_part"]

COMMON = Path(__file__).resolve().parent
DEADLY_PART = "dead07a2"
# A part that all requests share, and parts of the sound ones.
FIRST_PART = "5c1e07a2"
DEADLINE_MS = 8000
REPLICAS = 4
SOUND_CLIENTS = 8
CALM_S = 4.0
LENGTH_S = 60.0
DEADLY_PAUSE_S = 1.0
# A crashed replica is back after some seconds, under a new id.
RESTART_S = 3.0
# Three liveness report intervals of silence remove an entry.
EXPIRY_S = 3 * 1.2
STABLE_S = 3.0
CRASHES = 5
ALLOWED_ARRIVALS = 3
EVENTS = 20


class ReplicaPlace:
    """A place on which a replica runs, and is started again after a crash.

    :param number: number of the place.
    :param deployment: store and record of the case.
    :param log: file to which its replicas write.
    :param options: further options of its replicas.
    """

    def __init__(self, number, deployment, log, options):
        self._number = number
        self._deployment = deployment
        self._log = log
        self._options = options
        self._port = find_free_port()
        self._boots = 0
        self._process = None
        self._removals = set()

    async def start(self):
        """Start a replica and list it in the store."""
        self._boots += 1
        replica_id = f"i-e{self._number}b{self._boots}"
        arguments = [
            f"--id={replica_id}",
            f"--service={ENGINE_SERVICE}",
            f"--port={self._port}",
            f"--log={self._log}",
            f"--deadly={DEADLY_PART}",
            *self._options,
        ]
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, str(COMMON / "replica_process.py"), *arguments
        )
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", self._port)
            except OSError:
                await asyncio.sleep(0.05)
            else:
                writer.close()
                break
        entry = {
            "service": ENGINE_SERVICE,
            "address": f"127.0.0.1:{self._port}",
            "zone": "cankaya",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldRemainingMs": 0,
            "seq": 1,
            "born": BORN_MS + round(time.monotonic() * 1000),
        }
        await self._deployment.store.put(f"servers/{replica_id}", entry)
        return replica_id

    async def run(self):
        """Start a replica again after each crash, until cancelled."""
        replica_id = await self.start()
        while True:
            await self._process.wait()
            self._deployment.record.note(f"{replica_id} has crashed")
            removal = asyncio.create_task(self._remove(replica_id))
            self._removals.add(removal)
            await asyncio.sleep(RESTART_S)
            replica_id = await self.start()

    async def _remove(self, replica_id):
        await asyncio.sleep(EXPIRY_S)
        await self._deployment.store.put(f"servers/{replica_id}", None)

    async def close(self):
        """Kill the replica."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


def make_headers(second_part, number):
    """Return the headers of a prompt of three parts, the last one its own."""
    prefix = f"{FIRST_PART}:120,{second_part}:580,{number:08x}:130"
    return [("Model", "m"), ("Token-Counts", "830,45"), ("Prompt-Prefix", prefix)]


async def ask_sound(address, subject, until_s, answers):
    """Ask for sound rolls one after the other."""
    client = Client(address)
    number = subject * 100_000
    while time.monotonic() < until_s:
        number += 1
        headers = make_headers(f"{subject:04x}beef", number)
        body = b'{"n": %d}' % number
        answers.append(await client.call("/rolls/1", DEADLINE_MS, headers, body))
        await asyncio.sleep(0.05)
    client.close()


async def ask_deadly(address, until_s, record):
    """Ask for rolls with the deadly part, no two alike."""
    client = Client(address)
    number = 9_000_000
    while time.monotonic() < until_s:
        number += 1
        headers = make_headers(DEADLY_PART, number)
        body = b'{"n": %d}' % number
        answer = await client.call("/rolls/1", DEADLINE_MS, headers, body)
        record.note(
            f"deadly {answer.attempt_id}: {answer.status}"
            f" complete={answer.is_complete} {answer.error}"
            f" events={answer.body.count(b'id: ')}"
        )
        await asyncio.sleep(DEADLY_PAUSE_S)
    client.close()


def read_notes(log):
    """Return what the replicas wrote."""
    return [json.loads(line) for line in log.read_text().splitlines()]


async def play_deadly_part(deployment, options=()):
    """Send requests with the deadly part; return whether the rule held.

    :param deployment: deployment that has not been started.
    :param options: further options of the replicas, see ``replica_process.py``.
    """
    record = deployment.record
    log = Path(deployment.folder) / "replicas.log"
    log.touch()
    await deployment.start(make_configuration(), [])
    places = [
        ReplicaPlace(number, deployment, log, options) for number in range(REPLICAS)
    ]
    runs = [asyncio.create_task(place.run()) for place in places]
    address = deployment.routers[0].address
    answers = []
    try:
        await asyncio.sleep(CALM_S)
        end_s = time.monotonic() + LENGTH_S
        tasks = [
            asyncio.create_task(ask_sound(address, subject, end_s, answers))
            for subject in range(1, SOUND_CLIENTS + 1)
        ]
        await asyncio.sleep(CALM_S)
        if is_troubled():
            tasks.append(asyncio.create_task(ask_deadly(address, end_s, record)))
        await asyncio.gather(*tasks)
    finally:
        for run in runs:
            run.cancel()
        for place in places:
            await place.close()
    notes = read_notes(log)
    crashes_s = sorted(each["at_s"] for each in notes if each["what"] == "crash")
    arrivals = [each for each in notes if each["what"] == "arrival"]
    deadly = [each for each in arrivals if each["is_deadly"]]
    since_s = crashes_s[CRASHES - 1] + STABLE_S if len(crashes_s) >= CRASHES else None
    late = [each for each in deadly if since_s is not None and each["at_s"] > since_s]
    short = [
        each
        for each in answers
        if not each.is_complete or each.body.count(b"id: ") < EVENTS
    ]
    record.note(
        f"{len(crashes_s)} crashes; {len(deadly)} requests with the deadly part reached"
        f" replicas, {len(late)} of them later than {STABLE_S:.0f} s after crash"
        f" {CRASHES} ({ALLOWED_ARRIVALS} allowed)"
    )
    record.note(
        f"{len(answers)} sound rolls, {len(short)} of them without all their events"
    )
    return len(late) <= ALLOWED_ARRIVALS
