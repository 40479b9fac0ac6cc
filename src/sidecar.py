"""Script that runs the sidecar from a source checkout, with this folder's packages."""

import signal

# A change of the settings may be signalled before the program can handle it. The
# settings are read later.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from pimentoscale.programs.sidecar import main  # noqa: E402

if __name__ == "__main__":
    main()
