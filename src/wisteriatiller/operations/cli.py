"""The command line: serve, check, submit, status, report, beliefs and explain.

Exit status 0 means done. 2 means that the input was not usable and nothing was
changed. 1 means that something was changed or asked, but not everywhere or not for
certain; the output then says what to do.
"""

import asyncio
import json
import sys
from collections.abc import Callable, Sequence
from dataclasses import asdict
from pathlib import Path

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.helpers import argument, option

from wisteriatiller import __version__
from wisteriatiller.configuration import (
    MAX_TEXT_BYTES,
    Configuration,
    NotAllowed,
    RecordInvalid,
    TextProblem,
    TextProblems,
    check_address,
    check_store_url,
    load_settings,
    load_text,
)
from wisteriatiller.exceptions import SettingsError
from wisteriatiller.foundation import configure_logs, merge_reports
from wisteriatiller.ids import NO_REVISION, Revision, SubmissionId
from wisteriatiller.outcomes import Conflict, StoreUnavailable, Unreachable
from wisteriatiller.store import (
    AdminClient,
    ConsulStore,
    PlatformHost,
    RolloutProgress,
    Submitted,
    find_hosts,
    highest_running_revision,
    new_submission_id,
    read_record,
    submit,
    wait_until_in_force,
)

from .console import (
    DONE,
    INCOMPLETE,
    NOTHING_CHANGED,
    UsageError,
    complain,
    say,
)
from .steeringcommands import Beliefs, Explain
from .tables import format_report, format_table

ASK_TIMEOUT_S = 2.0
DEFAULT_WAIT_S = 30.0

_STORE_OPTION = option("store", None, "URL of the store", flag=False, multiple=True)
_SETTINGS_OPTION = option(
    "settings", None, "Settings file of a host, for its store URLs", flag=False
)
_HOST_OPTION = option(
    "host",
    None,
    "Admin address (IP:PORT) of a host to ask, without the store",
    flag=False,
    multiple=True,
)
_JSON_OPTION = option("json", None, "Write JSON", flag=True)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command and return its exit status."""
    application = Application("wisteriatiller", __version__)
    application.auto_exits(False)
    application.catch_exceptions(False)
    commands = (Serve(), Check(), Submit(), Status(), Report(), Beliefs(), Explain())
    for command in commands:
        application.add(command)
    if arguments is not None:
        sys.argv[1:] = arguments
    try:
        return application.run()
    except (CleoError, UsageError) as error:
        complain(str(error))
    except SettingsError as error:
        complain(str(error))
    return NOTHING_CHANGED


class Serve(Command):
    name = "serve"
    description = "Run a host until SIGTERM"
    options = [option("settings", None, "Settings file of the host", flag=False)]

    def handle(self) -> int:
        if not self.option("settings"):
            raise UsageError("serve: --settings FILE is missing")
        settings = load_settings(Path(self.option("settings")))
        configure_logs(verbose=self.io.is_verbose())
        # Loaded here, since the other commands need no balancer.
        from .process import run

        return run(settings) or DONE


class Check(Command):
    name = "check"
    description = "Check a configuration text, or with --settings a settings file"
    arguments = [argument("file", "File with the text", optional=True)]
    options = [option("settings", None, "Settings file to check", flag=False)]

    def handle(self) -> int:
        file, settings = self.argument("file"), self.option("settings")
        if not file and not settings:
            raise UsageError("check: FILE or --settings FILE is missing")
        if settings:
            host_id = load_settings(Path(settings)).host_id
            say(f"{settings}: valid settings of host {host_id}")
        if not file:
            return DONE
        configuration = read_text(file)
        if isinstance(configuration, TextProblems):
            complain(str(configuration))
            return NOTHING_CHANGED
        services = len(configuration.services)
        upstreams = len(configuration.upstreams)
        say(f"{file}: valid, services={services} upstreams={upstreams}")
        return DONE


class Submit(Command):
    name = "submit"
    description = "Put a configuration text in force on all live hosts"
    arguments = [argument("file", "File with the text")]
    options = [
        _STORE_OPTION,
        _SETTINGS_OPTION,
        option("edited", None, "Revision that the text is an edit of", flag=False),
        option("submission-id", None, "Id of a submission to repeat", flag=False),
        option(
            "wait",
            None,
            "Seconds to wait for all live hosts; 0 returns once the store has it",
            flag=False,
            default=str(DEFAULT_WAIT_S),
        ),
    ]

    def handle(self) -> int:
        urls = store_urls(self)
        wait_s = parse_number("wait", self.option("wait"), float, least=0)
        edited = self.option("edited")
        if edited is not None:
            edited = Revision(parse_number("edited", edited, int, least=0))
        configuration = read_text(self.argument("file"))
        if isinstance(configuration, TextProblems):
            complain(str(configuration))
            complain("nothing was changed")
            return NOTHING_CHANGED
        submission_id = SubmissionId(
            self.option("submission-id") or new_submission_id()
        )
        try:
            return asyncio.run(
                self._submit(urls, configuration, submission_id, edited, wait_s)
            )
        except KeyboardInterrupt:
            complain(f"interrupted; submission {submission_id} may have been accepted")
            return INCOMPLETE

    async def _submit(self, urls, configuration, submission_id, edited, wait_s) -> int:
        store, client = ConsulStore(urls), AdminClient()
        try:
            hosts = await find_hosts(store, [])
            running = NO_REVISION
            if not isinstance(hosts, StoreUnavailable):
                running = await highest_running_revision(client, hosts, ASK_TIMEOUT_S)
            outcome = await submit(
                store,
                configuration,
                submission_id,
                name=self.argument("file"),
                expected_revision=edited,
                highest_running_revision=running,
            )
            if not isinstance(outcome, Submitted):
                return self._refused(outcome, submission_id)
            note = " (unchanged text)" if outcome.unchanged else ""
            say(f"revision {outcome.revision} accepted by the store{note}")
            if wait_s == 0:
                return DONE
            progress = await wait_until_in_force(
                store, client, outcome.submission_id, wait_s, say
            )
            return self._waited(progress, wait_s)
        finally:
            store.close()
            client.close()

    def _refused(self, outcome, submission_id: SubmissionId) -> int:
        if isinstance(outcome, TextProblems):
            complain(str(outcome))
        elif isinstance(outcome, Conflict):
            complain(
                f"revision {outcome.winning_revision} of another submission is in the "
                "store; see it with status --text, edit it and submit it again"
            )
        else:
            complain(f"store not available: {outcome.detail}")
            complain("the hosts go on with the configuration that they have")
            if outcome.may_have_written:
                complain(
                    "the submission may have been accepted; to find out, repeat it "
                    f"with --submission-id {submission_id}"
                )
                return INCOMPLETE
        complain("nothing was changed")
        return NOTHING_CHANGED

    def _waited(self, progress: RolloutProgress, wait_s: float) -> int:
        revision = progress.revision
        if progress.complete:
            say(f"revision {revision} in force on all {progress.total} live hosts")
            return DONE
        if progress.superseded_by:
            complain(
                f"the hosts run revision {progress.superseded_by} without this "
                "submission, since the store lost it; submit the text again"
            )
            return INCOMPLETE
        if progress.total == 0:
            complain("no live host is in the platform's list, or the store is away")
        for host_id in progress.lagging:
            complain(f"not in force after {wait_s:g} s on host {host_id}")
        for host_id in progress.unreachable:
            complain(f"no answer within {wait_s:g} s from host {host_id}")
        return INCOMPLETE


class Status(Command):
    name = "status"
    description = "Show the hosts and the revision that each runs"
    options = [
        _STORE_OPTION,
        _SETTINGS_OPTION,
        _HOST_OPTION,
        _JSON_OPTION,
        option("text", None, "Write the text in the store, to edit it", flag=True),
    ]

    def handle(self) -> int:
        if self.option("text"):
            return asyncio.run(self._show_text(store_urls(self)))
        return asyncio.run(ask_hosts(self, "/status", self._show))

    async def _show_text(self, urls: tuple[str, ...]) -> int:
        store = ConsulStore(urls)
        try:
            read = await read_record(store)
        finally:
            store.close()
        if isinstance(read, StoreUnavailable | RecordInvalid):
            complain(f"store not available: {read.detail}")
            return INCOMPLETE
        record = read[0]
        sys.stdout.write(record.configuration.text)
        complain(f"revision {record.revision}")
        return DONE

    def _show(self, hosts: Sequence[PlatformHost], answers: dict) -> int:
        silent = [h for h, answer in answers.items() if isinstance(answer, Unreachable)]
        if self.option("json"):
            views = {
                h: None if isinstance(answer, Unreachable) else answer
                for h, answer in answers.items()
            }
            say(json.dumps({"hosts": views, "silent_hosts": silent}, indent=2))
            return INCOMPLETE if silent else DONE
        rows = []
        for host in hosts:
            answer = answers[host.host_id]
            if isinstance(answer, Unreachable):
                answer = {"state": "no answer"}
            state = answer.get("state", "leaving" if host.leaving else "live")
            revision = answer.get("revision", "-")
            host_id = answer.get("host_id", host.host_id)
            zone = answer.get("zone", host.zone)
            rows.append((host_id, zone, host.admin, state, revision))
        say(format_table(("host", "zone", "admin", "state", "revision"), rows))
        revisions = {row[4] for row in rows} - {"-"}
        if len(revisions) > 1:
            shown = ", ".join(map(str, sorted(revisions, key=str)))
            say(f"hosts run different revisions: {shown}")
        return INCOMPLETE if silent else DONE


class Report(Command):
    name = "report"
    description = "Show the service level of each service over all hosts"
    options = [_STORE_OPTION, _SETTINGS_OPTION, _HOST_OPTION, _JSON_OPTION]

    def handle(self) -> int:
        return asyncio.run(ask_hosts(self, "/report", self._show))

    def _show(self, hosts: Sequence[PlatformHost], answers: dict) -> int:
        report = merge_reports(answers)
        if self.option("json"):
            say(json.dumps(asdict(report), indent=2))
        else:
            say(format_report(report))
        return INCOMPLETE if report.silent_hosts else DONE


async def ask_hosts(command: Command, path: str, show: Callable) -> int:
    """Ask all hosts for ``path`` and let ``show`` print the answers."""
    addresses = []
    for text in command.option("host"):
        try:
            addresses.append(check_address(text))
        except NotAllowed as wrong:
            message = f"--host: found {text}; allowed: {wrong.allowed}"
            raise UsageError(message) from None
    store = ConsulStore(() if addresses else store_urls(command))
    client = AdminClient()
    try:
        hosts = await find_hosts(store, addresses)
        if isinstance(hosts, StoreUnavailable):
            complain(f"store not available: {hosts.detail}")
            complain("name hosts with --host IP:PORT to ask them without the store")
            return INCOMPLETE
        if not hosts:
            complain("the platform's list names no host")
            return INCOMPLETE
        return show(hosts, await client.fetch_all(hosts, path, ASK_TIMEOUT_S))
    finally:
        store.close()
        client.close()


def read_text(file: str) -> Configuration | TextProblems:
    try:
        with Path(file).open("rb") as stream:
            # One byte more than allowed is enough to refuse a file of any size.
            data = stream.read(MAX_TEXT_BYTES + 1)
    except (OSError, ValueError) as error:
        found = getattr(error, "strerror", None) or str(error)
        return TextProblems((TextProblem(file, 1, "", found, "a readable file"),))
    return load_text(data, file)


def store_urls(command: Command) -> tuple[str, ...]:
    urls = list(command.option("store"))
    if command.option("settings"):
        urls += load_settings(Path(command.option("settings"))).store_urls
    if not urls:
        raise UsageError(f"{command.name}: --store URL or --settings FILE is missing")
    for url in urls:
        try:
            check_store_url(url)
        except NotAllowed as wrong:
            message = f"--store: found {url}; allowed: {wrong.allowed}"
            raise UsageError(message) from None
    return tuple(urls)


def parse_number(name: str, text: str, kind: type, least: float):
    try:
        number = kind(text)
    except ValueError:
        number = None
    # The second comparison is false for NaN.
    if number is None or not least <= number < 1e9:
        raise UsageError(f"--{name}: found {text}; allowed: a number from {least}")
    return number


if __name__ == "__main__":
    sys.exit(main())
