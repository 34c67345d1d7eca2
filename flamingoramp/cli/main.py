"""The command line: daemons and operators' commands."""

from __future__ import annotations

import json
import os
import sys
from typing import Any

import fire

from flamingoramp import errors, utils
from flamingoramp.cli import control_client
from flamingoramp.daemons import control as control_daemon
from flamingoramp.daemons import entry as entry_daemon
from flamingoramp.intent import declarations
from flamingoramp.runtime import http_client, logs, timeline
from flamingoramp.runtime import settings as settings_module

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
SETTINGS_VARIABLE = "FLAMINGORAMP_SETTINGS"


def _load(path: str) -> settings_module.Settings:
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise errors.SettingsError(
            f"name a settings file by --settings FILE or in {SETTINGS_VARIABLE}"
        )
    return settings_module.load(path)


def _start(path: str, host: str) -> tuple[settings_module.Settings, settings_module.HostSettings]:
    settings = _load(path)
    logs.configure(form=settings.logs.format, level=settings.logs.level)
    return settings, settings.find_host(host or settings.host)


def _print(document: Any, lines: list[str], as_json: bool) -> None:
    print(json.dumps(document, indent=2) if as_json else "\n".join(lines))


class Commands:
    """flamingoramp serves prompts of 1,000 to 1,000,000 tokens.

    Daemons: `entry` and `control`, one settings file for all hosts.
    Operators: `plan` a declaration, `confirm` the plan, look at `status` and `timeline`.
    Each command takes --settings FILE or reads FLAMINGORAMP_SETTINGS, and --json.
    Exit codes: 0 done, 1 refused or failed, 2 bad usage or settings.
    """

    def entry(self, settings: str = "", host: str = "") -> None:
        """Run the entry daemon of a host.

        Parameters
        ----------
        settings : str
            Settings file.
        host : str
            Name of the host, if the settings file names none.
        """
        loaded, found = _start(settings, host)
        if not found.entry_inner_port:
            raise errors.SettingsError(f"host {found.name} has no entry_inner_port")
        entry_daemon.Entry(loaded, found).run()

    def control(self, settings: str = "", host: str = "") -> None:
        """Run the control daemon of a host.

        Parameters
        ----------
        settings : str
            Settings file.
        host : str
            Name of the host, if the settings file names none.
        """
        loaded, found = _start(settings, host)
        if not found.control_inner_port:
            raise errors.SettingsError(f"host {found.name} has no control_inner_port")
        control_daemon.Control(loaded, found).run()

    def plan(self, file: str, settings: str = "", json: bool = False) -> None:
        """Show what a declaration would change, and keep it as a plan to confirm.

        Parameters
        ----------
        file : str
            Declaration, a JSON file.
        """
        document = utils.read_json(file)
        declarations.parse(_dump(document), file)
        answer = control_client.ControlClient(_load(settings)).request("POST", "/v1/plan", document)
        lines = [f"plan {answer['plan']} on revision {answer['base_revision']}"]
        signs = {"add": "+", "remove": "-", "change": "~"}
        for change in answer["changes"]:
            detail = f"  {change['detail']}" if change["detail"] else ""
            lines.append(f"  {signs[change['action']]} {change['subject']}{detail}")
        if not answer["changes"]:
            lines.append("  nothing changes")
        lines.append(f"put it in force with: flamingoramp confirm {answer['plan']}")
        _print(answer, lines, json)

    def confirm(
        self, plan: str, settings: str = "", operation_id: str = "", json: bool = False
    ) -> None:
        """Put a plan in force; a repeated confirmation returns the first answer.

        Parameters
        ----------
        plan : str
            Id that `plan` printed.
        operation_id : str
            Id under which the answer is remembered; made from the plan's by default.
        """
        body = {"plan": str(plan), "operation_id": operation_id or f"confirm/{plan}"}
        answer = control_client.ControlClient(_load(settings)).request("POST", "/v1/confirm", body)
        line = f"revision {answer['revision']} accepted"
        if answer["in_force"]:
            line += " and in force everywhere"
        else:
            line += f", waiting for {', '.join(answer['waiting_for']) or 'leases to run out'}"
        _print(answer, [line], json)

    def status(self, settings: str = "", json: bool = False) -> None:
        """Show control replicas, entries, shards and the revision in force."""
        found = control_client.ControlClient(_load(settings)).fetch_statuses()
        lines = []
        for one in found:
            if "error" in one:
                lines.append(f"control {one['url']}: {one['error']}")
                continue
            role = "leads" if one["leads"] else "follows"
            lines.append(
                f"control {one['host']}: {role}, term {one['term']}, "
                f"commit {one['commit_index']}, revision {one['revision']}, "
                f"{len(one['voters'])} voters, {len(one['learners'])} learners"
            )
        lines += _describe_leader(found)
        _print(found, lines, json)

    def addresses(self, settings: str = "", json: bool = False) -> None:
        """Show the addresses that callers are given."""
        loaded = _load(settings)
        failure: errors.FlamingorampError = errors.SettingsError("no host runs an entry")
        for host in loaded.entry_hosts:
            try:
                answer = http_client.fetch(f"{host.entry_url}/v1/addresses")
            except errors.BackendFailedError as error:
                failure = error
                continue
            if answer.status == 200:
                document = answer.json()
                lines = [
                    f"{one['url']}  {one['availability_zone']}" for one in document["addresses"]
                ]
                _print(document, lines, json)
                return
            failure = errors.NotReadyError(f"{host.entry_url}: status {answer.status}")
        raise failure

    def drain(self, entry: str, settings: str = "", json: bool = False) -> None:
        """Stop an entry as planned: it leaves the addresses, finishes its requests and ends.

        Parameters
        ----------
        entry : str
            Name of the entry's host.
        """
        answer = control_client.ControlClient(_load(settings)).request(
            "POST", "/v1/drain", {"entry": entry}
        )
        _print(answer, [f"entry {entry} is leaving; {answer['streams']} requests go on"], json)

    def timeline(
        self,
        settings: str = "",
        request: str = "",
        revision: int = 0,
        chrome: bool = False,
        json: bool = False,
    ) -> None:
        """Show the events of all processes in one order.

        Parameters
        ----------
        request : str
            Only the events of this request.
        revision : int
            Only the events of this revision.
        chrome : bool
            Write the Chrome trace format, which Perfetto opens.
        """
        loaded = _load(settings)
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
        """Check a settings file or a declaration without using it.

        Parameters
        ----------
        file : str
            A JSON file; one with ``services`` is taken to be a declaration.
        """
        document = utils.read_json(file)
        if isinstance(document, dict) and "services" in document:
            declaration = declarations.parse(_dump(document), file)
            line = f"{file}: a declaration of {len(declaration.services)} services"
        else:
            loaded = settings_module.load(file)
            line = f"{file}: settings of {len(loaded.hosts)} hosts"
        _print({"file": file, "valid": True}, [line], json)


def collect_timeline(
    urls: list[str], *, request: str = "", revision: int = 0
) -> list[timeline.Event]:
    """Fetch and merge the events of processes; those that don't answer are left out."""
    parts = []
    for url in urls:
        try:
            answer = http_client.fetch(f"{url}/v1/timeline?request={request}&revision={revision}")
        except errors.BackendFailedError:
            continue
        if answer.status == 200:
            parts.append(timeline.from_json_lines(answer.body.decode()))
    return timeline.merge(parts)


def _dump(document: Any) -> str:
    return json.dumps(document)


def _describe_leader(found: list[Any]) -> list[str]:
    lines = []
    for one in found:
        if not one.get("leads"):
            continue
        state = "in force everywhere" if one["in_force"] else "not in force everywhere yet"
        lines.append(f"revision {one['revision']}: {state}")
        for entry in one["entries"]:
            leaving = ", leaving" if entry["leaving"] else ""
            lines.append(
                f"entry {entry['name']}: revision {entry['revision']}, "
                f"{entry['streams']} requests{leaving}"
            )
        for shard in one["shards"]:
            owner = shard["owner"].partition("#")[0]
            lines.append(f"shard {shard['shard']}: owner {owner}, generation {shard['generation']}")
    return lines


def main() -> None:
    """Run the command line."""
    try:
        fire.Fire(Commands(), name="flamingoramp")
    except errors.SettingsError as error:
        print(f"flamingoramp: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except errors.FlamingorampError as error:
        print(f"flamingoramp: {error.code}: {error}", file=sys.stderr)
        sys.exit(EXIT_REFUSED)


if __name__ == "__main__":
    main()
