/** A load of three queues that compete for too little room. */
import { makeQueue, VALID_MS } from "./load-profile.js";
import type { LoadProfile } from "./load-profile.js";

/**
 * Three queues that want more than all processors for seconds: gangs that take nearly a third of a worker a member, wide
 * steps of small tasks that save their progress, and quick checks. Stops take almost a second, and estimates of the long
 * queues say little.
 */
export const CROWDED_LOAD: LoadProfile = {
    workers: 123,
    capacity: { cpuMillis: 32_000, memoryMib: 65_536, accelerators: 0 },
    nodes: 20,
    durationMs: 30_000,
    stopMs: 900,
    resumeCostMs: 1_400,
    classes: [
        {
            queue: makeQueue("gangs", {
                priority: 1,
                stretch: 2.2,
                targetMs: 1_000,
                maxAttempts: 3,
                advice: { decideMs: 799, perWorkerMs: 8.06, validMs: VALID_MS },
            }),
            arrivalsPerSecond: 1.5,
            worth: 8.69,
            steps: 1.2,
            width: { mean: 16, sigma: 0.6, max: 80 },
            cpuMillis: { mean: 9_000, sigma: 0.4, max: 15_000 },
            memoryMib: { mean: 17_000, sigma: 0.5, max: 33_000 },
            runMs: { mean: 6_200, sigma: 0.5, max: 16_000 },
            estimateSigma: 0.9,
            gangShare: 1,
            checkpointingShare: 0.5,
            failingShare: 0.02,
            allowedShare: 0.35,
            burst: { from: 18_000, to: 22_000, factor: 1.7 },
        },
        {
            queue: makeQueue("rows", {
                priority: 2,
                stretch: 4,
                targetMs: 3_000,
                maxAttempts: 2,
                advice: { decideMs: 186, perWorkerMs: 1.82, validMs: VALID_MS },
            }),
            arrivalsPerSecond: 5.4,
            worth: 2.62,
            steps: 1.5,
            width: { mean: 25, sigma: 0.8, max: 150 },
            cpuMillis: { mean: 3_500, sigma: 0.45, max: 10_000 },
            memoryMib: { mean: 6_400, sigma: 0.6, max: 19_000 },
            runMs: { mean: 2_700, sigma: 0.5, max: 6_800 },
            estimateSigma: 0.9,
            gangShare: 0,
            checkpointingShare: 0.8,
            failingShare: 0.01,
            allowedShare: 0.45,
            apartShare: 0.12,
            burst: { from: 4_000, to: 10_000, factor: 2.4 },
        },
        {
            queue: makeQueue("checks", {
                priority: 0,
                stretch: 1.5,
                targetMs: 250,
                maxAttempts: 2,
                advice: { decideMs: 20.4, perWorkerMs: 0.21, validMs: VALID_MS },
            }),
            arrivalsPerSecond: 27,
            worth: 0.41,
            steps: 1,
            width: { mean: 3.2, sigma: 0.8, max: 19 },
            cpuMillis: { mean: 5_000, sigma: 0.45, max: 15_000 },
            memoryMib: { mean: 9_100, sigma: 0.6, max: 27_000 },
            runMs: { mean: 1_000, sigma: 0.5, max: 2_500 },
            estimateSigma: 0.2,
            gangShare: 0.3,
            checkpointingShare: 0,
            failingShare: 0.02,
            allowedShare: 0.7,
            burst: { from: 6_000, to: 10_000, factor: 2 },
        },
    ],
};
