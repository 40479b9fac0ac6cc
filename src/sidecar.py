"""Starts the sidecar from a checkout, with the packages of this folder."""

from pimentoscale.programs.sidecar import main

if __name__ == "__main__":
    main()
