"""Runs one sidecar instance: writes its configuration, starts its processes and signals them."""

import asyncio
import copy
import json
import os
import signal
import sys
import tempfile
import time

from tests.crowd.trial import memory_of
from tests.soak.ledger import SidecarProcess
from tests.soak.stand_ins import AsyncDiscovery, AsyncPlatform, instance_host
from tests.support.peers import SETTINGS, reserve_port

SOCKET_LIMIT = 256
MAX_TIMEOUT_SECONDS = 3.0  # the longest request timeout of a client
# The earliest time after SIGTERM at which the specification allows SIGKILL.
KILL_AFTER_SECONDS = MAX_TIMEOUT_SECONDS + 0.7
STARTUP_TIMEOUT_SECONDS = 30.0
# The latency objective where hedged requests are allowed; they are sent after a part of it.
HEDGED_OBJECTIVE_NANOSECONDS = 1_000_000_000


class Sidecar:
    """One sidecar instance with a discovery agent and a release platform of its own.

    Attributes:
        discovery: Its discovery agent; another one after a move.
        former_discoveries: The agents before the last move.
        process: The record of the process that runs, or ran last.
        child: That process.
        ready: Set once the process has logged that it is ready, or has ended.

    Args:
        instance: Number of the instance.
        instance_count: How many instances there are.
        operator_file: Path of its operator file, if it has one.
        memory_mb: The memory that it may take.
        second_copies: Whether its settings allow hedged requests.
        code: Python code to run in place of the program, with a fault injected.
    """

    def __init__(
        self,
        instance,
        instance_count,
        observations,
        endpoints,
        initial_cap,
        *,
        operator_file=None,
        second_copies=False,
        memory_mb=192,
        code=None,
    ):
        self.instance, self.instance_count, self.observations, self.endpoints = (
            instance,
            instance_count,
            observations,
            endpoints,
        )
        self.operator_file, self.code = operator_file, code
        self.second_copies = second_copies
        self.memory_mb = memory_mb
        self.discovery = AsyncDiscovery(instance, observations, endpoints)
        self.platform = AsyncPlatform(instance, observations, initial_cap)
        self.former_discoveries = []
        self.reservation, self.port = reserve_port()
        self.folder = tempfile.TemporaryDirectory()
        self.config_path = os.path.join(self.folder.name, "config.json")
        self.process, self.child, self.log_readers = None, None, []
        self.ready = asyncio.Event()

    async def open(self):
        await self.discovery.open()
        await self.platform.open()

    async def close(self):
        if self.child is not None and self.child.returncode is None:
            self.child.kill()
            await self.child.wait()
        for reader in self.log_readers:
            await reader
        for server in (self.discovery, self.platform, *self.former_discoveries):
            server.close()
        self.reservation.close()
        self.folder.cleanup()

    def write_config(self):
        """Writes the configuration file with the present endpoints and release state."""
        settings = copy.deepcopy(SETTINGS)
        settings["balancers"] = self.instance_count
        if self.second_copies:
            settings["permissions"]["second_copies"] = True
            for request_class in settings["categories"]:
                request_class["promise"] = HEDGED_OBJECTIVE_NANOSECONDS
        config = {
            "name": f"n{self.instance}",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": SOCKET_LIMIT},
            "deployer": {"address": self.platform.address, "news": self.platform.current_state()},
            "known": self.discovery.full_list(),
            "settings": settings,
        }
        with open(self.config_path + ".new", "w", encoding="utf-8") as target:
            json.dump(config, target)
        os.replace(self.config_path + ".new", self.config_path)

    async def start(self):
        """Starts a process; `ready` is set once it is ready."""
        self.write_config()
        self.ready = asyncio.Event()
        arguments = [sys.executable, "-m", "thymeknot"]
        if self.code:
            arguments = [sys.executable, "-c", self.code]
        elif self.operator_file:
            arguments += ["--operator", self.operator_file]
        self.process = SidecarProcess(
            len(self.observations.processes), self.instance, self.observations.clock()
        )
        self.observations.processes.append(self.process)
        self.observations.add_event(
            f"process {self.process.number} of instance {self.instance} starts"
        )
        self.child = await asyncio.create_subprocess_exec(
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env={**os.environ, "NODE_CONFIG": self.config_path},
        )
        self.log_readers.append(asyncio.create_task(self._read_log(self.child, self.process)))

    async def _read_log(self, child, process):
        async for line in child.stdout:
            if b'"event":"ready"' in line:
                process.ready_at = self.observations.clock()
                self.observations.add_event(f"process {process.number} is ready")
                if process is self.process:
                    self.ready.set()
            elif b'"event":"stopping"' in line or b'"event":"stopped"' in line:
                self.observations.add_event(
                    f"process {process.number} logs {line.decode().strip()}"
                )
            elif b'"event":"fault"' in line or b"Traceback" in line:
                process.fault_lines.append(line.decode(errors="replace").strip())
        process.exit_status = await child.wait()
        process.ended_at = self.observations.clock()
        self.observations.add_event(
            f"process {process.number} ends with status {process.exit_status}"
        )
        if process is self.process:
            self.ready.set()

    def send_signal(self, signal_number):
        """Sends a signal if the process still runs."""
        if self.child.returncode is None:
            self.observations.add_event(
                f"{signal.Signals(signal_number).name} to process {self.process.number}"
            )
            self.child.send_signal(signal_number)

    def reload(self):
        """Rewrites the configuration file and sends SIGHUP."""
        self.write_config()
        self.send_signal(signal.SIGHUP)

    async def move_discovery(self):
        """Starts discovery at another address; the former agent sends nothing any more."""
        former, self.discovery = (
            self.discovery,
            AsyncDiscovery(self.instance, self.observations, self.endpoints),
        )
        self.discovery.version, self.discovery.changes = former.version, former.changes
        former.stall(1e9)
        self.former_discoveries.append(former)
        await self.discovery.open()
        self.observations.add_event(f"discovery of instance {self.instance} moves")
        self.reload()

    def stop(self):
        """Sends SIGTERM and records when the first one was sent."""
        if self.process.sigterm_at is None:
            self.process.sigterm_at = self.observations.clock()
        self.send_signal(signal.SIGTERM)

    async def wait_until_ended(self):
        """Waits until the process ends; kills it KILL_AFTER_SECONDS after the first SIGTERM."""
        process, child = self.process, self.child
        time_left = process.sigterm_at + KILL_AFTER_SECONDS - self.observations.clock()
        try:
            await asyncio.wait_for(child.wait(), max(0.0, time_left))
        except TimeoutError:
            process.sigkill_at, process.killed = self.observations.clock(), True
            self.send_signal(signal.SIGKILL)
            await child.wait()

    async def kill(self):
        """Kills the process with SIGKILL."""
        self.process.sigkill_at, self.process.killed = self.observations.clock(), True
        self.send_signal(signal.SIGKILL)
        await self.child.wait()

    def sample_memory(self):
        """Records the anonymous memory of the process, unless it has ended."""
        memory = memory_of(self.child.pid) if self.child.returncode is None else None
        if memory:
            self.process.peak_memory_mb = max(self.process.peak_memory_mb, memory["anonymous"])

    def cpu_wait_seconds(self):
        """Returns how long the process was runnable without a processor; 0 once it has ended."""
        try:
            with open(f"/proc/{self.child.pid}/schedstat", encoding="utf-8") as source:
                return int(source.read().split()[1]) / 1e9
        except (OSError, IndexError, AttributeError):
            return 0.0

    def open_descriptors(self):
        """Returns the number of the process's open descriptors; None if it has ended."""
        try:
            return len(os.listdir(f"/proc/{self.child.pid}/fd"))
        except OSError:
            return None

    def resident_kb(self):
        """Returns the process's resident memory in kB; None if it has ended."""
        try:
            with open(f"/proc/{self.child.pid}/status", encoding="utf-8") as source:
                return next(int(line.split()[1]) for line in source if line.startswith("VmRSS"))
        except (OSError, StopIteration):
            return None


def clock():
    """Returns the seconds of the machine's monotonic clock."""
    return time.monotonic()


__all__ = [
    "KILL_AFTER_SECONDS",
    "MAX_TIMEOUT_SECONDS",
    "STARTUP_TIMEOUT_SECONDS",
    "Sidecar",
    "clock",
    "instance_host",
]
