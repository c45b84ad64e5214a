/** Explains the state of a job in words. */
import { appendAll } from "../../../common/lists.js";
import type { HomeReply } from "../../../connection/messages.js";
import { TaskCode } from "../state/index.js";
import type { JobRecord } from "../state/index.js";
import type { JobRun, LiveAttempt } from "./job-run.js";
import type { TaskEngine } from "./task-engine.js";

const MAX_ATTEMPTS_SHOWN = 10;

/**
 * Explains the state of a job and of its first live attempts.
 * @param census - Answers that a census still misses; undefined when none is in progress.
 */
export function explainJob(engine: TaskEngine, record: JobRecord, census: string | undefined): HomeReply {
    const run = engine.runs.get(record.jobId);
    const lines = [describeCounts(record, run)];
    if (run === undefined) {
        lines.push("It has ended.");
        return { kind: "explanation", lines };
    }
    if (record.cancelled) {
        lines.push("It is cancelled; tasks that run are being stopped.");
    }
    if (run.recoveredUpdates !== undefined) {
        lines.push("Another entry had it before: tasks start only when it is known what runs already.");
    }
    if (census !== undefined) {
        lines.push(`At home slice ${engine.core.slice} ${census}.`);
    }
    if (!engine.core.mayOrder()) {
        lines.push("This entry may not act now: it cannot rule out that another has taken over.");
    }
    if (engine.core.log.isStoreUnavailable()) {
        lines.push("The store cannot be reached: ends and start markers wait to be written.");
    }
    if (run.reason !== "" && record.countOpen() > run.running) {
        lines.push(`Waiting tasks: ${run.reason}.`);
    }
    const shown = [...run.live.values()].slice(0, MAX_ATTEMPTS_SHOWN);
    appendAll(lines, shown.map(describeAttempt));
    return { kind: "explanation", lines };
}

function describeCounts(record: JobRecord, run: JobRun | undefined): string {
    const running = run?.running ?? 0;
    const waiting = record.countOpen() - running;
    const done = record.getTotal(TaskCode.done);
    return `Job ${record.jobId} of team ${record.caller.team}: ${record.spec.tasks} tasks, ${waiting} waiting, ` +
        `${running} running, ${done} done.`;
}

const phaseWords: { readonly [Phase in LiveAttempt["phase"]]: (live: LiveAttempt) => string; } = {
    marking: () => "its start marker is being written",
    sent: live => `it was handed to placer ${live.placer}, which has not confirmed it`,
    queued: live => `it waits for a worker at placer ${live.placer}`,
    granted: live => `placer ${live.placer} holds room for it, and its start marker is being written`,
    running: live => `it runs on worker ${live.workerId ?? "unknown"} of placer ${live.placer}`,
    ending: () => "it has ended, and its end is being written",
};

function describeAttempt(live: LiveAttempt): string {
    return `Task ${live.index}: ${phaseWords[live.phase](live)} (attempt ${live.attempt}).`;
}
