/** The reason that is reported for each state of a waiting step. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { StepPermits } from "../../process/dispatch/permits.js";
import { buildJob, buildOccurrence } from "../../process/jobs/build-job.js";
import type { StepSpec } from "../../process/jobs/job-spec.js";
import type { Step } from "../../process/jobs/job.js";
import { RunPlace } from "../../process/leader/run-view.js";
import type { RunView } from "../../process/leader/run-view.js";
import { findWaitCause } from "../../process/leader/wait-cause.js";
import type { WaitingState } from "../../process/leader/wait-cause.js";
import { makeJobId, makeSpec } from "./leader-cell.js";

const NOW = 100_000;
const VALID_MS = 2_500;
const CAPACITY = { poolUsable: 3, usable: 2, places: 2, permittedPlaces: 2, mostTakenBy: undefined };
const RUN: RunView = {
    place: RunPlace.nowhere,
    isExecuting: false,
    isInherited: false,
    ageMs: undefined,
    isListed: true,
    isReachable: true,
    isAdopted: true,
    leaseLeftMs: 4_000,
};

function makeSteps(...changes: readonly Partial<StepSpec>[]): readonly Step[] {
    const spec = makeSpec(...changes);
    const job = buildJob({ type: "accepted", jobId: makeJobId(1), queue: "batch", spec, at: 0 });
    return buildOccurrence(job, spec, 0).steps;
}

/** Makes a job's steps and returns the last one, with its first tasks assigned. */
function makeLastStep(assigned: number, ...changes: readonly Partial<StepSpec>[]): Step {
    const step = makeSteps(...changes).at(-1);
    assert(step !== undefined);
    for (const task of step.tasks.getAll().slice(0, assigned)) {
        Object.assign(task, { state: "assigned", workerId: "w1" });
    }
    step.waiting -= assigned;
    step.assigned += assigned;
    return step;
}

/** Makes permits for two of four workers, from an answer at the given time. */
function makePermits(answeredAt: number): StepPermits {
    const permits = new StepPermits();
    const granted = [{ workerId: "w1", token: "t" }, { workerId: "w2", token: "t" }];
    permits.startRequest(answeredAt - 100, 4);
    permits.endRequest();
    permits.accept(["w1", "w2", "w3", "w4"], granted, answeredAt, VALID_MS);
    return permits;
}

function addRequest(permits: StepPermits, since: number, nodeName?: string): StepPermits {
    permits.startRequest(since, 8);
    if (nodeName !== undefined) {
        permits.observeSent(nodeName, since + 50);
    }
    return permits;
}

/** Makes a step whose first task was lost with several workers, the first of which crashed. */
function makeLostStep(losses: number, isGang = false): Step {
    const step = makeLastStep(0, { taskCount: 2, isGang });
    const task = step.tasks.get(0);
    assert(task !== undefined);
    for (let run = 1; run <= losses; run++) {
        task.losses = [...task.losses, { workerId: `w${run}`, run, isCrash: run === 1, isEarly: true }];
    }
    return step;
}

function makeFailed(): StepPermits {
    const permits = new StepPermits();
    permits.observeFailure(NOW - 400);
    permits.observeFailure(NOW - 200);
    return permits;
}

describe("findWaitCause", () => {
    const record = { movedAt: undefined, refusals: 17, lastRefusal: { workerId: "w2", reason: "old" } };
    const gang = makeLastStep(0, { taskCount: 8, isGang: true });
    const cases: {
        name: string;
        state: Partial<WaitingState>;
        expected: Readonly<Record<string, unknown>>;
    }[] = [
        { name: "a missing queue", state: { hasQueue: false }, expected: { reason: "queueMissing" } },
        {
            name: "an earlier step",
            state: { step: makeLastStep(0, { taskCount: 3 }, { after: [0] }) },
            expected: { reason: "earlierStep", earlierDone: 0, earlierTasks: 3 },
        },
        {
            name: "members of a gang that have not ended yet",
            state: { step: makeLastStep(1, { taskCount: 3, isGang: true }) },
            expected: { reason: "gangMembers", task: `${makeJobId(1)}.0.0.0`, workerId: "w1" },
        },
        {
            name: "a run that no worker has",
            state: { step: makeLastStep(1, {}) },
            expected: { reason: "assigned", place: "nowhere", workerId: "w1" },
        },
        {
            name: "a run that waits for its order",
            state: {
                step: makeLastStep(2, { taskCount: 2 }),
                showRun: ({ index }) => ({
                    ...RUN,
                    place: index === 0 ? RunPlace.running : RunPlace.ordered,
                    isExecuting: index === 0,
                    ageMs: 700,
                }),
            },
            expected: { reason: "assigned", task: `${makeJobId(1)}.0.0.1`, place: "ordered", runAgeMs: 700 },
        },
        {
            name: "an unavailable store",
            state: { storeAway: true },
            expected: { reason: "noPass", storeAway: true, mayOrder: true },
        },
        {
            name: "a leader that may not send orders",
            state: { mayOrder: false },
            expected: { reason: "noPass", storeAway: false, mayOrder: false },
        },
        {
            name: "an advice request that was never made",
            state: { permits: new StepPermits() },
            expected: { reason: "notAsked", questions: 0 },
        },
        {
            name: "an advice request that no node has taken",
            state: { permits: addRequest(new StepPermits(), NOW - 500) },
            expected: {
                reason: "questionWaiting",
                questionMs: 500,
                questionWorkers: 8,
                askedNode: undefined,
            },
        },
        {
            name: "an advice request that a node has sent",
            state: { permits: addRequest(new StepPermits(), NOW - 500, "node-7") },
            expected: { reason: "questionUnderWay", questionMs: 500, askedMs: 450, askedNode: "node-7" },
        },
        {
            name: "an old advice request rather than full workers",
            state: {
                permits: addRequest(makePermits(NOW - 90_000), NOW - 80_000, "node-7"),
                capacity: { ...CAPACITY, places: 0, permittedPlaces: 0 },
            },
            expected: { reason: "questionUnderWay", questionMs: 80_000, allowed: 2, denied: 2, questions: 2 },
        },
        {
            name: "failed advice requests",
            state: { permits: makeFailed() },
            expected: { reason: "questionFailed", questionFailures: 2 },
        },
        {
            name: "allowed workers that are gone",
            state: {
                permits: makePermits(NOW),
                capacity: { ...CAPACITY, usable: 0, places: 0, permittedPlaces: 0 },
            },
            expected: { reason: "noneUsable", allowed: 2, denied: 2, poolUsable: 3, usable: 0 },
        },
        {
            name: "allowed workers that are full",
            state: {
                permits: makePermits(NOW),
                capacity: { ...CAPACITY, places: 0, permittedPlaces: 0, mostTakenBy: "x" },
                reservingGang: gang,
            },
            expected: { reason: "noRoom", usable: 2, mostTakenBy: "x", keeper: gang.name },
        },
        {
            name: "expired permits",
            state: { permits: makePermits(NOW - 9_000), capacity: { ...CAPACITY, permittedPlaces: 0 } },
            expected: { reason: "permitsExpired", questions: 1, places: 2 },
        },
        {
            name: "expired permits that have been requested again",
            state: {
                permits: addRequest(makePermits(NOW - 9_000), NOW - 500, "node-7"),
                capacity: { ...CAPACITY, permittedPlaces: 0 },
            },
            expected: { reason: "questionUnderWay", questions: 2, places: 2 },
        },
        {
            name: "refused orders",
            state: { permits: makePermits(NOW), record },
            expected: { reason: "ordersRefused", refusals: 17, refusal: "old", refusedBy: "w2" },
        },
        {
            name: "a gang that reserves capacity",
            state: { reservingGang: gang },
            expected: { reason: "gangKeepsRoom", keeper: gang.name },
        },
        {
            name: "a task in backoff after its losses",
            state: { step: makeLostStep(3), isPaused: () => true },
            expected: { reason: "lossPause", losses: 3, crashes: 1 },
        },
        {
            name: "a member of a gang in backoff after its losses",
            state: { step: makeLostStep(3, true), isPaused: ({ index }) => index === 0 },
            expected: { reason: "lossPause", losses: 3, crashes: 1 },
        },
        {
            name: "a task that needs an idle worker to itself",
            state: { step: makeLostStep(2) },
            expected: { reason: "noIdleWorker", losses: 2, crashes: 1 },
        },
        {
            name: "a queue whose tasks crash workers",
            state: {
                backlog: {
                    steps: 30,
                    probes: 4,
                    suspects: 1,
                    timelyTasks: 50,
                    objectiveMs: 2_000,
                    startsPerS: 10,
                    workers: 3,
                },
            },
            expected: { reason: "probation", backlogSteps: 30, backlogProbes: 4, probationWorkers: 3 },
        },
        {
            name: "a used quota",
            state: { quotaPlaces: 0 },
            expected: { reason: "quotaUsed", quotaPlaces: 0 },
        },
        { name: "steps that are ranked ahead", state: {}, expected: { reason: "othersFirst" } },
        {
            name: "capacity that a safeguard keeps",
            state: { withholding: { safeguard: "probation", since: NOW - 1_500 } },
            expected: { reason: "withheld", safeguard: "probation", withheldMs: 1_500 },
        },
    ];
    for (const { name, state, expected } of cases) {
        it(`reports ${name}`, () => {
            const { reason, fields } = findWaitCause({
                step: makeLastStep(0, { taskCount: 2 }),
                hasQueue: true,
                storeAway: false,
                mayOrder: true,
                permits: undefined,
                capacity: CAPACITY,
                record: undefined,
                quotaPlaces: Infinity,
                backlog: undefined,
                reservingGang: undefined,
                withholding: undefined,
                showRun: () => RUN,
                isPaused: () => false,
                now: NOW,
                ...state,
            });
            const line: Readonly<Record<string, unknown>> = { reason, ...fields };
            assert.deepEqual(
                Object.fromEntries(Object.keys(expected).map(key => [key, line[key]])),
                expected,
            );
        });
    }
});
