/** Safeguards that keep free capacity from waiting tasks, and for how long they may. */
import type { Millis } from "../../common/clock.js";
import type { Urgency } from "./urgency.js";

/** Why a task may not use capacity that is free. */
export const Safeguard = {
    /** Its queue, or another one, is on probation, and the worker is not dedicated to it. */
    probation: "probation",
    /** It, or a task on the worker, may crash its worker, so the two do not share one. */
    isolation: "isolation",
    /** A gang that waits keeps the capacity. */
    gangReservation: "gangReservation",
    /** The worker keeps a gap for tasks of the most urgent queue. */
    urgentGap: "urgentGap",
    /** The step has time to spare, and a gang lacks capacity. */
    deferral: "deferral",
    /** The task was lost with its worker repeatedly and pauses. */
    lossBackoff: "lossBackoff",
} as const;
export type Safeguard = (typeof Safeguard)[keyof typeof Safeguard];

/** Longest time for which free capacity may be kept from a task that could use it. */
export const MAX_WITHHOLD_MS: Millis = 2_000;
/** Time without new jobs after which no more are expected and most gangs have started. */
const QUIET_MS: Millis = 10_000;
/** Share of a pool's processors in use from which tasks that end by themselves wait for each other anyway. */
const BUSY_SHARE = 1 / 2;

/** What a pass knows about the load of a pool. */
export interface PoolLoad {
    readonly usedShare: number;
    /** Time since the last job arrived. */
    readonly sinceSubmitMs: Millis;
}

/**
 * Tells whether a step has waited for so long that no safeguard may keep free capacity from it any more.
 *
 * @remarks A long-running task is to be at work at any time. Of tasks that end by themselves an endless stream may
 * arrive, which would take the place of what the safeguards keep the capacity for; so they wait until none arrives any
 * more and capacity is plentiful.
 * @param now - On the leader's clock.
 */
export function isOverdue(
    { step, readyAt }: Urgency,
    { usedShare, sinceSubmitMs }: PoolLoad,
    now: Millis,
): boolean {
    const isCalm = usedShare < BUSY_SHARE && sinceSubmitMs >= QUIET_MS;
    return readyAt !== undefined && now - readyAt >= MAX_WITHHOLD_MS &&
        (step.spec.isLongRunning || isCalm);
}
