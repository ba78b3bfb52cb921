"""Runs a plan: starts the peers and sidecars, makes the planned events happen, runs the checks."""

import asyncio
import os
import signal
import socket
import sys
import tempfile
import time
from collections import deque
from dataclasses import dataclass

from tests.soak import closing
from tests.soak.checks import TIMING_INDEPENDENT_KINDS, Checks
from tests.soak.clients import Client, send_burst
from tests.soak.ledger import Observations
from tests.soak.plan import (
    ClientBehaviour,
    ClientPlan,
    EarlySignal,
    Feature,
    PeerFault,
    Shutdown,
    draw_plan,
)
from tests.soak.sidecar import STARTUP_TIMEOUT_SECONDS, Sidecar, clock
from tests.soak.stand_ins import AsyncEndpoint
from tests.support.peers import reserve_port
from thymeknot.gossip import keys

LAG_CHECK_INTERVAL_SECONDS = 0.01
# With more lag of this process the stand-ins were delayed, and timing checks are not conclusive.
MAX_LAG_SECONDS = 0.1
# A sidecar that was runnable for longer without a processor, within CPU_WAIT_SAMPLES lag checks, was
# stalled for longer than the specification tolerates.
MAX_CPU_WAIT_SECONDS = 0.15
CPU_WAIT_SAMPLES = 20
RUN_TIMEOUT_SECONDS = 90.0
SECOND_SIGNAL_DELAY_SECONDS = 0.1
SECOND_KILL_DELAY_SECONDS = 0.7  # after the start that followed the first kill
SERVING_AFTER_RESTART_SECONDS = 1.0
CLIENT_SHUTDOWN_TIMEOUT_SECONDS = 6.0
CONNECT_BEFORE_STOP_SECONDS = 0.05  # for clients whose connections are open at SIGTERM


@dataclass(frozen=True)
class RunResult:
    """The observations and violations of a run.

    Attributes:
        max_lag: Longest delay of a timer of this process, in seconds.
        max_cpu_wait: Longest time that a sidecar process was runnable without a processor within
            CPU_WAIT_SAMPLES lag checks, in seconds.
        inconclusive: Whether the machine was too busy for the checks that depend on time.
    """

    plan: object
    observations: Observations
    violations: list
    max_lag: float
    max_cpu_wait: float

    @property
    def inconclusive(self):
        return self.max_lag > MAX_LAG_SECONDS or self.max_cpu_wait > MAX_CPU_WAIT_SECONDS

    @property
    def failures(self):
        """The violations that count.

        The specification covers a sidecar that is stalled for at most MAX_CPU_WAIT_SECONDS. On a
        machine that was too busy, only violations that do not depend on time count.
        """
        return [
            violation
            for violation in self.violations
            if violation.kind in TIMING_INDEPENDENT_KINDS or not self.inconclusive
        ]

    def summary(self):
        """Returns what was observed in one line."""
        responses = [
            request.responses for request in self.observations.requests.values() if request.sent_at
        ]
        served = sum(bool(received) and received[0][1].startswith(b"$") for received in responses)
        return (
            f"{len(responses)} requests, {served} served, {len(self.observations.attempts)} attempts, "
            f"{len(self.observations.processes)} processes, own lag {self.max_lag * 1000:.0f} ms, "
            f"without a processor {self.max_cpu_wait * 1000:.0f} ms"
            + (
                ", INCONCLUSIVE: checks that depend on time do not count"
                if self.inconclusive
                else ""
            )
        )


def _free_udp_port():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class OperatorFiles:
    """The operator files of the instances, which configure the feature of the plan."""

    def __init__(self, plan):
        self.folder = tempfile.TemporaryDirectory()
        self.names = [f"n{index}" for index in range(plan.instance_count)]
        self.reservations, self.feature = [], plan.feature
        if plan.feature == Feature.NONE:
            return
        self.identities = {
            name: keys.create_key_file(name, self._path(f"{name}.key")) for name in self.names
        }
        self.peer_records = ", ".join(
            keys.peer_record(identity) for identity in self.identities.values()
        )
        self.ports = {}
        for name in self.names:
            if plan.feature == Feature.FLEET:
                reservation, self.ports[name] = reserve_port()
                self.reservations.append(reservation)
            else:
                self.ports[name] = _free_udp_port()

    def _path(self, name):
        return os.path.join(self.folder.name, name)

    def write_file(self, instance):
        """Writes an instance's operator file and returns its path; None without a feature."""
        if self.feature == Feature.NONE:
            return None
        name = self.names[instance]
        text = (
            self._gossip_config(name)
            if self.feature == Feature.GOSSIP
            else self._fleet_config(name)
        )
        with open(self._path(f"{name}.cue"), "w", encoding="utf-8") as target:
            target.write(text)
        return self._path(f"{name}.cue")

    def _gossip_config(self, name):
        seeds = ", ".join(
            f'"127.0.0.1:{self.ports[other]}"' for other in self.names if other != name
        )
        return (
            f'gossip: {{name: "{name}", listen: "127.0.0.1:{self.ports[name]}"\n'
            f'key: "{name}.key", seeds: [{seeds}], from: ["127.0.0.0/8"]\n'
            f"peers: [{self.peer_records}]}}\n"
        )

    def _fleet_config(self, name):
        keepers = ", ".join(
            f'{{name: "{node}", address: "127.0.0.1:{self.ports[node]}", '
            f'keys: [{{key: "{self.identities[node].public_key_text()}"}}]}}'
            for node in self.names
        )
        units = ", ".join(f'{{name: "{node}", kind: "sidecar", zone: "z"}}' for node in self.names)
        return (
            f'fleet: {{name: "{name}", key: "{name}.key", data: "{self._path(name)}"\n'
            f'founds: true, from: ["127.0.0.0/8"], keepers: [{keepers}]\n'
            f'unit: "{name}", units: [{units}]\n'
            f'budgets: [{{name: "all", where: {{kind: "sidecar"}}, most: 1}}]}}\n'
        )

    def close(self):
        for reservation in self.reservations:
            reservation.close()
        self.folder.cleanup()


class PlanRunner:
    """Runs one plan."""

    def __init__(self, plan, code=None):
        self.plan, self.code, self.observations = plan, code, Observations(clock)
        self.endpoints = [
            AsyncEndpoint(endpoint_plan, self.observations, plan.seed)
            for endpoint_plan in plan.endpoints
        ]
        self.operator_files, self.sidecars = OperatorFiles(plan), []
        self.closing_tasks = []
        self.stop_event, self.max_lag, self.max_cpu_wait, self.tasks = (
            asyncio.Event(),
            0.0,
            0.0,
            [],
        )

    async def run(self):
        lag_monitor = asyncio.create_task(self._monitor_lag())
        try:
            await self._open_peers()
            await self._start_sidecars()
            await self._run_traffic()
        finally:
            lag_monitor.cancel()
            for task in self.tasks:
                task.cancel()
            for sidecar in self.sidecars:
                await sidecar.close()
            for endpoint in self.endpoints:
                endpoint.close()
            self.operator_files.close()
        violations = Checks(self.plan, self.observations).run()
        return RunResult(self.plan, self.observations, violations, self.max_lag, self.max_cpu_wait)

    async def _monitor_lag(self):
        cpu_waits = {}
        while True:
            before = clock()
            await asyncio.sleep(LAG_CHECK_INTERVAL_SECONDS)
            self.max_lag = max(self.max_lag, clock() - before - LAG_CHECK_INTERVAL_SECONDS)
            for sidecar in self.sidecars:
                if sidecar.child is not None:
                    samples = cpu_waits.setdefault(
                        sidecar.child.pid, deque(maxlen=CPU_WAIT_SAMPLES)
                    )
                    samples.append(sidecar.cpu_wait_seconds())
                    sidecar.sample_memory()
                    self.max_cpu_wait = max(self.max_cpu_wait, samples[-1] - samples[0])

    async def _open_peers(self):
        for endpoint in self.endpoints:
            await endpoint.open(self.plan.instance_count)
        for instance in range(self.plan.instance_count):
            sidecar = Sidecar(
                instance,
                self.plan.instance_count,
                self.observations,
                self.endpoints,
                self.plan.trial.changes[0][2],
                operator_file=self.operator_files.write_file(instance),
                second_copies=self.plan.second_copies,
                memory_mb=self.plan.memory_mb,
                code=self.code,
            )
            self.sidecars.append(sidecar)
            await sidecar.open()

    async def _start_sidecars(self):
        first = self.sidecars[0]
        if self.plan.early_signal != EarlySignal.NONE:
            first.discovery.stall(1e9)
        for sidecar in self.sidecars:
            await sidecar.start()
        if self.plan.early_signal != EarlySignal.NONE:
            await asyncio.wait_for(first.discovery.stream_opened.wait(), STARTUP_TIMEOUT_SECONDS)
            if self.plan.early_signal == EarlySignal.RELOAD:
                first.reload()
            else:
                first.stop()
                await first.wait_until_ended()
                await first.start()
            first.discovery.stall(0)
            first.discovery.push_updates()
        for sidecar in self.sidecars:
            await asyncio.wait_for(sidecar.ready.wait(), STARTUP_TIMEOUT_SECONDS)

    async def _run_traffic(self):
        plan = self.plan
        clients = [
            Client(
                number,
                client_plan,
                self.sidecars[client_plan.instance],
                self.observations,
                self.stop_event,
            )
            for number, client_plan in enumerate(plan.clients)
        ]
        running = [asyncio.create_task(client.run()) for client in clients]
        self._schedule_events()
        await asyncio.sleep(plan.shutdown_at)
        await self._shut_down()
        self.stop_event.set()
        done, unfinished = await asyncio.wait(running, timeout=CLIENT_SHUTDOWN_TIMEOUT_SECONDS)
        for task in unfinished:
            task.cancel()
        for task in done:
            task.result()

    def _run_at(self, delay, action, *arguments):
        async def later():
            await asyncio.sleep(delay)
            result = action(*arguments)
            if asyncio.iscoroutine(result):
                await result

        self.tasks.append(asyncio.create_task(later()))

    def _schedule_events(self):
        plan = self.plan
        for at in plan.reload_times:
            self._run_at(at, self.sidecars[plan.seed % plan.instance_count].reload)
        for at, peer, fault in plan.peer_faults:
            self._run_at(at, self._inject_peer_fault, peer, fault)
        for at, status, cap in plan.trial.changes[1:]:
            for sidecar in self.sidecars:
                self._run_at(at, sidecar.platform.update_release_state, status, cap)
        for endpoint in self.endpoints:
            for at in endpoint.plan.idle_close_times:
                self._run_at(at, endpoint.close_idle_connections)
            if endpoint.plan.drain_at is not None:
                self._run_at(endpoint.plan.drain_at, self._drain_endpoint, endpoint)
            if endpoint.plan.restart_at is not None:
                self._run_at(endpoint.plan.restart_at, self._restart_endpoint, endpoint)
        if plan.crowd_kind:
            self.tasks.append(asyncio.create_task(self._run_crowd()))
        if plan.burst_size:
            client_plan = ClientPlan(0, 0.0, ClientBehaviour.STEADY, 0.01, 1, plan.seed)
            self._run_at(
                plan.burst_at,
                send_burst,
                plan.burst_size,
                self.sidecars[0],
                self.observations,
                1000,
                client_plan,
            )

    def _inject_peer_fault(self, peer, fault):
        self.observations.add_event(f"{peer}: {fault}")
        for sidecar in self.sidecars:
            server = sidecar.discovery if peer == "discovery" else sidecar.platform
            if fault == PeerFault.STALL:
                server.stall()
            elif fault == PeerFault.RESET_STREAMS or peer == "platform":
                server.reset_streams()
            else:
                self.tasks.append(asyncio.create_task(sidecar.move_discovery()))

    def _drain_endpoint(self, endpoint):
        endpoint.state = "Terminating"
        self.observations.add_event(f"{endpoint.plan.name} drains")
        for sidecar in self.sidecars:
            sidecar.discovery.update_endpoint(endpoint)

    async def _restart_endpoint(self, endpoint):
        """Replaces the endpoint's process by a new one at the same address."""
        endpoint.close()
        endpoint.generation += 1
        endpoint.state, endpoint.started_ms = "Ready", int(time.time() * 1000)
        await endpoint.open(self.plan.instance_count)
        self.observations.add_event(f"{endpoint.plan.name} is restarted, cold")
        for sidecar in self.sidecars:
            sidecar.discovery.update_endpoint(endpoint)

    async def _run_crowd(self):
        """Plays the crowd against one of the instances until the end of the traffic."""
        plan = self.plan
        self.observations.add_event(f"{plan.crowd_size} clients: {plan.crowd_kind}")
        sidecar = self.sidecars[plan.seed % plan.instance_count]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.crowd.behaviours",
            plan.crowd_kind,
            str(sidecar.port),
            str(plan.crowd_size),
            str(plan.shutdown_at),
            str(plan.seed),
            stdout=asyncio.subprocess.DEVNULL,
        )
        try:
            await process.wait()
        finally:
            if process.returncode is None:
                process.kill()

    async def _shut_down(self):
        """Shuts one instance down as planned, and the others by SIGTERM."""
        chosen = self.sidecars[self.plan.seed % self.plan.instance_count]
        await self._shut_down_as_drawn(chosen)
        await asyncio.wait(self.closing_tasks, timeout=CLIENT_SHUTDOWN_TIMEOUT_SECONDS)
        for sidecar in self.sidecars:
            if sidecar is not chosen:
                sidecar.stop()
        for sidecar in self.sidecars:
            if sidecar is not chosen:
                await sidecar.wait_until_ended()

    async def _shut_down_as_drawn(self, sidecar):
        shutdown = self.plan.shutdown
        if shutdown == Shutdown.KILL_AND_RESTART:
            await sidecar.kill()
            await sidecar.start()
            if self.plan.second_kill:
                await asyncio.sleep(SECOND_KILL_DELAY_SECONDS)
                await sidecar.kill()
                await sidecar.start()
            await asyncio.wait_for(sidecar.ready.wait(), STARTUP_TIMEOUT_SECONDS)
            await asyncio.sleep(SERVING_AFTER_RESTART_SECONDS)
        if shutdown == Shutdown.RELOADS_AND_STOP:
            sidecar.reload()
            sidecar.reload()
        self.closing_tasks = closing.start_clients(self.plan, sidecar, self.observations)
        self.tasks += self.closing_tasks
        await asyncio.sleep(CONNECT_BEFORE_STOP_SECONDS)
        sidecar.stop()
        if shutdown == Shutdown.STOP_TWICE:
            await asyncio.sleep(SECOND_SIGNAL_DELAY_SECONDS)
            sidecar.stop()
        if shutdown == Shutdown.RELOADS_AND_STOP:
            await asyncio.sleep(SECOND_SIGNAL_DELAY_SECONDS)
            sidecar.send_signal(signal.SIGHUP)
        await sidecar.wait_until_ended()


def run_plan(seed, code=None):
    """Runs the plan of this seed once and returns the RunResult."""

    async def run():
        return await asyncio.wait_for(PlanRunner(draw_plan(seed), code).run(), RUN_TIMEOUT_SECONDS)

    return asyncio.run(run())
