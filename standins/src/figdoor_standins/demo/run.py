"""Records of a run of the demo."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Start:
    """A request or probe that an upstream started to run."""

    upstream: str
    zone: str
    request_id: str
    at_ms: float


@dataclass
class DemoRun:
    """Records of the callers and journals of the upstreams.

    ``zone_out_ms`` and ``zone_back_ms`` are the times at which the tables
    without and again with the availability zone were published. ``listed_s``
    is how long each upstream was in the VM list, and ``probes_per_s`` its probe
    budget. ``slow_intervals_ms`` are the intervals in which a service was slow,
    ``resets`` the orders that ran and whose connections were then reset.
    """

    records: list = field(default_factory=list)
    runs: list = field(default_factory=list)
    probes: list = field(default_factory=list)
    resets: list = field(default_factory=list)
    zone_out: str = ''
    zone_out_ms: float = 0
    zone_back_ms: float = 0
    slow_intervals_ms: list = field(default_factory=list)
    gateways: int = 2
    listed_s: dict = field(default_factory=dict)
    probes_per_s: float = 0
    exit_codes: list = field(default_factory=list)
    load_exit_code: int = 0
