"""pytest plug-in: a listed test may fail; if it passes the run fails, and so does a list that names no test."""

import pytest
from known_red import KnownRed, UnusableList, check_named, read_list


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Marks the listed tests as failures to come. In a process that only works for another, that one checks names."""
    if not hasattr(config, "workerinput"):
        end_if_unnamed([item.nodeid for item in items])
    listed = {entry.test: entry for entry in read_entries()}
    for item in items:
        if entry := listed.get(item.nodeid) or listed.get(without_group(item.nodeid)):
            reason = f"known red: {entry.seen}; {entry.issue}"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_node_collection_finished(ids: list[str]) -> None:
    """In the process that others work for: checks the names that one of them has collected."""
    end_if_unnamed(ids)


def read_entries() -> list[KnownRed]:
    """The entries that are tests of pytest's."""
    return [entry for entry in read_list() if entry.is_pytest]


def without_group(test: str) -> str:
    """A node id without the @GROUP that pytest-xdist appends to it."""
    return test.rpartition("@")[0]


def end_if_unnamed(tests: list[str]) -> None:
    """Ends the run where the list can't be used. All tests are collected in CI, so each entry must be met."""
    try:
        check_named(read_entries(), {*tests, *map(without_group, tests)})
    except UnusableList as error:
        pytest.exit(f"KNOWN-RED.txt: {error}", returncode=1)
