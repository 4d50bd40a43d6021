"""Compiles the hot modules (`build`) or reports whether they are compiled (`show`)."""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import shutil
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

from ingress.compilation import (
    COMPILED_DIR,
    GROUP_MODULE,
    GROUP_NAME,
    MODULES,
    OPTIMIZATION_LEVEL,
    REQUIREMENTS_FILE,
    ROOT,
    library_path,
    source_path,
    stamp,
)

WORK_PREFIX = "work-"  # starts the name of a folder in which a build runs
STALE_AFTER_S = 3600.0  # an older work folder belongs to an interrupted build
MAX_ERROR_LINES = 40  # at the end of a failed compiler's output
EXAMPLE = "Example: .venv-build/bin/python -m ingress.compilation build --for .venv/bin/python"
EXIT_COMPILED = 0
EXIT_NOT_COMPILED = 1


class CompilationError(Exception):
    """The build of the compiled form failed; the message gives the reason."""


SETUP_SCRIPT = """
from mypyc.build import mypycify
from setuptools import setup
modules = mypycify({arguments!r}, opt_level={level!r}, group_name={group!r}, target_dir="c")
setup(name="hot", packages=[], py_modules=[], ext_modules=modules,
      script_args=["-q", "build_ext", "--build-lib", "lib", "--build-temp", "objects",
                   "-j", {jobs!r}])
"""


def compile_into(folder: Path, interpreter: str, root: Path) -> None:
    """Compiles a copy of the sources in `folder`, so that edits during the build have no effect.

    Args:
        folder: Receives the copy of the sources and the compiled modules.
        interpreter: Python whose installed packages provide the types that the sources import.
        root: Root folder of the sources.

    Raises:
        CompilationError: The compiler failed.
    """
    targets = _copy_sources(folder, root)
    arguments = [f"--python-executable={interpreter}", "--strict", "--follow-imports=silent"]
    script = SETUP_SCRIPT.format(
        arguments=arguments + targets,
        level=OPTIMIZATION_LEVEL,
        group=GROUP_NAME,
        jobs=str(os.cpu_count() or 1),
    )
    (folder / "setup.py").write_text(script, encoding="utf-8")
    completed = subprocess.run(
        [sys.executable, "setup.py"],
        cwd=folder,
        capture_output=True,
        text=True,
        env=os.environ | {"MYPYPATH": ""},
        check=False,
    )
    if completed.returncode:
        lines = (completed.stdout + completed.stderr).splitlines()[-MAX_ERROR_LINES:]
        raise CompilationError(
            "\n".join(lines) or f"the compiler exited with status {completed.returncode}"
        )


def _copy_sources(folder: Path, root: Path) -> list[str]:
    """Copies all sources and the requirements file; returns the paths of the modules to compile."""
    shutil.copyfile(root / REQUIREMENTS_FILE, folder / REQUIREMENTS_FILE)
    targets = []
    for name in MODULES:
        target = source_path(name, folder)
        _copy(source_path(name, root), target)
        targets.append(str(target.relative_to(folder)))
    for path in sorted((root / "ingress").rglob("*.py")):
        target = folder / path.relative_to(root)
        if not target.exists():
            _copy(path, target)
    return targets


def _copy(path: Path, target: Path) -> None:
    target.parent.mkdir(parents=True, exist_ok=True)
    shutil.copyfile(path, target)


def build(home: Path, interpreter: str, root: Path = ROOT) -> Path:
    """Builds the compiled form of the current sources unless it exists, and returns its folder.

    The final folder is either complete or absent: the build runs in a temporary folder, which is
    renamed at the end.

    Raises:
        CompilationError: The compiler failed, or the sources changed during the build.
        OSError: A file can't be read or written.
    """
    name = stamp(root)
    final = home / name
    if final.is_dir():
        return final
    home.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(
        prefix=WORK_PREFIX, dir=home, ignore_cleanup_errors=True
    ) as folder:
        work = Path(folder)
        form = work / "form"
        compile_into(work, interpreter, root)
        for module in (*MODULES, GROUP_MODULE):
            library = library_path(work / "lib", module)
            if not library.is_file():
                raise CompilationError(f"the compiler produced no {library.name}")
            _copy(library, library_path(form, module))
        if stamp(work) != name:
            raise CompilationError("the sources changed during the build")
        with contextlib.suppress(OSError):  # a concurrent build may have created it
            form.rename(final)
    if not final.is_dir():
        raise CompilationError(f"{final} could not be created")
    return final


def remove_stale(home: Path, keep: Path) -> None:
    """Removes the forms of other sources and the work folders of interrupted builds."""
    for folder in home.iterdir():
        with contextlib.suppress(OSError):
            age = time.time() - folder.stat().st_mtime
            running = folder.name.startswith(WORK_PREFIX) and age < STALE_AFTER_S
            if folder != keep and folder.is_dir() and not running:
                shutil.rmtree(folder)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m ingress.compilation",
        description=__doc__,
        epilog=EXAMPLE,
    )
    parser.add_argument("command", choices=("build", "show"))
    parser.add_argument(
        "--for",
        dest="interpreter",
        default=sys.executable,
        metavar="PYTHON",
        help="the Python that will run the compiled form; its packages provide types (this Python)",
    )
    parser.add_argument(
        "--json", action="store_true", help="print one JSON object with stable keys"
    )
    return parser


def _build_current(interpreter: str, folder: Path) -> str:
    """Builds the form of the current sources; returns the reason for a failure, or ""."""
    sys.stderr.write(f"compiling {len(MODULES)} modules; this takes about a minute\n")
    try:
        build(COMPILED_DIR, str(Path(interpreter).absolute()))
    except (CompilationError, OSError) as error:
        return str(error)
    remove_stale(COMPILED_DIR, folder)
    return ""


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the command line.

    Returns:
        0 if the current sources are compiled; 1 if not, and the program runs interpreted.
    """
    options = _parser().parse_args(arguments)
    started_at = time.monotonic()
    failure = ""
    folder = COMPILED_DIR / stamp()
    if options.command == "build" and not folder.is_dir():
        failure = _build_current(options.interpreter, folder)
    compiled = folder.is_dir()
    if options.json:
        report = {
            "compiled": compiled,
            "stamp": folder.name,
            "seconds": round(time.monotonic() - started_at, 1),
            "why": failure,
            "modules": list(MODULES),
        }
        text = json.dumps(report)
    else:
        text = f"{folder.name}: {'compiled' if compiled else 'not compiled'}"
        if failure:
            text += f"\n{failure}"
    sys.stdout.write(f"{text}\n")
    return EXIT_COMPILED if compiled else EXIT_NOT_COMPILED


if __name__ == "__main__":
    sys.exit(main())
