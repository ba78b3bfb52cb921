"""Starts one sidecar; with words, the command line."""

import os
import sys

from .service.life import main

if __name__ == "__main__":
    if sys.argv[1:]:
        from .command.main import thymeknot
        thymeknot(prog_name="thymeknot")
    sys.exit(main(os.environ))
