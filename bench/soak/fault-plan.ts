/** Builds a seeded schedule of faults: consecutive, overlapping and repeated ones. */
import type { Random } from "../../src/common/random.js";

export const FaultKind = {
    /** A node's process is killed. */
    nodeKilled: "nodeKilled",
    /** All nodes are killed at the same moment. */
    allKilled: "allKilled",
    /** A node is stopped by SIGTERM and started again. */
    nodeStopped: "nodeStopped",
    /** A node is suspended for a while and resumes. */
    nodeFrozen: "nodeFrozen",
    /** A node is told by SIGHUP to reload its settings file. */
    nodeReloaded: "nodeReloaded",
    /** A node's connections to the store are delayed, reset, silent, or lose responses. */
    storePathDelayed: "storePathDelayed",
    storePathReset: "storePathReset",
    storePathSilent: "storePathSilent",
    storeAnswersLost: "storeAnswersLost",
    /** The store refuses every call. */
    storeBusy: "storeBusy",
    /** Writes are executed seconds after their caller gave up on them. */
    storeLate: "storeLate",
    /** The store compacts its history, so that watches must start again. */
    storeCompacted: "storeCompacted",
    workerPathSilent: "workerPathSilent",
    workerPathReset: "workerPathReset",
    workerAnswersLost: "workerAnswersLost",
    /** A worker dies; a new incarnation answers at its address. */
    workerReborn: "workerReborn",
    /** A worker is draining for a while. */
    workerDrained: "workerDrained",
    advicePathSilent: "advicePathSilent",
    /** The operator publishes a newer configuration. */
    configChanged: "configChanged",
} as const;
export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

export interface PlannedFault {
    readonly kind: FaultKind;
    readonly atMs: number;
    readonly forMs: number;
    /** Index of the node or worker, modulo their number. */
    readonly target: number;
}

export interface PlanScope {
    readonly lengthMs: number;
    /** Mean time between the starts of two faults. */
    readonly gapMs: number;
}

const LONGEST_FAULT_MS = 3_000;
const SHORTEST_FAULT_MS = 150;
const TARGET_RANGE = 1_000;
/** One fault in this many is repeated within REPEAT_SPREAD_MS, so that it may overlap with itself. */
const REPEAT_ONE_IN = 5;
const REPEAT_SPREAD_MS = 400;

/**
 * Builds a fault plan, in order of start times.
 * @param random - Source of randomness; equal seeds give equal plans.
 */
export function buildFaultPlan(random: Random, scope: PlanScope): readonly PlannedFault[] {
    const kinds = Object.values(FaultKind);
    const faults: PlannedFault[] = [];
    let atMs = random.pickInt(scope.gapMs);
    while (atMs < scope.lengthMs) {
        const fault: PlannedFault = {
            kind: kinds[random.pickInt(kinds.length)] ?? FaultKind.nodeKilled,
            atMs,
            forMs: SHORTEST_FAULT_MS + random.pickInt(LONGEST_FAULT_MS - SHORTEST_FAULT_MS),
            target: random.pickInt(TARGET_RANGE),
        };
        faults.push(fault);
        if (random.pickInt(REPEAT_ONE_IN) === 0) {
            faults.push({ ...fault, atMs: atMs + random.pickInt(REPEAT_SPREAD_MS) });
        }
        atMs += 1 + random.pickInt(2 * scope.gapMs);
    }
    return faults.sort((left, right) => left.atMs - right.atMs);
}
