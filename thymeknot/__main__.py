"""Starts one sidecar; with words, the command line."""

import os
import signal
import sys

if __name__ == "__main__":
    if sys.argv[1:]:
        from .cli.main import thymeknot

        thymeknot(prog_name="thymeknot")
    signal.signal(
        signal.SIGHUP, signal.SIG_IGN
    )  # the file that it announces is read after this anyway
    from .service.lifecycle import main

    sys.exit(main(os.environ))
