/** Verifies a run by the workers' journal against what callers were told. */
import type { JournalRun, WorkerJournal } from "../../src/stand-ins/index.js";
import type { Told } from "./callers.js";

/** Counts of broken promises; all should be 0. */
export interface Verdict {
    /** Non-repeatable requests and tasks that ran more than once, and tasks that ran in two places at once. */
    readonly doubled: number;
    readonly falselyNotRun: number;
    readonly wrongAnswers: number;
    /** Instants at which a worker had more than its processors, memory or slots. */
    readonly overcommitted: number;
}

/**
 * Verifies requests and tasks.
 * @param journal - What really ran.
 * @param told - What callers were told.
 * @param onceJobs - Jobs whose tasks must run at most once.
 */
export function verifyRun(
    journal: WorkerJournal,
    told: readonly Told[],
    onceJobs: ReadonlySet<string>,
): Verdict {
    const services = journal.runs.filter(run => run.kind === "service");
    const tasks = journal.runs.filter(run => run.kind === "task");
    const runsByKey = countBy(services, run => run.attempt.replace(/-\d+$/, "-"));
    const visits = countBy(services, run => run.attempt);
    const doubledRequests =
        [...runsByKey].filter(([key, count]) => key.startsWith("correction-") && count > 1).length;
    const falselyNotRun =
        told.filter(({ kind, end, key }) =>
            end === "no" && (kind === "visit" ? visits.has(key) : runsByKey.has(key))
        ).length;
    return {
        doubled: doubledRequests + countDoubledTasks(tasks, onceJobs),
        falselyNotRun,
        wrongAnswers: told.filter(({ end }) => end === "wrongAnswer").length,
        overcommitted: countOvercommitted(journal),
    };
}

function countBy<Item>(items: readonly Item[], getKey: (item: Item) => string): Map<string, number> {
    const counts = new Map<string, number>();
    for (const item of items) {
        counts.set(getKey(item), (counts.get(getKey(item)) ?? 0) + 1);
    }
    return counts;
}

function countDoubledTasks(tasks: readonly JournalRun[], onceJobs: ReadonlySet<string>): number {
    const lastEnd = new Map<string, number>();
    let doubled = 0;
    for (const run of [...tasks].sort((left, right) => left.startedAt - right.startedAt)) {
        const { jobId, index } = JSON.parse(run.label) as { readonly jobId: string; readonly index: number; };
        const task = `${jobId}/${index}`;
        const before = lastEnd.get(task);
        doubled += before !== undefined && (onceJobs.has(jobId) || run.startedAt < before) ? 1 : 0;
        lastEnd.set(task, run.endedAt ?? Number.POSITIVE_INFINITY);
    }
    return doubled;
}

function countOvercommitted(journal: WorkerJournal): number {
    const capacities = new Map(journal.capacities.map(capacity => [capacity.workerId, capacity]));
    const events = journal.runs.flatMap(run => [
        { at: run.startedAt, run, sign: 1 },
        { at: run.endedAt ?? Number.POSITIVE_INFINITY, run, sign: -1 },
    ]);
    events.sort((left, right) => left.at - right.at || left.sign - right.sign);
    const use = new Map<string, { cpuMillis: number; memoryMib: number; slots: number; }>();
    let overcommitted = 0;
    for (const { run, sign } of events) {
        const now = use.get(run.workerId) ?? { cpuMillis: 0, memoryMib: 0, slots: 0 };
        now.cpuMillis += sign * run.resources.cpuMillis;
        now.memoryMib += sign * run.resources.memoryMib;
        now.slots += run.kind === "service" ? sign : 0;
        use.set(run.workerId, now);
        const capacity = capacities.get(run.workerId);
        const isOver = capacity !== undefined && (now.cpuMillis > capacity.capacity.cpuMillis ||
            now.memoryMib > capacity.capacity.memoryMib || now.slots > capacity.slots);
        overcommitted += isOver ? 1 : 0;
    }
    return overcommitted;
}
