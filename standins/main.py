"""Command line that starts a stand-in process."""

from __future__ import annotations

import fire

from standins import engine as engine_module
from standins import service as service_module
from standins import weights


def _split_commas(text: str | tuple) -> tuple[str, ...]:
    if isinstance(text, tuple | list):
        return tuple(text)
    return tuple(part for part in str(text).split(",") if part)


def engine(name: str, service: str, zone: str, listen: str, entries: str, **options) -> None:
    """Run a stand-in for a model engine.

    Parameters
    ----------
    name, service, zone : str
    listen : str
        ``ip:port``.
    entries : str
        Base URLs of entries, separated by commas.
    **options
        Fields of `standins.engine.EngineOptions`.
    """
    options["models"] = _split_commas(options.get("models", ""))
    engine_module.Engine(
        engine_module.EngineOptions(name, service, zone, listen, _split_commas(entries), **options)
    ).run()


def service(name: str, service: str, zone: str, listen: str, entries: str, **options) -> None:
    """Run a stand-in for a plain service.

    Parameters
    ----------
    name, service, zone : str
    listen : str
        ``ip:port``.
    entries : str
        Base URLs of entries, separated by commas.
    **options
        Fields of `standins.service.ServiceOptions`.
    """
    service_module.Service(
        service_module.ServiceOptions(
            name, service, zone, listen, _split_commas(entries), **options
        )
    ).run()


def weight_store(listen: str, at_once: int = 2, seconds: float = 0.5) -> None:
    """Run a stand-in for the weight store.

    Parameters
    ----------
    listen : str
        ``ip:port``.
    at_once : int
        Reads that are served concurrently.
    seconds : float
        Time that one read takes.
    """
    weights.WeightStore(listen, max_concurrent_reads=at_once, read_seconds=seconds).run()


def main() -> None:
    """Run the subcommand that the arguments name."""
    fire.Fire({"engine": engine, "service": service, "weight-store": weight_store})


if __name__ == "__main__":
    main()
