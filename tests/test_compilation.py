"""Tests that the compiled form is used only for exactly the sources it was built from."""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
import time
from pathlib import Path

import pytest

from ingress import compilation
from ingress.compilation import (
    GROUP_MODULE,
    MODE_VARIABLE,
    MODULES,
    NotCompiledError,
    library_path,
    select_form,
    source_path,
    stamp,
)
from ingress.compilation import __main__ as builder
from tests.module_forms import forms

ROOT = Path(__file__).resolve().parent.parent


def copy_with_form(folder: Path) -> tuple[Path, Path]:
    """Copies the sources; returns their folder and the folder of a form made of empty files."""
    for name in MODULES:
        source_path(name, folder).parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(source_path(name), source_path(name, folder))
    shutil.copyfile(ROOT / compilation.REQUIREMENTS_FILE, folder / compilation.REQUIREMENTS_FILE)
    home = folder / "home"
    for name in (*MODULES, GROUP_MODULE):
        file = library_path(home / stamp(folder), name)
        file.parent.mkdir(parents=True, exist_ok=True)
        file.touch()
    return folder, home


@pytest.fixture
def no_hot_modules_imported(monkeypatch: pytest.MonkeyPatch) -> None:
    """Removes the hot modules from sys.modules; restores them and the import finders afterwards."""
    monkeypatch.setattr(sys, "meta_path", list(sys.meta_path))
    for name in MODULES:
        monkeypatch.delitem(sys.modules, name, raising=False)


def test_uses_the_form_of_the_current_sources(
    tmp_path: Path, no_hot_modules_imported: None
) -> None:
    root, home = copy_with_form(tmp_path)
    form = select_form("require", home, root)
    assert form.compiled
    assert form.detail == stamp(root)
    assert isinstance(sys.meta_path[0], compilation.CompiledModuleFinder)
    assert sys.meta_path[0].find_spec("ingress.core.upstream_dispatcher") is None
    spec = sys.meta_path[0].find_spec("ingress.policy.gateway")
    assert spec is not None
    assert spec.origin == str(library_path(home / stamp(root), "ingress.policy.gateway"))


@pytest.mark.parametrize("name", [*MODULES, compilation.REQUIREMENTS_FILE])
def test_an_edited_source_makes_the_program_run_interpreted(
    name: str, tmp_path: Path, no_hot_modules_imported: None
) -> None:
    root, home = copy_with_form(tmp_path)
    path = root / name if name == compilation.REQUIREMENTS_FILE else source_path(name, root)
    path.write_bytes(path.read_bytes() + b"\n")
    assert str(select_form("auto", home, root)) == (
        "interpreted: no compiled form of these sources; run python -m ingress.compilation build"
    )
    with pytest.raises(NotCompiledError, match="no compiled form of these sources"):
        select_form("require", home, root)


def test_rejects_a_form_that_lacks_a_module(tmp_path: Path, no_hot_modules_imported: None) -> None:
    root, home = copy_with_form(tmp_path)
    library_path(home / stamp(root), "ingress.resp.client_protocol").unlink()
    assert select_form("auto", home, root).detail.endswith("has no ingress.resp.client_protocol")


def test_rejects_a_form_for_another_python(
    tmp_path: Path, no_hot_modules_imported: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    root, home = copy_with_form(tmp_path)
    monkeypatch.setattr(compilation, "EXTENSION_SUFFIXES", [".cpython-399-x86_64-linux-gnu.so"])
    assert not select_form("auto", home, root).compiled


def test_rejects_a_form_if_a_module_is_already_imported(
    tmp_path: Path, no_hot_modules_imported: None
) -> None:
    root, home = copy_with_form(tmp_path)
    sys.modules["ingress.policy.gateway"] = sys.modules[__name__]
    assert select_form("auto", home, root).detail == "ingress.policy.gateway is already imported"


def test_mode_off_disables_the_form_and_unknown_modes_are_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert not select_form("off", tmp_path).compiled
    monkeypatch.setenv(MODE_VARIABLE, "fast")
    with pytest.raises(ValueError, match="'fast' is not one of auto, off, require"):
        select_form()


def test_an_interrupted_build_leaves_no_folder(
    tmp_path: Path, no_hot_modules_imported: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    root, home = copy_with_form(tmp_path)
    shutil.rmtree(home)

    def interrupt_compilation(folder: Path, interpreter: str, root: Path) -> None:
        for name in MODULES[:4]:
            library_path(folder / "lib", name).parent.mkdir(parents=True, exist_ok=True)
            library_path(folder / "lib", name).touch()
        raise KeyboardInterrupt

    monkeypatch.setattr(builder, "compile_into", interrupt_compilation)
    with pytest.raises(KeyboardInterrupt):
        builder.build(home, sys.executable, root)
    assert not select_form("auto", home, root).compiled
    assert list(home.iterdir()) == []


def test_a_build_fails_if_the_sources_change_during_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    root, home = copy_with_form(tmp_path)
    shutil.rmtree(home)

    def compile_edited_copy(folder: Path, interpreter: str, root: Path) -> None:
        copy_with_form(folder)
        (folder / compilation.REQUIREMENTS_FILE).write_text("mypy==0\n", encoding="utf-8")
        for name in (*MODULES, GROUP_MODULE):
            library_path(folder / "lib", name).parent.mkdir(parents=True, exist_ok=True)
            library_path(folder / "lib", name).touch()

    monkeypatch.setattr(builder, "compile_into", compile_edited_copy)
    with pytest.raises(builder.CompilationError, match="changed during the build"):
        builder.build(home, sys.executable, root)
    assert list(home.iterdir()) == []


def test_removes_forms_of_other_sources_but_not_a_running_build(tmp_path: Path) -> None:
    for name in ("keep", "old", "work-now", "work-old"):
        (tmp_path / name).mkdir()
    os.utime(tmp_path / "work-old", (time.time() - 2 * builder.STALE_AFTER_S,) * 2)
    builder.remove_stale(tmp_path, tmp_path / "keep")
    assert sorted(path.name for path in tmp_path.iterdir()) == ["keep", "work-now"]


def test_a_failed_build_reports_the_reason_and_exits_with_status_1(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(builder, "COMPILED_DIR", tmp_path / "home")
    monkeypatch.setattr(sys, "executable", "/bin/false")
    assert builder.main(["build", "--json"]) == 1
    report = json.loads(capsys.readouterr().out)
    assert not report["compiled"]
    assert report["why"] == "the compiler exited with status 1"
    assert report["stamp"] == stamp()


@pytest.mark.parametrize("mode", ["off", "require"])
def test_version_names_the_form(mode: str) -> None:
    if mode == "require":
        forms()
    completed = subprocess.run(
        [sys.executable, "-m", "ingress", "--version"],
        cwd=ROOT,
        env=os.environ | {MODE_VARIABLE: mode},
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stdout == (
        "ingress 0.1.0, interpreted: INGRESS_COMPILED is off\n"
        if mode == "off"
        else f"ingress 0.1.0, compiled: {stamp()}\n"
    )
