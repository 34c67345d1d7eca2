"""Command line of the stand-ins."""

from __future__ import annotations

import fire

from standins import engine as engines
from standins import service as services
from standins import weights


def _split(text: str | tuple) -> tuple[str, ...]:
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
        Base URLs of entries, with commas between them.
    **options
        Fields of `standins.engine.EngineOptions`.
    """
    options["models"] = _split(options.get("models", ""))
    engines.Engine(
        engines.EngineOptions(name, service, zone, listen, _split(entries), **options)
    ).run()


def service(name: str, service: str, zone: str, listen: str, entries: str, **options) -> None:
    """Run a stand-in for a plain service."""
    services.Service(
        services.ServiceOptions(name, service, zone, listen, _split(entries), **options)
    ).run()


def weight_store(listen: str, at_once: int = 2, seconds: float = 0.5) -> None:
    """Run a stand-in for the weight store."""
    weights.WeightStore(listen, at_once=at_once, seconds=seconds).run()


def main() -> None:
    """Run the command line."""
    fire.Fire({"engine": engine, "service": service, "weight-store": weight_store})


if __name__ == "__main__":
    main()
