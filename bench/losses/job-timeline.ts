/** Rebuilds each job's timeline (accepted, ordered, ended, closed) from the log lines of all nodes. */
import type { Millis } from "../../src/common/clock.js";
import { formatStepName, parseTaskName } from "../../src/process/jobs/job-spec.js";
import type { LogLine } from "./log-lines.js";

export interface RunTimeline {
    readonly task: string;
    readonly run: number;
    readonly orderedAt: number;
    endedAt: number | undefined;
    /** Outcome of the run; undefined if unknown. */
    end: string | undefined;
}

export interface StepTimeline {
    readonly name: string;
    /** When the advice service first answered its request; undefined if it needed no advice. */
    permittedAt: number | undefined;
    readonly runs: RunTimeline[];
}

export interface JobTimeline {
    readonly jobId: string;
    readonly queue: string;
    readonly acceptedAt: number;
    readonly steps: Map<string, StepTimeline>;
    closedAt: number | undefined;
    phase: string | undefined;
    /** Target duration of the job in milliseconds, as logged by the leader when it closed the job. */
    objectiveMs: Millis | undefined;
}

type Handler = (jobs: Map<string, JobTimeline>, line: LogLine) => void;

const HANDLERS: Readonly<Record<string, Handler>> = {
    jobDecided: recordJob,
    adviceGiven: recordPermit,
    runOrdered: recordOrder,
    runEnded: recordEnd,
    jobClosed: recordClose,
};

/** Builds the timelines of all jobs whose acceptance was logged, in order of acceptance. */
export function buildTimelines(lines: readonly LogLine[]): readonly JobTimeline[] {
    const jobs = new Map<string, JobTimeline>();
    lines.forEach(line => HANDLERS[line.event]?.(jobs, line));
    return [...jobs.values()];
}

function recordJob(jobs: Map<string, JobTimeline>, { time, fields }: LogLine): void {
    const jobId = String(fields.jobId);
    if (fields.outcome === "accepted" && !jobs.has(jobId)) {
        jobs.set(jobId, {
            jobId,
            queue: String(fields.queue),
            acceptedAt: time,
            steps: new Map(),
            closedAt: undefined,
            phase: undefined,
            objectiveMs: undefined,
        });
    }
}

function recordPermit(jobs: Map<string, JobTimeline>, { time, fields }: LogLine): void {
    const step = findStep(jobs, String(fields.step));
    if (step !== undefined && fields.answer === "done") {
        step.permittedAt ??= time;
    }
}

function recordOrder(jobs: Map<string, JobTimeline>, { time, fields }: LogLine): void {
    const task = String(fields.task);
    const tookMs = Number(fields.tookMs ?? 0);
    findStepOfTask(jobs, task)?.runs.push({
        task,
        run: Number(fields.run),
        orderedAt: time - tookMs,
        endedAt: undefined,
        end: undefined,
    });
}

function recordEnd(jobs: Map<string, JobTimeline>, { time, fields }: LogLine): void {
    const { task, run } = fields;
    const found = findStepOfTask(jobs, String(task))?.runs
        .findLast(other => other.task === task && other.run === run);
    if (found !== undefined && fields.isCurrent === true) {
        found.endedAt = time;
        found.end = String(fields.end);
    }
}

function recordClose(jobs: Map<string, JobTimeline>, { time, fields }: LogLine): void {
    const job = jobs.get(String(fields.jobId));
    if (job !== undefined) {
        job.closedAt = time;
        job.phase = String(fields.phase);
        job.objectiveMs = typeof fields.objectiveMs === "number" ? fields.objectiveMs : undefined;
    }
}

function findStepOfTask(jobs: Map<string, JobTimeline>, task: string): StepTimeline | undefined {
    const ref = parseTaskName(task);
    return ref && findStep(jobs, formatStepName(ref));
}

function findStep(jobs: Map<string, JobTimeline>, name: string): StepTimeline | undefined {
    const steps = jobs.get(name.slice(0, name.indexOf(".")))?.steps;
    if (steps === undefined) {
        return undefined;
    }
    const known = steps.get(name) ?? { name, permittedAt: undefined, runs: [] };
    steps.set(name, known);
    return known;
}
