"""A replica in a process of its own, which may crash on a part of a prompt.

Its streams come with neither a length nor chunks and end with their connection, as the
operators' seventh letter allows, unless ``--chunks`` is given. What it receives and
runs is written to a file, one JSON document a line.
"""

import argparse
import asyncio
import json
import os
import time

from standins import Replica, make_head

CRASH_EXIT_CODE = 86
# Time for the bytes of the first event to leave the process before it crashes.
CRASH_DELAY_S = 0.02


class FragileReplica(Replica):
    """A replica that crashes when it begins an answer on a deadly part.

    :param options: options of the command line.
    """

    def __init__(self, options):
        super().__init__(
            options.id, options.service, None, options.slots, options.work, 20
        )
        self._deadly_part = options.deadly
        self._has_chunks = options.chunks
        self._exit_delay_s = options.exit_delay
        self._log = open(options.log, "a", encoding="utf-8")

    def note(self, **fields):
        """Write a line to the log."""
        fields |= {"replica": self.replica_id, "at_s": time.monotonic()}
        self._log.write(json.dumps(fields) + "\n")
        self._log.flush()

    async def _crash(self, request):
        """End the process; its connections are reset before if there is a delay."""
        self.note(what="crash", attempt=request.attempt_id)
        if self._exit_delay_s:
            self.reset_connections()
            await asyncio.sleep(0)
            # New connections are still accepted, but not served.
            time.sleep(self._exit_delay_s)
        os._exit(CRASH_EXIT_CODE)

    async def stream(self, request, writer):
        """Write a stream of events, or crash after the first."""
        parts = request.headers["prompt-prefix"].split(",")
        is_deadly = any(each.partition(":")[0] == self._deadly_part for each in parts)
        self.note(what="arrival", attempt=request.attempt_id, is_deadly=is_deadly)
        if self._has_chunks:
            framing = [("Transfer-Encoding", "chunked")]
        else:
            framing = [("Connection", "close")]
        headers = [
            *self.make_headers(request),
            ("Content-Type", "text/event-stream"),
            *framing,
        ]
        writer.write(make_head(200, headers))
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.work_s)
            event = b"id: %d\ndata: text\n\n" % number
            if self._has_chunks:
                event = b"%x\r\n%b\r\n" % (len(event), event)
            writer.write(event)
            await writer.drain()
            if is_deadly:
                await asyncio.sleep(CRASH_DELAY_S)
                await self._crash(request)
        if self._has_chunks:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        else:
            writer.close()


async def main():
    """Serve until killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--log", required=True)
    parser.add_argument("--deadly", default="")
    parser.add_argument("--slots", type=int, default=64)
    parser.add_argument("--work", type=float, default=0.04)
    parser.add_argument("--chunks", action="store_true")
    parser.add_argument("--exit-delay", type=float, default=0.0)
    options = parser.parse_args()
    replica = FragileReplica(options)
    await replica.start(port=options.port)
    replica.note(what="start")
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
