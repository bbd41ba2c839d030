"""Undoes each mechanism in a scratch copy and shows that its test fails.

Prints one line for each mechanism; the exit status is 1 if a test stayed
green, or could not be run.
"""

import dataclasses
import pathlib
import shutil
import subprocess  # noqa: S404 runs the tests of the scratch copy.
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
RED_LINE = ' failed'
LIMIT_S = 200


@dataclasses.dataclass(frozen=True)
class Undoing:
    """One mechanism: the change that undoes it, and the test it breaks."""

    promise: str
    path: str
    present: str
    undone: str
    library: str
    test: str


UNDOINGS = (
    Undoing(
        '1 budget',
        'membership/drafts.py',
        'if after <= allowed:',
        'if True:',
        'steward',
        'test_last_host_of_a_budget',
    ),
    Undoing(
        '2 one pool',
        'membership/phases.py',
        'if present.since_s != self.since_s:',
        'if False:',
        'steward',
        'test_overtaken_step_is_refused',
    ),
    Undoing(
        '3 own answer',
        'peers/link.py',
        'self._waiting_by_exchange.pop(frame.exchange, None)',
        'self._waiting_by_exchange.pop(min(self._waiting_by_exchange), None)',
        'peers',
        'test_replies_that_cross',
    ),
    Undoing(
        '4 not run',
        'store/editing.py',
        'doubtful = self._doubtful_revision is not None',
        'doubtful = False',
        'store',
        'test_put_that_may_land_late',
    ),
    Undoing(
        '5 at most once',
        'entry/intent_records.py',
        'if existing and existing.token != intent.token:',
        'if False:',
        'entry',
        'test_key_is_run_at_most_once',
    ),
    Undoing(
        '6 leaving',
        'routing/leaving.py',
        'self._until_s_by_host[host] = max(known_s, until_s)',
        'max(known_s, until_s)',
        'entry',
        'test_leaving_target_gets_no_new_work',
    ),
    Undoing(
        '7 planned stop',
        'entry/root.py',
        '        await self._wait_until_idle()\n        await self.server',
        '        await self.server',
        'entry',
        'test_planned_stop_drops_no_request',
    ),
    Undoing(
        '8 no revert',
        'node/documents.py',
        'if document.revision <= self.revision_of(document.key):',
        'if document.revision == self.revision_of(document.key):',
        'node',
        'test_stale_document_is_not_applied',
    ),
    Undoing(
        '8 everywhere',
        'node/gossip.py',
        'for document in offered:',
        'for document in ():',
        'node',
        'test_process_started_in_an_outage',
    ),
    Undoing(
        'job once',
        'placer/start_checks.py',
        'if forbidden.started:',
        'if False:',
        'placer',
        'test_lost_answer_of_a_start_runs_once',
    ),
    Undoing(
        'a restarted worker settles no start',
        'placer/start_checks.py',
        'elif forbidden.boot == job.boot:',
        'else:',
        'placer',
        'test_start_at_a_rebooted_worker',
    ),
    Undoing(
        'an end is stored before it is acknowledged',
        'scheduler/workers.py',
        'self._unstored.add(number)',
        'self._unstored.discard(number)',
        'scheduler',
        'test_end_is_not_acknowledged',
    ),
    Undoing(
        'a lost task is not restarted before its lease ends',
        'scheduler/worker_registry.py',
        'if self._cluster.now_s > worker.lease_end_s + slack_s:',
        'if True:',
        'scheduler',
        'test_lost_task_is_not_restarted',
    ),
    Undoing(
        'a wave keeps max_unavailable of a step',
        'scheduler/waves.py',
        'return others_unavailable < step.max_unavailable',
        'return True',
        'scheduler',
        'test_wave_keeps_max_unavailable',
    ),
    Undoing(
        'tasks of unreachable workers count as unavailable',
        'scheduler/runs.py',
        'and self.worker.reachable',
        'and self.percent',
        'scheduler',
        'test_task_of_unreachable_worker',
    ),
    Undoing(
        'a job in doubt is not told as refused',
        'jobs/intake.py',
        'if isinstance(failure, keyvalue.Uncertain):',
        'if isinstance(failure, keyvalue.LeaseLost):',
        'jobs',
        'test_lost_reply',
    ),
    Undoing(
        'a store that is away is not asked',
        'jobs/intake.py',
        'return result.Failure(_STORE_UNAVAILABLE)\n        written',
        'pass\n        written',
        'jobs',
        'test_store_that_fails',
    ),
    Undoing(
        'a start on a restarting worker is settled',
        'scheduler/worker_registry.py',
        'self._cluster.on_unsettled_run(run)',
        'run.phase = runs.RunPhase.UNSETTLED',
        'scheduler',
        'test_start_on_a_restarting_worker',
    ),
    Undoing(
        'an answer of an earlier boot is ignored',
        'scheduler/dispatch.py',
        'if (\n            self._dependencies.cluster.workers_by_id.get(worker'
        '.entry.id)\n            is not worker\n        ):',
        'if False:',
        'scheduler',
        'test_answer_of_an_earlier_boot',
    ),
    Undoing(
        'a lost task is not restarted before its lease ends, by the fuzz',
        'scheduler/worker_registry.py',
        'if self._cluster.now_s > worker.lease_end_s + slack_s:',
        'if True:',
        'scheduler',
        'test_leaders_keep_their_guarantees',
    ),
    Undoing(
        'an unanswered start may have run, by the fuzz',
        'scheduler/dispatch.py',
        'if isinstance(failure, calls.Unanswered):',
        'if False:',
        'scheduler',
        'test_leaders_keep_their_guarantees',
    ),
    Undoing(
        'stronger hosts lead',
        'scheduler/election.py',
        'return MAX_CANDIDACY_DELAY_S * (1 - strength)',
        'return MAX_CANDIDACY_DELAY_S * strength',
        'scheduler',
        'test_stronger_host',
    ),
    Undoing(
        'a leader continues after its lease is renewed',
        'scheduler/leader.py',
        'while self._held():',
        'while self._leading():',
        'scheduler',
        'test_leader_continues_after_its_lease',
    ),
    Undoing(
        'late jobs make room for others',
        'scheduler/planner.py',
        'return job.service in donors and',
        'return False and',
        'scheduler',
        'test_late_job_waits',
    ),
    Undoing(
        'machines of the last peak stay',
        'scheduler/forecast.py',
        'return self._peaks[0][1] if self._peaks else 0',
        'return 0',
        'scheduler',
        'test_machines_of_the_last_peak',
    ),
    Undoing(
        'ready once the role listens',
        'node/daemon.py',
        'return configured and self._serving and',
        'return configured and',
        'node',
        'test_node_is_not_ready',
    ),
    Undoing(
        'a stopping daemon does not lead',
        'scheduler/election.py',
        'self._withdrawn = True',
        'self._withdrawn = False',
        'unified',
        'test_stopping_daemon',
    ),
)


def main() -> int:
    """Show every mechanism; return the exit status."""
    green = [undoing for undoing in UNDOINGS if not _is_red(undoing)]
    sys.stdout.write(f'{len(UNDOINGS) - len(green)} of {len(UNDOINGS)} red\n')
    return 1 if green else 0


def _is_red(undoing: Undoing) -> bool:
    with tempfile.TemporaryDirectory() as folder:
        scratch = pathlib.Path(folder)
        for part in ('libs', 'platform', 'tools'):
            shutil.copytree(ROOT / part, scratch / part)
        before = _failures(scratch, undoing)
        library = undoing.path.partition('/')[0]
        source = scratch / f'libs/{library}/src/jackdawlatch/{undoing.path}'
        text = source.read_text()
        if undoing.present not in text:
            sys.stdout.write(f'{undoing.promise}: the line is gone\n')
            return False
        source.write_text(text.replace(undoing.present, undoing.undone, 1))
        after = _failures(scratch, undoing)
    sys.stdout.write(f'{undoing.promise}: {before} -> {after}\n')
    return ' 0 failed' in before and ' 0 failed' not in after


def _failures(scratch: pathlib.Path, undoing: Undoing) -> str:
    try:
        ran = subprocess.run(  # noqa: S603 the words are ours.
            [
                sys.executable,
                'tools/run_tests.py',
                undoing.library,
                '--match',
                undoing.test,
            ],
            cwd=scratch,
            capture_output=True,
            check=False,
            text=True,
            timeout=LIMIT_S,
        )
    except subprocess.TimeoutExpired:
        return 'no end in time'
    return ran.stdout.splitlines()[-1]


if __name__ == '__main__':
    sys.exit(main())
