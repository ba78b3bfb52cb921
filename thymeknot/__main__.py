"""Starts one sidecar; with words, the command line."""

import os
import signal
import sys

EXIT_UNUSABLE = 2
"""Exit code: the words, the files or the installation can't be used."""


def main() -> int:
    """Serves, or runs the command that the words name, and gives the exit code."""
    arguments = sys.argv[1:]
    if not arguments:
        # Before anything is loaded: the file that a SIGHUP announces is read after this anyway.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .service import required_libraries  # noqa: PLC0415 (imported where it is needed)

    try:
        if arguments:
            with required_libraries.libraries_from(required_libraries.COMMANDS):
                from .cli.main import thymeknot  # noqa: PLC0415 (imported where it is needed)
            thymeknot(prog_name="thymeknot")  # ends the process with its own exit code
        from .service import lifecycle  # noqa: PLC0415 (imported where it is needed)

        return lifecycle.main(os.environ)
    except required_libraries.MissingLibraryError as error:
        print(f"thymeknot: {error}", file=sys.stderr)
        return EXIT_UNUSABLE


if __name__ == "__main__":
    sys.exit(main())
