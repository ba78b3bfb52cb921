"""The soak as a program: see `campaign`."""

import sys

from tests.soak.campaign import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
