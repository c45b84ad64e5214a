/** What callers hand in during a played load, drawn from a seed. */
import type { Millis } from "../../common/clock.js";
import { createRandom } from "../../common/random.js";
import type { Random } from "../../common/random.js";
import type { Resources } from "../../common/resources.js";
import type { JobSpec, StepSpec } from "../../process/jobs/job-spec.js";
import type { QueueConfig } from "../../version/cluster-config.js";
import { makeJobId, makeSpec, QUEUE } from "../leader/leader-cell.js";

/** Spread of a figure around its mean: the logarithm's standard deviation, and a cap. */
interface Spread {
    readonly mean: number;
    readonly sigma: number;
    readonly most: number;
}

/** One kind of job. */
export interface LoadClass {
    readonly queue: QueueConfig;
    readonly perSecond: number;
    /** What a mean job is worth to its caller in time; a late one is worth a fifth. */
    readonly worth: number;
    readonly steps: number;
    readonly width: Spread;
    readonly cpuMillis: Spread;
    readonly memoryMib: Spread;
    readonly runMs: Spread;
    /** Deviation of estimates. */
    readonly estimateSigma: number;
    readonly gangShare: number;
    readonly savingShare: number;
    readonly failingShare: number;
    readonly allowedShare: number;
    /** When more of them come, and how many times as many. */
    readonly burst?: { readonly from: Millis; readonly to: Millis; readonly factor: number; };
}

/** A load on a cluster. */
export interface LoadProfile {
    readonly workers: number;
    readonly capacity: Resources;
    /** Nodes that can ask the advice service. */
    readonly nodes: number;
    readonly lengthMs: Millis;
    readonly classes: readonly LoadClass[];
}

/** A job on its way. */
export interface LoadJob {
    readonly number: number;
    readonly kind: LoadClass;
    readonly at: Millis;
    readonly spec: JobSpec;
    /** True run times of its steps. */
    readonly runMs: readonly Millis[];
    readonly worth: number;
}

const WARM_UP_DRAWS = 1_000;
const VALID_MS: Millis = 2_500;

function makeQueue(name: string, change: Partial<QueueConfig>): QueueConfig {
    return { ...QUEUE, name, pathPrefix: `/${name}/`, maxAttempts: 4, ...change };
}

/**
 * Three unlike queues that together want nine tenths of all processors: quick checks, large gangs, and long rows of tasks
 * that can be stopped. A burst of gangs wants more than there is.
 */
export const SCARCE_LOAD: LoadProfile = {
    workers: 126,
    capacity: { cpuMillis: 64_000, memoryMib: 262_144, accelerators: 0 },
    nodes: 32,
    lengthMs: 30_000,
    classes: [
        {
            queue: makeQueue("gangs", {
                priority: 1,
                stretch: 2.2,
                targetMs: 1_000,
                advice: { decideMs: 494, perWorkerMs: 7.15, validMs: VALID_MS },
            }),
            perSecond: 2.19,
            worth: 4.35,
            steps: 1.2,
            width: { mean: 13, sigma: 0.6, most: 64 },
            cpuMillis: { mean: 18_000, sigma: 0.4, most: 30_000 },
            memoryMib: { mean: 68_000, sigma: 0.5, most: 140_000 },
            runMs: { mean: 6_200, sigma: 0.5, most: 16_000 },
            estimateSigma: 0.2,
            gangShare: 1,
            savingShare: 0.5,
            failingShare: 0.05,
            allowedShare: 0.35,
            burst: { from: 12_000, to: 16_000, factor: 1.8 },
        },
        {
            queue: makeQueue("rows", {
                priority: 2,
                stretch: 4,
                targetMs: 3_000,
                advice: { decideMs: 182, perWorkerMs: 2.6, validMs: VALID_MS },
            }),
            perSecond: 2.85,
            worth: 2.08,
            steps: 1.5,
            width: { mean: 15, sigma: 0.6, most: 76 },
            cpuMillis: { mean: 11_000, sigma: 0.45, most: 33_000 },
            memoryMib: { mean: 41_000, sigma: 0.6, most: 120_000 },
            runMs: { mean: 3_400, sigma: 0.5, most: 8_400 },
            estimateSigma: 0.2,
            gangShare: 0,
            savingShare: 0.8,
            failingShare: 0.005,
            allowedShare: 0.45,
        },
        {
            queue: makeQueue("checks", {
                priority: 0,
                stretch: 1.5,
                targetMs: 250,
                advice: { decideMs: 26, perWorkerMs: 0.364, validMs: VALID_MS },
            }),
            perSecond: 20.2,
            worth: 0.41,
            steps: 1,
            width: { mean: 3.1, sigma: 0.8, most: 19 },
            cpuMillis: { mean: 16_000, sigma: 0.45, most: 47_000 },
            memoryMib: { mean: 45_000, sigma: 0.6, most: 140_000 },
            runMs: { mean: 1_000, sigma: 0.5, most: 2_500 },
            estimateSigma: 0.5,
            gangShare: 0.3,
            savingShare: 0,
            failingShare: 0.05,
            allowedShare: 0.7,
        },
    ],
};

/** Draws the jobs of a load, in the order in which they come. */
export function pickJobs(profile: LoadProfile, seed: number): readonly LoadJob[] {
    const random = createWarmRandom(seed);
    const arrivals = profile.classes.flatMap(kind =>
        pickArrivals(kind, profile.lengthMs, random).map(at => ({ kind, at }))
    );
    arrivals.sort((left, right) => left.at - right.at);
    return arrivals.map(({ kind, at }, index) => pickJob(kind, at, index + 1, random));
}

/** The first draws of neighbouring seeds are much alike. */
function createWarmRandom(seed: number): Random {
    const random = createRandom(seed);
    for (let draw = 0; draw < WARM_UP_DRAWS; draw++) {
        random.pickFraction();
    }
    return random;
}

function pickArrivals(kind: LoadClass, lengthMs: Millis, random: Random): readonly Millis[] {
    const { perSecond, burst } = kind;
    const times: Millis[] = [];
    let at = 0;
    for (;;) {
        const factor = burst !== undefined && at >= burst.from && at < burst.to ? burst.factor : 1;
        at += -Math.log(1 - random.pickFraction()) / (perSecond * factor) * 1_000;
        if (at >= lengthMs) {
            return times;
        }
        times.push(at);
    }
}

function pickJob(kind: LoadClass, at: Millis, number: number, random: Random): LoadJob {
    const count = 1 + (random.pickFraction() < (kind.steps - 1) ? 1 : 0);
    const runMs = Array.from({ length: count }, () => Math.round(pickFrom(kind.runMs, random)));
    const steps = runMs.map((trueMs, index): Partial<StepSpec> => ({
        taskCount: Math.max(1, Math.round(pickFrom(kind.width, random))),
        demand: {
            cpuMillis: Math.round(pickFrom(kind.cpuMillis, random)),
            memoryMib: Math.round(pickFrom(kind.memoryMib, random)),
            accelerators: 0,
        },
        estimateMs: Math.round(trueMs * Math.exp(kind.estimateSigma * pickNormal(random))),
        isGang: random.pickFraction() < kind.gangShare,
        savesCheckpoints: random.pickFraction() < kind.savingShare,
        after: index === 0 ? [] : [index - 1],
    }));
    const spec = { ...makeSpec(...steps), payload: makeJobId(number) };
    const work = spec.steps.reduce(
        (sum, step, index) => sum + step.taskCount * step.demand.cpuMillis * (runMs[index] ?? 0),
        0,
    );
    const meanWork = kind.steps * kind.width.mean * kind.cpuMillis.mean * kind.runMs.mean;
    return { number, kind, at, spec, runMs, worth: kind.worth * Math.min(4, 0.3 + 0.7 * work / meanWork) };
}

function pickFrom({ mean, sigma, most }: Spread, random: Random): number {
    // The mean of a logarithmic normal distribution lies above its median.
    return Math.min(most, mean * Math.exp(sigma * pickNormal(random) - sigma ** 2 / 2));
}

function pickNormal(random: Random): number {
    const radius = Math.sqrt(-2 * Math.log(1 - random.pickFraction()));
    return radius * Math.cos(2 * Math.PI * random.pickFraction());
}
