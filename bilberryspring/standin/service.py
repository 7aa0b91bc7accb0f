"""Stand-in for a plain service, whose calls may not be safe to repeat."""

import asyncio
import os
import time
from dataclasses import asdict, dataclass

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field

from bilberryspring.identifiers import digest_content
from bilberryspring.process.settings import Address
from bilberryspring.request.errors import ERROR_RESPONSES, Failure, make_problem
from bilberryspring.standin.journal import InflightHistory, InflightSample, Journal
from bilberryspring.standin.serving import abort_connection, read_message

__all__ = [
    "ServiceSettings",
    "ServiceFaults",
    "ServiceRecord",
    "make_service_application",
]

MAX_BODY_BYTES = 64_000_000
CRASH_MARKER = b"!crash!"
CRASH_EXIT_CODE = 70


class ServiceSettings(BaseModel):
    """Settings of the plain service stand-in.

    :param address: IP address and port to serve on.
    :param service_time_s: duration of each call.
    :param max_running: limit on the calls that run at once; others wait.
    :param journal_path: path of the journal file, which survives a crash; empty to
        write no file.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    address: Address
    service_time_s: float = Field(default=0.005, ge=0)
    max_running: int = Field(default=64, ge=1)
    journal_path: str = ""


class ServiceFaults(BaseModel):
    """Injected faults.

    :param hang: whether to run calls without responding.
    :param refuse_next: number of calls to answer with status 503 without running them.
    :param fail_next: number of calls to run and answer with status 500.
    :param cut_next: number of calls to run before resetting their connections.
    :param service_time_s: duration of each call; None for the value of the settings.
    :param crash: whether to exit the process at once.
    """

    model_config = ConfigDict(extra="forbid")

    hang: bool = False
    refuse_next: int = Field(default=0, ge=0)
    fail_next: int = Field(default=0, ge=0)
    cut_next: int = Field(default=0, ge=0)
    service_time_s: float | None = Field(default=None, ge=0)
    crash: bool = False


@dataclass(slots=True)
class ServiceRecord:
    """Journal entry of one run.

    Times are in seconds on the machine's monotonic clock. An entry without
    ``finished_s`` belongs to a run that is in flight or that a crash interrupted.

    :param number: position in the journal, from one.
    :param request_id: ``X-Request-Id`` of the request; empty for none.
    :param idempotency_key: ``Idempotency-Key`` of the request; empty for none.
    :param workspace: ``X-Workspace`` of the request; empty for none.
    :param traceparent: trace context of the request; empty for none.
    :param method: HTTP method.
    :param path: path and query.
    :param body_digest: digest of the request body.
    :param received_s: when the request was received.
    :param started_s: when the run started; None while it waits.
    :param finished_s: when the run ended; None before that.
    """

    number: int
    request_id: str
    idempotency_key: str
    workspace: str
    traceparent: str
    method: str
    path: str
    body_digest: str
    received_s: float
    started_s: float | None = None
    finished_s: float | None = None


class ServiceStandin:
    """State of one plain service stand-in.

    :param settings: settings of the stand-in.
    :ivar inflight: entries of the runs that have not ended, by number.
    """

    def __init__(self, settings: ServiceSettings):
        self.settings = settings
        self.faults = ServiceFaults()
        self.journal = Journal(ServiceRecord, settings.journal_path)
        self.history = InflightHistory()
        self.inflight: dict[int, ServiceRecord] = {}
        self._run_slots = asyncio.Semaphore(settings.max_running)
        self._tasks: set[asyncio.Task] = set()

    async def close(self, _application: object = None) -> None:
        """Wait for the runs, for at most one service time, and close the journal."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=self.settings.service_time_s)
        self.journal.close()

    async def run(self, record: ServiceRecord, crashes: bool) -> ServiceRecord:
        """Run a call to its end, even if its client disconnects.

        :param record: journal entry of the call.
        :param crashes: whether the process crashes once the run has started.
        :returns: the completed entry.
        """
        # Recorded before the first await, so that no other call gets the number.
        self.journal.record(record)
        self.inflight[record.number] = record
        self._record_sample()
        task = asyncio.create_task(self._run(record, crashes))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await asyncio.shield(task)
        return record

    async def _run(self, record: ServiceRecord, crashes: bool) -> None:
        async with self._run_slots:
            record.started_s = time.monotonic()
            self.journal.record(record)
            if crashes:
                os._exit(CRASH_EXIT_CODE)
            await asyncio.sleep(self._service_time_s)
        record.finished_s = time.monotonic()
        self.journal.record(record)
        del self.inflight[record.number]
        self._record_sample()

    @property
    def _service_time_s(self) -> float:
        if self.faults.service_time_s is None:
            return self.settings.service_time_s
        return self.faults.service_time_s

    def _record_sample(self) -> None:
        count = len(self.inflight)
        running = min(count, self.settings.max_running)
        sample = InflightSample(time.monotonic(), running, count - running, count)
        self.history.add(sample)


STANDIN = web.AppKey("standin", ServiceStandin)


def make_service_application(settings: ServiceSettings) -> web.Application:
    """Return the application that serves the plain service stand-in.

    :param settings: settings of the stand-in.
    :returns: an application that accepts any method on any path, and the paths of the
        test controls.
    """
    standin = ServiceStandin(settings)
    application = web.Application(client_max_size=MAX_BODY_BYTES)
    application[STANDIN] = standin
    application.on_shutdown.append(standin.close)
    application.router.add_get("/standin/journal", _report_journal)
    application.router.add_get("/standin/inflight", _report_inflight)
    application.router.add_post("/standin/faults", _set_faults)
    application.router.add_route("*", "/{path:.*}", _serve_call)
    return application


async def _serve_call(request: web.Request) -> web.StreamResponse:
    standin = request.app[STANDIN]
    try:
        body = await request.read()
    except web.HTTPRequestEntityTooLarge:
        return web.json_response({"error": "the body is too large"}, status=413)
    if standin.faults.refuse_next > 0:
        standin.faults.refuse_next -= 1
        return web.json_response({"error": "overloaded"}, status=503)
    record = _make_record(standin, request, body)
    await standin.run(record, CRASH_MARKER in body)
    return await _respond(standin, request, record)


def _make_record(
    standin: ServiceStandin, request: web.Request, body: bytes
) -> ServiceRecord:
    headers = request.headers
    return ServiceRecord(
        number=standin.journal.next_number,
        request_id=headers.get("X-Request-Id", ""),
        idempotency_key=headers.get("Idempotency-Key", ""),
        workspace=headers.get("X-Workspace", ""),
        traceparent=headers.get("traceparent", ""),
        method=request.method,
        path=request.path_qs,
        body_digest=digest_content(body),
        received_s=time.monotonic(),
    )


async def _respond(
    standin: ServiceStandin, request: web.Request, record: ServiceRecord
) -> web.StreamResponse:
    faults = standin.faults
    if faults.hang:
        await asyncio.Event().wait()
    if faults.cut_next > 0:
        faults.cut_next -= 1
        return abort_connection(request)
    if faults.fail_next > 0:
        faults.fail_next -= 1
        return web.json_response({"error": "failed"}, status=500)
    response_body = {"recorded": record.number, "echo_digest": record.body_digest}
    return web.json_response(response_body)


async def _report_journal(request: web.Request) -> web.Response:
    standin = request.app[STANDIN]
    journal = {
        "runs": standin.journal.export(),
        "samples": standin.history.samples,
    }
    return web.json_response(journal)


async def _report_inflight(request: web.Request) -> web.Response:
    records = request.app[STANDIN].inflight.values()
    return web.json_response({"runs": [asdict(record) for record in records]})


async def _set_faults(request: web.Request) -> web.Response:
    faults = await read_message(request, ServiceFaults)
    if isinstance(faults, Failure):
        status = ERROR_RESPONSES[faults.kind].status
        return web.json_response(make_problem(faults), status=status)
    if faults.crash:
        os._exit(CRASH_EXIT_CODE)
    request.app[STANDIN].faults = faults
    return web.json_response(faults.model_dump())
