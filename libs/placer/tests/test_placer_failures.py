import io
import pathlib
import tempfile

import placer_bench

from jackdawlatch.model import work
from jackdawlatch.node import launching
from jackdawlatch.placer import core
from jackdawlatch.testing import functions

AFTER_PUT = 1
LONG_PAUSE_S = 60
SETTINGS = (
    '{"id": "p1", "zone": "a", "peer_address": "127.0.0.1:1", '
    '"operations_address": "127.0.0.1:2", '
    '"store_addresses": ["http://127.0.0.1:3"]}'
)


@placer_bench.on_bench
def test_placer_starts_nothing_after_a_long_pause(
    bench: placer_bench.Bench,
) -> None:
    bench.tick(2)
    job_id = bench.submit(idempotent=False, command='run=3')
    bench.pause(0, AFTER_PUT, LONG_PAUSE_S)
    bench.tick(LONG_PAUSE_S)
    assert bench.runs.by_job()[job_id] == 1
    assert bench.state(job_id) is work.JobState.DONE


@placer_bench.on_bench
def test_start_recorded_by_a_killed_placer_is_not_lost(
    bench: placer_bench.Bench,
) -> None:
    bench.tick(2)
    job_id = bench.submit(idempotent=False, command='run=3')
    placer_bench.pause_at_next_call(bench, bench.processes[0], AFTER_PUT)
    bench.replace(0)
    bench.tick(30)
    assert bench.runs.by_job()[job_id] == 1
    assert bench.state(job_id) is work.JobState.DONE


@placer_bench.on_bench
def test_start_at_a_rebooted_worker_is_not_repeated(
    bench: placer_bench.Bench,
) -> None:
    bench.tick(2)
    job_id = bench.submit(idempotent=False, command='run=30')
    bench.platform.lose_replies = 1
    bench.tick(1)
    host = bench.jobs_by_id()[job_id].host
    assert bench.runs.by_job()[job_id] == 1
    bench.replace(0)
    bench.platform.models_by_address[host].forget()
    bench.tick(60)
    assert bench.runs.by_job()[job_id] == 1
    assert bench.state(job_id) is work.JobState.LOST


@placer_bench.on_bench
def test_resends_to_a_rebooted_worker_end(bench: placer_bench.Bench) -> None:
    bench.tick(2)
    job_id, host = _submit_unanswered(bench)
    bench.platform.models_by_address[host].forget()
    bench.tick(60)
    assert bench.runs.by_job()[job_id] == 2
    assert bench.state(job_id) is work.JobState.DONE


@placer_bench.on_bench
def test_resends_to_a_lost_worker_end(bench: placer_bench.Bench) -> None:
    bench.tick(2)
    job_id, host = _submit_unanswered(bench)
    bench.platform.unreachable.add(host)
    bench.tick(10)
    assert bench.runs.by_job()[job_id] == 1
    bench.tick(50)
    assert bench.runs.by_job()[job_id] == 2
    assert bench.state(job_id) is work.JobState.DONE


def _submit_unanswered(bench: placer_bench.Bench) -> tuple[str, str]:
    """Submit a job whose start is not answered; return it and its host."""
    job_id = bench.submit(command='run=3')
    while not bench.runs.by_job()[job_id]:
        bench.platform.lose_replies = 1
        bench.tick(placer_bench.STEP_S)
    bench.platform.lose_replies = 0
    assert bench.state(job_id) is work.JobState.ASSIGNED
    return job_id, bench.jobs_by_id()[job_id].host


@placer_bench.on_bench
def test_job_is_requeued_after_a_short_pause(bench: placer_bench.Bench) -> None:
    bench.tick(2)
    job_id = bench.submit(idempotent=False, command='run=3')
    bench.pause(0, AFTER_PUT, 3)
    bench.tick(20)
    assert bench.runs.by_job()[job_id] == 1
    assert bench.state(job_id) is work.JobState.DONE


@placer_bench.on_bench
def test_lost_answer_of_a_start_runs_once(bench: placer_bench.Bench) -> None:
    bench.tick(2)
    bench.platform.lose_replies = 1
    job_id = bench.submit(idempotent=False, command='run=3')
    bench.tick(30)
    assert bench.runs.by_job()[job_id] == 1
    assert bench.state(job_id) is work.JobState.DONE


@placer_bench.on_bench
def test_refused_start_is_retried_on_another_host(
    bench: placer_bench.Bench,
) -> None:
    bench.platform.unreachable.update(placer_bench.HOSTS[:3])
    ids = [bench.submit(idempotent=False, command='run=1') for _ in range(4)]
    bench.tick(40)
    assert all(bench.state(one) is work.JobState.DONE for one in ids)
    assert all(bench.runs.by_job()[one] == 1 for one in ids)


@placer_bench.on_bench
def test_job_on_a_lost_worker_waits_for_its_lease(
    bench: placer_bench.Bench,
) -> None:
    again = bench.submit(command='run=40')
    once = bench.submit(command='run=40', idempotent=False)
    bench.tick(5)
    jobs = bench.jobs_by_id()
    bench.platform.unreachable.update({jobs[again].host, jobs[once].host})
    bench.tick(15)
    assert bench.runs.by_job()[again] == 1
    bench.tick(70)
    assert bench.runs.by_job()[again] == 2
    assert bench.state(again) is work.JobState.DONE
    assert bench.state(once) is work.JobState.LOST


@placer_bench.on_bench
def test_outage_keeps_running_jobs_alive(bench: placer_bench.Bench) -> None:
    job_id = bench.submit(command='run=100', idempotent=False)
    waiting = bench.submit(command='run=1', processors=8)
    bench.tick(5)
    bench.store.down = True
    bench.tick(80)
    bench.store.down = False
    bench.tick(40)
    assert bench.state(job_id) is work.JobState.DONE
    assert bench.state(waiting) is work.JobState.DONE
    assert bench.runs.by_job()[job_id] == 1


@placer_bench.on_bench
def test_new_placers_take_over_running_jobs(
    bench: placer_bench.Bench,
) -> None:
    ids = [
        bench.submit(command='run=60', idempotent=place % 2 == 0)
        for place in range(6)
    ]
    bench.tick(5)
    for turn in range(4):
        bench.replace(turn % 2)
        bench.tick(7)
    bench.tick(60)
    assert all(bench.state(one) is work.JobState.DONE for one in ids)
    assert all(bench.runs.by_job()[one] == 1 for one in ids)


@placer_bench.on_bench
def test_urgent_job_starts_soon_in_a_full_pool(
    bench: placer_bench.Bench,
) -> None:
    batch = [
        bench.submit(
            urgency=work.Urgency.BATCH,
            processors=4,
            memory_mb=32,
            command='run=300',
        )
        for _ in range(16)
    ]
    bench.tick(20)
    urgent = bench.submit(
        urgency=work.Urgency.URGENT, memory_mb=32, command='run=1'
    )
    bench.tick(2)
    assert bench.runs.by_job()[urgent] == 1
    bench.tick(5)
    running = [one for one in batch if bench.state(one) in RUNNING]
    assert len(running) == 8


RUNNING = frozenset((work.JobState.ASSIGNED, work.JobState.RUNNING))


@placer_bench.on_bench
def test_cancelled_job_is_stopped(bench: placer_bench.Bench) -> None:
    job_id = bench.submit(command='run=300', idempotent=False)
    bench.tick(5)
    bench.run(bench.entry.cancel(job_id))
    bench.tick(5)
    assert bench.state(job_id) is work.JobState.CANCELLED
    bench.runs.check_overlap()


@placer_bench.on_bench
def test_impossible_job_fails_with_the_reason(
    bench: placer_bench.Bench,
) -> None:
    job_id = bench.submit(processors=9)
    bench.tick(3)
    job = bench.jobs_by_id()[job_id]
    assert job.state is work.JobState.FAILED
    assert 'fits no host' in job.reason


@placer_bench.on_bench
def test_broken_worker_does_not_attract_jobs(
    bench: placer_bench.Bench,
) -> None:
    bench.platform.models_by_address['h0'].fails_everything = True
    ids = [bench.submit(command='run=2', processors=2) for _ in range(60)]
    bench.tick(60)
    assert all(bench.state(one) is work.JobState.DONE for one in ids)
    model = bench.platform.models_by_address['h0']
    assert len(model.executions.since(0)) <= 12


def test_settings_are_checked_without_starting() -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'placer.json'
        path.write_text(SETTINGS)
        assert _check(path) is launching.ExitStatus.OK
        path.write_text(SETTINGS.replace('zone', 'place'))
        assert _check(path) is launching.ExitStatus.USAGE


def _check(path: pathlib.Path) -> launching.ExitStatus:
    return core.main(
        launching.Environment(
            arguments=('--settings', str(path), '--check'),
            stdout=io.StringIO(),
            stderr=io.StringIO(),
        )
    )


load_tests = functions.loader(__name__)
