"""Settings of one process that is told only of itself and of a few control hosts."""

from __future__ import annotations

import attrs

from flamingoramp import errors, utils


@attrs.frozen
class ListenSettings:
    """Addresses for calls from outside, ``ip:port``; empty if the process doesn't serve them."""

    callers: str = ""
    readiness: str = ""
    directory: str = ""
    operators: str = ""
    metrics: str = ""


@attrs.frozen
class BoundSettings:
    """Times and rates that the deployment asks for.

    Parameters
    ----------
    announce_milliseconds : float
        How often backend servers announce themselves.
    address_seconds : float
        How long callers may keep an answer of the directory. Longer answers cost callers fewer
        questions, which take a second each while a host of the directory is dark.
    accept_seconds : float
        How long a stopping entry still takes new connections.
    stop_seconds : float
        Time from the signal to stop until the process is killed.
    retry_ratio, retry_slack, retry_window_seconds : float
        Repeated sends allowed to a service in any window, over all entries: a share of the
        requests for it, and a number.
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

    @property
    def announce_seconds(self) -> float:
        """How often backend servers announce themselves."""
        return self.announce_milliseconds / 1000


@attrs.frozen
class NodeSettings:
    """Settings of one process.

    Parameters
    ----------
    name, availability_zone : str
    address : str
        IP number of the host.
    inner_ports : tuple of int
        First and last of the ports for traffic between the system's processes.
    seeds : tuple of str
        Operators' addresses of some control hosts, ``ip:port``.
    first_start : bool
        Whether the whole system starts for the first time; the seeds then found the cluster.
    data_folder : str
        Folder of a control replica's files; empty without a disk.
    listen : ListenSettings
    bounds : BoundSettings
    """

    name: str = utils.name_field()
    availability_zone: str = utils.name_field()
    address: str = "127.0.0.1"
    inner_ports: tuple[int, ...] = ()
    seeds: tuple[str, ...] = ()
    first_start: bool = False
    data_folder: str = ""
    listen: ListenSettings = attrs.field(factory=ListenSettings)
    bounds: BoundSettings = attrs.field(factory=BoundSettings)

    @property
    def control_internal_address(self) -> str:
        """Address of a control replica on this host for other processes."""
        return f"{self.address}:{self.inner_ports[0]}"

    @property
    def entry_internal_address(self) -> str:
        """Address of an entry on this host for other processes."""
        return f"{self.address}:{self.inner_ports[0] + 1}"

    @property
    def seed_internal_addresses(self) -> tuple[str, ...]:
        """The seeds' addresses for other processes; ports are the same on all hosts."""
        port = self.inner_ports[0]
        hosts = dict.fromkeys(seed.rpartition(":")[0] for seed in self.seeds)
        return tuple(f"{host}:{port}" for host in hosts)


def load(path: str) -> NodeSettings:
    """Read and check a settings file.

    Raises
    ------
    flamingoramp.errors.SettingsError
        Names file, key path, what was found and what it takes.
    """
    settings = utils.load(path, NodeSettings)
    if len(settings.inner_ports) != 2 or settings.inner_ports[0] + 1 > settings.inner_ports[1]:
        raise errors.SettingsError(
            f"{path}: inner_ports: found {list(settings.inner_ports)}, "
            "takes the first and last of at least 2 ports"
        )
    if not settings.seeds:
        raise errors.SettingsError(f"{path}: seeds: names no control host")
    return settings
