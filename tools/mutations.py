"""The source changes that each break one guarantee, for show_red."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Mutation:
    """A source change that breaks a guarantee, and the test that detects it.

    ``present`` is the source fragment in ``path`` and ``undone`` replaces it.
    """

    guarantee: str
    path: str
    present: str
    undone: str
    library: str
    test: str


MUTATIONS = (
    Mutation(
        'availability budget of a pool is kept',
        'membership/drafts.py',
        'if after <= allowed:',
        'if True:',
        'steward',
        'test_last_host_of_a_budget',
    ),
    Mutation(
        'a host belongs to one pool',
        'membership/phases.py',
        'if present.since_s != self.since_s:',
        'if False:',
        'steward',
        'test_overtaken_step_is_refused',
    ),
    Mutation(
        'replies reach their own request',
        'peers/connection.py',
        'self._pending_by_exchange.pop(frame.exchange, None)',
        'self._pending_by_exchange.pop(min(self._pending_by_exchange), None)',
        'peers',
        'test_out_of_order_replies',
    ),
    Mutation(
        'an uncertain write is not reported as not run',
        'store/editing.py',
        'uncertain = self._uncertain_revision is not None',
        'uncertain = False',
        'store',
        'test_put_that_may_land_late',
    ),
    Mutation(
        'a keyed request runs at most once',
        'entry/intent_records.py',
        'if existing and existing.token != intent.token:',
        'if False:',
        'entry',
        'test_key_is_run_at_most_once',
    ),
    Mutation(
        'a leaving host gets no new work',
        'routing/leaving.py',
        'self._expiry_s_by_host[host] = max(known_s, expiry_s)',
        'max(known_s, expiry_s)',
        'entry',
        'test_leaving_target_gets_no_new_work',
    ),
    Mutation(
        'a planned stop drops no request',
        'entry/root.py',
        '        await self._wait_until_idle()\n        await self.server',
        '        await self.server',
        'entry',
        'test_planned_stop_drops_no_request',
    ),
    Mutation(
        'a stale document is not applied',
        'node/documents.py',
        'if document.revision <= self.revision_of(document.key):',
        'if document.revision == self.revision_of(document.key):',
        'node',
        'test_stale_document_is_not_applied',
    ),
    Mutation(
        'documents spread during a store outage',
        'node/gossip.py',
        'for document in received:',
        'for document in ():',
        'node',
        'test_process_started_in_an_outage',
    ),
    Mutation(
        'a start is not repeated when its answer is lost',
        'placer/start_checks.py',
        'if forbidden.started:',
        'if False:',
        'placer',
        'test_lost_answer_of_a_start_runs_once',
    ),
    Mutation(
        'a rebooted worker leaves a start uncertain',
        'placer/start_checks.py',
        'elif forbidden.boot == job.boot:',
        'else:',
        'placer',
        'test_start_at_a_rebooted_worker',
    ),
    Mutation(
        'an end is stored before it is acknowledged',
        'scheduler/workers.py',
        'self._unstored.add(number)',
        'self._unstored.discard(number)',
        'scheduler',
        'test_end_is_not_acknowledged',
    ),
    Mutation(
        'a lost task is not restarted before its lease ends',
        'scheduler/worker_registry.py',
        'if self._cluster.now_s > worker.lease_end_s + slack_s:',
        'if True:',
        'scheduler',
        'test_lost_task_is_not_restarted',
    ),
    Mutation(
        'a wave keeps max_unavailable of a step',
        'scheduler/waves.py',
        'return others_unavailable < step.max_unavailable',
        'return True',
        'scheduler',
        'test_wave_keeps_max_unavailable',
    ),
    Mutation(
        'tasks of unreachable workers count as unavailable',
        'scheduler/runs.py',
        'and self.worker.reachable',
        'and self.percent',
        'scheduler',
        'test_task_of_unreachable_worker',
    ),
    Mutation(
        'an uncertain submission is not reported as refused',
        'jobs/intake.py',
        'if isinstance(failure, keyvalue.Uncertain):',
        'if isinstance(failure, keyvalue.LeaseLost):',
        'jobs',
        'test_lost_reply',
    ),
    Mutation(
        'an unavailable store is not called',
        'jobs/intake.py',
        'return result.Failure(_STORE_UNAVAILABLE)\n        written',
        'pass\n        written',
        'jobs',
        'test_store_that_fails',
    ),
    Mutation(
        'a start on a restarting worker is settled',
        'scheduler/worker_registry.py',
        'self._cluster.on_unsettled_run(run)',
        'run.phase = runs.RunPhase.UNSETTLED',
        'scheduler',
        'test_start_on_a_restarting_worker',
    ),
    Mutation(
        'an answer of an earlier boot is ignored',
        'scheduler/dispatch.py',
        'if (\n            self._dependencies.cluster.workers_by_id.get(worker'
        '.entry.id)\n            is not worker\n        ):',
        'if False:',
        'scheduler',
        'test_answer_of_an_earlier_boot',
    ),
    Mutation(
        'a lost task is not restarted before its lease ends, randomized',
        'scheduler/worker_registry.py',
        'if self._cluster.now_s > worker.lease_end_s + slack_s:',
        'if True:',
        'scheduler',
        'test_leaders_keep_their_guarantees',
    ),
    Mutation(
        'an unanswered start may have run, randomized',
        'scheduler/dispatch.py',
        'if isinstance(failure, calls.Unanswered):',
        'if False:',
        'scheduler',
        'test_leaders_keep_their_guarantees',
    ),
    Mutation(
        'stronger hosts are preferred as leader',
        'scheduler/election.py',
        'return MAX_CANDIDACY_DELAY_S * (1 - strength)',
        'return MAX_CANDIDACY_DELAY_S * strength',
        'scheduler',
        'test_stronger_host',
    ),
    Mutation(
        'a leader continues after its lease is renewed',
        'scheduler/leader.py',
        'while self._held():',
        'while self._leading():',
        'scheduler',
        'test_leader_continues_after_its_lease',
    ),
    Mutation(
        'late jobs make room for others',
        'scheduler/planner.py',
        'closed = withheld if late else ()',
        'closed = ()',
        'scheduler',
        'test_late_job_waits',
    ),
    Mutation(
        'machines of the last peak are kept',
        'policy/forecasts.py',
        'return self._peaks[0][1] if self._peaks else 0',
        'return 0',
        'scheduler',
        'test_machines_of_the_last_peak',
    ),
    Mutation(
        'a queued request is not sent after the lease',
        'backends/exchange.py',
        'or not self._permitted()',
        '',
        'platform',
        'test_queued_request_is_not_sent',
    ),
    Mutation(
        'a failing loop does not end the leadership',
        'scheduler/supervision.py',
        'if failures >= max_failures:',
        'if failures:',
        'scheduler',
        'test_failing_pools',
    ),
    Mutation(
        'the time of a running step counts once',
        'policy/objectives.py',
        'self.duration_s - (self.elapsed_s or 0)',
        'self.duration_s',
        'scheduler',
        'test_running_step_does_not_make',
    ),
    Mutation(
        'machines with lasting tasks are vacated ahead',
        'policy/wave_order.py',
        'for name in slow[:ahead]',
        'for name in slow[:0]',
        'policy',
        'test_wave_with_lasting_tasks',
    ),
    Mutation(
        'a node is ready only once its role listens',
        'node/daemon.py',
        'return configured and self._serving and',
        'return configured and',
        'node',
        'test_node_is_not_ready',
    ),
    Mutation(
        'a stopping daemon does not lead',
        'scheduler/election.py',
        'self._withdrawn = True',
        'self._withdrawn = False',
        'unified',
        'test_stopping_daemon',
    ),
)
