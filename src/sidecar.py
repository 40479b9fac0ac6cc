"""Script that runs the sidecar from a source checkout, with this folder's packages."""

from pimentoscale.programs.sidecar import main

if __name__ == "__main__":
    main()
