/** Builds the initial state of jobs and of their occurrences. */
import { JobPhase } from "./job-events.js";
import type { JobAccepted } from "./job-events.js";
import { formatStepName } from "./job-spec.js";
import type { JobSpec } from "./job-spec.js";
import type { Job, Occurrence } from "./job.js";
import { TaskList } from "./task-list.js";

/** Builds the state of a job that has just been accepted, without occurrences. */
export function buildJob(event: JobAccepted): Job {
    return {
        id: event.jobId,
        queue: event.queue,
        account: event.account,
        isBeyondRate: event.isBeyondRate === true,
        spec: event.spec,
        acceptedAt: event.at,
        phase: JobPhase.queued,
        endedAt: 0,
        isEndDurable: false,
        occurrences: new Map(),
        nextOccurrence: 0,
        hasStarted: false,
        leftRuns: [],
    };
}

/** Builds one occurrence of a job, with all its tasks waiting. */
export function buildOccurrence(job: Job, spec: JobSpec, number: number): Occurrence {
    const { repeat } = spec;
    const dueAt = repeat === undefined ? 0 : repeat.firstRunAt + number * repeat.intervalMs;
    const occurrence: Occurrence = { number, steps: [], dueAt, openSteps: spec.steps.length };
    spec.steps.forEach((stepSpec, stepNumber) => {
        const ref = { jobId: job.id, occurrence: number, step: stepNumber };
        const tasks = new TaskList(ref, stepSpec.taskCount);
        occurrence.steps.push({
            job,
            occurrence,
            number: stepNumber,
            name: formatStepName(ref),
            spec: stepSpec,
            tasks,
            waiting: tasks.length,
            assigned: 0,
            done: 0,
            failures: 0,
            lastFailedRun: 0,
            repairRun: undefined,
        });
    });
    return occurrence;
}
