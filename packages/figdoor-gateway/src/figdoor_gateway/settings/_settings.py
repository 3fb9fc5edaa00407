"""Reads all settings and reports all findings."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from absl import flags
from returns.result import Failure, Result, Success

from figdoor_gateway.settings._options import OPTIONS, Address, Option
from figdoor_kernel import Finding, Place


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one node; ``OPTIONS`` describes each field."""

    node_id: str
    availability_zone: str
    listen: Address
    operator_listen: Address
    peer_listen: Address
    seeds: tuple[Address, ...]
    platform_url: str
    chooser: str
    dialect: str
    deployment: str
    kept_connection_ms: float
    stop_limit_ms: float
    kill_after_ms: float
    fleet_nodes: float
    retry_budget_percent: float
    retry_budget_burst: float
    retry_budget_window_ms: float
    probes_per_s: float
    allowance_window_ms: float
    allowance_overage: float
    allowance_tolerance: float
    quarantine_deaths: float
    retry_failed_answers: bool
    overload_control: str
    log_format: str
    log_level: str
    stop_grace_ms: float
    vm_list_lag_ms: float
    connect_timeout_ms: float
    header_timeout_ms: float
    idle_timeout_ms: float
    max_header_bytes: float
    max_body_bytes: float
    max_buffered_body_bytes: float
    max_caller_connections: float
    memory_limit_mb: float
    file_limit: float
    trace_file: str
    trace_max_bytes: float


ReadSettings = Result[Settings, tuple[Finding, ...]]


def read_settings(
    arguments: Sequence[str],
    environment: Mapping[str, str],
) -> ReadSettings:
    """Return the settings, or all findings.

    A flag overrides an environment variable, which overrides the default.
    ``arguments`` starts with the name of the program.
    """
    flag_values = _define_flags()
    findings = _parse_flags(flag_values, arguments)
    fields: dict[str, Any] = {}
    for option in OPTIONS:
        source, text = _text_of(option, flag_values, environment)
        match option.read(text):
            case Success(setting):
                fields[option.name] = setting
            case Failure(message):
                reason = (
                    message if text else f'is not set; {option.description}'
                )
                findings.append(Finding(Place(source), reason))
    if findings:
        return Failure(tuple(findings))
    return Success(Settings(**fields))


def flag_file(arguments: Sequence[str]) -> str:
    """Return the path that ``--flagfile`` names, empty if it is not given.

    >>> flag_file(['figdoor', '--flagfile=/etc/figdoor.flags'])
    '/etc/figdoor.flags'
    """
    for argument in arguments:
        name, _, path = argument.partition('=')
        if name.lstrip('-') == 'flagfile':
            return path
    return ''


def describe_options() -> str:
    """Return the text of ``--help``."""
    lines = []
    for option in OPTIONS:
        default = f' (default {option.default})' if option.default else ''
        lines.append(f'  --{option.name}: {option.description}{default}')
        lines.append(f'      environment: {option.environment_name}')
    return '\n'.join(lines)


def _define_flags() -> flags.FlagValues:
    values = flags.FlagValues()
    for option in OPTIONS:
        flags.DEFINE_string(
            option.name,
            None,
            option.description,
            flag_values=values,
        )
    return values


def _parse_flags(
    values: flags.FlagValues,
    arguments: Sequence[str],
) -> list[Finding]:
    try:
        remaining = values(list(arguments))
    except flags.Error as error:
        values.mark_as_parsed()
        return [Finding(Place('flags'), str(error))]
    return [
        Finding(Place('flags'), f'unexpected argument {argument!r}')
        for argument in remaining[1:]
    ]


def _text_of(
    option: Option,
    values: flags.FlagValues,
    environment: Mapping[str, str],
) -> tuple[str, str]:
    flag = values[option.name].value
    if flag is not None:
        return f'--{option.name}', flag
    if option.environment_name in environment:
        return option.environment_name, environment[option.environment_name]
    return f'--{option.name}', option.default
