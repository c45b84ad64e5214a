/** The fixed fault plan that CI runs; `npm run soak -- --short` runs it by hand. */
import type { PlannedFault } from "./fault-plan.js";

export const SHORT_LENGTH_MS = 3_000;

/** One node is killed, one is suspended and one is stopped, while the store and workers fail in several ways. */
export const SHORT_PLAN: readonly PlannedFault[] = [
    { kind: "nodeKilled", atMs: 300, forMs: 0, target: 0 },
    { kind: "storeAnswersLost", atMs: 600, forMs: 500, target: 1 },
    { kind: "workerReborn", atMs: 900, forMs: 0, target: 1 },
    { kind: "storeBusy", atMs: 1_300, forMs: 400, target: 0 },
    { kind: "nodeFrozen", atMs: 1_500, forMs: 900, target: 1 },
    { kind: "workerPathReset", atMs: 1_800, forMs: 300, target: 0 },
    { kind: "nodeStopped", atMs: 2_000, forMs: 0, target: 2 },
    { kind: "configChanged", atMs: 2_200, forMs: 0, target: 0 },
];
