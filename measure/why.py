"""Measures the decision log: `make measure-why SEED=n`.

Checks whether explanations are right, and measures what the log retains and what it costs. The last
line of the output is a JSON object. Simulated: the mix of cases, the flood, hours of traffic. On
the own rig: killed writers, CPU time and latency of real programs on loopback.
"""

import argparse
import gc
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from measure.load import drive, quantile
from measure.why_cases import DECISION_LOG_SETTINGS, NOW, run_case_mix
from tests.support.decisions import REQUEST_CLASSES
from tests.support.peers import FakeEndpoint, reserve_port, wait_until
from tests.support.programs import Program
from thymeknot.cli.decision_log_client import query_results
from thymeknot.decision_log.entry_codec import SLOT_BYTES
from thymeknot.decision_log.fair_eviction import FairEviction
from thymeknot.decision_log.recorder import Recorder
from thymeknot.decision_log.slot_file import SlotFile
from thymeknot.interface.reasons import Reason as R
from thymeknot.state.random_source import LinearCongruentialGenerator

SECOND = 10_000


class RecorderRig:
    """A recorder with a simulated clock, and requests for it.

    Attributes:
        now: Simulated time, in ticks.
        random_source: Random numbers of the requests.
        recorder: The recorder.
    """

    def __init__(self, seed, megabytes=2, path=None, span_seconds=900):
        self.now, self.random_source = NOW, random.Random(seed)
        settings = DECISION_LOG_SETTINGS._replace(megabytes=megabytes, span=span_seconds * SECOND)
        slot_file = SlotFile(megabytes * 1_000_000 // SLOT_BYTES, path)
        self.recorder = Recorder(
            settings,
            REQUEST_CLASSES,
            slot_file,
            epoch=0,
            clock=lambda: self.now,
            random_source=LinearCongruentialGenerator(seed),
        )

    def record_request(
        self, name, request_class="read", tenant="t0", key=None, final_reason=R.DONE, attempts=1
    ):
        """Records a request with all its attempts.

        Args:
            name: Request id.
            request_class: Name of its request class.
            tenant: Its tenant.
            key: Its key, by default its id.
            final_reason: Reason of the final response: DONE, DEFERRED, ABANDONED.
            attempts: Number of attempts.
        """
        recorder = self.recorder
        recorder.request_received(name, key or name, tenant, request_class, False)
        recorder.record_reason(name, R.POSITION, 0.3, 0.2, 0.5)
        for attempt_number in range(attempts):
            recorder.record_reason(
                name, R.SENT, f"s-{self.random_source.randrange(12)}", 1, False, 9000, 1.0
            )
            recorder.record_reason(
                name,
                R.ENDED,
                "s-1",
                attempt_number,
                "done" if final_reason == R.DONE else "error",
                200,
                False,
            )
        if final_reason == R.DONE:
            recorder.request_answered(name, final_reason)
        else:
            recorder.record_reason(
                name, final_reason, *((50,) if final_reason == R.DEFERRED else ("s-1",))
            )
        recorder.request_finished(name)


def simulate_flood(seed):
    """Records costly requests among a flood of cheap ones.

    The flood has 200,000 requests of one tenant, each with a new key: 10,000 per simulated second.

    Returns:
        Figures: how many costly requests the log must still have, and how many it has.
    """
    rig, costly_ids = RecorderRig(seed), []
    for second in range(20):
        for index in range(10_000):
            rig.now += 1
            rig.record_request(
                f"c{second}-{index}",
                tenant="loud",
                key=f"k{second}-{index}",
                final_reason=R.DEFERRED if index % 2 else R.DONE,
            )
            if index % 5000 == 77:
                name = f"pay{second}-{index}"
                rig.record_request(
                    name,
                    "pay",
                    tenant=f"t{second % 3}",
                    final_reason=(R.ABANDONED, R.DONE, R.DEFERRED)[second % 3],
                )
                costly_ids.append(name)
    rig.recorder.flush(rig.now + SECOND)
    regions = {region["region"]: region for region in rig.recorder.retention_report()["regions"]}
    region_slots = min(regions["pay, unusual"]["slots"], regions["pay, as usual"]["slots"])
    # The guarantee: as many as the region has slots are retained, whatever else is recorded.
    guaranteed = costly_ids[-region_slots:]
    return {
        "costly_kept": sum(any(rig.recorder.find_by_name(name)) for name in guaranteed),
        "costly_within": len(guaranteed),
        "flooded": 200_000,
        "stays_s": regions["pay, unusual"]["stays_s"],
    }


def resident_megabytes():
    """Returns the resident memory of this process, in units of 10^6 bytes."""
    gc.collect()
    with open("/proc/self/statm", encoding="ascii") as source:
        return round(int(source.read().split()[1]) * 4096 / 1e6, 2)


def simulate_hours(task):
    """Simulates hours of traffic: 40 requests per second of a million tenants, with new keys.

    Args:
        task: Seed and duration in seconds.

    Returns:
        Resident memory after each quarter of the time, in units of 10^6 bytes.
    """
    seed, seconds = task
    rig, memory = RecorderRig(seed), []
    for second in range(seconds):
        for index in range(40):
            rig.now += SECOND // 40
            tenant = f"t{rig.random_source.randrange(1_000_000)}"
            rig.record_request(
                f"{second}-{index}",
                "pay" if index == 3 else "read",
                tenant,
                final_reason=R.DEFERRED if index % 7 == 0 else R.DONE,
                attempts=1 + (index % 9 == 0),
            )
        if (second + 1) % (seconds // 4) == 0:
            memory.append(resident_megabytes())
    recorder = rig.recorder
    assert (
        len(recorder.index.slots) <= recorder.slot_file.slots
        and len(recorder.index.by_id) <= recorder.slot_file.slots
    )
    return memory[:4]


def write_until_killed(path, seed):
    """Writes entries to a log file until the process is killed.

    Prints the number of each entry after it has been written completely.
    """
    rig = RecorderRig(seed, 1, path)
    number = 0
    while True:
        rig.now += 10 * SECOND
        rig.record_request(f"w-{number}", "pay", final_reason=R.ABANDONED)
        rig.recorder.flush(rig.now, 0)
        os.write(1, b"%d\n" % number)
        number += 1


def kill_writers(seed, count):
    """Kills writers at random moments and reopens the log file.

    The last entry that a writer has printed must be recovered completely.

    Returns:
        Figures: the number of kills, after how many of them the entry was recovered and at most one
        slot was torn, and the number of torn slots.
    """
    random_source, recovered_count, torn_count = random.Random(seed), 0, 0
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "n1.why")
        for index in range(count):
            with subprocess.Popen(
                [
                    sys.executable,
                    "-c",
                    "import sys; from measure.why import write_until_killed; "
                    f"write_until_killed({path!r}, {seed + index})",
                ],
                stdout=subprocess.PIPE,
            ) as writer:
                writer.stdout.readline()
                time.sleep(random_source.random() * 0.03)
                writer.send_signal(signal.SIGKILL)
                written = writer.stdout.read().split()
            rig = RecorderRig(seed, 1, path)
            last_number = written[-1].decode() if written else "0"
            entries = list(rig.recorder.find_by_name(f"w-{last_number}"))
            is_whole = (
                bool(entries)
                and entries[-1].final_reason == R.ABANDONED
                and len(entries[-1].notes) == 4
            )
            recovered_count += is_whole and rig.recorder.torn_slots <= 1
            torn_count += rig.recorder.torn_slots
            rig.recorder.slot_file.close()
    return {"recovered_after_kill": recovered_count, "kills": count, "torn_found": torn_count}


def compare_eviction_times(slots=4000):
    """Compares FairEviction with a scan of all holders, each of which holds one slot at first.

    Returns:
        Figures: microseconds per eviction of FairEviction (`shares_us`) and the scan (`plain_us`).
    """
    durations = []
    for use_scan in (False, True):
        eviction, slots_by_holder = FairEviction(), {}
        for slot in range(slots):
            eviction.add(slot, slot)
            slots_by_holder[slot] = [slot]
        start, steps = time.perf_counter(), 300
        for index in range(steps):
            if use_scan:
                largest_holder = max(
                    slots_by_holder, key=lambda holder: len(slots_by_holder[holder])
                )
                slot = slots_by_holder[largest_holder].pop(0)
                if not slots_by_holder[largest_holder]:
                    del slots_by_holder[largest_holder]
                slots_by_holder.setdefault(("new", index), []).append(slot)
            else:
                eviction.add(("new", index), eviction.evict())
        durations.append(round((time.perf_counter() - start) / steps * 1e6, 2))
    return {"shares_us": durations[0], "plain_us": durations[1]}


def cpu_seconds(process):
    """Returns the CPU time that a process has used so far, in seconds."""
    with open(f"/proc/{process.pid}/stat", encoding="ascii") as source:
        fields = source.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def send_queries(port, seconds):
    """Sends queries for a while; returns the number of result lines.

    A second connection sends 50 queries and reads no results.
    """
    import socket

    deadline, line_count = time.monotonic() + seconds, 0
    unread_connection = socket.create_connection(("127.0.0.1", port))
    unread_connection.sendall(b'{"ask":"find"}\n' * 50)
    while time.monotonic() < deadline:
        line_count += sum(
            1 for _ in query_results(f"127.0.0.1:{port}", None, {"ask": "find", "limit": 200})
        )
        time.sleep(0.02)
    unread_connection.close()
    return line_count


def measure_programs(seed, short):
    """Measures the cost of the decision log in real programs on loopback.

    Two programs, one with the decision log and one without, get the same load in turn. Then the one
    with the log gets load, in turn with and without queries.

    Returns:
        Figures: CPU milliseconds per request with (`on`) and without the log, the 99th percentile
        of latency in milliseconds with (`asked`) and without (`calm`) queries, their ratios, and
        the number of result lines.
    """
    reservation, port = reserve_port()
    endpoints = [FakeEndpoint(lambda words: b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n") for _ in range(3)]
    entries = [endpoint.entry(f"s-{index}") for index, endpoint in enumerate(endpoints)]
    programs = {}
    cpu_times, counts, queried_latencies, unqueried_latencies, line_count = (
        {True: 0.0, False: 0.0},
        {True: 0, False: 0},
        [],
        [],
        0,
    )
    try:
        programs[False] = Program(*entries)
        programs[True] = Program(
            *entries, operator=lambda folder: f'why: {{listen: "127.0.0.1:{port}"}}'
        )
        for program in programs.values():
            program.__enter__()
        with ProcessPoolExecutor(3, get_context("spawn")) as pool:
            for round_number in range(2 if short else 8):
                for log_enabled in (True, False) if round_number % 2 else (False, True):
                    cpu_before = cpu_seconds(programs[log_enabled].process)
                    results = pool.submit(
                        drive,
                        programs[log_enabled].port,
                        400,
                        1 if short else 3,
                        seed + round_number,
                    ).result()
                    cpu_times[log_enabled] += (
                        cpu_seconds(programs[log_enabled].process) - cpu_before
                    )
                    counts[log_enabled] += len(results)
            for round_number in range(2 if short else 6):
                for with_queries in (True, False) if round_number % 2 else (False, True):
                    query_task = pool.submit(send_queries, port, 2) if with_queries else None
                    latencies = [
                        result[1]
                        for result in pool.submit(
                            drive, programs[True].port, 200, 1.8, seed + round_number
                        ).result()
                    ]
                    (queried_latencies if with_queries else unqueried_latencies).extend(latencies)
                    line_count += query_task.result() if query_task else 0
        retention = {}
        wait_until(
            lambda: retention,
            lambda: retention.update(
                next(iter(query_results(f"127.0.0.1:{port}", None, {"ask": "kept"})))
            ),
        )
    finally:
        for program in programs.values():
            program.__exit__()
        for resource in (*endpoints, reservation):
            resource.close()
    cpu_per_request = {
        log_enabled: 1000 * cpu_times[log_enabled] / max(1, counts[log_enabled])
        for log_enabled in (True, False)
    }
    return {
        "cpu_ms": {"on": round(cpu_per_request[True], 4), "off": round(cpu_per_request[False], 4)},
        "cpu_ratio_on": round(cpu_per_request[True] / cpu_per_request[False], 3),
        "p99_ms": {
            "asked": round(1000 * quantile(queried_latencies, 0.99), 2),
            "calm": round(1000 * quantile(unqueried_latencies, 0.99), 2),
        },
        "query_p99_effect": round(
            quantile(queried_latencies, 0.99) / quantile(unqueried_latencies, 0.99), 3
        ),
        "lines_answered": line_count,
    }


def main(arguments):
    """Prints the figures as one line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--short", action="store_true", help="a short run of some seconds")
    parser.add_argument("--part", choices=("all", "record", "sockets"), default="all")
    options = parser.parse_args(arguments)
    short, figures = options.short, {"seed": options.seed}
    if options.part != "sockets":
        explained, total, reasons_met, wrong = run_case_mix(10 if short else 100)
        for case in wrong[:5]:
            print("wrong:", case)
        figures.update(
            explained_right=explained,
            transactions=total,
            reasons_covered=len(reasons_met),
            reasons=len(R),
        )
        with ProcessPoolExecutor(2, get_context("spawn")) as pool:
            hours_task = pool.submit(simulate_hours, (options.seed, 400 if short else 4 * 3600))
            flood_task = pool.submit(simulate_flood, options.seed)
            figures.update(kill_writers(options.seed, 5 if short else 200))
            figures["memory_mb_by_quarter"] = hours_task.result()
            figures.update(flood_task.result())
        figures.update(compare_eviction_times())
    if options.part != "record":
        figures.update(measure_programs(options.seed, short))
    print(json.dumps(figures))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
