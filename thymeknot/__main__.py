"""Starts one sidecar."""

import os
import sys

from .service.life import main

if __name__ == "__main__":
    sys.exit(main(os.environ, sys.argv[1:]))
