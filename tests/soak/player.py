"""Plays a plan: starts everything, has it happen, and gives what was seen."""

import asyncio
import os
import signal
import socket
import tempfile
import time
from collections import deque
from dataclasses import dataclass

from tests.soak.checks import UNTIMED, Checks
from tests.soak.clients import Client, crowd
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
from tests.soak.sidecar import READY_WITHIN, Sidecar, clock
from tests.soak.stand_ins import Pod
from tests.support.peers import reserve_port
from thymeknot.gossip import keys

LAG_LOOKS = 0.01  # seconds between two looks at how late this process itself is
LAG_MOST = 0.1  # seconds: beyond that the stand-ins were held up, and the play says nothing
STARVED_MOST = 0.15  # seconds without a processor in a stretch: the page allows for no more
STRETCH_LOOKS = 20  # looks of a stretch
PLAYS_WITHIN = 90.0  # seconds
SECOND_SIGNAL_AFTER = 0.1  # seconds
RESTARTED_SERVES = 1.0  # seconds
CLIENTS_END_WITHIN = 6.0  # seconds


@dataclass(frozen=True)
class Played:
    """What a play came to.

    Attributes:
        lag: the most by which this process was late, in seconds.
        starved: the longest that a process of the program had no processor within a stretch, in seconds.
        void: whether the machine was too busy for the play to say anything.
    """

    plan: object
    ledger: Observations
    breaches: list
    lag: float
    starved: float

    @property
    def void(self):
        return self.lag > LAG_MOST or self.starved > STARVED_MOST

    @property
    def failures(self):
        """The breaches that count: "a sidecar that is held up for up to 0.15 s", and no more, is the page's term."""
        return [one for one in self.breaches if one.kind in UNTIMED or not self.void]

    def told(self):
        """In a line, what was seen."""
        answers = [
            request.responses for request in self.ledger.requests.values() if request.sent_at
        ]
        served = sum(bool(one) and one[0][1].startswith(b"$") for one in answers)
        return (
            f"{len(answers)} requests, {served} served, {len(self.ledger.attempts)} attempts, "
            f"{len(self.ledger.processes)} processes, own lag {self.lag * 1000:.0f} ms, "
            f"without a processor {self.starved * 1000:.0f} ms"
            + (", VOID: what hangs on time says nothing" if self.void else "")
        )


def _udp_port():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as place:
        place.bind(("127.0.0.1", 0))
        return place.getsockname()[1]


class Operators:
    """The operator files of the instances, for the feature of the play."""

    def __init__(self, plan):
        self.folder = tempfile.TemporaryDirectory()
        self.names = [f"n{at}" for at in range(plan.instance_count)]
        self.kept, self.feature = [], plan.feature
        if plan.feature == Feature.NONE:
            return
        self.identities = {
            name: keys.create_key_file(name, self._at(f"{name}.key")) for name in self.names
        }
        self.records = ", ".join(keys.peer_record(one) for one in self.identities.values())
        self.ports = {}
        for name in self.names:
            if plan.feature == Feature.FLEET:
                place, self.ports[name] = reserve_port()
                self.kept.append(place)
            else:
                self.ports[name] = _udp_port()

    def _at(self, name):
        return os.path.join(self.folder.name, name)

    def file(self, instance):
        """The path of an instance's file; None without a feature."""
        if self.feature == Feature.NONE:
            return None
        name = self.names[instance]
        text = self._gossip(name) if self.feature == Feature.GOSSIP else self._fleet(name)
        with open(self._at(f"{name}.cue"), "w", encoding="utf-8") as target:
            target.write(text)
        return self._at(f"{name}.cue")

    def _gossip(self, name):
        seeds = ", ".join(f'"127.0.0.1:{self.ports[one]}"' for one in self.names if one != name)
        return (
            f'gossip: {{name: "{name}", listen: "127.0.0.1:{self.ports[name]}"\n'
            f'key: "{name}.key", seeds: [{seeds}], from: ["127.0.0.0/8"]\n'
            f"peers: [{self.records}]}}\n"
        )

    def _fleet(self, name):
        keepers = ", ".join(
            f'{{name: "{one}", address: "127.0.0.1:{self.ports[one]}", '
            f'keys: [{{key: "{self.identities[one].public_key_text()}"}}]}}'
            for one in self.names
        )
        units = ", ".join(f'{{name: "{one}", kind: "sidecar", zone: "z"}}' for one in self.names)
        return (
            f'fleet: {{name: "{name}", key: "{name}.key", data: "{self._at(name)}"\n'
            f'founds: true, from: ["127.0.0.0/8"], keepers: [{keepers}]\n'
            f'unit: "{name}", units: [{units}]\n'
            f'budgets: [{{name: "all", where: {{kind: "sidecar"}}, most: 1}}]}}\n'
        )

    def close(self):
        for place in self.kept:
            place.close()
        self.folder.cleanup()


class Player:
    """One play."""

    def __init__(self, plan, code=None):
        self.plan, self.code, self.ledger = plan, code, Observations(clock)
        self.pods = [Pod(one, self.ledger, plan.seed) for one in plan.pods]
        self.operators, self.sidecars = Operators(plan), []
        self.over, self.lag, self.starved, self.tasks = asyncio.Event(), 0.0, 0.0, []

    async def play(self):
        watching = asyncio.create_task(self._watch_lag())
        try:
            await self._open()
            await self._start_all()
            await self._go_on()
        finally:
            watching.cancel()
            for task in self.tasks:
                task.cancel()
            for sidecar in self.sidecars:
                await sidecar.close()
            for pod in self.pods:
                pod.close()
            self.operators.close()
        breaches = Checks(self.plan, self.ledger).run()
        return Played(self.plan, self.ledger, breaches, self.lag, self.starved)

    async def _watch_lag(self):
        waited = {}
        while True:
            before = clock()
            await asyncio.sleep(LAG_LOOKS)
            self.lag = max(self.lag, clock() - before - LAG_LOOKS)
            for sidecar in self.sidecars:
                if sidecar.running is not None:
                    looks = waited.setdefault(sidecar.running.pid, deque(maxlen=STRETCH_LOOKS))
                    looks.append(sidecar.waited_for_processor())
                    self.starved = max(self.starved, looks[-1] - looks[0])

    async def _open(self):
        for pod in self.pods:
            await pod.open(self.plan.instance_count)
        for instance in range(self.plan.instance_count):
            sidecar = Sidecar(
                instance,
                self.plan.instance_count,
                self.ledger,
                self.pods,
                self.plan.trial.changes[0][2],
                operator=self.operators.file(instance),
                code=self.code,
            )
            self.sidecars.append(sidecar)
            await sidecar.open()

    async def _start_all(self):
        first = self.sidecars[0]
        if self.plan.early_signal != EarlySignal.NONE:
            first.discovery.stall(1e9)
        for sidecar in self.sidecars:
            await sidecar.start()
        if self.plan.early_signal != EarlySignal.NONE:
            await asyncio.wait_for(first.discovery.asked.wait(), READY_WITHIN)
            if self.plan.early_signal == EarlySignal.RELOAD:
                first.reload()
            else:
                first.stop()
                await first.ended()
                await first.start()
            first.discovery.stall(0)
            first.discovery.tell_all()
        for sidecar in self.sidecars:
            await asyncio.wait_for(sidecar.ready.wait(), READY_WITHIN)

    async def _go_on(self):
        plan = self.plan
        clients = [
            Client(number, one, self.sidecars[one.instance], self.ledger, self.over)
            for number, one in enumerate(plan.clients)
        ]
        running = [asyncio.create_task(client.run()) for client in clients]
        self._schedule()
        await asyncio.sleep(plan.ends_at)
        await self._end()
        self.over.set()
        done, late = await asyncio.wait(running, timeout=CLIENTS_END_WITHIN)
        for task in late:
            task.cancel()
        for task in done:
            task.result()

    def _at(self, when, act, *arguments):
        async def later():
            await asyncio.sleep(when)
            result = act(*arguments)
            if asyncio.iscoroutine(result):
                await result

        self.tasks.append(asyncio.create_task(later()))

    def _schedule(self):
        plan = self.plan
        for at in plan.reloads:
            self._at(at, self.sidecars[plan.seed % plan.instance_count].reload)
        for at, whose, what in plan.peer_faults:
            self._at(at, self._trouble, whose, what)
        for at, status, cap in plan.trial.changes[1:]:
            for sidecar in self.sidecars:
                self._at(at, sidecar.platform.change, status, cap)
        for pod in self.pods:
            for at in pod.plan.cuts_idle_at:
                self._at(at, pod.cut_idle)
            if pod.plan.drained_at is not None:
                self._at(pod.plan.drained_at, self._drain, pod)
            if pod.plan.back_at is not None:
                self._at(pod.plan.back_at, self._come_back, pod)
        if plan.burst_size:
            steady = ClientPlan(0, 0.0, ClientBehaviour.STEADY, 0.01, 1, plan.seed)
            self._at(
                plan.crowd_at, crowd, plan.burst_size, self.sidecars[0], self.ledger, 1000, steady
            )

    def _trouble(self, whose, what):
        self.ledger.note(f"{whose}: {what}")
        for sidecar in self.sidecars:
            part = sidecar.discovery if whose == "discovery" else sidecar.platform
            if what == PeerFault.STALL:
                part.stall()
            elif what == PeerFault.CUT or whose == "platform":
                part.cut()
            else:
                self.tasks.append(asyncio.create_task(sidecar.move_discovery()))

    def _drain(self, pod):
        pod.state = "Terminating"
        self.ledger.note(f"{pod.plan.name} drains")
        for sidecar in self.sidecars:
            sidecar.discovery.change(pod)

    async def _come_back(self, pod):
        """Another process, at the same address."""
        pod.close()
        pod.life += 1
        pod.state, pod.started_ms = "Ready", int(time.time() * 1000)
        await pod.open(self.plan.instance_count)
        self.ledger.note(f"{pod.plan.name} is back, cold")
        for sidecar in self.sidecars:
            sidecar.discovery.change(pod)

    async def _end(self):
        """The drawn end at one instance, a plain one at the others."""
        chosen = self.sidecars[self.plan.seed % self.plan.instance_count]
        await self._drawn_end(chosen)
        for sidecar in self.sidecars:
            if sidecar is not chosen:
                sidecar.stop()
        for sidecar in self.sidecars:
            if sidecar is not chosen:
                await sidecar.ended()

    async def _drawn_end(self, sidecar):
        ending = self.plan.shutdown
        if ending == Shutdown.KILL_AND_RESTART:
            await sidecar.kill()
            await sidecar.start()
            await asyncio.wait_for(sidecar.ready.wait(), READY_WITHIN)
            await asyncio.sleep(RESTARTED_SERVES)
        if ending == Shutdown.RELOADS_AND_STOP:
            sidecar.reload()
            sidecar.reload()
        sidecar.stop()
        if ending == Shutdown.STOP_TWICE:
            await asyncio.sleep(SECOND_SIGNAL_AFTER)
            sidecar.stop()
        if ending == Shutdown.RELOADS_AND_STOP:
            await asyncio.sleep(SECOND_SIGNAL_AFTER)
            sidecar.send(signal.SIGHUP)
        await sidecar.ended()


def play(seed, code=None):
    """Plays the plan of this seed, once."""

    async def bounded():
        return await asyncio.wait_for(Player(draw_plan(seed), code).play(), PLAYS_WITHIN)

    return asyncio.run(bounded())
