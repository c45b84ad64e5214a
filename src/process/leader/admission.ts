/** Admission control: decides whether a leader accepts another job. */
import type { Millis } from "../../common/clock.js";
import type { RiskyBacklog } from "../dispatch/probation.js";

/**
 * Mean lateness from which jobs are refused. A job takes half a dozen turns of the event loop until its first
 * task runs, and each turn is late by this much.
 */
const SHED_FROM_MS: Millis = 50;
/** Mean lateness from which all jobs are refused. */
const SHED_ALL_MS: Millis = 200;
const SHORTEST_RETRY_MS: Millis = 500;
/** Spread of the retry times, so that refused callers do not retry simultaneously. */
const RETRY_SPREAD_MS: Millis = 1_000;

/** Mean lateness, and share of the workers' processors in use, from which jobs beyond an account's rate are refused. */
const CONTENDED_FROM_MS: Millis = 25;
const CONTENDED_CPU_SHARE = 0.6;

/** How much room the cluster has for jobs to which nobody is entitled. */
export interface Contention {
    /** Mean lateness of the leader's timers. */
    readonly latenessMs: Millis;
    /** Share of the workers' processors in use. */
    readonly usedCpuShare: number;
    /** Whether the nodes can't send all requests to the advice service. */
    readonly isAdviceOverloaded: boolean;
}

/** Tells whether a job beyond its account's rate would delay the work of others, although it runs behind them. */
export function isContended({ latenessMs, usedCpuShare, isAdviceOverloaded }: Contention): boolean {
    return isAdviceOverloaded || latenessMs > CONTENDED_FROM_MS || usedCpuShare > CONTENDED_CPU_SHARE;
}

/** Inputs of a decision. */
export interface AdmissionInputs {
    /** Mean lateness of the leader's timers. */
    readonly latenessMs: Millis;
    /** Priority of the job's queue; 0 is the most urgent. */
    readonly priority: number;
    /** Priorities of all queues. */
    readonly priorities: readonly number[];
    /** Random number from 0 to 1. */
    readonly draw: number;
}

/** A job is admitted, or refused with a time after which to retry. */
export type Admission =
    | { readonly kind: "admitted"; }
    | { readonly kind: "overloaded"; readonly share: number; readonly retryAfterMs: Millis; };

/**
 * Decides on a job that was not submitted before.
 *
 * @remarks When more jobs arrive than the leader's processor can handle, each accepted job delays all others.
 * Jobs of the least urgent queues are refused first.
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

/**
 * Longest time in which the nodes may have to send the requests of all accepted jobs to the advice service: a job stands
 * still for about as long, although workers may be free.
 */
const MAX_BACKLOG_MS: Millis = 12_000;
const SHORTEST_BACKLOG_RETRY_MS: Millis = 1_000;
const BACKLOG_RETRY_SPREAD_MS: Millis = 2_000;

/** What the accepted jobs owe at the advice service, in time of nodes. */
export interface BacklogInputs {
    /** Number of nodes that reach the service. */
    readonly callers: number;
    /** Number of queues whose jobs have requests to make. */
    readonly queues: number;
    readonly owedMs: Millis;
    /** Part of the job's queue. */
    readonly queueOwedMs: Millis;
    /** What the job adds. */
    readonly jobMs: Millis;
}

/**
 * Decides on a job while more requests to the advice service wait than the nodes can send. Only queues that owe their fair
 * part or more are refused, so that a queue of short requests does not suffer from the long ones of another.
 * @param draw - Random number from 0 to 1.
 */
export function decideBacklogAdmission(backlog: BacklogInputs, draw: number): Admission {
    const { callers, queues, owedMs, queueOwedMs, jobMs } = backlog;
    const excessMs = (owedMs + jobMs) / callers - MAX_BACKLOG_MS;
    const isFair = queueOwedMs < owedMs / Math.max(1, queues);
    if (excessMs <= 0 || isFair) {
        return { kind: "admitted" };
    }
    const retryAfterMs = Math.round(
        Math.max(SHORTEST_BACKLOG_RETRY_MS, excessMs) + draw * BACKLOG_RETRY_SPREAD_MS,
    );
    return { kind: "overloaded", share: 1, retryAfterMs };
}

/** Timely steps per worker on probation that may wait; more would be late when their turn comes. */
const TIMELY_PER_WORKER = 3;
/** Timely steps per such worker that may wait however slowly tasks start, so that some always can. */
const MIN_TIMELY_PER_WORKER = 1 / 2;
/** Share of their objective that timely steps may have to wait. */
const MAX_WAIT_SHARE = 2 / 3;
/**
 * Suspects per such worker that may wait. Each crashes a worker once more, and as many workers as are kept for
 * suspects do so in turn.
 */
const MAX_SUSPECTS_PER_WORKER = 3;
const SHORTEST_RISKY_RETRY_MS: Millis = 1_000;
const RISKY_RETRY_SPREAD_MS: Millis = 2_000;

/**
 * Decides on a job of a queue whose tasks have been crashing workers.
 *
 * @remarks Such a queue starts on few workers, one step at a time, so its jobs may arrive much faster than
 * they can run. How many can run in time depends on how many of them crash their workers. A job that could
 * not run in time is refused at once: once late, it would wait until timely work leaves workers free. Late work
 * is no reason to refuse a job, as it starts after timely work: refusals would outlast what made it late.
 * @param backlog - The queue's waiting steps.
 * @param draw - Random number from 0 to 1.
 */
export function decideRiskyAdmission(backlog: RiskyBacklog, draw: number): Admission {
    if (canStartInTime(backlog) && backlog.suspects < backlog.workers * MAX_SUSPECTS_PER_WORKER) {
        return { kind: "admitted" };
    }
    const retryAfterMs = SHORTEST_RISKY_RETRY_MS + Math.round(draw * RISKY_RETRY_SPREAD_MS);
    return { kind: "overloaded", share: 1, retryAfterMs };
}

function canStartInTime(backlog: RiskyBacklog): boolean {
    const { steps, probes, workers, timelyTasks, startsPerS, objectiveMs } = backlog;
    const timely = steps - probes;
    const maxTasks = startsPerS === undefined ?
        Infinity :
        startsPerS * objectiveMs / 1_000 * MAX_WAIT_SHARE;
    return timely < workers * MIN_TIMELY_PER_WORKER ||
        timely < workers * TIMELY_PER_WORKER && timelyTasks < maxTasks;
}
