"""The command line: serve, check, submit, status, report, beliefs and explain.

Exit status 0 means success. 2 means that nothing was changed: the input was invalid,
or the store rejected the submission or was unavailable. 1 means that the result is
incomplete or uncertain: a change may not have reached the store or every host, or a
host did not answer. The output then says what to do.
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
    find_contradictions,
    find_differences,
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
    check_successor,
    find_hosts,
    highest_running_revision,
    new_submission_id,
    read_record,
    submit,
    wait_until_in_force,
)

from .console import (
    EXIT_INCOMPLETE,
    EXIT_NOTHING_CHANGED,
    EXIT_SUCCESS,
    UsageError,
    print_error,
    print_line,
)
from .steeringcommands import Beliefs, Explain
from .tables import format_report, format_table

REQUEST_TIMEOUT_S = 2.0
DEFAULT_ROLLOUT_WAIT_S = 30.0

_STORE_OPTION = option("store", None, "URL of the store", flag=False, multiple=True)
_SETTINGS_OPTION = option(
    "settings", None, "Settings file of a host to take the store URLs from", flag=False
)
_HOST_OPTION = option(
    "host",
    None,
    "Admin address (IP:PORT) of a host to query without the store",
    flag=False,
    multiple=True,
)
_JSON_OPTION = option("json", None, "Print the result as JSON", flag=True)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command that the arguments name and return its exit status."""
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
        print_error(str(error))
    except SettingsError as error:
        print_error(str(error))
    return EXIT_NOTHING_CHANGED


class Serve(Command):
    name = "serve"
    description = "Run a host until SIGTERM or SIGINT"
    options = [option("settings", None, "Settings file of the host", flag=False)]

    def handle(self) -> int:
        if not self.option("settings"):
            raise UsageError("serve: --settings FILE is missing")
        settings = load_settings(Path(self.option("settings")))
        configure_logs(verbose=self.io.is_verbose())
        # Imported here because no other command needs the modules of a host.
        from .process import run

        return run(settings) or EXIT_SUCCESS


class Check(Command):
    name = "check"
    description = "Check a configuration text, or with --settings a settings file"
    arguments = [argument("file", "File with the text", optional=True)]
    options = [
        option("settings", None, "Settings file to check", flag=False),
        option("against", None, "File with the text in force", flag=False),
    ]

    def handle(self) -> int:
        file, settings = self.argument("file"), self.option("settings")
        if not file and not settings:
            raise UsageError("check: FILE or --settings FILE is missing")
        if self.option("against") and not file:
            raise UsageError("check: --against needs the FILE to compare")
        if settings:
            host_id = load_settings(Path(settings)).host_id
            print_line(f"{settings}: valid settings of host {host_id}")
        if not file:
            return EXIT_SUCCESS
        configuration = load_configuration_file(file)
        if isinstance(configuration, TextProblems):
            print_error(str(configuration))
            return EXIT_NOTHING_CHANGED
        for finding in find_contradictions(configuration):
            print_line(f"{file}: {finding}")
        against = self.option("against")
        if against and not self._compare(file, configuration, against):
            return EXIT_NOTHING_CHANGED
        services = len(configuration.services)
        upstreams = len(configuration.upstreams)
        print_line(f"{file}: valid, services={services} upstreams={upstreams}")
        return EXIT_SUCCESS

    def _compare(self, file: str, configuration: Configuration, against: str) -> bool:
        """Print what differs from the text in force; whether submit would take it."""
        in_force = load_configuration_file(against)
        if isinstance(in_force, TextProblems):
            print_error(str(in_force))
            return False
        for finding in find_differences(in_force, configuration):
            print_line(f"{file}: {finding}")
        problems = check_successor(in_force, configuration, file)
        if problems is not None:
            print_error(str(problems))
        return problems is None


class Submit(Command):
    name = "submit"
    description = "Submit a configuration text and wait until all live hosts run it"
    arguments = [argument("file", "File with the text")]
    options = [
        _STORE_OPTION,
        _SETTINGS_OPTION,
        option("edited", None, "Revision that the text was edited from", flag=False),
        option("submission-id", None, "Id of a submission to repeat", flag=False),
        option(
            "wait",
            None,
            "Seconds to wait for all live hosts; 0 waits for the store only",
            flag=False,
            default=str(DEFAULT_ROLLOUT_WAIT_S),
        ),
    ]

    def handle(self) -> int:
        urls = resolve_store_urls(self)
        wait_s = parse_number("wait", self.option("wait"), float, minimum=0)
        expected_revision = self.option("edited")
        if expected_revision is not None:
            expected_revision = Revision(
                parse_number("edited", expected_revision, int, minimum=0)
            )
        configuration = load_configuration_file(self.argument("file"))
        if isinstance(configuration, TextProblems):
            print_error(str(configuration))
            print_error("nothing was changed")
            return EXIT_NOTHING_CHANGED
        submission_id = SubmissionId(
            self.option("submission-id") or new_submission_id()
        )
        try:
            return asyncio.run(
                self._submit(
                    urls, configuration, submission_id, expected_revision, wait_s
                )
            )
        except KeyboardInterrupt:
            print_error(
                f"interrupted; submission {submission_id} may have been accepted"
            )
            return EXIT_INCOMPLETE

    async def _submit(
        self, urls, configuration, submission_id, expected_revision, wait_s
    ) -> int:
        """Submit the text and wait up to ``wait_s`` until all live hosts run it."""
        store, client = ConsulStore(urls), AdminClient()
        try:
            hosts = await find_hosts(store, [])
            running_revision = NO_REVISION
            if not isinstance(hosts, StoreUnavailable):
                running_revision = await highest_running_revision(
                    client, hosts, REQUEST_TIMEOUT_S
                )
            outcome = await submit(
                store,
                configuration,
                submission_id,
                name=self.argument("file"),
                expected_revision=expected_revision,
                highest_running_revision=running_revision,
            )
            if not isinstance(outcome, Submitted):
                return self._report_failure(outcome, submission_id)
            suffix = " (unchanged text)" if outcome.unchanged else ""
            print_line(f"revision {outcome.revision} accepted by the store{suffix}")
            if wait_s == 0:
                return EXIT_SUCCESS
            progress = await wait_until_in_force(
                store, client, outcome.submission_id, wait_s, print_line
            )
            return self._report_rollout(progress, wait_s)
        finally:
            store.close()
            client.close()

    def _report_failure(self, outcome, submission_id: SubmissionId) -> int:
        """Print why the store did not confirm a submission; return the exit status."""
        if isinstance(outcome, TextProblems):
            print_error(str(outcome))
        elif isinstance(outcome, Conflict):
            print_error(
                f"revision {outcome.winning_revision} of another submission is in the "
                "store; print it with status --text, edit it and submit the result"
            )
        else:
            print_error(f"store not available: {outcome.detail}")
            print_error("hosts keep running their current configuration")
            if outcome.may_have_written:
                print_error(
                    "the submission may have been accepted; to find out, repeat it "
                    f"with --submission-id {submission_id}"
                )
                return EXIT_INCOMPLETE
        print_error("nothing was changed")
        return EXIT_NOTHING_CHANGED

    def _report_rollout(self, progress: RolloutProgress, wait_s: float) -> int:
        """Print which hosts run the submitted revision; return the exit status."""
        revision = progress.revision
        if progress.complete:
            print_line(
                f"revision {revision} in force on all {progress.total} live hosts"
            )
            return EXIT_SUCCESS
        if progress.superseded_by:
            print_error(
                f"hosts run revision {progress.superseded_by} without this submission, "
                "because the store lost it; submit the text again"
            )
            return EXIT_INCOMPLETE
        if progress.total == 0:
            print_error(
                "the platform's host list has no live host, or the store is unavailable"
            )
        for host_id in progress.lagging:
            print_error(f"revision not in force after {wait_s:g} s on host {host_id}")
        for host_id in progress.unreachable:
            print_error(f"no answer within {wait_s:g} s from host {host_id}")
        return EXIT_INCOMPLETE


class Status(Command):
    name = "status"
    description = "Show each host and the configuration revision that it runs"
    options = [
        _STORE_OPTION,
        _SETTINGS_OPTION,
        _HOST_OPTION,
        _JSON_OPTION,
        option(
            "text",
            None,
            "Print the configuration text in the store, for editing",
            flag=True,
        ),
    ]

    def handle(self) -> int:
        if self.option("text"):
            return asyncio.run(self._print_text(resolve_store_urls(self)))
        return asyncio.run(query_hosts(self, "/status", self._print_answers))

    async def _print_text(self, urls: tuple[str, ...]) -> int:
        """Print the text to standard output and its revision to standard error."""
        store = ConsulStore(urls)
        try:
            read = await read_record(store)
        finally:
            store.close()
        if isinstance(read, StoreUnavailable | RecordInvalid):
            print_error(f"store not available: {read.detail}")
            return EXIT_INCOMPLETE
        record = read[0]
        sys.stdout.write(record.configuration.text)
        print_error(f"revision {record.revision}")
        return EXIT_SUCCESS

    def _print_answers(self, hosts: Sequence[PlatformHost], answers: dict) -> int:
        """Print a row per host, or JSON; return the exit status."""
        silent_hosts = [
            host_id
            for host_id, answer in answers.items()
            if isinstance(answer, Unreachable)
        ]
        if self.option("json"):
            answers_by_host = {
                host_id: None if isinstance(answer, Unreachable) else answer
                for host_id, answer in answers.items()
            }
            print_line(
                json.dumps(
                    {"hosts": answers_by_host, "silent_hosts": silent_hosts}, indent=2
                )
            )
            return EXIT_INCOMPLETE if silent_hosts else EXIT_SUCCESS
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
        print_line(format_table(("host", "zone", "admin", "state", "revision"), rows))
        revisions = {row[4] for row in rows} - {"-"}
        if len(revisions) > 1:
            listed = ", ".join(map(str, sorted(revisions, key=str)))
            print_line(f"hosts run different revisions: {listed}")
        return EXIT_INCOMPLETE if silent_hosts else EXIT_SUCCESS


class Report(Command):
    name = "report"
    description = "Show the service level of each service, aggregated over all hosts"
    options = [_STORE_OPTION, _SETTINGS_OPTION, _HOST_OPTION, _JSON_OPTION]

    def handle(self) -> int:
        return asyncio.run(query_hosts(self, "/report", self._print_answers))

    def _print_answers(self, hosts: Sequence[PlatformHost], answers: dict) -> int:
        """Merge the reports of all hosts and print them; return the exit status."""
        report = merge_reports(answers)
        if self.option("json"):
            print_line(json.dumps(asdict(report), indent=2))
        else:
            print_line(format_report(report))
        return EXIT_INCOMPLETE if report.silent_hosts else EXIT_SUCCESS


async def query_hosts(command: Command, path: str, print_answers: Callable) -> int:
    """Fetch ``path`` from all hosts, print the answers and return the exit status.

    The hosts are those of ``--host``, or else the hosts in the store's list.
    ``print_answers`` returns the exit status.
    """
    addresses = []
    for text in command.option("host"):
        try:
            addresses.append(check_address(text))
        except NotAllowed as error:
            message = f"--host: found {text}; allowed: {error.allowed}"
            raise UsageError(message) from None
    store = ConsulStore(() if addresses else resolve_store_urls(command))
    client = AdminClient()
    try:
        hosts = await find_hosts(store, addresses)
        if isinstance(hosts, StoreUnavailable):
            print_error(f"store not available: {hosts.detail}")
            print_error("use --host IP:PORT to query hosts without the store")
            return EXIT_INCOMPLETE
        if not hosts:
            print_error("the platform's host list is empty")
            return EXIT_INCOMPLETE
        return print_answers(
            hosts, await client.fetch_all(hosts, path, REQUEST_TIMEOUT_S)
        )
    finally:
        store.close()
        client.close()


def load_configuration_file(file: str) -> Configuration | TextProblems:
    """Read and validate a configuration text; an unreadable file is a problem too."""
    try:
        with Path(file).open("rb") as stream:
            # One byte over the limit is enough for the size check to reject the text,
            # so a file of any size takes bounded memory.
            data = stream.read(MAX_TEXT_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        return TextProblems((TextProblem(file, 1, "", reason, "a readable file"),))
    return load_text(data, file)


def resolve_store_urls(command: Command) -> tuple[str, ...]:
    """Return the valid URLs of ``--store`` and of the ``--settings`` file."""
    urls = list(command.option("store"))
    if command.option("settings"):
        urls += load_settings(Path(command.option("settings"))).store_urls
    if not urls:
        raise UsageError(f"{command.name}: --store URL or --settings FILE is missing")
    for url in urls:
        try:
            check_store_url(url)
        except NotAllowed as error:
            message = f"--store: found {url}; allowed: {error.allowed}"
            raise UsageError(message) from None
    return tuple(urls)


def parse_number(name: str, text: str, number_type: type, minimum: float):
    """Convert the value of an option; raise UsageError unless it is in range."""
    try:
        number = number_type(text)
    except ValueError:
        number = None
    # The second comparison is false for NaN.
    if number is None or not minimum <= number < 1e9:
        raise UsageError(f"--{name}: found {text}; allowed: a number from {minimum}")
    return number


if __name__ == "__main__":
    sys.exit(main())
