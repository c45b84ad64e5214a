/** Whether a leader takes another job, by the processor time that it has left. Pure. */
import type { Millis } from "../../common/clock.js";
import type { RiskyBacklog } from "../dispatch/probation.js";

/**
 * Mean lateness from which jobs are refused. A job passes half a dozen turns of the event loop before its first task runs,
 * each of which is late by as much.
 */
const SHED_FROM_MS: Millis = 50;
/** Mean lateness from which all jobs are refused. */
const SHED_ALL_MS: Millis = 200;
const SHORTEST_RETRY_MS: Millis = 500;
/** Spread of the times to come back, so that refused callers do not return in one moment. */
const RETRY_SPREAD_MS: Millis = 1_000;

/** What a decision depends on. */
export interface AdmissionInputs {
    /** By how much the leader's timers are late on the mean. */
    readonly latenessMs: Millis;
    /** The queue's; 0 goes first. */
    readonly priority: number;
    /** Of all queues. */
    readonly priorities: readonly number[];
    /** From 0 to 1, at random. */
    readonly draw: number;
}

/** A job is taken, or refused with a time to come back. */
export type Admission =
    | { readonly kind: "admitted"; }
    | { readonly kind: "overloaded"; readonly share: number; readonly retryAfterMs: Millis; };

/**
 * Decides on a job that nobody has handed in before.
 *
 * @remarks Load answered: more jobs than the leader's processor can decide on. Each one that is accepted then delays all
 * others. The least urgent queues are refused first.
 */
export function decideAdmission({ latenessMs, priority, priorities, draw }: AdmissionInputs): Admission {
    const share = (latenessMs - SHED_FROM_MS) / (SHED_ALL_MS - SHED_FROM_MS);
    const levels = [...new Set(priorities)].sort((left, right) => right - left);
    const level = Math.max(0, levels.indexOf(priority));
    const ownShare = share * Math.max(1, levels.length) - level;
    if (draw >= ownShare) {
        return { kind: "admitted" };
    }
    return {
        kind: "overloaded",
        share: Math.min(1, ownShare),
        retryAfterMs: SHORTEST_RETRY_MS + Math.round(draw / ownShare * RETRY_SPREAD_MS),
    };
}

/** Timely steps for each worker on probation that may wait: more would be late by the time of their turn. */
const TIMELY_PER_WORKER = 3;
/** Steps for each such worker that may wait in all: they have to be done in the end. */
const WAITING_PER_WORKER = 8;
const SHORTEST_RISKY_RETRY_MS: Millis = 1_000;
const RISKY_RETRY_SPREAD_MS: Millis = 2_000;

/**
 * Decides on a job of a queue whose tasks have been crashing workers.
 *
 * @remarks Load answered: such a queue starts on few workers, one step at a time, so that far less of it can be done than
 * comes. What cannot have its turn in time is told so at once.
 * @param backlog - What waits of the queue.
 * @param draw - From 0 to 1, at random.
 */
export function decideRiskyAdmission({ steps, probes, workers }: RiskyBacklog, draw: number): Admission {
    if (steps - probes < workers * TIMELY_PER_WORKER && steps < workers * WAITING_PER_WORKER) {
        return { kind: "admitted" };
    }
    const retryAfterMs = SHORTEST_RISKY_RETRY_MS + Math.round(draw * RISKY_RETRY_SPREAD_MS);
    return { kind: "overloaded", share: 1, retryAfterMs };
}
