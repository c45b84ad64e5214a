/** Base class of the job commands, and the text output of a job. */
import { ClientCommand } from "./client-command.js";
import { formatTable } from "./format.js";

/** A job as returned by the caller API. */
export interface JobView {
    readonly jobId: string;
    readonly state: string;
    readonly team: string;
    readonly submitted: string;
    readonly spec: { readonly kind: string; readonly branch: string; readonly tasks: number; };
    readonly counts: Readonly<Record<string, number>>;
    readonly tasks: readonly TaskView[];
}

interface TaskView {
    readonly index: number;
    readonly state: string;
    readonly workerId?: string;
    readonly attempts: number;
    readonly outcome?: {
        readonly kind: string;
        readonly workerId?: string;
        readonly answer?: string;
        readonly message?: string;
        readonly remedy?: string;
    };
}

const MAX_ANSWER_LENGTH = 60;

/** Base class of commands that operate on jobs. */
export abstract class JobCommand extends ClientCommand {
    /** Returns the URL path of a job, with its id encoded. */
    protected getJobPath(jobId: string): string {
        return `/v1/jobs/${encodeURIComponent(jobId)}`;
    }
}

/** Formats a job as text: a summary followed by a table of its tasks. */
export function formatJob(job: JobView): string {
    const counts = Object.entries(job.counts).filter(([, count]) => count > 0);
    const rows = job.tasks.map(task => [
        String(task.index),
        task.outcome?.kind ?? task.state,
        task.outcome?.workerId ?? task.workerId ?? "",
        String(task.attempts),
        describeOutcome(task),
    ]);
    return [
        `job ${job.jobId}: ${job.state}`,
        `  ${job.spec.kind}, branch ${job.spec.branch}, team ${job.team}, handed in ${job.submitted}`,
        `  tasks: ${counts.map(([state, count]) => `${count} ${state}`).join(", ")}`,
        formatTable([["TASK", "STATE", "WORKER", "TRIES", "ANSWER"], ...rows]),
    ].join("\n");
}

function describeOutcome({ outcome }: TaskView): string {
    const text = outcome?.answer ?? outcome?.message ?? outcome?.remedy ?? "";
    return text.length <= MAX_ANSWER_LENGTH ? text : `${text.slice(0, MAX_ANSWER_LENGTH)}…`;
}
