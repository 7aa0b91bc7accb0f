"""HTTP interface of the model engine stand-in: OpenAI-style chat and test controls."""

import asyncio
import json
import time
from dataclasses import asdict

from aiohttp import web
from pydantic import BaseModel

from bilberryspring.request.errors import (
    ERROR_RESPONSES,
    ErrorKind,
    Failure,
    make_failure,
)
from bilberryspring.standin.engine_run import Run, RunState, Token
from bilberryspring.standin.engine_settings import (
    CacheExport,
    ChatRequest,
    EngineFaults,
    EngineOrder,
    EngineSettings,
    ExportRequest,
)
from bilberryspring.standin.engine_state import EngineStandin
from bilberryspring.standin.serving import abort_connection, read_message

__all__ = ["EngineSettings", "make_engine_application"]

MAX_BODY_BYTES = 64_000_000
STATUS_OVERRIDES = {
    ErrorKind.UNKNOWN_ANSWER: 404,
    ErrorKind.ENGINE_VERSION_CHANGED: 409,
}

STANDIN = web.AppKey("standin", EngineStandin)


def make_engine_application(settings: EngineSettings) -> web.Application:
    """Return the application that serves the model engine stand-in.

    :param settings: settings of the stand-in.
    :returns: an application with the paths of an engine and of the test controls.
    """
    standin = EngineStandin(settings)
    application = web.Application(client_max_size=MAX_BODY_BYTES)
    application[STANDIN] = standin
    application.on_startup.append(standin.start)
    application.on_shutdown.append(standin.close)
    add_get, add_post = application.router.add_get, application.router.add_post
    add_post("/v1/chat/completions", _serve_chat)
    add_get("/v1/load", _report_load)
    add_get("/v1/version", _report_version)
    add_get("/v1/cache/events", _list_cache_events)
    add_post("/v1/kv/export", _export_cache)
    add_post("/v1/kv/import", _import_cache)
    add_post("/v1/streams/{request_id}/{action:pause|resume|cancel}", _control_run)
    add_post("/v1/orders", _handle_order)
    add_get("/standin/journal", _report_journal)
    add_get("/standin/inflight", _report_inflight)
    add_post("/standin/faults", _set_faults)
    return application


def _make_error_response(failure: Failure) -> web.Response:
    status = STATUS_OVERRIDES.get(failure.kind, ERROR_RESPONSES[failure.kind].status)
    error = {"message": failure.reason, "type": failure.kind.value, "code": status}
    return web.json_response({"error": error}, status=status)


async def _serve_chat(request: web.Request) -> web.StreamResponse:
    standin = request.app[STANDIN]
    chat = await read_message(request, ChatRequest)
    if isinstance(chat, Failure):
        return _make_error_response(chat)
    if standin.faults.refuse_next > 0:
        remaining_refusals = standin.faults.refuse_next - 1
        standin.faults = standin.faults.model_copy(
            update={"refuse_next": remaining_refusals}
        )
        return _make_error_response(make_failure(ErrorKind.OVERLOADED))
    run = standin.submit_chat(
        chat,
        request.headers.get("X-Request-Id", ""),
        request.headers.get("X-Workspace", ""),
        request.headers.get("traceparent", ""),
    )
    if isinstance(run, Failure):
        return _make_error_response(run)
    try:
        if chat.stream:
            return await _stream_answer(standin, run, request)
        return await _send_complete_answer(run)
    finally:
        standin.scheduler.cancel(run)


async def _stream_answer(
    standin: EngineStandin, run: Run, request: web.Request
) -> web.StreamResponse:
    headers = {
        "Content-Type": "text/event-stream",
        "Cache-Control": "no-cache",
        "X-Engine-Version": standin.reported_version,
    }
    response = web.StreamResponse(headers=headers)
    await response.prepare(request)
    cut_after_events, standin.faults = _consume_cut_fault(standin.faults)
    sent_events = 0
    while not (run.has_ended and not run.tokens):
        await run.changed.wait()
        run.changed.clear()
        events = []
        while run.tokens and sent_events != cut_after_events:
            events.append(_format_event(run, run.tokens.popleft()))
            sent_events += 1
        if events:
            await response.write(b"".join(events))
        if sent_events == cut_after_events:
            return abort_connection(request)
    if run.state is RunState.CANCELLED:
        return abort_connection(request)
    await response.write(b"data: [DONE]\n\n")
    return response


def _consume_cut_fault(faults: EngineFaults) -> tuple[int | None, EngineFaults]:
    if faults.cut_after_events is None:
        return faults.cut_each_after_events, faults
    remaining_faults = faults.model_copy(update={"cut_after_events": None})
    return faults.cut_after_events, remaining_faults


async def _send_complete_answer(run: Run) -> web.Response:
    while not run.has_ended:
        await run.changed.wait()
        run.changed.clear()
    message = {"role": "assistant", "content": "".join(run.words)}
    choice = {"index": 0, "message": message, "finish_reason": run.finish_reason}
    body = {
        "id": f"chatcmpl-{run.record.number}",
        "choices": [choice],
        "usage": _format_usage(run),
    }
    headers = {"X-Engine-Version": run.record.engine_version}
    return web.json_response(body, headers=headers)


def _format_event(run: Run, token: Token) -> bytes:
    choice = {
        "index": 0,
        "delta": {"content": token.word},
        "finish_reason": token.finish_reason or None,
    }
    event: dict = {"id": f"chatcmpl-{run.record.number}", "choices": [choice]}
    if token.finish_reason:
        event["usage"] = _format_usage(run)
    return f"data: {json.dumps(event)}\n\n".encode()


def _format_usage(run: Run) -> dict:
    return {
        "prompt_tokens": run.record.prompt_tokens,
        "completion_tokens": len(run.words),
        "prompt_tokens_details": {"cached_tokens": run.record.cached_tokens},
        "prefix_digest": run.prefix_digests[-1],
    }


async def _report_load(request: web.Request) -> web.Response:
    standin = request.app[STANDIN]
    measured_at_s = time.monotonic() - standin.settings.load_lag_s
    sample = standin.scheduler.history.read_at(measured_at_s)
    report = {
        "running": sample.running,
        "queued": sample.queued,
        "unfinished_tokens": sample.unfinished,
        "measured_at_s": measured_at_s,
    }
    return web.json_response(report)


async def _report_version(request: web.Request) -> web.Response:
    standin = request.app[STANDIN]
    report = {
        "engine_version": standin.reported_version,
        "models": sorted(standin.models),
        "adapters": sorted(standin.adapters),
        "role": standin.role,
    }
    return web.json_response(report)


async def _list_cache_events(request: web.Request) -> web.Response:
    after = request.query.get("after", "0")
    if not after.isdecimal():
        reason = "after: expected a whole number"
        return _make_error_response(make_failure(ErrorKind.MALFORMED_REQUEST, reason))
    events = request.app[STANDIN].cache.list_events(int(after))
    event_entries = [
        {
            "sequence": event.sequence,
            "kind": event.kind.value,
            "prefix_digest": event.prefix_digest,
            "tokens": event.tokens,
        }
        for event in events
    ]
    next_sequence = events[-1].sequence if events else int(after)
    return web.json_response({"events": event_entries, "next": next_sequence})


async def _export_cache(request: web.Request) -> web.Response:
    standin = request.app[STANDIN]
    message = await read_message(request, ExportRequest)
    if isinstance(message, Failure):
        return _make_error_response(message)
    export = standin.export_cache(message.prefix_digest)
    if isinstance(export, Failure):
        return _make_error_response(export)
    await _wait_for_transfer(standin, export)
    return _make_json_response(export)


async def _import_cache(request: web.Request) -> web.Response:
    standin = request.app[STANDIN]
    export = await read_message(request, CacheExport)
    if isinstance(export, Failure):
        return _make_error_response(export)
    await _wait_for_transfer(standin, export)
    failure = standin.import_cache(export)
    if failure is not None:
        return _make_error_response(failure)
    return web.json_response({"prefixes": len(export.prefixes)})


async def _wait_for_transfer(standin: EngineStandin, export: CacheExport) -> None:
    tokens = sum(prefix.own_tokens for prefix in export.prefixes)
    await asyncio.sleep(tokens / standin.settings.kv_transfer_tokens_per_s)


def _make_json_response(message: BaseModel) -> web.Response:
    return web.Response(text=message.model_dump_json(), content_type="application/json")


async def _control_run(request: web.Request) -> web.Response:
    standin = request.app[STANDIN]
    run = standin.find_run(request.match_info["request_id"])
    if run is None:
        return _make_error_response(
            make_failure(ErrorKind.UNKNOWN_ANSWER, "no such stream")
        )
    actions = {
        "pause": standin.scheduler.pause,
        "resume": standin.scheduler.resume,
        "cancel": standin.scheduler.cancel,
    }
    actions[request.match_info["action"]](run)
    return web.json_response({"state": run.state.value})


async def _handle_order(request: web.Request) -> web.Response:
    standin = request.app[STANDIN]
    order = await read_message(request, EngineOrder)
    if isinstance(order, Failure):
        return _make_error_response(order)
    failure = standin.execute_order(order)
    if failure is not None:
        return _make_error_response(failure)
    return web.json_response({"order": order.order.value, "target": order.target})


async def _report_journal(request: web.Request) -> web.Response:
    return web.json_response(request.app[STANDIN].export_journal())


async def _report_inflight(request: web.Request) -> web.Response:
    runs = request.app[STANDIN].scheduler.inflight
    return web.json_response({"runs": [asdict(run.record) for run in runs]})


async def _set_faults(request: web.Request) -> web.Response:
    faults = await read_message(request, EngineFaults)
    if isinstance(faults, Failure):
        return _make_error_response(faults)
    request.app[STANDIN].set_faults(faults)
    return _make_json_response(faults)
