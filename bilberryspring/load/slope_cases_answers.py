"""Slope cases of the responses that an agent retains for reconnecting routers."""

from collections.abc import Callable

from bilberryspring.identifiers import RequestId, WorkspaceName
from bilberryspring.load.slopes import register_cpu_case, register_memory_case
from bilberryspring.request.buffered_response import (
    BufferedResponse,
    make_buffered_response,
)

__all__ = ["build_answer", "build_answers", "prepare_append"]

CHUNK_BYTES = 200
MEAN_CHUNKS = 375


@register_memory_case("retained answer", "chunk", (64, 256, 1024))
def build_answer(chunks: int) -> BufferedResponse:
    """Build one retained response with a number of chunks."""
    answer = make_buffered_response(RequestId("r" * 32), WorkspaceName("w"), 256)
    for number in range(chunks):
        answer.append(b"%6d" % number + b"x" * (CHUNK_BYTES - 6))
    return answer


@register_memory_case("retained answers", "answer of 375 chunks", (10, 40))
def build_answers(count: int) -> list[BufferedResponse]:
    """Build a number of retained responses of mean length."""
    return [build_answer(MEAN_CHUNKS) for _ in range(count)]


@register_cpu_case("append a chunk to a retained answer", "", (1,))
def prepare_append(size: int) -> Callable[[], object]:
    """Prepare the storing of one chunk in a retained response."""
    answer = make_buffered_response(RequestId("r" * 32), WorkspaceName("w"), 256)
    return lambda: answer.append(b"x" * CHUNK_BYTES)
