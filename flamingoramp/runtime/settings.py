"""Settings of a deployment, read by each process at its start."""

from __future__ import annotations

import pathlib

import attrs

from flamingoramp import errors, utils
from flamingoramp.runtime import logs

PORT = utils.between(0, 65535, "as a port")


@attrs.frozen
class HostSettings:
    """One host and the processes that it runs.

    Parameters
    ----------
    name : str
    availability_zone : str
    address : str
        IP number that the processes listen on.
    entry_port, entry_inner_port : int
        Ports of the entry for callers and for other processes; 0 if the host runs none.
    control_port, control_inner_port : int
        Ports of the control replica for operators and for other processes; 0 if it runs none.
    data_folder : str
        Folder of the control replica's files; empty on a host without a disk.
    """

    name: str = utils.name_field()
    availability_zone: str = utils.name_field()
    address: str = "127.0.0.1"
    entry_port: int = attrs.field(default=0, validator=PORT)
    entry_inner_port: int = attrs.field(default=0, validator=PORT)
    control_port: int = attrs.field(default=0, validator=PORT)
    control_inner_port: int = attrs.field(default=0, validator=PORT)
    data_folder: str = ""

    @property
    def entry_url(self) -> str:
        """Base URL of the entry."""
        return f"http://{self.address}:{self.entry_port}"

    @property
    def entry_internal_address(self) -> str:
        """Address of the entry for other processes."""
        return f"{self.address}:{self.entry_inner_port}"

    @property
    def control_url(self) -> str:
        """Base URL of the control replica."""
        return f"http://{self.address}:{self.control_port}"

    @property
    def control_internal_address(self) -> str:
        """Address of the control replica for other processes."""
        return f"{self.address}:{self.control_inner_port}"


@attrs.frozen
class TimingSettings:
    """Time constants of sessions, leases and streams."""

    session_heartbeat_seconds: float = attrs.field(
        default=0.25, validator=utils.between(0.05, 10, "seconds")
    )
    session_lease_seconds: float = attrs.field(
        default=2.0, validator=utils.between(0.5, 30, "seconds")
    )
    announcement_lease_seconds: float = attrs.field(
        default=2.5, validator=utils.between(0.5, 30, "seconds")
    )
    hold_report_seconds: float = attrs.field(
        default=0.5, validator=utils.between(0.1, 10, "seconds")
    )
    reservation_expiry_seconds: float = attrs.field(
        default=4.0, validator=utils.between(1, 60, "seconds")
    )
    order_flight_seconds: float = attrs.field(
        default=2.0, validator=utils.between(0.1, 60, "seconds")
    )
    stream_silence_seconds: float = attrs.field(
        default=2.0, validator=utils.between(0.2, 60, "seconds")
    )
    caller_heartbeat_seconds: float = attrs.field(
        default=2.0, validator=utils.between(0.1, 60, "seconds")
    )
    address_max_age_seconds: float = attrs.field(
        default=5.0, validator=utils.between(0, 3600, "seconds")
    )
    election_min_seconds: float = attrs.field(
        default=0.4, validator=utils.between(0.1, 30, "seconds")
    )
    election_max_seconds: float = attrs.field(
        default=0.8, validator=utils.between(0.2, 60, "seconds")
    )
    replica_heartbeat_seconds: float = attrs.field(
        default=0.1, validator=utils.between(0.01, 10, "seconds")
    )
    clock_rate_bound: float = attrs.field(
        default=0.05, validator=utils.between(0, 0.5, "as a ratio")
    )
    clock_error_seconds: float = attrs.field(default=1.0, validator=utils.between(0, 60, "seconds"))


@attrs.frozen
class LimitSettings:
    """Bounds on what callers may send."""

    max_body_bytes: int = attrs.field(
        default=16 * 1024 * 1024, validator=utils.between(1024, 2**30, "bytes")
    )
    bytes_per_token: float = attrs.field(default=4.0, validator=utils.between(0.5, 16, "bytes"))
    default_time_limit_seconds: float = attrs.field(
        default=120.0, validator=utils.between(0.1, 86400, "seconds")
    )
    max_time_limit_seconds: float = attrs.field(
        default=3600.0, validator=utils.between(0.1, 86400, "seconds")
    )
    max_claims: int = attrs.field(default=100_000, validator=utils.between(1, 10**8, "claims"))
    claim_retention_seconds: float = attrs.field(
        default=86_400.0, validator=utils.between(1, 10**7, "seconds")
    )


@attrs.frozen
class LogSettings:
    """Form and level of the logs."""

    format: str = attrs.field(default="text", validator=utils.one_of(*logs.FORMATS))
    level: str = attrs.field(
        default="info", validator=utils.one_of("debug", "info", "warning", "error")
    )


@attrs.frozen
class Settings:
    """All settings of a deployment.

    Parameters
    ----------
    deployment : str
        Name of the deployment.
    hosts : list of HostSettings
    host : str
        Host that a process runs on; a command line option may name it instead.
    seed : int
        Seed of random choices, 0 for one from the system.
    """

    deployment: str = utils.name_field()
    hosts: tuple[HostSettings, ...] = ()
    host: str = ""
    seed: int = 0
    timing: TimingSettings = attrs.field(factory=TimingSettings)
    limits: LimitSettings = attrs.field(factory=LimitSettings)
    logs: LogSettings = attrs.field(factory=LogSettings)

    @property
    def control_hosts(self) -> tuple[HostSettings, ...]:
        """Hosts that run a control replica."""
        return tuple(host for host in self.hosts if host.control_inner_port)

    @property
    def entry_hosts(self) -> tuple[HostSettings, ...]:
        """Hosts that run an entry."""
        return tuple(host for host in self.hosts if host.entry_inner_port)

    def find_host(self, name: str) -> HostSettings:
        """Return a host's settings.

        Raises
        ------
        flamingoramp.errors.SettingsError
            If there is no host of that name.
        """
        for host in self.hosts:
            if host.name == name:
                return host
        known = ", ".join(host.name for host in self.hosts)
        raise errors.SettingsError(f"host: found {name!r}, takes one of {known}")


def load(path: str | pathlib.Path) -> Settings:
    """Read and check a settings file.

    Raises
    ------
    flamingoramp.errors.SettingsError
        Names file, key path, what was found and what it takes.
    """
    settings = utils.load(path, Settings)
    if not settings.control_hosts:
        raise errors.SettingsError(
            f"{path}: hosts: no host has a control_inner_port; name 3, 5 or 7"
        )
    utils.check_unique([host.name for host in settings.hosts], "host", str(path))
    _check_timing(settings.timing, str(path))
    return settings


def _check_timing(timing: TimingSettings, source: str) -> None:
    """Refuse times that can't work together."""
    at_least = [
        ("election_max_seconds", "election_min_seconds", 1.2),
        ("election_min_seconds", "replica_heartbeat_seconds", 3.0),
        ("session_lease_seconds", "session_heartbeat_seconds", 3.0),
        ("reservation_expiry_seconds", "hold_report_seconds", 3.0),
    ]
    for name, other, factor in at_least:
        found, bound = getattr(timing, name), factor * getattr(timing, other)
        if found < bound:
            raise errors.SettingsError(
                f"{source}: timing.{name}: found {found}, "
                f"takes at least {bound:g}, {factor:g} times timing.{other}"
            )
