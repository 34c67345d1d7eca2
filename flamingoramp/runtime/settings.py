"""Settings file of a deployment, which each process reads when it starts."""

from __future__ import annotations

import pathlib

import attrs

from flamingoramp import errors, utils
from flamingoramp.runtime import logs

PORT_VALIDATOR = utils.between(0, 65535, "as a port")


@attrs.frozen
class HostSettings:
    """Host and the processes that it runs.

    Parameters
    ----------
    name : str
        Name of the host.
    availability_zone : str
        Availability zone of the host.
    address : str
        IP address that the processes listen on.
    entry_port, entry_inner_port : int
        Ports of the entry for callers and for other processes; 0 if the host runs no entry.
    control_port, control_inner_port : int
        Ports of the control replica for operators and for other processes; 0 if the host runs no
        control replica.
    data_folder : str
        Folder of the files of the control replica; empty if the host has no disk.
    """

    name: str = utils.name_field()
    availability_zone: str = utils.name_field()
    address: str = "127.0.0.1"
    entry_port: int = attrs.field(default=0, validator=PORT_VALIDATOR)
    entry_inner_port: int = attrs.field(default=0, validator=PORT_VALIDATOR)
    control_port: int = attrs.field(default=0, validator=PORT_VALIDATOR)
    control_inner_port: int = attrs.field(default=0, validator=PORT_VALIDATOR)
    data_folder: str = ""

    @property
    def entry_url(self) -> str:
        """Base URL of the entry."""
        return f"http://{self.address}:{self.entry_port}"

    @property
    def entry_internal_address(self) -> str:
        """Address at which other processes reach the entry, ``ip:port``."""
        return f"{self.address}:{self.entry_inner_port}"

    @property
    def control_url(self) -> str:
        """Base URL of the control replica."""
        return f"http://{self.address}:{self.control_port}"

    @property
    def control_internal_address(self) -> str:
        """Address at which other processes reach the control replica, ``ip:port``."""
        return f"{self.address}:{self.control_inner_port}"


@attrs.frozen
class TimingSettings:
    """Intervals, lease durations and timeouts.

    Parameters
    ----------
    session_heartbeat_seconds, session_lease_seconds : float
        Interval of an entry's heartbeats to a control replica, and duration of the lease that each
        one renews.
    announcement_lease_seconds : float
        Time for which a backend server counts as live after an announcement.
    hold_report_seconds : float
        Interval of an entry's reports of the memory reservations that it holds.
    reservation_expiry_seconds : float
        Time after which a memory reservation that is no longer reported expires.
    order_flight_seconds : float
        Longest time for which an order may be on its way to a backend server.
    stream_silence_seconds : float
        Time without data after which a response stream of a backend server has failed.
    caller_heartbeat_seconds : float
        Idle time after which a heartbeat is sent on a caller's response stream.
    address_max_age_seconds : float
        Time for which callers may cache the addresses of entries.
    election_min_seconds, election_max_seconds : float
        Range of the random election timeout of a control replica.
    replica_heartbeat_seconds : float
        Interval of the leader's heartbeats to the other control replicas.
    clock_rate_bound : float
        Largest difference in rate between the clocks of two hosts, as a ratio.
    clock_error_seconds : float
        Largest error of a host's wall-clock time.
    """

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
    """Limits on requests and on the records of idempotency keys.

    Parameters
    ----------
    max_body_bytes : int
        Largest accepted request body.
    bytes_per_token : float
        Ratio by which the size of a prompt in tokens is estimated from its bytes.
    default_time_limit_seconds : float
        Has no effect: a request that sets no time limit has that of its service.
    max_time_limit_seconds : float
        Largest time limit of a request.
    max_claims : int
        Largest number of stored claims of idempotency keys.
    claim_retention_seconds : float
        Time for which a claim of an idempotency key is stored.
    """

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
    """Format and level of the logs."""

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
    hosts : tuple of HostSettings
        All hosts of the deployment.
    host : str
        Name of the host that the process runs on; a command line option may set it instead.
    seed : int
        Seed of the random number generators; 0 for a seed from the operating system.
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
            If no host has that name; lists the known names.
        """
        for host in self.hosts:
            if host.name == name:
                return host
        host_names = ", ".join(host.name for host in self.hosts)
        raise errors.SettingsError(f"host: found {name!r}, takes one of {host_names}")


def load(path: str | pathlib.Path) -> Settings:
    """Read and validate a settings file.

    Raises
    ------
    flamingoramp.errors.SettingsError
        If the file is invalid; names the file, the key path, the value and the allowed values.
    """
    settings = utils.load(path, Settings)
    if not settings.control_hosts:
        raise errors.SettingsError(
            f"{path}: hosts: no host sets control_inner_port; set it on 3, 5 or 7 hosts"
        )
    utils.check_unique([host.name for host in settings.hosts], "host", str(path))
    _check_timing(settings.timing, str(path))
    return settings


def _check_timing(timing: TimingSettings, source: str) -> None:
    """Raise `SettingsError` if a time is too short in relation to one that it depends on."""
    minimum_ratios = [
        ("election_max_seconds", "election_min_seconds", 1.2),
        ("election_min_seconds", "replica_heartbeat_seconds", 3.0),
        ("session_lease_seconds", "session_heartbeat_seconds", 3.0),
        ("reservation_expiry_seconds", "hold_report_seconds", 3.0),
    ]
    for name, other, factor in minimum_ratios:
        value, minimum = getattr(timing, name), factor * getattr(timing, other)
        if value < minimum:
            raise errors.SettingsError(
                f"{source}: timing.{name}: found {value}, "
                f"takes at least {minimum:g}, {factor:g} times timing.{other}"
            )
