/** How a leader comes to take a run for lost. */

/** Why a run is taken for lost. */
export const RunLoss = {
    /** Another life answers at the worker's address: the worker's process has ended. */
    replaced: "replaced",
    /** The worker was silent until its lease had surely run out: it may be cut off, or its process has ended. */
    leaseOver: "leaseOver",
    /** The worker answers, and does not list the run. */
    absent: "absent",
    /** An earlier leader gave it to a worker that this one never heard. */
    unheard: "unheard",
} as const;
export type RunLoss = (typeof RunLoss)[keyof typeof RunLoss];
