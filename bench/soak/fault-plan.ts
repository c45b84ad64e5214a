/** What goes wrong when, from a seed: faults in series, overlapping, and the same one twice. Pure. */
import type { Random } from "../../src/common/random.js";

/** Kinds of faults. */
export const FaultKind = {
    /** A node's process is killed. */
    nodeKilled: "nodeKilled",
    /** All nodes are killed at the same moment. */
    allKilled: "allKilled",
    /** A node is told to stop and is started again. */
    nodeStopped: "nodeStopped",
    /** A node stands still and goes on. */
    nodeFrozen: "nodeFrozen",
    /** A node is told that its settings file has changed. */
    nodeReloaded: "nodeReloaded",
    /** A node's connections to the store are delayed, reset, silent, or lose answers. */
    storePathDelayed: "storePathDelayed",
    storePathReset: "storePathReset",
    storePathSilent: "storePathSilent",
    storeAnswersLost: "storeAnswersLost",
    /** The store refuses every call. */
    storeBusy: "storeBusy",
    /** Writes are carried out seconds after their call was given up. */
    storeLate: "storeLate",
    /** The store forgets its history: watches start anew. */
    storeCompacted: "storeCompacted",
    workerPathSilent: "workerPathSilent",
    workerPathReset: "workerPathReset",
    workerAnswersLost: "workerAnswersLost",
    /** A worker dies; a new life answers at its address. */
    workerReborn: "workerReborn",
    /** A worker leaves and comes back. */
    workerDrained: "workerDrained",
    advicePathSilent: "advicePathSilent",
    /** The operator puts a newer configuration in force. */
    configChanged: "configChanged",
} as const;
export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

/** One fault. */
export interface PlannedFault {
    readonly kind: FaultKind;
    readonly atMs: number;
    readonly forMs: number;
    /** Which node or worker, modulo how many there are. */
    readonly target: number;
}

/** What a plan is made for. */
export interface PlanScope {
    readonly lengthMs: number;
    /** Mean time between the begins of two faults. */
    readonly gapMs: number;
}

const LONGEST_FAULT_MS = 3_000;
const SHORTEST_FAULT_MS = 150;
const TARGETS = 1_000;
/** One fault in so many comes again a moment later, on top of itself. */
const REPEAT_ONE_IN = 5;
const REPEAT_SPREAD_MS = 400;

/**
 * Makes a plan.
 * @param random - Equal seeds give equal plans.
 * @param scope - How long and how dense.
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
            target: random.pickInt(TARGETS),
        };
        faults.push(fault);
        if (random.pickInt(REPEAT_ONE_IN) === 0) {
            faults.push({ ...fault, atMs: atMs + random.pickInt(REPEAT_SPREAD_MS) });
        }
        atMs += 1 + random.pickInt(2 * scope.gapMs);
    }
    return faults.sort((left, right) => left.atMs - right.atMs);
}
