/** Tests which waiting work is deferred for a gang before it. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { isDeferred } from "../../process/dispatch/backfill.js";
import { rankStep } from "../../process/dispatch/urgency.js";
import { JobRegistry } from "../../process/jobs/job-registry.js";
import type { StepSpec } from "../../process/jobs/job-spec.js";
import { makeJobId, makeSpec, QUEUE } from "../leader/leader-cell.js";

const NOW = 100_000;
/** Objective of the queue's jobs of one step: stretch times the estimate, plus the target. */
const OBJECTIVE_MS = 4_000;
const ESTIMATE_MS = 1_000;

interface DeferralCase {
    readonly name: string;
    readonly ageMs?: number;
    readonly priority?: number;
    readonly blockedPriority?: number;
    readonly steps?: readonly Partial<StepSpec>[];
    readonly expected: boolean;
}

const cases: readonly DeferralCase[] = [
    { name: "defers single tasks that can start much later", expected: true },
    { name: "does not defer them while no gang lacks capacity", blockedPriority: Infinity, expected: false },
    { name: "does not defer them for a gang of a later queue", blockedPriority: 3, expected: false },
    { name: "does not defer those of the gang's own queue", priority: 1, expected: false },
    { name: "does not defer them once little of their slack is left", ageMs: 2_000, expected: false },
    { name: "does not defer late ones, which come last anyway", ageMs: 3_500, expected: false },
    { name: "does not defer gangs", steps: [{ isGang: true }], expected: false },
    { name: "does not defer long-running tasks", steps: [{ isLongRunning: true }], expected: false },
    {
        name: "accounts for the steps that depend on it",
        steps: [{ estimateMs: 500 }, { estimateMs: 9_500, after: [0] }],
        ageMs: 20_000,
        expected: false,
    },
];

describe("backfill beside a gang that lacks capacity", () => {
    for (const { name, ageMs = 0, priority = 2, blockedPriority = 1, steps = [{}], expected } of cases) {
        it(name, () => {
            const registry = new JobRegistry();
            const spec = makeSpec(...steps.map(step => ({ estimateMs: ESTIMATE_MS, ...step })));
            const at = NOW - ageMs;
            registry.apply({ type: "accepted", jobId: makeJobId(1), queue: QUEUE.name, spec, at });
            const [step] = registry.listRunnable();
            assert(step !== undefined);
            const queue = { ...QUEUE, priority, stretch: 3, targetMs: OBJECTIVE_MS - 3 * ESTIMATE_MS };
            assert.equal(isDeferred(rankStep(step, queue, NOW), blockedPriority), expected);
        });
    }
});
