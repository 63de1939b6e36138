"""The shape of the code: imports go one way, decisions do no I/O, and the pages name what exists."""

import ast
import re
from collections.abc import Iterator
from functools import cache
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "stoneyoke"
# Packages of decisions: they are told of events and of the time, and do no I/O themselves.
DECISIONS = ("control", "limits", "spread", "api")
IO_MODULES = frozenset({"asyncio", "os", "select", "selectors", "socket", "ssl", "subprocess", "threading", "time"})
# An older name may stand in the record of an incident, in the journal, the changelog and the glossary.
PAGES = [
    ROOT / "README.md",
    ROOT / "CONTRIBUTING.md",
    *(ROOT / "docs").glob("*.md"),
    *(ROOT / "docs/design").glob("*.md"),
]
PATH = re.compile(r"`([\w.-]+/[\w./-]+\.(?:py|md|toml|json))`")
CLASS_OR_MEMBER = re.compile(r"`([A-Z][a-z]+\w*(?:\.\w+)*)(?:\(\))?`")
IDENTIFIER = re.compile(r"[A-Za-z_]\w*")
# Pages that tell of earlier versions, and words of HTTP and other programs.
PAGES_OF_THE_PAST = frozenset({"glossary.md", "ROADMAP.md", "standing.md", "CAPACITY.md"})
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


@cache
def modules() -> dict[str, Path]:
    """Path by dotted name, of all modules of the package."""
    names = {}
    for path in PACKAGE.rglob("*.py"):
        name = ".".join(path.relative_to(ROOT).with_suffix("").parts)
        names[name.removesuffix(".__init__")] = path
    return names


@cache
def imported_names(path: Path) -> frozenset[str]:
    """Dotted names that a module imports, those of functions and of annotations included."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            found |= {f"{node.module}.{alias.name}" for alias in node.names} | {node.module}
    return frozenset(found)


def imported_modules(name: str) -> Iterator[str]:
    """Modules of the package that a module imports. A package counts only where a name in it is no module."""
    found = imported_names(modules()[name]) & modules().keys() - {name}
    for other in found:
        if not any(one.startswith(f"{other}.") for one in found):
            yield other


def test_imports_form_no_circle() -> None:
    graph = {name: set(imported_modules(name)) for name in modules()}
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        pytest.fail(f"import circle: {' -> '.join(error.args[1])}")


def test_what_serves_imports_no_laboratory() -> None:
    serving = [name for name in modules() if not name.startswith("stoneyoke.lab")]
    allowed = {"stoneyoke.single_gateway.cli"}  # it offers the laboratory's commands, and imports them when asked
    for name in set(serving) - allowed:
        assert not [other for other in imported_modules(name) if other.startswith("stoneyoke.lab")], name


@pytest.mark.parametrize("package", DECISIONS)
def test_decisions_do_no_io(package: str) -> None:
    for path in (PACKAGE / package).rglob("*.py"):
        top_level = {name.partition(".")[0] for name in imported_names(path)}
        assert not top_level & IO_MODULES, path


@cache
def identifiers() -> frozenset[str]:
    """Every word of the package's sources, field names of HTTP in strings included."""
    return frozenset(word for path in modules().values() for word in IDENTIFIER.findall(path.read_text()))


@pytest.mark.parametrize(
    "page", [page for page in PAGES if page.name not in PAGES_OF_THE_PAST], ids=lambda page: page.name
)
def test_pages_name_classes_and_functions_that_exist(page: Path) -> None:
    names = CLASS_OR_MEMBER.findall(page.read_text())
    assert not [name for name in names if not set(name.split(".")) <= identifiers()]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_pages_name_files_that_exist(page: Path) -> None:
    text = page.read_text()
    roots = (ROOT, PACKAGE, ROOT / "tests", page.parent)
    missing = [name for name in PATH.findall(text) if not any((root / name).exists() for root in roots)]
    missing += [link for link in LINK.findall(text) if not (page.parent / link).exists()]
    assert not missing
