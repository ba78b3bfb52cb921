"""Bad clients in a process of their own: connects, sends, reads, and connects again, until its input ends.

Usage: bad_clients_2.py PORT SILENT HASTY COMMANDS
"""

import asyncio
import sys

from stand_ins_2 import command


async def run(port, silent, hasty, commands):
    connections = 0

    async def client(number, hasty):
        nonlocal connections
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                connections += 1
                if hasty:
                    names = [f"bad-{number}-{connections}-{count}" for count in range(commands)]
                    for first in range(0, commands, 100):
                        writer.write(
                            b"".join(
                                command("SVC.QUERY", f"k-{number}", name, "c=fetch,d=2000")
                                for name in names[first : first + 100]
                            )
                        )
                while await reader.read(65536):
                    pass
                writer.close()
            except OSError:
                await asyncio.sleep(0.01)

    tasks = [asyncio.ensure_future(client(number, number < hasty)) for number in range(silent + hasty)]
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    for task in tasks:
        task.cancel()
    print(connections, flush=True)


if __name__ == "__main__":
    asyncio.run(run(*map(int, sys.argv[1:5])))
