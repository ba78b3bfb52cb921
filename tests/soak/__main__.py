"""Runs the soak test's command line, `tests.soak.campaign`."""

import sys

from tests.soak.campaign import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
