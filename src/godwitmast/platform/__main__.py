"""Entry point of one VM's process, with the settings file that the platform wrote."""

import os
import sys
from pathlib import Path

from godwitmast.daemons import EXIT_USAGE, run_until_signalled
from godwitmast.errors import SettingsError
from godwitmast.logs import LogTarget
from godwitmast.platform.daemon import Node
from godwitmast.platform.settings import PlatformFile
from godwitmast.settings import LogSettings, load_settings

FILE_VARIABLE = "GODWITMAST_NODE_FILE"


def serve(path: Path | None = None, check: bool = False) -> int:
    """Serve callers on one VM until SIGTERM or SIGINT; return the exit code."""
    path = path or Path(os.environ.get(FILE_VARIABLE, "settings.toml"))
    try:
        settings = load_settings(path, PlatformFile)
    except SettingsError as error:
        print(f"error: {error}", file=sys.stderr)
        return EXIT_USAGE
    if check:
        print("settings are valid")
        return 0
    return run_until_signalled(
        "godwit-node", LogSettings(), lambda: Node(settings, path), LogTarget.STDOUT
    )


def main() -> None:
    """Serve, after parsing the command line if there are arguments.

    The library that parses it takes megabytes of memory, and the platform starts a VM's
    process without arguments.
    """
    if sys.argv[1:]:
        from godwitmast.platform.cli import run

        run(serve)
    else:
        sys.exit(serve())


if __name__ == "__main__":
    main()
