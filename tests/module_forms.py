"""Loads the interpreted and the compiled form of the hot modules in one process."""

from __future__ import annotations

import functools
import importlib
import sys
from types import ModuleType, SimpleNamespace

import pytest

from ingress.compilation import MODULES, CompiledModuleFinder, NotCompiledError, select_form


def policy_names(*modules: ModuleType) -> SimpleNamespace:
    """Returns the public names of several modules in one namespace."""
    return SimpleNamespace(
        **{
            name: value
            for module in modules
            for name, value in vars(module).items()
            if not name.startswith("_")
        }
    )


@functools.cache
def forms() -> tuple[SimpleNamespace, SimpleNamespace]:
    """Returns the interpreted and the compiled modules, named like `form.core_exchange`.

    Skips the test if the current sources aren't compiled; `.ci/run` compiles them first.
    """
    return _load(None), _load("require")


def _load(mode: str | None) -> SimpleNamespace:
    """Imports all modules again in one form, then restores the modules that the tests use."""
    original = {
        name: module for name, module in sys.modules.items() if name.partition(".")[0] == "ingress"
    }
    finders = [finder for finder in sys.meta_path if isinstance(finder, CompiledModuleFinder)]
    for name in original:
        del sys.modules[name]
    for finder in finders:
        sys.meta_path.remove(finder)
    try:
        if mode is not None:
            try:
                select_form(mode)
            except NotCompiledError as error:
                pytest.skip(f"{error}: python -m ingress.compilation build")
        loaded: dict[str, ModuleType] = {name: importlib.import_module(name) for name in MODULES}
    finally:
        sys.meta_path[:] = finders + [
            f for f in sys.meta_path if not isinstance(f, CompiledModuleFinder)
        ]
        for name in [name for name in sys.modules if name.partition(".")[0] == "ingress"]:
            del sys.modules[name]
        sys.modules.update(original)
    assert all(
        (module.__file__ or "").endswith(".py") is (mode is None) for module in loaded.values()
    )
    form = SimpleNamespace(
        **{name.partition(".")[2].replace(".", "_"): module for name, module in loaded.items()}
    )
    form.policy = policy_names(form.policy_settings, form.policy_events, form.policy_actions)
    return form
