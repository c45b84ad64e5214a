/** Bounds the time until which leases that earlier leaders granted to workers may be valid. */
import type { Millis } from "../../common/clock.js";
import { computeLeaseBound } from "../dispatch/lease-bound.js";
import type { Adoption } from "../jobs/adoptions.js";
import type { EpochHistory } from "./epoch-history.js";

/** What a leader knows about the leaderships before its own. */
export interface InheritedLeasesOptions {
    /** Epoch of the leader before; 0 if there was none. */
    readonly previousEpoch: number;
    /**
     * Whether the previous leader handed its leadership over, and so stopped extending leases at that moment.
     */
    readonly wasHandedOver: boolean;
    /** Time at which this leader took over, on its monotonic clock. */
    readonly begin: Millis;
    readonly history: EpochHistory;
    /** Duration of a worker's lease. */
    readonly leaseMs: Millis;
    /** How long a leader that cannot reach the store continues to extend leases. */
    readonly unconfirmedMs: Millis;
}

/**
 * Computes when inherited leases have certainly expired.
 *
 * @remarks A leader extends leases only on workers that it has durably adopted. The wait therefore counts
 * from when the last adopting leader lost its leadership. If each new leader counted it from its own
 * takeover, the tasks of a worker that is gone would stall for as long as leaders change every few seconds.
 */
export class InheritedLeases {
    constructor(private readonly options: InheritedLeasesOptions) {}

    /**
     * Returns the time, on this process's monotonic clock, by which all leases on a worker have certainly
     * expired.
     * @param adoption - The last adoption of the worker; undefined if unknown.
     */
    computeEnd(adoption: Pick<Adoption, "epoch" | "isReleased"> | undefined): Millis {
        const { previousEpoch, wasHandedOver, begin, history, leaseMs, unconfirmedMs } = this.options;
        const lastHolder = adoption?.epoch ?? previousEpoch;
        // Snapshots leave out adoptions of idle workers, so a worker without a known adoption may have been
        // adopted by any earlier leader.
        const wasGivenUp = adoption?.isReleased === true ||
            wasHandedOver && adoption?.epoch === previousEpoch;
        const lostAt = history.findLossTime(lastHolder, begin);
        return lostAt + (wasGivenUp ? 0 : unconfirmedMs) + computeLeaseBound(leaseMs);
    }
}
