"""Starts one sidecar, or the command line if there are arguments."""

import os
import signal
import sys

EXIT_UNUSABLE = 2
"""Exit code: invalid arguments, invalid files or an incomplete installation."""


def main() -> int:
    """Runs the sidecar, or the command named by the arguments; returns the exit code."""
    arguments = sys.argv[1:]
    if not arguments:
        # Ignored while modules load: the file that a SIGHUP announces is read afterwards anyway.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .service import lean_imports, required_libraries  # noqa: PLC0415 (imported where it is needed)

    try:
        if arguments:
            with required_libraries.libraries_from(required_libraries.COMMANDS):
                from .cli.main import thymeknot  # noqa: PLC0415 (imported where it is needed)
            thymeknot(prog_name="thymeknot")  # ends the process with its own exit code
        with lean_imports.unused_modules_left_out():
            from .service import lifecycle  # noqa: PLC0415 (imported where it is needed)

        return lifecycle.main(os.environ)
    except required_libraries.MissingLibraryError as error:
        print(f"thymeknot: {error}", file=sys.stderr)
        return EXIT_UNUSABLE


if __name__ == "__main__":
    sys.exit(main())
