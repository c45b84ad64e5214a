/** The queues of a random day and the jobs that callers submit to them. */
import type { Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import type { Resources } from "../../common/resources.js";
import type { JobSpec, StepSpec } from "../../process/jobs/job-spec.js";
import { parseTaskName } from "../../process/jobs/job-spec.js";
import type { TaskBehavior } from "../../stand-ins/index.js";
import type { QueueConfig } from "../../version/cluster-config.js";
import { HOST, makeSpec, QUEUE } from "./leader-cell.js";

export const DAY_CAPACITY: Resources = { cpuMillis: 16_000, memoryMib: 32_768, accelerators: 0 };
const VALID_MS: Millis = 2_500;

/** A queue and the share of workers that its policy allows for a step. */
export interface DayQueue {
    readonly config: QueueConfig;
    readonly allowedShare: number;
    readonly makeSpec: (random: Random) => JobSpec;
}

function makeQueue(
    name: string,
    priority: number,
    decideMs: Millis,
    perWorkerMs: Millis,
): QueueConfig {
    const advice = { decideMs, perWorkerMs, validMs: VALID_MS };
    return { ...QUEUE, name, host: HOST, pathPrefix: `/${name}/`, priority, maxAttempts: 4, advice };
}

function makeTask(cpuMillis: number, memoryMib: number): Resources {
    return { cpuMillis, memoryMib, accelerators: 0 };
}

/** Makes a job of one or two short single tasks, or a gang of two. */
function makeShortWork(random: Random): JobSpec {
    const isGang = random.pickInt(6) === 0;
    return makeSpec({
        taskCount: isGang ? 2 : 1 + random.pickInt(2),
        isGang,
        demand: makeTask(1_500, 512),
        estimateMs: 300 + random.pickInt(900),
    });
}

/** Makes a gang of large tasks, some with a step of single tasks after it. */
function makeGangWork(random: Random): JobSpec {
    const gang: Partial<StepSpec> = {
        taskCount: 2 + random.pickInt(4),
        isGang: true,
        demand: makeTask(6_200, 6_000),
        estimateMs: 1_500 + random.pickInt(4_000),
        savesCheckpoints: random.pickInt(3) === 0,
    };
    const after: Partial<StepSpec> = {
        taskCount: 1 + random.pickInt(3),
        demand: makeTask(2_000, 1_000),
        estimateMs: 800,
        after: [0],
    };
    return random.pickInt(3) === 0 ? makeSpec(gang, after) : makeSpec(gang);
}

/** Makes a job of single tasks in one or two steps. */
function makeSingleWork(random: Random): JobSpec {
    const build = (after: readonly number[]): Partial<StepSpec> => ({
        taskCount: 1 + random.pickInt(6),
        demand: makeTask(2_950, 2_500),
        estimateMs: 1_000 + random.pickInt(4_000),
        savesCheckpoints: random.pickInt(10) < 8,
        maxPerWorker: random.pickInt(8) === 0 ? 1 + random.pickInt(2) : undefined,
        after,
    });
    return random.pickInt(2) === 0 ? makeSpec(build([]), build([0])) : makeSpec(build([]));
}

/** The queues, most urgent first. */
export const DAY_QUEUES: readonly DayQueue[] = [
    { config: makeQueue("short", 0, 12, 0.17), allowedShare: 0.7, makeSpec: makeShortWork },
    { config: makeQueue("gangs", 1, 410, 5.9), allowedShare: 0.35, makeSpec: makeGangWork },
    { config: makeQueue("singles", 2, 82, 1.2), allowedShare: 0.45, makeSpec: makeSingleWork },
];

/** Hashes a text to a number from 0 to 1 (exclusive). */
export function hashToFraction(text: string): number {
    let hash = 2_166_136_261;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 16_777_619) >>> 0;
    }
    hash = Math.imul(hash ^ hash >>> 15, 2_246_822_507) >>> 0;
    return ((hash ^ hash >>> 13) >>> 0) / 2 ** 32;
}

/** Finds the step that a task belongs to. */
export function findStepSpec(spec: JobSpec | undefined, task: string): StepSpec | undefined {
    const ref = parseTaskName(task);
    return ref === undefined ? undefined : spec?.steps[ref.step];
}

/** Share of runs that end as failed. */
const FAILING_SHARE = 0.03;

/**
 * Derives the behavior of a run from its step, task and number.
 * @param slowness - Factor by which its worker is slower than usual.
 */
export function describeRun(spec: StepSpec, task: string, run: number, slowness: number): TaskBehavior {
    const runMs = spec.estimateMs * (0.6 + hashToFraction(task)) * slowness;
    return {
        demand: spec.demand,
        runMs: Math.round(runMs),
        end: hashToFraction(`${task}#${run}`) < FAILING_SHARE ? "failed" : "done",
        savesCheckpoints: spec.savesCheckpoints,
        waitsForGang: spec.isGang,
    };
}
