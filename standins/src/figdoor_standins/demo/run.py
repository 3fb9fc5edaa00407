"""What a run of the demo leaves behind, as values."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Start:
    """A request or a probe that an upstream began to run."""

    upstream: str
    zone: str
    request_id: str
    at_ms: float


@dataclass
class DemoRun:
    """Records of the callers and journals of the upstreams.

    ``zone_out_ms`` and ``zone_back_ms`` are when the tables without and with
    the availability zone had been published. ``listed_s`` is for how long
    each upstream was in the VM list, ``probes_per_s`` its budget. ``slow_ms``
    are the spans in which a service was slow, ``resets`` the orders that ran
    and were reset instead of answered.
    """

    records: list = field(default_factory=list)
    runs: list = field(default_factory=list)
    probes: list = field(default_factory=list)
    resets: list = field(default_factory=list)
    zone_out: str = ''
    zone_out_ms: float = 0
    zone_back_ms: float = 0
    slow_ms: list = field(default_factory=list)
    gateways: int = 2
    listed_s: dict = field(default_factory=dict)
    probes_per_s: float = 0
    exit_codes: list = field(default_factory=list)
    load_exit_code: int = 0
