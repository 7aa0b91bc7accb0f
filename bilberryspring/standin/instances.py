"""Stand-in for the platform's instance list, which shows changes after a delay."""

import asyncio
import time

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field

from bilberryspring.process.settings import Address
from bilberryspring.request.errors import ERROR_RESPONSES, Failure, make_problem
from bilberryspring.standin.serving import abort_connection, read_message

__all__ = [
    "InstanceListSettings",
    "ListedInstance",
    "make_instance_list_application",
]

MAX_BODY_BYTES = 4_000_000


class InstanceListSettings(BaseModel):
    """Settings of the instance list stand-in.

    :param address: IP address and port to serve on.
    :param lag_s: delay until the list shows a change.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    address: Address
    lag_s: float = Field(default=0.0, ge=0, le=600)


class ListedInstance(BaseModel):
    """Entry of one instance in the list.

    :param instance_id: id of the instance.
    :param role: ``router`` or ``agent``.
    :param pool: backend server pool of an agent; empty for a router.
    :param availability_zone: availability zone of the instance.
    :param region: region of the zone.
    :param address: address for peers.
    :param state: ``live`` or ``leaving``.
    :param weight: relative capacity of the instance.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    instance_id: str = Field(min_length=1)
    role: str = Field(pattern="^(router|agent)$")
    pool: str = ""
    availability_zone: str
    region: str
    address: Address
    state: str = Field(default="live", pattern="^(live|leaving)$")
    weight: float = Field(default=1.0, gt=0)


class InstancesMessage(BaseModel):
    """Replacement of the whole list.

    :param instances: the new list.
    :param lag_s: delay until the list shows this change; None for the delay that the
        stand-in is set to.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    instances: list[ListedInstance]
    lag_s: float | None = Field(default=None, ge=0)


class InstanceListFaults(BaseModel):
    """Injected faults.

    :param outage: whether to reset the connection of each request for the list.
    :param delay_s: delay before each response.
    :param lag_s: delay until the list shows later changes; None for no change.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    outage: bool = False
    delay_s: float = Field(default=0.0, ge=0)
    lag_s: float | None = Field(default=None, ge=0)


class InstanceListStandin:
    """The visible list and the pending changes.

    :param settings: settings of the stand-in.
    :ivar revision: number of the visible list; each change increments it.
    :ivar calls: number of requests for the list.
    :ivar full_responses: number of responses that carried the list.
    :ivar visible_instances: list that requests receive.
    """

    def __init__(self, settings: InstanceListSettings):
        self.lag_s = settings.lag_s
        self.faults = InstanceListFaults()
        self.revision = 1
        self.calls = 0
        self.full_responses = 0
        self.visible_instances: list[ListedInstance] = []
        self._pending: list[tuple[float, list[ListedInstance]]] = []

    @property
    def pending_changes(self) -> int:
        """Number of changes that the list does not show yet."""
        return len(self._pending)

    def replace(self, message: InstancesMessage) -> None:
        """Replace the list once the delay has passed.

        :param message: the new list, and its delay.
        """
        lag_s = self.lag_s if message.lag_s is None else message.lag_s
        self._pending.append((time.monotonic() + lag_s, message.instances))
        self._pending.sort(key=lambda change: change[0])

    def apply_due_changes(self) -> None:
        """Apply the pending changes whose delay has passed."""
        now_s = time.monotonic()
        while self._pending and self._pending[0][0] <= now_s:
            _, self.visible_instances = self._pending.pop(0)
            self.revision += 1


STANDIN = web.AppKey("standin", InstanceListStandin)


def make_instance_list_application(settings: InstanceListSettings) -> web.Application:
    """Return the application that serves the instance list.

    :param settings: settings of the stand-in.
    :returns: an application with the paths of the list and of the test controls.
    """
    application = web.Application(client_max_size=MAX_BODY_BYTES)
    application[STANDIN] = InstanceListStandin(settings)
    application.router.add_get("/v1/instances", _serve_list)
    application.router.add_put("/standin/instances", _replace_list)
    application.router.add_post("/standin/faults", _set_faults)
    application.router.add_get("/standin/calls", _report_calls)
    return application


async def _serve_list(request: web.Request) -> web.StreamResponse:
    standin = request.app[STANDIN]
    standin.calls += 1
    if standin.faults.delay_s:
        await asyncio.sleep(standin.faults.delay_s)
    if standin.faults.outage:
        return abort_connection(request)
    standin.apply_due_changes()
    headers = {"ETag": f'"{standin.revision}"'}
    if request.headers.get("If-None-Match") == headers["ETag"]:
        return web.Response(status=304, headers=headers)
    entries = [instance.model_dump() for instance in standin.visible_instances]
    body = {"revision": standin.revision, "instances": entries}
    standin.full_responses += 1
    return web.json_response(body, headers=headers)


async def _replace_list(request: web.Request) -> web.Response:
    message = await read_message(request, InstancesMessage)
    if isinstance(message, Failure):
        return _make_error_response(message)
    request.app[STANDIN].replace(message)
    return web.json_response({"instances": len(message.instances)})


async def _set_faults(request: web.Request) -> web.Response:
    standin = request.app[STANDIN]
    faults = await read_message(request, InstanceListFaults)
    if isinstance(faults, Failure):
        return _make_error_response(faults)
    standin.faults = faults
    if faults.lag_s is not None:
        standin.lag_s = faults.lag_s
    return web.json_response(faults.model_dump())


async def _report_calls(request: web.Request) -> web.Response:
    standin = request.app[STANDIN]
    standin.apply_due_changes()
    report = {
        "calls": standin.calls,
        "whole_replies": standin.full_responses,
        "revision": standin.revision,
        "pending_changes": standin.pending_changes,
    }
    return web.json_response(report)


def _make_error_response(failure: Failure) -> web.Response:
    status = ERROR_RESPONSES[failure.kind].status
    return web.json_response(make_problem(failure), status=status)
