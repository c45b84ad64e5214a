/** Builds the views of jobs that callers get. */
import type { HomeReply } from "../../../connection/messages.js";
import type { JobState, JobView, TaskView } from "../../../request/work.js";
import { MAX_TASKS_SHOWN } from "../../../request/work.js";
import type { JobRecord } from "../state/index.js";
import { decodeOutcome, TaskCode } from "../state/index.js";
import type { JobRun } from "./job-run.js";

/**
 * Builds the view of a job, with at most {@link MAX_TASKS_SHOWN} tasks.
 * @param run - The volatile state; undefined for an ended job.
 */
export function buildJobView(record: JobRecord, run: JobRun | undefined): JobView {
    const running = run?.running ?? 0;
    const tasks: TaskView[] = [];
    for (let index = 0; index < Math.min(MAX_TASKS_SHOWN, record.spec.tasks); index++) {
        tasks.push(buildTaskView(record, run, index));
    }
    return {
        jobId: record.jobId,
        caller: record.caller,
        spec: record.spec,
        state: getJobState(record, running),
        submittedWallMs: record.submittedWallMs,
        counts: {
            waiting: record.countOpen() - running,
            running,
            done: record.getTotal(TaskCode.done),
            failed: record.getTotal(TaskCode.failed),
            notRun: record.getTotal(TaskCode.notRun),
            mayHaveRun: record.getTotal(TaskCode.mayHaveRun),
            cancelled: record.getTotal(TaskCode.cancelledBefore) + record.getTotal(TaskCode.cancelledAfter),
        },
        tasks,
    };
}

/** Builds the reply that shows a job; `created` says whether this request created it. */
export function buildJobReply(record: JobRecord, run: JobRun | undefined, created: boolean): HomeReply {
    return { kind: "job", job: buildJobView(record, run), created };
}

function getJobState(record: JobRecord, running: number): JobState {
    if (record.isEnded()) {
        return "ended";
    }
    const hasBegun = running > 0 || record.countOpen() < record.spec.tasks;
    return hasBegun ? "running" : "waiting";
}

function buildTaskView(record: JobRecord, run: JobRun | undefined, index: number): TaskView {
    const detail = record.details.get(index);
    if (detail !== undefined) {
        const outcome = decodeOutcome(detail.outcome);
        return { index, state: "ended", workerId: detail.workerId, outcome, attempts: detail.attempts };
    }
    const code = record.codes[index];
    if (code === TaskCode.cancelledBefore || code === TaskCode.cancelledAfter) {
        const started = code === TaskCode.cancelledAfter;
        return { index, state: "ended", outcome: { kind: "cancelled", started }, attempts: 0 };
    }
    const live = run?.live.get(index);
    const attempts = run?.countAttempts(index) ?? 0;
    if (live?.phase === "running" || live?.phase === "ending") {
        return { index, state: "running", workerId: live.workerId, attempts };
    }
    const waitsFor = run === undefined || run.reason === "" ? undefined : run.reason;
    return { index, state: "waiting", attempts, waitsFor };
}
