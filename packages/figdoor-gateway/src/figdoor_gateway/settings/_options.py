"""The options of a node: name, default, help text and parser."""

import re
from collections.abc import Callable
from dataclasses import dataclass
from ipaddress import ip_address
from typing import Any
from urllib.parse import urlsplit

from returns.result import Failure, Result, Success

from figdoor_gateway.logs import LOG_FORMATS
from figdoor_kernel import Deployment, OverloadControl

LOG_LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')
MAX_PORT = 65_535
_MS_BY_UNIT = {'ms': 1, 's': 1000}
_DURATION = re.compile(r'(?P<number>[\d.]+)(?P<unit>ms|s)?')
_NAME = re.compile('[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}')


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


@dataclass(frozen=True, slots=True)
class Option:
    """One setting; ``default`` is the text that an operator would write."""

    name: str
    default: str
    read: Callable[[str], Result[Any, str]]
    description: str

    @property
    def environment_name(self) -> str:
        """The environment variable that sets this option."""
        return f'FIGDOOR_{self.name.upper()}'


def read_name(text: str) -> Result[str, str]:
    """Read a name of up to 63 characters."""
    if _NAME.fullmatch(text):
        return Success(text)
    return Failure(
        f'{text!r} is not a name (1 to 63 of a-z, A-Z, 0-9, ".", "_", "-", '
        'beginning with a letter or digit)',
    )


def read_address(text: str) -> Result[Address, str]:
    """Read ``host:port``, where host is an IP address."""
    host, _, port = text.rpartition(':')
    if not port.isdecimal() or int(port) > MAX_PORT:
        return Failure(f'{text!r} does not end with a port of 0 to 65535')
    try:
        ip_address(host.strip('[]'))
    except ValueError:
        return Failure(f'{host!r} is not an IP address')
    return Success(Address(host.strip('[]'), int(port)))


def read_addresses(text: str) -> Result[tuple[Address, ...], str]:
    """Read any number of addresses, separated by commas."""
    addresses = []
    for part in filter(None, text.split(',')):
        match read_address(part.strip()):
            case Success(address):
                addresses.append(address)
            case Failure(message):
                return Failure(message)
    return Success(tuple(addresses))


def read_yes_or_no(text: str) -> Result[bool, str]:
    """Read ``yes`` or ``no``."""
    if text in {'yes', 'no'}:
        return Success(text == 'yes')
    return Failure(f'{text!r} is neither yes nor no')


def read_url(text: str) -> Result[str, str]:
    """Read an ``http`` URL and remove trailing slashes."""
    parts = urlsplit(text)
    if parts.scheme == 'http' and parts.netloc:
        return Success(text.rstrip('/'))
    return Failure(f'{text!r} is not an http:// URL')


def read_path(text: str) -> Result[str, str]:
    """Read the path of a file, which may be empty."""
    return Success(text)


@dataclass(frozen=True, slots=True)
class NumberReader:
    """Reads numbers from ``lowest`` to ``highest``."""

    lowest: float
    highest: float

    def __call__(self, text: str) -> Result[float, str]:
        """Return the number, or a message that says what is wrong."""
        try:
            number = float(text)
        except ValueError:
            return Failure(f'{text!r} is not a number')
        if self.lowest <= number <= self.highest:
            return Success(number)
        return Failure(f'{text} is not within {self.lowest}..{self.highest}')


@dataclass(frozen=True, slots=True)
class OptionalNumberReader:
    """Reads numbers from ``lowest`` to ``highest``, or 0 for none.

    An empty text, with which a deployment leaves the number open, is 0.
    """

    lowest: float
    highest: float

    def __call__(self, text: str) -> Result[float, str]:
        """Return the number, or a message that says what is wrong."""
        if text in {'', '0'}:
            return Success(0)
        return NumberReader(self.lowest, self.highest)(text)


@dataclass(frozen=True, slots=True)
class DurationReader:
    """Reads ``10s``, ``2500ms`` or a number of milliseconds.

    An empty text, with which a deployment leaves the time open, is 0.
    """

    lowest: float
    highest: float

    def __call__(self, text: str) -> Result[float, str]:
        """Return the milliseconds, or a message that says what is wrong."""
        match = _DURATION.fullmatch(text or '0')
        if match is None:
            return Failure(f'{text!r} is not a time such as 10s or 2500ms')
        factor = _MS_BY_UNIT[match['unit'] or 'ms']
        in_range = NumberReader(self.lowest / factor, self.highest / factor)
        return in_range(match['number']).map(lambda number: number * factor)


@dataclass(frozen=True, slots=True)
class OpenReader:
    """Reads like ``read``; an empty text stands for ``default``.

    A deployment whose platform does not state the value leaves it empty.
    """

    default: str
    read: Callable[[str], Result[float, str]]

    def __call__(self, text: str) -> Result[float, str]:
        """Return the number, or a message that says what is wrong."""
        return self.read(text or self.default)


@dataclass(frozen=True, slots=True)
class ChoiceReader:
    """Reads one of ``choices``."""

    choices: tuple[str, ...]

    def __call__(self, text: str) -> Result[str, str]:
        """Return the choice, or a message that says what is wrong."""
        if text in self.choices:
            return Success(text)
        return Failure(f'{text!r} is not one of {", ".join(self.choices)}')


_BYTES = NumberReader(1, 1_000_000_000)
_MILLISECONDS = NumberReader(0, 3_600_000)

OPTIONS = (
    Option('node_id', '', read_name, 'name of this VM in the VM list'),
    Option(
        'availability_zone',
        '',
        read_name,
        'availability zone of this VM',
    ),
    Option(
        'listen',
        '0.0.0.0:8080',
        read_address,
        'IP address and port for callers',
    ),
    Option(
        'operator_listen',
        '127.0.0.1:8081',
        read_address,
        'IP address and port of health, metrics and operator pages',
    ),
    Option(
        'peer_listen',
        '0.0.0.0:8082',
        read_address,
        'IP address and port for other nodes, UDP and TCP',
    ),
    Option(
        'seeds',
        '',
        read_addresses,
        'peer addresses of nodes through which to join, separated by commas',
    ),
    Option('platform_url', '', read_url, 'base URL of the platform'),
    Option('chooser', 'adaptive', read_name, 'policy that selects upstreams'),
    Option(
        'dialect',
        'figdoor',
        read_name,
        'headers and statuses agreed on with callers and upstreams',
    ),
    Option(
        'deployment',
        'vm_list',
        ChoiceReader(tuple(member.value for member in Deployment)),
        'how the platform publishes tables and upstreams',
    ),
    Option(
        'kept_connection_ms',
        '60000',
        _MILLISECONDS,
        'maximum idle time of a connection that is reused for a request '
        'which is not idempotent',
    ),
    Option(
        'stop_limit_ms',
        '0',
        _MILLISECONDS,
        'time from the stop signal until open requests are aborted; 0 for '
        'the longest deadline',
    ),
    Option(
        'kill_after_ms',
        '0',
        DurationReader(0, 3_600_000),
        'time from the stop signal until the platform kills the process, as '
        '10s or 2500ms; requests are aborted 400 ms before that instead of '
        'after stop_limit_ms; 0 if it is not known',
    ),
    Option(
        'fleet_nodes',
        '32',
        NumberReader(1, 10_000),
        'minimum number of nodes among which shared budgets are divided',
    ),
    Option(
        'retry_budget_percent',
        '20',
        NumberReader(0, 100),
        'retries that a service can handle, in percent of its requests',
    ),
    Option(
        'retry_budget_burst',
        '60',
        NumberReader(0, 100_000),
        'retries from the whole fleet that a service can handle in addition '
        'to retry_budget_percent',
    ),
    Option(
        'retry_budget_window_ms',
        '10000',
        NumberReader(100, 600_000),
        'time over which retries and requests are counted',
    ),
    Option(
        'probes_per_s',
        '60',
        NumberReader(1, 100_000),
        'probes per second that an upstream can handle from the whole '
        'fleet, on average over all upstreams',
    ),
    Option(
        'allowance_window_ms',
        '5000',
        OpenReader('5000', DurationReader(1000, 600_000)),
        'time over which the requests of a tenant are counted, as 5s or '
        '5000ms; empty for the default',
    ),
    Option(
        'allowance_overage',
        '0.25',
        OpenReader('0.25', NumberReader(0, 10)),
        'share by which the requests of a tenant in that time may exceed '
        'its allowance; empty for the default',
    ),
    Option(
        'allowance_tolerance',
        '20',
        OpenReader('20', NumberReader(0, 100_000)),
        'requests of a tenant in that time that are allowed in addition; '
        'empty for the default',
    ),
    Option(
        'quarantine_deaths',
        '2',
        NumberReader(2, 10),
        'upstreams that must crash under a request before it is refused; '
        'set more where connections are reset without a crash',
    ),
    Option(
        'retry_failed_answers',
        'no',
        read_yes_or_no,
        'whether an idempotent request is retried after an upstream '
        'itself answered with an error',
    ),
    Option(
        'overload_control',
        'no',
        ChoiceReader(tuple(member.value for member in OverloadControl)),
        'whether calls that find too little room wait, give way and are '
        'refused by what a delay costs their callers; large-requests: while '
        'the tables have a route with large requests',
    ),
    Option(
        'log_format',
        'text',
        ChoiceReader(LOG_FORMATS),
        'format of log lines',
    ),
    Option(
        'log_level',
        'INFO',
        ChoiceReader(LOG_LEVELS),
        'lowest level that is logged',
    ),
    Option(
        'stop_grace_ms',
        '5000',
        _MILLISECONDS,
        'time between turning unready and closing the listener',
    ),
    Option(
        'vm_list_lag_ms',
        '5000',
        _MILLISECONDS,
        'maximum time by which the VM list lags behind',
    ),
    Option(
        'connect_timeout_ms',
        '250',
        NumberReader(1, 60_000),
        'time allowed for opening a connection to an upstream',
    ),
    Option(
        'header_timeout_ms',
        '10000',
        NumberReader(1, 600_000),
        'time allowed for a caller to send a complete request head',
    ),
    Option(
        'idle_timeout_ms',
        '60000',
        NumberReader(1, 3_600_000),
        'time after which an idle connection of a caller is closed',
    ),
    Option(
        'max_header_bytes',
        '32768',
        _BYTES,
        'largest request or response head',
    ),
    Option('max_body_bytes', '10485760', _BYTES, 'largest request body'),
    Option(
        'max_buffered_body_bytes',
        '65536',
        _BYTES,
        'largest request body that is buffered so that it can be resent',
    ),
    Option(
        'max_caller_connections',
        '10000',
        NumberReader(1, 1_000_000),
        'maximum number of open connections from callers',
    ),
    Option(
        'memory_limit_mb',
        '0',
        OptionalNumberReader(1, 10_000_000),
        'memory that the process may use, in units of 1,048,576 bytes; half '
        'of what a node does not need itself is for its callers; 0 or empty '
        'for the memory of the machine',
    ),
    Option(
        'file_limit',
        '0',
        OptionalNumberReader(1, 10_000_000),
        'descriptors that the process may open; three quarters of those for '
        'sockets are for callers; 0 or empty for the limit of the system',
    ),
    Option(
        'trace_file',
        '',
        read_path,
        'file to record a trace in for figdoor-ctl replay; empty for none',
    ),
    Option(
        'trace_max_bytes',
        '10000000',
        _BYTES,
        'size at which the recording of a trace ends',
    ),
)
