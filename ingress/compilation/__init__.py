"""Selects the compiled form of the hot modules if it was built from exactly these sources."""

from __future__ import annotations

import hashlib
import importlib.util
import os
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from importlib.machinery import EXTENSION_SUFFIXES, ExtensionFileLoader, ModuleSpec
from pathlib import Path
from types import ModuleType

ROOT = Path(__file__).resolve().parent.parent.parent
COMPILED_DIR = ROOT / ".compiled"  # one folder per stamp; nothing else may be stored here
REQUIREMENTS_FILE = "requirements-build.txt"
MODE_VARIABLE = "INGRESS_COMPILED"
MODES = ("auto", "off", "require")
GROUP_NAME = "ingress_hot"  # name of the shared library with the code of all modules
GROUP_MODULE = f"{GROUP_NAME}__mypyc"
OPTIMIZATION_LEVEL = "3"  # passed to the C compiler
STAMP_DIGITS = 24
MODULES = (
    "ingress.policy.actions",
    "ingress.policy.events",
    "ingress.policy.settings",
    "ingress.policy.gateway",
    "ingress.policy.admission",
    "ingress.policy.attempt_dispatcher",
    "ingress.policy.backend_state",
    "ingress.policy.consistency_reporting",
    "ingress.policy.counter_throttle",
    "ingress.policy.customer",
    "ingress.policy.customer_table",
    "ingress.policy.load_balancer",
    "ingress.policy.load_shedding",
    "ingress.policy.optimistic_admission",
    "ingress.policy.outlier_detection",
    "ingress.policy.pending_actions",
    "ingress.policy.quota_reporting",
    "ingress.policy.request_cost",
    "ingress.policy.request_state",
    "ingress.policy.request_table",
    "ingress.policy.retry_policy",
    "ingress.policy.slow_start",
    "ingress.policy.timers",
    "ingress.policy.token_bucket",
    "ingress.core.calls",
    "ingress.core.clock",
    "ingress.core.departed_ids",
    "ingress.core.exchange",
    "ingress.core.open_request",
    "ingress.core.ports",
    "ingress.core.call_limits",
    "ingress.core.timer_wheel",
    "ingress.protocol_versions.http_v2",  # not hot; it subclasses a class of a compiled core module
    "ingress.policy.shed_order",
    "ingress.policy.concurrency_limiter",
    "ingress.platform.counter_client",
    "ingress.policy.quota_estimate",
    "ingress.policy.counter_keys",
    "ingress.policy.counter_consistency",
    "ingress.resp.backend_protocol",
    "ingress.resp.command_decoder",
    "ingress.resp.command_encoder",
    "ingress.resp.frames",
    "ingress.resp.client_protocol",
    "ingress.resp.resp3_backend_protocol",
    "ingress.resp.resp3_client_protocol",
    "ingress.resp.resp3_frames",
    "ingress.transport.client_listener",
    "ingress.transport.client_connection",
    "ingress.transport.pending_response",
    "ingress.transport.input_buffer",
    "ingress.transport.response_queue",
    "ingress.transport.presence_probe",
    "ingress.transport.turn_queue",
    "ingress.transport.unsent_responses",
    "ingress.transport.idle_connections",
    "ingress.transport.hangup_watcher",
    "ingress.transport.stall_detector",
    "ingress.transport.active_clock",
    "ingress.transport.incomplete_request",
    "ingress.transport.sampled_log",
    "ingress.transport.backend_pool",
    "ingress.transport.backend_connection",
    "ingress.transport.idle_limit",
    "ingress.transport.client_protocol",
    "ingress.transport.backend_protocol",
)


class NotCompiledError(Exception):
    """The compiled form is required but can't be used; the message gives the reason."""


@dataclass(frozen=True, slots=True)
class Form:
    """The form of the hot modules that this process runs.

    Attributes:
        compiled: True for the compiled form, False for the interpreted one.
        detail: Stamp of the compiled form, or the reason for running interpreted.
    """

    compiled: bool
    detail: str

    def __str__(self) -> str:
        return f"{'compiled' if self.compiled else 'interpreted'}: {self.detail}"


def source_path(module: str, root: Path = ROOT) -> Path:
    """Returns the path of a module's source file."""
    return root.joinpath(*module.split(".")).with_suffix(".py")


def stamp(root: Path = ROOT) -> str:
    """Returns a digest of everything that a compiled form depends on.

    The digest covers the sources of all compiled modules, the running Python, the optimization
    level and the compiler's requirements file.

    Raises:
        OSError: A source can't be read.
    """
    platform = f"{sys.implementation.cache_tag} {EXTENSION_SUFFIXES[0]} {OPTIMIZATION_LEVEL}\n"
    digest = hashlib.sha256(platform.encode())
    for path in (root / REQUIREMENTS_FILE, *(source_path(name, root) for name in MODULES)):
        data = path.read_bytes()
        digest.update(f"{path.name} {len(data)}\n".encode())
        digest.update(data)
    return digest.hexdigest()[:STAMP_DIGITS]


def library_path(folder: Path, name: str) -> Path:
    """Returns the path of a module's shared library within the folder of its stamp."""
    return folder.joinpath(*name.split(".")).with_suffix(EXTENSION_SUFFIXES[0])


class CompiledModuleFinder:
    """Import finder that loads compiled modules from one stamp's folder instead of the sources."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.names = frozenset((*MODULES, GROUP_MODULE))

    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Returns the spec of a compiled module, or None for any other module."""
        if name not in self.names:
            return None
        origin = str(library_path(self.folder, name))
        return importlib.util.spec_from_file_location(
            name, origin, loader=ExtensionFileLoader(name, origin)
        )


def select_form(mode: str | None = None, home: Path = COMPILED_DIR, root: Path = ROOT) -> Form:
    """Makes later imports load the compiled form if it was built from the current sources.

    A form is never used if its build was interrupted or if it belongs to other sources or another
    Python: its folder has another name or does not exist.

    Args:
        mode: "auto", "off" or "require"; None reads the environment variable.
        home: Folder that contains the compiled forms.
        root: Root folder of the sources.

    Returns:
        The form that later imports load.

    Raises:
        NotCompiledError: The mode is "require" and no compiled form can be used.
        ValueError: The mode is unknown.
    """
    mode = os.environ.get(MODE_VARIABLE, "auto") if mode is None else mode
    if mode not in MODES:
        raise ValueError(f"{MODE_VARIABLE}: {mode!r} is not one of {', '.join(MODES)}")
    if mode == "off":
        return Form(False, f"{MODE_VARIABLE} is off")
    try:
        folder = home / stamp(root)
    except OSError as error:
        obstacle = f"can't read a source: {error}"
    else:
        obstacle = _obstacle(folder)
        if not obstacle:
            sys.meta_path.insert(0, CompiledModuleFinder(folder))
            return Form(True, folder.name)
    if mode == "require":
        raise NotCompiledError(obstacle)
    return Form(False, obstacle)


def _obstacle(folder: Path) -> str:
    """Returns the reason why the form in `folder` can't be used, or "" if it can be used."""
    for name in MODULES:
        if name in sys.modules:
            return f"{name} is already imported"
    if not folder.is_dir():
        return "no compiled form of these sources; run python -m ingress.compilation build"
    for name in (*MODULES, GROUP_MODULE):
        if not library_path(folder, name).is_file():
            return f"{folder.name} has no {name}"
    return ""
