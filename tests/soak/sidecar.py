"""An instance of the program: its configuration, its processes one after another, and their signals."""

import asyncio
import copy
import json
import os
import signal
import sys
import tempfile
import time

from tests.soak.ledger import Process
from tests.soak.stand_ins import Discovery, Platform, host_of
from tests.support.peers import SETTINGS, reserve_port

SOCKETS = 256
OUTER_LIMIT = 3.0  # seconds: the longest deadline that a client has
KILL_AFTER = OUTER_LIMIT + 0.7  # seconds from SIGTERM, at the page's earliest
READY_WITHIN = 30.0  # seconds


class Sidecar:
    """One instance.

    Attributes:
        discovery: its agent; another one after a move.
        process: the record of the process that runs, or ran last.
    """

    def __init__(self, instance, count, ledger, pods, cap, *, operator=None, code=None):
        self.instance, self.count, self.ledger, self.pods = instance, count, ledger, pods
        self.operator, self.code = operator, code
        self.discovery = Discovery(instance, ledger, pods)
        self.platform = Platform(instance, ledger, cap)
        self.retired = []
        self.place, self.port = reserve_port()
        self.folder = tempfile.TemporaryDirectory()
        self.path = os.path.join(self.folder.name, "config.json")
        self.process, self.running, self.readers = None, None, []
        self.ready = asyncio.Event()

    async def open(self):
        await self.discovery.open()
        await self.platform.open()

    async def close(self):
        if self.running is not None and self.running.returncode is None:
            self.running.kill()
            await self.running.wait()
        for reader in self.readers:
            await reader
        for part in (self.discovery, self.platform, *self.retired):
            part.close()
        self.place.close()
        self.folder.cleanup()

    def write(self):
        """Writes the configuration as things stand."""
        settings = copy.deepcopy(SETTINGS)
        settings["balancers"] = self.count
        told = {
            "name": f"n{self.instance}",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS},
            "deployer": {"address": self.platform.address, "news": self.platform.standing()},
            "known": self.discovery.listing(),
            "settings": settings,
        }
        with open(self.path + ".new", "w", encoding="utf-8") as target:
            json.dump(told, target)
        os.replace(self.path + ".new", self.path)

    async def start(self):
        """Starts a process; it is ready once `ready` is set."""
        self.write()
        self.ready = asyncio.Event()
        words = [sys.executable, "-m", "thymeknot"]
        if self.code:
            words = [sys.executable, "-c", self.code]
        elif self.operator:
            words += ["--operator", self.operator]
        self.process = Process(len(self.ledger.processes), self.instance, self.ledger.clock())
        self.ledger.processes.append(self.process)
        self.ledger.note(f"process {self.process.number} of instance {self.instance} starts")
        self.running = await asyncio.create_subprocess_exec(
            *words,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env={**os.environ, "NODE_CONFIG": self.path},
        )
        self.readers.append(asyncio.create_task(self._read(self.running, self.process)))

    async def _read(self, running, process):
        async for line in running.stdout:
            if b'"event":"ready"' in line:
                process.ready_at = self.ledger.clock()
                self.ledger.note(f"process {process.number} is ready")
                if process is self.process:
                    self.ready.set()
            elif b'"event":"stopping"' in line or b'"event":"stopped"' in line:
                self.ledger.note(f"process {process.number} logs {line.decode().strip()}")
            elif b'"event":"fault"' in line or b"Traceback" in line:
                process.faults.append(line.decode(errors="replace").strip())
        process.status = await running.wait()
        process.ended_at = self.ledger.clock()
        self.ledger.note(f"process {process.number} ends with status {process.status}")
        if process is self.process:
            self.ready.set()

    def send(self, number):
        """Sends a signal, if the process still runs."""
        if self.running.returncode is None:
            self.ledger.note(f"{signal.Signals(number).name} to process {self.process.number}")
            self.running.send_signal(number)

    def reload(self):
        """Writes the configuration anew and announces it."""
        self.write()
        self.send(signal.SIGHUP)

    async def move_discovery(self):
        """Discovery goes on at another address; the former one is silent."""
        former, self.discovery = self.discovery, Discovery(self.instance, self.ledger, self.pods)
        self.discovery.version, self.discovery.changes = former.version, former.changes
        former.stall(1e9)
        self.retired.append(former)
        await self.discovery.open()
        self.ledger.note(f"discovery of instance {self.instance} moves")
        self.reload()

    def stop(self):
        """Sends SIGTERM; the kill comes at the page's earliest."""
        if self.process.stop_at is None:
            self.process.stop_at = self.ledger.clock()
        self.send(signal.SIGTERM)

    async def ended(self):
        """Waits for the end of a process that was told to stop, and kills it at the page's earliest."""
        process, running = self.process, self.running
        left = process.stop_at + KILL_AFTER - self.ledger.clock()
        try:
            await asyncio.wait_for(running.wait(), max(0.0, left))
        except TimeoutError:
            process.kill_at, process.killed = self.ledger.clock(), True
            self.send(signal.SIGKILL)
            await running.wait()

    async def kill(self):
        """Ends the process at once."""
        self.process.kill_at, self.process.killed = self.ledger.clock(), True
        self.send(signal.SIGKILL)
        await self.running.wait()

    def waited_for_processor(self):
        """Seconds that the process was ready to run and had no processor, by the kernel; 0 once it has ended."""
        try:
            with open(f"/proc/{self.running.pid}/schedstat", encoding="utf-8") as source:
                return int(source.read().split()[1]) / 1e9
        except (OSError, IndexError, AttributeError):
            return 0.0

    def descriptors(self):
        """How many files the process has open; None if it has ended."""
        try:
            return len(os.listdir(f"/proc/{self.running.pid}/fd"))
        except OSError:
            return None

    def resident_kb(self):
        """Its resident memory; None if it has ended."""
        try:
            with open(f"/proc/{self.running.pid}/status", encoding="utf-8") as source:
                return next(int(line.split()[1]) for line in source if line.startswith("VmRSS"))
        except (OSError, StopIteration):
            return None


def clock():
    """Seconds of the machine's monotonic clock."""
    return time.monotonic()


__all__ = ["KILL_AFTER", "OUTER_LIMIT", "READY_WITHIN", "Sidecar", "clock", "host_of"]
