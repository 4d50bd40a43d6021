"""Runs the model checker from the command line."""

import sys

from ingress.simulation.model_checker.command import main

INTERRUPTED_STATUS = 130

if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        sys.exit(INTERRUPTED_STATUS)
