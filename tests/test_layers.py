"""Packages are layered: imports go in one direction, and no two modules import each other."""

from __future__ import annotations

import ast
import pathlib

ROOT = pathlib.Path(__file__).parents[1] / "src" / "lineworks"

FORBIDDEN = {
    "decisions": {"engine", "forwarding", "platform", "programs", "services", "standins", "wire"},
    "http1": {"engine", "forwarding", "platform", "programs", "services", "standins", "wire"},
    "kernel": {"engine", "forwarding", "platform", "programs", "services", "standins", "wire"},
    "platform": {"engine", "forwarding", "programs", "services", "standins", "wire"},
    "wire": {"forwarding", "platform", "programs", "services", "standins"},
    "forwarding": {"engine", "programs", "standins"},
}
"""For each package, the packages in the same or a higher layer, which it must not import."""


def modules():
    for path in ROOT.rglob("*.py"):
        parts = path.relative_to(ROOT.parent).with_suffix("").parts
        yield ".".join(parts).removesuffix(".__init__"), ast.parse(path.read_text())


def imported(tree):
    for found in ast.walk(tree):
        if isinstance(found, ast.ImportFrom) and (found.module or "").startswith("lineworks"):
            for alias in found.names:
                yield f"{found.module}.{alias.name}"


GRAPH = {name: set(imported(tree)) for name, tree in modules()}


def test_no_package_imports_from_a_forbidden_package():
    wrong = [
        f"{name} imports {other}"
        for name, others in GRAPH.items()
        for other in others
        if other.split(".")[1] in FORBIDDEN.get(name.split(".")[1], set())
    ]
    assert wrong == []


def test_no_two_modules_import_each_other():
    wrong = [
        f"{name} and {other}"
        for name, others in GRAPH.items()
        for other in others
        if name < other and name in GRAPH.get(other, set())
    ]
    assert wrong == []
