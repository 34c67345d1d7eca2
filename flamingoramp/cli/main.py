"""Command line: starts the daemons and runs operators' commands."""

from __future__ import annotations

import json
import logging
import os
import sys
from collections.abc import Callable
from typing import Any

import fire

from flamingoramp import errors, utils
from flamingoramp.cli import control_client
from flamingoramp.daemons import control as control_daemon
from flamingoramp.daemons import entry as entry_daemon
from flamingoramp.intent import declarations
from flamingoramp.runtime import (
    http_client,
    listeners,
    logs,
    process_end,
    process_signals,
    timeline,
)
from flamingoramp.runtime import settings as settings_module

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2
SETTINGS_ENVIRONMENT_VARIABLE = "FLAMINGORAMP_SETTINGS"


def _load_settings(path: str) -> settings_module.Settings:
    path = path or os.environ.get(SETTINGS_ENVIRONMENT_VARIABLE, "")
    if not path:
        raise errors.SettingsError(
            f"no settings file given: use --settings FILE or set {SETTINGS_ENVIRONMENT_VARIABLE}"
        )
    return settings_module.load(path)


def _prepare_daemon(
    path: str, host: str
) -> tuple[settings_module.Settings, settings_module.HostSettings]:
    process_signals.handle_during_start()
    settings = _load_settings(path)
    logs.configure(log_format=settings.logs.format, level=settings.logs.level)
    return settings, settings.find_host(host or settings.host)


def _run_daemon(make_daemon: Callable[[], Any]) -> None:
    """Run a daemon; its last log line tells why it ends."""
    try:
        make_daemon().run()
    except listeners.AddressUnavailableError as error:
        _log_end(cause="address", status=process_end.ADDRESS_STATUS, text=str(error))
        print(f"flamingoramp: {error}", file=sys.stderr)
        sys.exit(process_end.ADDRESS_STATUS)
    except Exception as error:
        _log_end(cause="error", status=EXIT_FAILURE, type=type(error).__name__, text=str(error))
        raise
    _log_end(cause="stop", status=EXIT_OK)


def _log_end(**fields: Any) -> None:
    logs.log_change(logging.getLogger("flamingoramp"), "process.ended", **fields)


def _print_result(document: Any, lines: list[str], as_json: bool) -> None:
    print(json.dumps(document, indent=2) if as_json else "\n".join(lines))


class ZoneCommands:
    """Evacuate availability zones: nothing new goes to their servers until they are restored."""

    def evacuate(self, zone: str, settings: str = "", json: bool = False) -> None:
        """Send nothing new to the backend servers of a zone; what runs there goes on.

        Parameters
        ----------
        zone : str
            Name of the availability zone.
        """
        self._order(zone, True, settings, json)

    def restore(self, zone: str, settings: str = "", json: bool = False) -> None:
        """Withdraw the evacuation of a zone.

        Parameters
        ----------
        zone : str
            Name of the availability zone.
        """
        self._order(zone, False, settings, json)

    def list(self, settings: str = "", json: bool = False) -> None:
        """Show the availability zones and whether they are evacuated."""
        client = control_client.ControlClient(_load_settings(settings))
        _print_zones(client.request("GET", "/v1/zones"), json)

    def _order(self, zone: str, evacuated: bool, settings: str, json: bool) -> None:
        client = control_client.ControlClient(_load_settings(settings))
        body = {"zone": str(zone), "evacuated": evacuated}
        _print_zones(client.request("POST", "/v1/zones", body), json)


def _print_zones(answer: Any, as_json: bool) -> None:
    lines = [
        f"{zone}  {'evacuated' if zone in answer['evacuated_zones'] else 'in use'}"
        for zone in answer["zones"]
    ]
    _print_result(answer, lines, as_json)


class Commands:
    """flamingoramp distributes prompts of 1,000 to 1,000,000 tokens over engines.

    Daemons: `entry` and `control`, with one settings file for all hosts.
    Operators: `plan` a declaration, `confirm` the plan, show `status` and `timeline`,
    `zone evacuate`, `zone restore` and `zone list`.
    Each command takes --settings FILE or reads FLAMINGORAMP_SETTINGS, and --json.
    Exit codes: 0 done, 1 refused or failed, 2 bad usage or settings, 3 an address of a daemon
    could not be bound.
    """

    zone = ZoneCommands()

    def entry(self, settings: str = "", host: str = "") -> None:
        """Run the entry daemon of a host.

        Parameters
        ----------
        settings : str
            Settings file.
        host : str
            Name of the host, if the settings file names none.
        """
        loaded, host_settings = _prepare_daemon(settings, host)
        if not host_settings.entry_inner_port:
            raise errors.SettingsError(
                f"host {host_settings.name} has no entry_inner_port; set it to run an entry there"
            )
        _run_daemon(lambda: entry_daemon.Entry(loaded, host_settings))

    def control(self, settings: str = "", host: str = "") -> None:
        """Run the control daemon of a host.

        Parameters
        ----------
        settings : str
            Settings file.
        host : str
            Name of the host, if the settings file names none.
        """
        loaded, host_settings = _prepare_daemon(settings, host)
        if not host_settings.control_inner_port:
            raise errors.SettingsError(
                f"host {host_settings.name} has no control_inner_port; set it to run control there"
            )
        _run_daemon(lambda: control_daemon.Control(loaded, host_settings))

    def plan(self, file: str, settings: str = "", json: bool = False) -> None:
        """Show what a declaration would change, and store it as a plan to confirm.

        Parameters
        ----------
        file : str
            Declaration, a JSON file.
        """
        document = utils.read_json(file)
        declarations.parse(_to_json(document), file)
        answer = control_client.ControlClient(_load_settings(settings)).request(
            "POST", "/v1/plan", document
        )
        lines = [f"plan {answer['plan']} on revision {answer['base_revision']}"]
        symbols = {"add": "+", "remove": "-", "change": "~"}
        for change in answer["changes"]:
            detail = f"  {change['detail']}" if change["detail"] else ""
            lines.append(f"  {symbols[change['action']]} {change['subject']}{detail}")
        if not answer["changes"]:
            lines.append("  nothing changes")
        lines.append(f"put it in force with: flamingoramp confirm {answer['plan']}")
        _print_result(answer, lines, json)

    def confirm(
        self, plan: str, settings: str = "", operation_id: str = "", json: bool = False
    ) -> None:
        """Put a plan in force; a repeated confirmation returns the first answer.

        Parameters
        ----------
        plan : str
            Id printed by `plan`.
        operation_id : str
            Id under which the answer is stored; derived from the plan's id by default.
        """
        body = {"plan": str(plan), "operation_id": operation_id or f"confirm/{plan}"}
        answer = control_client.ControlClient(_load_settings(settings)).request(
            "POST", "/v1/confirm", body
        )
        line = f"revision {answer['revision']} accepted"
        if answer["in_force"]:
            line += " and in force everywhere"
        else:
            line += f", waiting for {', '.join(answer['waiting_for']) or 'leases to expire'}"
        _print_result(answer, [line], json)

    def status(self, settings: str = "", json: bool = False) -> None:
        """Show control replicas, entries, shards and the revision in force."""
        statuses = control_client.ControlClient(_load_settings(settings)).fetch_statuses()
        lines = []
        for replica in statuses:
            if "error" in replica:
                lines.append(f"control {replica['url']}: {replica['error']}")
                continue
            role = "leads" if replica["leads"] else "follows"
            lines.append(
                f"control {replica['host']}: {role}, term {replica['term']}, "
                f"commit {replica['commit_index']}, revision {replica['revision']}, "
                f"{len(replica['voters'])} voters, {len(replica['learners'])} learners"
            )
        lines += _format_leader_status(statuses)
        _print_result(statuses, lines, json)

    def addresses(self, settings: str = "", json: bool = False) -> None:
        """Show the addresses that entries return to callers."""
        loaded = _load_settings(settings)
        failure: errors.FlamingorampError = errors.SettingsError(
            "no host in the settings runs an entry"
        )
        for host in loaded.entry_hosts:
            try:
                answer = http_client.fetch(f"{host.entry_url}/v1/addresses")
            except errors.BackendFailedError as error:
                failure = error
                continue
            if answer.status == 200:
                document = answer.json()
                lines = [
                    f"{address['url']}  {address['availability_zone']}"
                    for address in document["addresses"]
                ]
                _print_result(document, lines, json)
                return
            failure = errors.NotReadyError(f"{host.entry_url}: status {answer.status}")
        raise failure

    def drain(self, entry: str, settings: str = "", json: bool = False) -> None:
        """Begin a planned stop: the entry leaves the addresses, finishes its requests and ends.

        Parameters
        ----------
        entry : str
            Name of the entry's host.
        """
        answer = control_client.ControlClient(_load_settings(settings)).request(
            "POST", "/v1/drain", {"entry": entry}
        )
        _print_result(
            answer, [f"entry {entry} is leaving; {answer['streams']} requests in progress"], json
        )

    def timeline(
        self,
        settings: str = "",
        request: str = "",
        revision: int = 0,
        chrome: bool = False,
        json: bool = False,
    ) -> None:
        """Show the events of all processes, merged in the order of their clocks.

        Parameters
        ----------
        request : str
            Show only the events of this request.
        revision : int
            Show only the events of this revision.
        chrome : bool
            Print the Chrome trace format, which Perfetto can open.
        """
        loaded = _load_settings(settings)
        urls = [host.entry_url for host in loaded.entry_hosts]
        urls += [host.control_url for host in loaded.control_hosts]
        events = collect_timeline(urls, request=request, revision=revision)
        if chrome:
            print(timeline.to_chrome_trace(events))
        elif json:
            print(timeline.to_json_lines(events), end="")
        else:
            for event in events:
                details = " ".join(f"{name}={value}" for name, value in event.fields.items())
                print(
                    f"{event.clock}  {event.process:24} {event.kind:24} {event.request} {details}"
                )

    def check_settings(self, file: str, json: bool = False) -> None:
        """Check a settings file or a declaration without applying it.

        Parameters
        ----------
        file : str
            JSON file; with a key ``services`` it is checked as a declaration, else as settings.
        """
        document = utils.read_json(file)
        if isinstance(document, dict) and "services" in document:
            declaration = declarations.parse(_to_json(document), file)
            line = f"{file}: a declaration of {len(declaration.services)} services"
        else:
            loaded = settings_module.load(file)
            line = f"{file}: settings of {len(loaded.hosts)} hosts"
        _print_result({"file": file, "valid": True}, [line], json)


def collect_timeline(
    urls: list[str], *, request: str = "", revision: int = 0
) -> list[timeline.Event]:
    """Return the merged events of processes, omitting those that don't answer."""
    event_lists = []
    for url in urls:
        try:
            answer = http_client.fetch(f"{url}/v1/timeline?request={request}&revision={revision}")
        except errors.BackendFailedError:
            continue
        if answer.status == 200:
            event_lists.append(timeline.from_json_lines(answer.body.decode()))
    return timeline.merge(event_lists)


def _to_json(document: Any) -> str:
    # In the commands, the flag ``json`` shadows the module.
    return json.dumps(document)


def _format_leader_status(statuses: list[Any]) -> list[str]:
    lines = []
    for replica in statuses:
        if not replica.get("leads"):
            continue
        state = "in force everywhere" if replica["in_force"] else "not in force everywhere yet"
        lines.append(f"revision {replica['revision']}: {state}")
        for entry in replica["entries"]:
            leaving = ", leaving" if entry["leaving"] else ""
            lines.append(
                f"entry {entry['name']}: revision {entry['revision']}, "
                f"{entry['streams']} requests{leaving}"
            )
        for shard in replica["shards"]:
            owner = shard["owner"].partition("#")[0]
            lines.append(f"shard {shard['shard']}: owner {owner}, generation {shard['generation']}")
    return lines


def main() -> None:
    """Run the command line; exit with 1 on refusal or failure, 2 on bad usage or settings."""
    try:
        fire.Fire(Commands(), name="flamingoramp")
    except errors.SettingsError as error:
        print(f"flamingoramp: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except errors.FlamingorampError as error:
        print(f"flamingoramp: {error.code}: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILURE)


if __name__ == "__main__":
    main()
