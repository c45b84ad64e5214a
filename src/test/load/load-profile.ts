/** The jobs that callers submit during a played load, generated from a seed. */
import type { Millis } from "../../common/clock.js";
import { createRandom } from "../../common/random.js";
import type { Random } from "../../common/random.js";
import type { Resources } from "../../common/resources.js";
import type { JobSpec, StepSpec } from "../../process/jobs/job-spec.js";
import type { AccountConfig, QueueConfig } from "../../version/cluster-config.js";
import { makeJobId, makeSpec, QUEUE } from "../leader/leader-cell.js";

/** A log-normal distribution: its mean, the standard deviation of the logarithm, and an upper bound. */
interface Distribution {
    readonly mean: number;
    readonly sigma: number;
    readonly max: number;
}

/** A class of jobs. */
export interface LoadClass {
    readonly queue: QueueConfig;
    readonly arrivalsPerSecond: number;
    /** Worth of an average job to its caller when it ends in time; a late one is worth a fifth of that. */
    readonly worth: number;
    readonly steps: number;
    readonly width: Distribution;
    readonly cpuMillis: Distribution;
    readonly memoryMib: Distribution;
    readonly runMs: Distribution;
    /** Standard deviation of the logarithm of the estimate's error factor. */
    readonly estimateSigma: number;
    readonly gangShare: number;
    readonly checkpointingShare: number;
    readonly failingShare: number;
    readonly allowedShare: number;
    /** Share of the steps of which each worker may run at most one task; 0 if omitted. */
    readonly apartShare?: number;
    /** Client account that submits all its jobs, if the profile has accounts; otherwise all accounts do in turn. */
    readonly account?: string;
    /** Period in which the arrival rate is multiplied by a factor. */
    readonly burst?: { readonly from: Millis; readonly to: Millis; readonly factor: number; };
}

/** A load on a cluster. */
export interface LoadProfile {
    readonly workers: number;
    readonly capacity: Resources;
    /** Number of nodes that can send requests to the advice service. */
    readonly nodes: number;
    readonly durationMs: Millis;
    readonly classes: readonly LoadClass[];
    /** How many times longer than its policy's figures the advice service takes; 1 if omitted. */
    readonly adviceSlowness?: number;
    /** Time that a worker takes to stop a run; 400 if omitted. */
    readonly stopMs?: Millis;
    /** What a run that saves its progress loses when it is stopped and resumed; unknown if omitted. */
    readonly resumeCostMs?: Millis;
    /** When most nodes are lost for the rest of the load, and how many can send requests after it. */
    readonly nodeLoss?: NodeLoss;
    /** Classes whose jobs come on top of an otherwise unchanged load. */
    readonly extraClasses?: readonly LoadClass[];
    /** Client accounts; undefined for anonymous jobs. */
    readonly accounts?: readonly AccountConfig[];
}

/** A loss of most nodes. */
export interface NodeLoss {
    readonly at: Millis;
    readonly remaining: number;
    /** Time without a leader; if omitted, the leader is on a node that remains. */
    readonly vacancyMs?: Millis;
}

/** A job to be submitted. */
export interface LoadJob {
    readonly number: number;
    readonly kind: LoadClass;
    readonly at: Millis;
    readonly spec: JobSpec;
    /** Actual run times of its steps. */
    readonly runMs: readonly Millis[];
    readonly worth: number;
}

const WARM_UP_DRAWS = 1_000;
/** Extra jobs must not change the draws of the others. */
const EXTRA_SEED_OFFSET = 1_000_003;
/** Validity of permits. */
export const VALID_MS: Millis = 2_500;

/** Builds the queue of a class from defaults and the given changes. */
export function makeQueue(name: string, change: Partial<QueueConfig>): QueueConfig {
    return { ...QUEUE, name, pathPrefix: `/${name}/`, maxAttempts: 4, ...change };
}

/**
 * Three different queues that together demand nine tenths of all processors: quick checks, large gangs, and
 * wide steps of preemptible tasks. During a burst of gangs the demand exceeds the capacity.
 */
export const SCARCE_LOAD: LoadProfile = {
    workers: 126,
    capacity: { cpuMillis: 64_000, memoryMib: 262_144, accelerators: 0 },
    nodes: 32,
    durationMs: 30_000,
    classes: [
        {
            queue: makeQueue("gangs", {
                priority: 1,
                stretch: 2.2,
                targetMs: 1_000,
                advice: { decideMs: 494, perWorkerMs: 7.15, validMs: VALID_MS },
            }),
            arrivalsPerSecond: 2.19,
            worth: 4.35,
            steps: 1.2,
            width: { mean: 13, sigma: 0.6, max: 64 },
            cpuMillis: { mean: 18_000, sigma: 0.4, max: 30_000 },
            memoryMib: { mean: 68_000, sigma: 0.5, max: 140_000 },
            runMs: { mean: 6_200, sigma: 0.5, max: 16_000 },
            estimateSigma: 0.2,
            gangShare: 1,
            checkpointingShare: 0.5,
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
            arrivalsPerSecond: 2.85,
            worth: 2.08,
            steps: 1.5,
            width: { mean: 15, sigma: 0.6, max: 76 },
            cpuMillis: { mean: 11_000, sigma: 0.45, max: 33_000 },
            memoryMib: { mean: 41_000, sigma: 0.6, max: 120_000 },
            runMs: { mean: 3_400, sigma: 0.5, max: 8_400 },
            estimateSigma: 0.2,
            gangShare: 0,
            checkpointingShare: 0.8,
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
            arrivalsPerSecond: 20.2,
            worth: 0.41,
            steps: 1,
            width: { mean: 3.1, sigma: 0.8, max: 19 },
            cpuMillis: { mean: 16_000, sigma: 0.45, max: 47_000 },
            memoryMib: { mean: 45_000, sigma: 0.6, max: 140_000 },
            runMs: { mean: 1_000, sigma: 0.5, max: 2_500 },
            estimateSigma: 0.5,
            gangShare: 0.3,
            checkpointingShare: 0,
            failingShare: 0.05,
            allowedShare: 0.7,
        },
    ],
};

/**
 * Three queues on 32 workers that demand four fifths of all processors, and all of them during a burst of gangs. Six
 * of eight nodes are lost, and the two that remain can send about as many requests as the steps need.
 */
export const FEW_CALLERS_LOAD: LoadProfile = {
    workers: 32,
    capacity: { cpuMillis: 64_000, memoryMib: 131_072, accelerators: 0 },
    nodes: 8,
    durationMs: 34_000,
    nodeLoss: { at: 12_000, remaining: 2 },
    classes: [
        {
            queue: makeQueue("gangs", {
                priority: 1,
                stretch: 2.2,
                targetMs: 1_000,
                advice: { decideMs: 410, perWorkerMs: 5.9, validMs: VALID_MS },
            }),
            arrivalsPerSecond: 1.27,
            worth: 8.55,
            steps: 1.2,
            width: { mean: 6.4, sigma: 0.6, max: 32 },
            cpuMillis: { mean: 18_000, sigma: 0.4, max: 30_000 },
            memoryMib: { mean: 19_000, sigma: 0.5, max: 37_000 },
            runMs: { mean: 5_000, sigma: 0.5, max: 12_000 },
            estimateSigma: 0.2,
            gangShare: 1,
            checkpointingShare: 0.5,
            failingShare: 0.05,
            allowedShare: 0.35,
            burst: { from: 6_000, to: 30_000, factor: 1.5 },
        },
        {
            queue: makeQueue("rows", {
                priority: 2,
                stretch: 4,
                targetMs: 3_000,
                advice: { decideMs: 82, perWorkerMs: 1.2, validMs: VALID_MS },
            }),
            arrivalsPerSecond: 3.05,
            worth: 2.22,
            steps: 1.5,
            width: { mean: 10, sigma: 0.8, max: 60 },
            cpuMillis: { mean: 3_900, sigma: 0.45, max: 12_000 },
            memoryMib: { mean: 7_200, sigma: 0.6, max: 22_000 },
            runMs: { mean: 3_400, sigma: 0.5, max: 8_400 },
            estimateSigma: 0.2,
            gangShare: 0,
            checkpointingShare: 0.8,
            failingShare: 0.005,
            allowedShare: 0.45,
            apartShare: 0.12,
        },
        {
            queue: makeQueue("checks", {
                priority: 0,
                stretch: 1.5,
                targetMs: 250,
                advice: { decideMs: 12, perWorkerMs: 0.17, validMs: VALID_MS },
            }),
            arrivalsPerSecond: 21.6,
            worth: 0.44,
            steps: 1,
            width: { mean: 2, sigma: 0.8, max: 12 },
            cpuMillis: { mean: 5_600, sigma: 0.45, max: 17_000 },
            memoryMib: { mean: 8_000, sigma: 0.6, max: 24_000 },
            runMs: { mean: 1_000, sigma: 0.5, max: 2_500 },
            estimateSigma: 0.5,
            gangShare: 0.3,
            checkpointingShare: 0,
            failingShare: 0.05,
            allowedShare: 0.7,
        },
    ],
};

/** Generates the jobs of a load, in order of arrival; those of extra classes come last. */
export function pickJobs(profile: LoadProfile, seed: number): readonly LoadJob[] {
    const { classes, extraClasses = [], durationMs } = profile;
    const jobs = pickJobsOf(classes, { durationMs, seed, firstNumber: 1 });
    const extra = { durationMs, seed: seed + EXTRA_SEED_OFFSET, firstNumber: jobs.length + 1 };
    return [...jobs, ...pickJobsOf(extraClasses, extra)];
}

function pickJobsOf(
    classes: readonly LoadClass[],
    { durationMs, seed, firstNumber }: Readonly<Record<"durationMs" | "seed" | "firstNumber", number>>,
): readonly LoadJob[] {
    const random = createWarmRandom(seed);
    const arrivals = classes.flatMap(kind =>
        pickArrivals(kind, durationMs, random).map(at => ({ kind, at }))
    );
    arrivals.sort((left, right) => left.at - right.at);
    return arrivals.map(({ kind, at }, index) => pickJob(kind, at, firstNumber + index, random));
}

/** Creates a generator past its first draws, which are much alike for neighbouring seeds. */
function createWarmRandom(seed: number): Random {
    const random = createRandom(seed);
    for (let draw = 0; draw < WARM_UP_DRAWS; draw++) {
        random.pickFraction();
    }
    return random;
}

function pickArrivals(kind: LoadClass, durationMs: Millis, random: Random): readonly Millis[] {
    const { arrivalsPerSecond, burst } = kind;
    const times: Millis[] = [];
    let at = 0;
    for (;;) {
        const factor = burst !== undefined && at >= burst.from && at < burst.to ? burst.factor : 1;
        at += -Math.log(1 - random.pickFraction()) / (arrivalsPerSecond * factor) * 1_000;
        if (at >= durationMs) {
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
        savesCheckpoints: random.pickFraction() < kind.checkpointingShare,
        ...kind.apartShare !== undefined && random.pickFraction() < kind.apartShare && { maxPerWorker: 1 },
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

function pickFrom({ mean, sigma, max }: Distribution, random: Random): number {
    // Corrects for the mean of a log-normal distribution, which lies above its median.
    return Math.min(max, mean * Math.exp(sigma * pickNormal(random) - sigma ** 2 / 2));
}

function pickNormal(random: Random): number {
    const radius = Math.sqrt(-2 * Math.log(1 - random.pickFraction()));
    return radius * Math.cos(2 * Math.PI * random.pickFraction());
}
