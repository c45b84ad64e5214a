/** JSON representation of jobs and outcomes for callers. */
import type { Outcome } from "../../common/outcome.js";
import type { JobView, TaskView } from "../work.js";

const TEXT_TYPES = /^(text\/|application\/(json|xml|x-ndjson)\b)/;

/** Renders a job for its caller. */
export function renderJob(job: JobView): Record<string, unknown> {
    return {
        jobId: job.jobId,
        team: job.caller.team,
        callerId: job.caller.callerId,
        state: job.state,
        submitted: new Date(job.submittedWallMs).toISOString(),
        spec: job.spec,
        counts: job.counts,
        tasks: job.tasks.map(renderTask),
    };
}

function renderTask(task: TaskView): unknown {
    return { ...task, outcome: task.outcome && renderOutcome(task.outcome) };
}

/** Renders an outcome, with answers in a text format as text and others in Base64. */
export function renderOutcome(outcome: Outcome): unknown {
    if (outcome.kind !== "done") {
        return outcome;
    }
    const { answer, ...rest } = outcome;
    const bytes = Buffer.from(answer.buffer, answer.byteOffset, answer.byteLength);
    return TEXT_TYPES.test(outcome.contentType) ?
        { ...rest, answer: bytes.toString("utf8") } :
        { ...rest, answerBase64: bytes.toString("base64") };
}
