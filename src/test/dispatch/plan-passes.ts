/**
 * Planning passes over a single waiting step, with its requests to the advice service answered by the test.
 */
import type { Millis } from "../../common/clock.js";
import { StepPermits } from "../../process/dispatch/permits.js";
import { planStarts } from "../../process/dispatch/planner.js";
import { PreemptionAttempts } from "../../process/dispatch/preemption-attempts.js";
import { rankStep } from "../../process/dispatch/urgency.js";
import type { WorkerState } from "../../process/dispatch/worker-state.js";
import { JobRegistry } from "../../process/jobs/job-registry.js";
import type { StepSpec } from "../../process/jobs/job-spec.js";
import type { Permit } from "../../process/ports/task-worker-port.js";
import type { AdvicePolicy } from "../../version/cluster-config.js";
import { makeJobId, makeSpec, QUEUE } from "../leader/leader-cell.js";
import { makePlanInput } from "./plan-input.js";

/** Scenario of the passes. */
export interface PassesCase {
    readonly step: Partial<StepSpec>;
    readonly policy: AdvicePolicy;
    /** Workers whose permits have expired. */
    readonly allowedBefore?: readonly string[];
    /** Returns the workers that are usable at a time. */
    readonly listWorkers: (now: Millis) => readonly WorkerState[];
    /** Returns the workers that the service allows, of those named. */
    readonly answer: (workerIds: readonly string[], now: Millis) => readonly string[];
    readonly forMs: Millis;
}

/** Where and when the step's first task starts. */
export interface FirstStart {
    readonly workerId: string;
    readonly at: Millis;
}

/** Interval of passes while nothing happens, as with the leader's sweeps. */
const PASS_INTERVAL_MS: Millis = 100;

/**
 * Runs passes until a task starts.
 * @returns Undefined if none starts within `forMs`.
 */
export function runPasses(
    { step, policy, allowedBefore = [], listWorkers, answer, forMs }: PassesCase,
): FirstStart | undefined {
    const registry = new JobRegistry();
    registry.apply({ type: "accepted", jobId: makeJobId(1), queue: QUEUE.name, spec: makeSpec(step), at: 0 });
    const permits = new StepPermits();
    permits.accept(allowedBefore, makePermits(allowedBefore), -policy.validMs, policy.validMs);
    const preemptionLooks = new PreemptionAttempts();
    const queue = { ...QUEUE, advice: policy };
    for (let now = 0; now < forMs; now += PASS_INTERVAL_MS) {
        const plan = planStarts(makePlanInput({
            waiting: [...registry.listRunnable()].map(waiting => rankStep(waiting, queue, now)),
            workersByPool: new Map([[QUEUE.pool, listWorkers(now)]]),
            getPermits: () => permits,
            freedCapacity: preemptionLooks,
            now,
        }));
        const [start] = plan.starts;
        if (start !== undefined) {
            return { workerId: start.worker.id, at: now };
        }
        const workerIds = plan.permitRequests[0]?.workerIds;
        if (workerIds !== undefined) {
            now += policy.decideMs + policy.perWorkerMs * workerIds.length;
            permits.accept(workerIds, makePermits(answer(workerIds, now)), now, policy.validMs);
        }
    }
    return undefined;
}

function makePermits(workerIds: readonly string[]): readonly Permit[] {
    return workerIds.map(workerId => ({ workerId, token: "token" }));
}
