"""Many pods in one process: prints their ports, then, when its input has ended, what they got; both as JSON.

Usage: pods_2.py COUNT WORK_MS
"""

import asyncio
import json
import sys

from stand_ins_2 import Pod, Record


async def run(count, work):
    record = Record(".")
    pods = [Pod(record, f"pod-{number}", work=work) for number in range(count)]
    for pod in pods:
        await pod.start()
    print(json.dumps([pod.port for pod in pods]), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    got = [(at, pod.port, words[0].decode(), words[2].decode()) for pod in pods for at, words in pod.ran]
    print(json.dumps(got), flush=True)
    for pod in pods:
        await pod.close()


if __name__ == "__main__":
    asyncio.run(run(int(sys.argv[1]), float(sys.argv[2]) / 1000))
