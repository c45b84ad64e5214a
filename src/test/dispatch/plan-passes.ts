/** Planning passes over one step that waits alone, with its questions to the advice service answered by a test. */
import type { Millis } from "../../common/clock.js";
import { StepPermits } from "../../process/dispatch/permits.js";
import { planStarts } from "../../process/dispatch/planner.js";
import { PreemptionLooks } from "../../process/dispatch/preemption-looks.js";
import { NO_PROBATION } from "../../process/dispatch/probation.js";
import { rankStep } from "../../process/dispatch/urgency.js";
import type { WorkerState } from "../../process/dispatch/worker-state.js";
import { JobRegistry } from "../../process/jobs/job-registry.js";
import type { StepSpec } from "../../process/jobs/job-spec.js";
import type { Permit } from "../../process/ports/task-worker-port.js";
import type { AdvicePolicy } from "../../version/cluster-config.js";
import { makeJobId, makeSpec, QUEUE } from "../leader/leader-cell.js";

/** What the passes are made over. */
export interface PassesCase {
    readonly step: Partial<StepSpec>;
    readonly policy: AdvicePolicy;
    /** Workers that were allowed so long ago that their permits have run out. */
    readonly allowedBefore?: readonly string[];
    /** Workers that are usable at a time. */
    readonly listWorkers: (now: Millis) => readonly WorkerState[];
    /** Workers that the service allows, of those named. */
    readonly answer: (workerIds: readonly string[], now: Millis) => readonly string[];
    readonly forMs: Millis;
}

/** Where and when the step's first task starts. */
export interface FirstStart {
    readonly workerId: string;
    readonly at: Millis;
}

/** Time between two passes where nothing happens, as the leader's sweeps have it. */
const PASS_EVERY_MS: Millis = 100;

/**
 * Runs passes until something starts.
 * @returns Undefined where nothing starts in the time given.
 */
export function runPasses(
    { step, policy, allowedBefore = [], listWorkers, answer, forMs }: PassesCase,
): FirstStart | undefined {
    const book = new JobRegistry();
    book.apply({ type: "accepted", jobId: makeJobId(1), queue: QUEUE.name, spec: makeSpec(step), at: 0 });
    const permits = new StepPermits();
    permits.accept(allowedBefore, makePermits(allowedBefore), -policy.validMs, policy.validMs);
    const preemptionLooks = new PreemptionLooks();
    const queue = { ...QUEUE, advice: policy };
    for (let now = 0; now < forMs; now += PASS_EVERY_MS) {
        const plan = planStarts({
            waiting: [...book.listRunnable()].map(waiting => rankStep(waiting, queue, now)),
            workersByPool: new Map([[QUEUE.pool, listWorkers(now)]]),
            unheardByPool: new Map(),
            getPermits: () => permits,
            preemptionLooks,
            getClaimedCpu: () => 0,
            getAllowedShare: () => 0.4,
            isAdviceShort: false,
            listRefusing: () => new Set(),
            probation: NO_PROBATION,
            isPaused: () => false,
            now,
        });
        const [start] = plan.starts;
        if (start !== undefined) {
            return { workerId: start.worker.id, at: now };
        }
        const workerIds = plan.wishes[0]?.workerIds;
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
