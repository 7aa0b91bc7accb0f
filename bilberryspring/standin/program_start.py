"""Starts the programs of a test fleet as processes that share preloaded libraries.

Importing the libraries takes about a second of CPU time per program, and a test run
starts two thousand programs. They are therefore forked from a server process that has
imported only the libraries. Each program imports its own modules and reads its own
settings, as it does when it is started from a shell.

A program is killed when the process that started it exits, so that none is left over
after a test run is killed.
"""

import multiprocessing
import os
import runpy
import signal
import sys
import threading
from multiprocessing.process import BaseProcess
from pathlib import Path

__all__ = ["start_program"]

PRELOADED_LIBRARIES = [
    "aiohttp",
    "capnp",
    "cleo.application",
    "hdrh.histogram",
    "json5",
    "loguru",
    "opentelemetry.sdk.trace",
    "prometheus_client",
    "psutil",
    "pydantic",
    "sanic",
    "uvloop",
    "xxhash",
]

_context = multiprocessing.get_context("forkserver")
_context.set_forkserver_preload(PRELOADED_LIBRARIES)


def start_program(module: str, arguments: list[str], log_path: Path) -> BaseProcess:
    """Start a program and return its process.

    :param module: module to run as the main one.
    :param arguments: command line arguments.
    :param log_path: file to which standard output and error are appended.
    """
    process = _context.Process(
        target=_run_program, args=(module, arguments, log_path), daemon=True
    )
    process.start()
    return process


def _run_program(module: str, arguments: list[str], log_path: Path) -> None:
    threading.Thread(target=_exit_with_parent, daemon=True).start()
    with log_path.open("ab") as log:
        os.dup2(log.fileno(), sys.stdout.fileno())
        os.dup2(log.fileno(), sys.stderr.fileno())
    sys.argv = [module, *arguments]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


def _exit_with_parent() -> None:
    multiprocessing.parent_process().join()
    os.kill(os.getpid(), signal.SIGKILL)
