"""Runs one instance: `python -m ingress`, configured by the file that EDGE_CONFIG names."""

from __future__ import annotations

import sys

from ingress.compilation import NotCompiledError, select_form

VERSION = "0.1.0"
EXIT_BAD_CONFIGURATION = 2


def main() -> int:
    """Selects the compiled or interpreted hot modules before anything imports them, then serves.

    Returns:
        The exit status of `ingress.service.main`, or 2 if the required form is unavailable.
    """
    try:
        form = select_form()
    except (NotCompiledError, ValueError) as error:
        sys.stderr.write(f"ingress: {error}\n")
        return EXIT_BAD_CONFIGURATION
    if sys.argv[1:] == ["--version"]:
        sys.stdout.write(f"ingress {VERSION}, {form}\n")
        return 0
    from ingress import service

    return service.main(sys.argv[1:], form)


if __name__ == "__main__":
    sys.exit(main())
