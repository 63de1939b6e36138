"""Commands on configurations: validate one, compare two, replace the one in force, read it."""

from collections.abc import Iterable, Iterator
from typing import Any

from stoneyoke.api.configuration import Configuration, read_configuration
from stoneyoke.api.errors import InvalidField
from stoneyoke.programs.commands.controller_client import call_controllers
from stoneyoke.programs.commands.errors import CommandError
from stoneyoke.programs.commands.output import print_result

SECRET_FIELDS = frozenset({"api_keys"})  # their values are never printed


def load_configuration(path: str) -> Configuration:
    """Reads a configuration from a file. Raises CommandError, which names the file and any invalid field."""
    try:
        with open(path, "rb") as file:
            return read_configuration(file.read())
    except OSError as error:
        raise CommandError(f"{path}: can't be read: {error}") from error
    except InvalidField as error:
        raise CommandError(f"{path}: {error.field}: {error.reason}") from error


def check(path: str) -> None:
    """Validates a configuration file with the same schema that controllers use, and prints a summary."""
    configuration = load_configuration(path)
    routes = sum(1 for _ in configuration.routes())
    services, tenants = len(configuration.services), configuration.tenants
    line = f"{path}: {configuration.version}, {services} services, {routes} routes, {len(tenants or [])} tenants"
    result = {
        "version": str(configuration.version),
        "services": services,
        "routes": routes,
        "tenants": None if tenants is None else len(tenants),
        "bytes": len(configuration.body),
    }
    print_result([line], result)


def diff(old_path: str, new_path: str) -> None:
    """Prints the differences between two configuration files."""
    old, new = load_configuration(old_path), load_configuration(new_path)
    lines = differences(old, new)
    result = {"from": str(old.version), "to": str(new.version), "lines": lines}
    print_result([f"{old.version} -> {new.version}", *lines], result)


def put(path: str) -> None:
    """Replaces the configuration by the one in a file. Returns once it is acknowledged."""
    configuration = load_configuration(path)
    call_controllers("POST", "/config/replace", configuration.body)
    print_result([f"{configuration.version} is acknowledged"], {"acknowledged": str(configuration.version)})


def read() -> None:
    """Prints the newest acknowledged configuration."""
    print(call_controllers("GET", "/config/read").decode())


def differences(old: Configuration, new: Configuration) -> list[str]:
    """Returns a line for each service, route or tenant that was removed or added, and for each changed field."""
    old_parts, new_parts = named_parts(old), named_parts(new)
    lines = [f"- {name}" for name in old_parts if name not in new_parts]
    lines += [f"+ {name}" for name in new_parts if name not in old_parts]
    for name in old_parts:
        if name in new_parts and old_parts[name] != new_parts[name]:
            lines += changed_fields(name, old_parts[name], new_parts[name])
    return lines


def named_parts(configuration: Configuration) -> dict[str, Any]:
    """Returns the parts of a configuration, keyed by kind and name, such as "tenant anna"."""
    services: Iterable[tuple[str, Any]] = configuration.services.items()
    parts: dict[str, Any] = {f"service {name}": settings for name, settings in services}
    parts |= {f"route {host}{route['path_prefix']}": route for host, route in configuration.routes()}
    parts |= {f"tenant {tenant['label']}": tenant for tenant in configuration.tenants or ()}
    return parts | {"limits": configuration.limits}


def changed_fields(name: str, old: dict[str, Any], new: dict[str, Any]) -> Iterator[str]:
    """Yields a line for each field whose value changed. The values of secret fields are omitted."""
    for field in old:
        if old[field] != new.get(field):
            values = "" if field in SECRET_FIELDS else f" {old[field]!r} -> {new[field]!r}"
            yield f"~ {name}: {field}{values}"
