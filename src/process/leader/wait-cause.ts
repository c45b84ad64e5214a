/** Determines why a step waits, from the leader's state at the time when a log line about the step is due. */
import type { Millis } from "../../common/clock.js";
import type { OpenAdviceRequest, StepPermits } from "../dispatch/permits.js";
import { countNeeded } from "../dispatch/pool-view.js";
import type { RiskyBacklog } from "../dispatch/probation.js";
import { isStepReady, TaskState } from "../jobs/job.js";
import type { Step, Task } from "../jobs/job.js";
import { countCrashes, isSuspect } from "../jobs/worker-losses.js";
import type { LogValue } from "../telemetry.js";
import type { RunView } from "./run-view.js";
import type { StepCapacity } from "./step-capacity.js";
import type { StepRecord } from "./step-history.js";
import type { Withholding } from "./withheld-steps.js";

/** Why a step waits. */
export const WaitReason = {
    /** Its queue has no settings, neither in the configuration in force nor recorded ones. */
    queueMissing: "queueMissing",
    /** A step that it depends on is not done, and nothing of its job runs. */
    earlierStep: "earlierStep",
    /** Some members of the gang have ended and others have not. */
    gangMembers: "gangMembers",
    /** Its tasks are assigned, and at least one is not known to be executing. */
    assigned: "assigned",
    /** No planning pass is made: the store is unavailable, or this leader may not send orders. */
    noPass: "noPass",
    /** The advice service was not asked about it yet. */
    notAsked: "notAsked",
    /** Its client account uses all that its quota allows. */
    quotaUsed: "quotaUsed",
    /** Its advice request is queued until a node can send it. */
    questionWaiting: "questionWaiting",
    /** A node was given its advice request and has not answered. */
    questionUnderWay: "questionUnderWay",
    /** Its last advice request failed. */
    questionFailed: "questionFailed",
    /** The advice service denied all workers that it was asked about. */
    noneAllowed: "noneAllowed",
    /** None of the workers that are permitted and suitable is usable now. */
    noneUsable: "noneUsable",
    /** The workers that may run it have no free capacity. */
    noRoom: "noRoom",
    /** They have free capacity, but the permits for them have expired. */
    permitsExpired: "permitsExpired",
    /** Workers refused orders to start it. */
    ordersRefused: "ordersRefused",
    /** A more urgent gang reserves capacity that it can't use yet. */
    gangKeepsRoom: "gangKeepsRoom",
    /**
     * Its tasks were lost with their workers repeatedly, and pause until more is known about those workers.
     */
    lossPause: "lossPause",
    /**
     * Tasks of its queue have been crashing workers, so its steps start on few workers, one step at a time.
     */
    probation: "probation",
    /** Its tasks are suspected of crashing workers, and no worker is idle that could run one alone. */
    noIdleWorker: "noIdleWorker",
    /** Capacity is free, and a safeguard keeps it from the step. */
    withheld: "withheld",
    /** Only more urgent steps go before it. */
    othersFirst: "othersFirst",
} as const;
export type WaitReason = (typeof WaitReason)[keyof typeof WaitReason];

/** The leader's state concerning a step that waits. */
export interface WaitingState {
    readonly step: Step;
    /** Whether its queue has settings, in force or recorded. */
    readonly hasQueue: boolean;
    readonly storeAway: boolean;
    readonly mayOrder: boolean;
    /** Undefined if its queue needs no permits. */
    readonly permits: StepPermits | undefined;
    /** Undefined if its queue is missing. */
    readonly capacity: StepCapacity | undefined;
    readonly record: Readonly<StepRecord> | undefined;
    /** Number of its tasks that the quota of its client account allows to start now. */
    readonly quotaPlaces: number;
    /** The waiting steps of its queue, if that queue's tasks crash workers. */
    readonly backlog: RiskyBacklog | undefined;
    /** A gang that reserved capacity in the last pass. */
    readonly reservingGang: Step | undefined;
    /** What kept free capacity from the step in the last pass. */
    readonly withholding: Withholding | undefined;
    /** Shows where a task's run is. */
    readonly showRun: (task: Task) => RunView;
    /** Whether a task must wait because it was lost with its workers repeatedly. */
    readonly isPaused: (task: Task) => boolean;
    readonly now: Millis;
}

/** Fields of a log line. */
export type WaitFields = Readonly<Record<string, LogValue>>;

/** Why a step waits, with the log fields that show it. */
export interface WaitCause {
    readonly reason: WaitReason;
    readonly fields: WaitFields;
}

/** Checks for one cause; undefined if it does not apply. */
type CauseFinder = (state: WaitingState) => WaitCause | undefined;

/**
 * Ordinary advice requests are answered well within this time. A longer one is reported as the cause, before
 * all later ones.
 */
const LONG_REQUEST_MS: Millis = 3_000;

/** In order of precedence: the first that applies is reported. */
const CAUSE_FINDERS: readonly CauseFinder[] = [
    findMissingQueue,
    findEarlierStep,
    findGangMembers,
    findAssigned,
    findNoPass,
    findLossPause,
    findProbation,
    findUsedQuota,
    findLongRequest,
    findLackOfAnswer,
    findLackOfWorkers,
    findLackOfIdleWorker,
    findLackOfCapacity,
    findLackOfPermits,
    findRefusals,
    findReservingGang,
    findWithholding,
];

/** Finds why a step waits; the cause is `othersFirst` if nothing else applies. */
export function findWaitCause(state: WaitingState): WaitCause {
    for (const find of CAUSE_FINDERS) {
        const cause = find(state);
        if (cause !== undefined) {
            return withCommonFields(cause, state);
        }
    }
    return withCommonFields(buildCause(WaitReason.othersFirst), state);
}

function buildCause(reason: WaitReason, fields: WaitFields = {}): WaitCause {
    return { reason, fields };
}

function withCommonFields({ reason, fields }: WaitCause, state: WaitingState): WaitCause {
    const { permits, capacity, record, withholding, storeAway, mayOrder, now } = state;
    return {
        reason,
        fields: {
            ...(storeAway || !mayOrder) && { storeAway, mayOrder },
            ...capacity && describeCapacity(capacity),
            ...permits && describePermits(permits, now),
            ...record && describeRefusals(record),
            ...withholding && {
                safeguard: withholding.safeguard,
                withheldMs: Math.round(now - withholding.since),
            },
            ...fields,
        },
    };
}

function findMissingQueue({ hasQueue }: WaitingState): WaitCause | undefined {
    return hasQueue ? undefined : buildCause(WaitReason.queueMissing);
}

function findEarlierStep({ step }: WaitingState): WaitCause | undefined {
    if (isStepReady(step)) {
        return undefined;
    }
    const earlier = step.spec.after
        .map(number => step.occurrence.steps[number])
        .find(other => other !== undefined && other.done < other.tasks.length);
    return buildCause(WaitReason.earlierStep, {
        earlierStep: earlier?.name,
        earlierDone: earlier?.done,
        earlierTasks: earlier?.tasks.length,
    });
}

function findGangMembers(state: WaitingState): WaitCause | undefined {
    const { step } = state;
    const isPartlyStarted = step.spec.isGang && step.repairRun === undefined && step.waiting > 0 &&
        step.assigned > 0;
    return isPartlyStarted ? buildCause(WaitReason.gangMembers, describeAssignedTask(state)) : undefined;
}

function findAssigned(state: WaitingState): WaitCause | undefined {
    return state.step.waiting > 0 ?
        undefined :
        buildCause(WaitReason.assigned, describeAssignedTask(state));
}

function findNoPass({ storeAway, mayOrder }: WaitingState): WaitCause | undefined {
    return !storeAway && mayOrder ? undefined : buildCause(WaitReason.noPass);
}

function findLossPause({ step, isPaused }: WaitingState): WaitCause | undefined {
    const paused = findWaitingTask(step, isPaused);
    const isBlocked = paused !== undefined &&
        (step.spec.isGang ||
            !step.tasks.hasUntouched() && findWaitingTask(step, task => !isPaused(task)) === undefined);
    return isBlocked ? buildCause(WaitReason.lossPause, describeLosses(paused)) : undefined;
}

function findLackOfIdleWorker({ step }: WaitingState): WaitCause | undefined {
    const suspect = findWaitingTask(step, isSuspect);
    return suspect && buildCause(WaitReason.noIdleWorker, describeLosses(suspect));
}

function findWaitingTask({ tasks }: Step, isWanted: (task: Task) => boolean): Task | undefined {
    return tasks.findIn(TaskState.waiting, isWanted);
}

function describeLosses(task: Task): WaitFields {
    return { task: task.name, losses: task.losses.length, crashes: countCrashes(task) };
}

function findProbation({ backlog }: WaitingState): WaitCause | undefined {
    return backlog && buildCause(WaitReason.probation, {
        backlogSteps: backlog.steps,
        backlogProbes: backlog.probes,
        probationWorkers: backlog.workers,
    });
}

function findUsedQuota({ step, quotaPlaces }: WaitingState): WaitCause | undefined {
    return quotaPlaces < countNeeded(step) ?
        buildCause(WaitReason.quotaUsed, { account: step.job.account, quotaPlaces }) :
        undefined;
}

function findLongRequest({ permits, now }: WaitingState): WaitCause | undefined {
    const request = permits?.getRequest();
    // A request that is withdrawn from the queue and made again is a new one; its step has wanted an answer
    // all the time.
    const since = permits?.getWantedSince() ?? request?.since ?? now;
    const isLong = request !== undefined && permits?.countFailures() === 0 &&
        now - since >= LONG_REQUEST_MS;
    return isLong ? buildRequestCause(request) : undefined;
}

/** Applies while no worker is allowed. */
function findLackOfAnswer({ permits }: WaitingState): WaitCause | undefined {
    if (permits === undefined || permits.countAllowed() > 0) {
        return undefined;
    }
    return findRequestCause(permits) ??
        buildCause(permits.countDenied() > 0 ? WaitReason.noneAllowed : WaitReason.notAsked);
}

function findLackOfWorkers({ capacity }: WaitingState): WaitCause | undefined {
    return capacity?.usable === 0 ? buildCause(WaitReason.noneUsable) : undefined;
}

function findLackOfCapacity({ step, capacity, reservingGang }: WaitingState): WaitCause | undefined {
    if (capacity === undefined || capacity.places >= countNeeded(step)) {
        return undefined;
    }
    return buildCause(WaitReason.noRoom, { keeper: reservingGang?.name });
}

function findLackOfPermits({ step, permits, capacity }: WaitingState): WaitCause | undefined {
    if (permits === undefined || capacity === undefined || capacity.permittedPlaces >= countNeeded(step)) {
        return undefined;
    }
    return findRequestCause(permits) ?? buildCause(WaitReason.permitsExpired);
}

function findRefusals({ record }: WaitingState): WaitCause | undefined {
    return record !== undefined && record.refusals > 0 ? buildCause(WaitReason.ordersRefused) : undefined;
}

function findReservingGang({ step, reservingGang }: WaitingState): WaitCause | undefined {
    return reservingGang === undefined || reservingGang === step ?
        undefined :
        buildCause(WaitReason.gangKeepsRoom, { keeper: reservingGang.name });
}

function findWithholding({ withholding }: WaitingState): WaitCause | undefined {
    return withholding && buildCause(WaitReason.withheld);
}

function findRequestCause(permits: StepPermits): WaitCause | undefined {
    if (permits.countFailures() > 0) {
        return buildCause(WaitReason.questionFailed);
    }
    const request = permits.getRequest();
    return request && buildRequestCause(request);
}

function buildRequestCause({ nodeName }: OpenAdviceRequest): WaitCause {
    return buildCause(nodeName === undefined ? WaitReason.questionWaiting : WaitReason.questionUnderWay);
}

function describeCapacity(
    { poolUsable, usable, places, permittedPlaces, mostTakenBy }: StepCapacity,
): WaitFields {
    return { poolUsable, usable, places, permittedPlaces, mostTakenBy };
}

function describePermits(permits: StepPermits, now: Millis): WaitFields {
    const request = permits.getRequest();
    const allowed = permits.countAllowed();
    const denied = permits.countDenied();
    return {
        asked: allowed + denied,
        allowed,
        denied,
        questions: permits.countRequests(),
        questionFailures: permits.countFailures(),
        ...request && {
            questionMs: Math.round(now - request.since),
            questionWorkers: request.workers,
            askedNode: request.nodeName,
            askedMs: request.sentAt === undefined ? undefined : Math.round(now - request.sentAt),
        },
    };
}

function describeRefusals({ refusals, lastRefusal }: Readonly<StepRecord>): WaitFields {
    return lastRefusal === undefined ?
        {} :
        { refusals, refusal: lastRefusal.reason, refusedBy: lastRefusal.workerId };
}

/** Describes the first assigned task that is not executing, with its worker. */
function describeAssignedTask({ step, showRun }: WaitingState): WaitFields {
    const assigned = [...step.tasks.listIn(TaskState.assigned)];
    const shown = assigned.find(task => !showRun(task).isExecuting) ?? assigned[0];
    if (shown === undefined) {
        return {};
    }
    const { place, isInherited, ageMs, isListed, isReachable, isAdopted, leaseLeftMs } = showRun(shown);
    return {
        task: shown.name,
        workerId: shown.workerId,
        place,
        isInherited,
        runAgeMs: ageMs === undefined ? undefined : Math.round(ageMs),
        isListed,
        isReachable,
        isAdopted,
        leaseLeftMs: Number.isFinite(leaseLeftMs) ? Math.round(leaseLeftMs) : undefined,
    };
}
