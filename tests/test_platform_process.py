"""Tests of the process that runs a host on the users' platform."""

import subprocess
import sys

# Replaces the daemon by one that gets a signal as soon as it is loaded.
SCRIPT = """
import os, signal, sys, types

daemon = types.ModuleType('oriolearch.platform.daemon')
daemon.main = lambda: os.kill(os.getpid(), signal.SIGHUP) or 0
sys.modules['oriolearch.platform.daemon'] = daemon
from oriolearch.platform.__main__ import run

sys.exit(run())
"""


def test_change_of_settings_while_the_process_starts() -> None:
    """Guard against a process that a SIGHUP ends before its handler is set."""
    ended = subprocess.run([sys.executable, '-c', SCRIPT], check=False)
    assert ended.returncode == 0
