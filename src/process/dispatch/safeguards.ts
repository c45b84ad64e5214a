/** Safeguards that keep free capacity from waiting tasks. */

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
