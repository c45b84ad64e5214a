/**
 * How many workers a question to the advice service names. Pure.
 *
 * @remarks The load this answers: hundreds of workers, and a service that takes time for each worker named beside that for
 * the question. A question about all takes longer than the whole slack of the job that waits for it, while a few are mostly
 * enough. Too few cost a second question, so what is expected to be allowed is more than the step needs.
 */
import type { Resources } from "../../common/resources.js";
import type { AdvicePolicy } from "../../version/cluster-config.js";
import type { StepSpec } from "../jobs/job-spec.js";

/** A worker that a question could name. */
export interface AskableWorker {
    readonly id: string;
    readonly capacity: Resources;
    readonly free: Resources;
    /** Whether tasks were placed there that wait for its permit; left out where there are none. */
    readonly isChosen?: boolean;
}

/** Workers that one question may name at most. */
export const MAX_ASKED_WORKERS = 100;
/** Share of workers that is expected to be allowed before any answer: the deployments' policies allow 0.35 to 0.7. */
const FIRST_ALLOWED_SHARE = 0.4;
/** Weight of a new answer in the share: about the last 20 count. */
const SHARE_GAIN = 0.05;
/** An answer of a policy that allows almost nothing must not make each question name everybody for ever. */
const LEAST_SHARE = 0.1;
/** Room that is expected to be allowed, as a multiple of what the step needs. */
const ROOM_FACTOR = 1.5;
/** A gang starts only as a whole, so one worker too few costs it another question. */
const GANG_ROOM_FACTOR = 2;
/** A question this small is not made smaller: the luck of single workers would decide it. */
const LEAST_ASKED_WORKERS = 8;
/** Naming more workers is free of harm while it adds at most this part to what the question takes as such. */
const CHEAP_SHARE = 0.25;
/** Part of a full worker's capacity that counts as room: it comes free about as soon as a permit runs out. */
const BUSY_ROOM_SHARE = 0.2;

/** Learns which share of the workers named is allowed, for each queue. */
export class AllowedShares {
    private readonly shares = new Map<string, number>();

    /**
     * Takes in an answer.
     * @param queue - Name of the queue.
     * @param asked - Workers that were named.
     * @param allowed - Those that are allowed.
     */
    observe(queue: string, asked: number, allowed: number): void {
        if (asked > 0) {
            const old = this.getShare(queue);
            this.shares.set(queue, old + (allowed / asked - old) * SHARE_GAIN);
        }
    }

    /** Returns the share to expect. */
    getShare(queue: string): number {
        return Math.max(LEAST_SHARE, this.shares.get(queue) ?? FIRST_ALLOWED_SHARE);
    }
}

/** What decides the size of a question. */
export interface QuestionNeed {
    readonly spec: StepSpec;
    /** Tasks that lack a place. */
    readonly tasks: number;
    readonly policy: AdvicePolicy;
    readonly allowedShare: number;
}

/**
 * Chooses whom to ask about: the workers with the most room for the step, as many as it is expected to need.
 *
 * @remarks Failure guarded against: tasks are placed on the fullest worker that fits, and by its room it comes last here.
 * With more allowed workers than can be named while a permit is valid it was never named, and its task waited for ever. So
 * workers that were chosen are named first.
 * @param workers - Those not asked about yet.
 * @param need - What the step needs.
 */
export function selectWorkersToAsk(workers: readonly AskableWorker[], need: QuestionNeed): readonly string[] {
    const { spec, tasks, policy, allowedShare } = need;
    const rooms = workers
        .map(worker => ({
            id: worker.id,
            isChosen: worker.isChosen === true,
            free: worker.free.cpuMillis,
            room: computeRoom(spec, worker),
        }))
        .sort((left, right) =>
            Number(right.isChosen) - Number(left.isChosen) ||
            right.room - left.room ||
            right.free - left.free
        );
    const wanted = tasks * (spec.isGang ? GANG_ROOM_FACTOR : ROOM_FACTOR) / allowedShare;
    const cheap = policy.perWorkerMs === 0 ?
        MAX_ASKED_WORKERS :
        Math.floor(policy.decideMs * CHEAP_SHARE / policy.perWorkerMs);
    const least = Math.max(LEAST_ASKED_WORKERS, cheap);
    const ids: string[] = [];
    let expected = 0;
    for (const { id, isChosen, room } of rooms) {
        const isEnough = !isChosen && expected >= wanted && ids.length >= least;
        if (isEnough || ids.length >= MAX_ASKED_WORKERS) {
            break;
        }
        ids.push(id);
        expected += room;
    }
    return ids;
}

/** Tasks of a step that a worker has room for, or soon may have. */
function computeRoom(spec: StepSpec, { capacity, free }: AskableWorker): number {
    const limit = spec.maxPerWorker ?? Infinity;
    const now = countFitting(spec.demand, free);
    const later = countFitting(spec.demand, capacity) * BUSY_ROOM_SHARE;
    return Math.min(limit, Math.max(now, later));
}

/** Returns how many times a demand fits into what is there: without end where it needs nothing. */
export function countFitting(demand: Resources, room: Resources): number {
    return Math.min(
        countDimension(demand.cpuMillis, room.cpuMillis),
        countDimension(demand.memoryMib, room.memoryMib),
        countDimension(demand.accelerators, room.accelerators),
    );
}

function countDimension(demand: number, room: number): number {
    return demand === 0 ? Infinity : Math.max(0, Math.floor(room / demand));
}
