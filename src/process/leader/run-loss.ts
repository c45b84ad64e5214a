/** The evidence on which a leader declares a run lost. */

/** Why a run was declared lost. */
export const RunLoss = {
    /** Another incarnation answers at the worker's address, so the worker's process has ended. */
    replaced: "replaced",
    /**
     * No contact until the worker's lease had certainly expired: it is partitioned, or its process has ended.
     */
    leaseOver: "leaseOver",
    /** The worker answers but does not list the run. */
    absent: "absent",
    /** An earlier leader ordered it on a worker with which this leader never had contact. */
    unheard: "unheard",
} as const;
export type RunLoss = (typeof RunLoss)[keyof typeof RunLoss];
