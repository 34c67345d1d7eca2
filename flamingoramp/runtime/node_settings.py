"""Settings file of one process: its own host, its addresses and some control hosts (seeds)."""

from __future__ import annotations

import collections
import socket

import attrs

from flamingoramp import errors, utils, value_classes


@attrs.frozen(eq=False, repr=False)
class ListenSettings(value_classes.Value):
    """Listening addresses for external calls, ``ip:port``; empty if the process doesn't serve them.

    Parameters
    ----------
    callers : str
        Requests of callers.
    readiness : str
        Readiness checks.
    directory : str
        Lookups of the entries' addresses.
    operators : str
        Requests of operators.
    metrics : str
        Metrics in the Prometheus text format.
    """

    callers: str = ""
    readiness: str = ""
    directory: str = ""
    operators: str = ""
    metrics: str = ""


@attrs.frozen(eq=False, repr=False)
class BoundSettings(value_classes.Value):
    """Intervals, shutdown times, retry budget and warm-up, given under the key ``bounds``.

    Parameters
    ----------
    announce_milliseconds : float
        Interval between the announcements of a backend server.
    address_seconds : float
        Time for which callers may cache a directory response. A longer time saves lookups, each of
        which takes a second while a host of the directory is unreachable.
    accept_seconds : float
        Time for which a stopping entry still accepts new connections.
    stop_seconds : float
        Time between the stop signal and the kill of the process.
    retry_ratio, retry_slack, retry_window_seconds : float
        Retry budget of a service, over all entries: in any window of ``retry_window_seconds``, at
        most ``retry_ratio`` times the number of its requests plus ``retry_slack`` retries.
    evacuate_milliseconds : float
        Time after which an evacuated zone gets nothing more from any entry; 0 if the deployment
        has no evacuations. With one, an entry that was suspended sends nothing to servers until a
        control host has told it which zones are evacuated.
    warm_up_excess_ratio, warm_up_excess_requests : float
        In any second a cold server gets at most ``warm_up_excess_ratio`` times the rate that its
        service declares, plus ``warm_up_excess_requests`` requests, from all entries.
    """

    announce_milliseconds: float = attrs.field(
        default=1200.0, validator=utils.between(50, 60_000, "milliseconds")
    )
    address_seconds: float = attrs.field(default=5.0, validator=utils.between(0.1, 60, "seconds"))
    accept_seconds: float = attrs.field(default=2.5, validator=utils.between(0.1, 60, "seconds"))
    stop_seconds: float = attrs.field(default=8.0, validator=utils.between(0.5, 600, "seconds"))
    retry_ratio: float = attrs.field(default=0.2, validator=utils.between(0, 10, "as a ratio"))
    retry_slack: float = attrs.field(default=20.0, validator=utils.between(0, 10**6, "requests"))
    retry_window_seconds: float = attrs.field(
        default=10.0, validator=utils.between(0.1, 600, "seconds")
    )
    evacuate_milliseconds: float = attrs.field(
        default=0.0, validator=utils.between(0, 600_000, "milliseconds")
    )
    warm_up_excess_ratio: float = attrs.field(
        default=1.5, validator=utils.between(0.1, 100, "as a ratio")
    )
    warm_up_excess_requests: float = attrs.field(
        default=5.0, validator=utils.between(0, 10**6, "requests")
    )

    @property
    def announce_interval_seconds(self) -> float:
        """Interval between the announcements of a backend server, in seconds."""
        return self.announce_milliseconds / 1000


@attrs.frozen(eq=False, repr=False)
class MachineSettings(value_classes.Value):
    """What the process may use of its machine, given under the key ``machine``.

    Parameters
    ----------
    memory_megabytes : float
        Memory of the process, in units of 10**6 bytes. A share of it bounds what the process holds
        for its callers and for other processes (`byte_account`).
    """

    memory_megabytes: float = attrs.field(
        default=112.0, validator=utils.between(64, 10**6, "megabytes")
    )

    @property
    def memory_bytes(self) -> int:
        """Memory of the process, in bytes."""
        return int(self.memory_megabytes * 10**6)


@attrs.frozen(eq=False, repr=False)
class NodeSettings(value_classes.Value):
    """Settings of one process.

    Parameters
    ----------
    name : str
        Name of the host.
    availability_zone : str
        Availability zone of the host.
    availability_zones : tuple of str
        Names of all availability zones, which alone can be evacuated; empty to take any name.
    address : str
        IP address of the host.
    inner_ports : tuple of int
        First and last port of the range for traffic between processes of the system.
    seeds : tuple of str
        Addresses of the operators' API of some control hosts, ``ip:port``.
    first_start : bool
        Whether this is the first start of the whole system, in which the seeds form the cluster.
    data_folder : str
        Folder of the files of a control replica; empty if the host has no disk.
    listen : ListenSettings
        Listening addresses for external calls.
    bounds : BoundSettings
        Intervals, shutdown times and the retry budget.
    machine : MachineSettings
        What the process may use of its machine.
    """

    name: str = utils.name_field()
    availability_zone: str = utils.name_field()
    availability_zones: tuple[str, ...] = ()
    address: str = "127.0.0.1"
    inner_ports: tuple[int, ...] = ()
    seeds: tuple[str, ...] = ()
    first_start: bool = False
    data_folder: str = ""
    listen: ListenSettings = attrs.field(factory=ListenSettings)
    bounds: BoundSettings = attrs.field(factory=BoundSettings)
    machine: MachineSettings = attrs.field(factory=MachineSettings)

    @property
    def control_internal_address(self) -> str:
        """Address at which other processes reach a control replica on this host, ``ip:port``."""
        return f"{self.address}:{self.inner_ports[0]}"

    @property
    def entry_internal_address(self) -> str:
        """Address at which other processes reach an entry on this host, ``ip:port``."""
        return f"{self.address}:{self.inner_ports[0] + 1}"

    @property
    def seed_internal_addresses(self) -> tuple[str, ...]:
        """Internal addresses of the seeds, which use the same ports as this host."""
        port = self.inner_ports[0]
        ip_addresses = dict.fromkeys(seed.rpartition(":")[0] for seed in self.seeds)
        return tuple(f"{ip_address}:{port}" for ip_address in ip_addresses)


def load(path: str) -> NodeSettings:
    """Read and validate a settings file.

    Raises
    ------
    flamingoramp.errors.SettingsError
        If the file is invalid; names the file, the key path, the value and the allowed values.
    """
    settings = utils.load(path, NodeSettings)
    if len(settings.inner_ports) != 2 or settings.inner_ports[0] + 1 > settings.inner_ports[1]:
        raise errors.SettingsError(
            f"{path}: inner_ports: found {list(settings.inner_ports)}, "
            "takes the first and last port of a range of at least 2 ports"
        )
    if not settings.seeds:
        raise errors.SettingsError(
            f"{path}: seeds: found no address, takes at least 1 address of a control host"
        )
    return settings


def check_addresses(addresses: list[str], source: str) -> None:
    """Check the addresses that a process binds, each for one kind of calls.

    Raises
    ------
    flamingoramp.errors.SettingsError
        If one is no IPv4 address with a port, which no wait can change, or is given twice.
    """
    for address, count in collections.Counter(addresses).items():
        ip_address, _, port = address.rpartition(":")
        is_port = port.isascii() and port.isdecimal() and int(port) < 2**16
        if not is_port or not _is_ip_address(ip_address):
            raise errors.SettingsError(
                f"{source}: found {address!r}, takes an IPv4 address and a port, ip:port"
            )
        if count > 1 and int(port):
            raise errors.SettingsError(
                f"{source}: found {address!r} for {count} kinds of calls, takes different ones"
            )


def _is_ip_address(text: str) -> bool:
    # No names are looked up.
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, UnicodeError):
        return False
    return True
