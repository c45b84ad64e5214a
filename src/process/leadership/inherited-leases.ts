/** Until when leases that earlier leaders gave to workers may run. */
import type { Millis } from "../../common/clock.js";
import { computeLeaseBound } from "../dispatch/worker-session.js";
import type { EpochHistory } from "./epoch-history.js";

/** What a leader knows of the leaderships before its own. */
export interface InheritedLeasesOptions {
    /** The leader's own epoch. */
    readonly epoch: number;
    /** Whether the leader before it gave its place up, so that its right to extend leases ended then. */
    readonly wasHandedOver: boolean;
    /** When the leader took over, on its clock. */
    readonly begin: Millis;
    readonly history: EpochHistory;
    /** Length of leases. */
    readonly leaseMs: Millis;
    /** How long a leader without the store goes on extending leases. */
    readonly unconfirmedMs: Millis;
}

/**
 * Bounds of inherited leases.
 *
 * @remarks Only a leader that has adopted a worker, which it makes durable first, extends leases there. So what counts is
 * when the last leader that did so lost its place, not when this one took over. Failure guarded against: leaders change
 * every few seconds, a worker is gone, and each new leader counts its wait from its own claim; the worker's tasks stand
 * still through all of these waits.
 */
export class InheritedLeases {
    constructor(private readonly options: InheritedLeasesOptions) {}

    /**
     * Returns when, on our clock, all leases on a worker have surely run out.
     * @param adoptedBy - Epoch of the last leader that adopted the worker; undefined where that is not known.
     */
    computeEnd(adoptedBy: number | undefined): Millis {
        const { epoch, wasHandedOver, begin, history, leaseMs, unconfirmedMs } = this.options;
        const lastHolder = adoptedBy ?? epoch - 1;
        // Snapshots leave out adoptions of idle workers, so one of which nothing is known may be an earlier leader's.
        const wasGivenUp = wasHandedOver && adoptedBy === epoch - 1;
        const lostAt = history.findLossTime(lastHolder, begin);
        return lostAt + (wasGivenUp ? 0 : unconfirmedMs) + computeLeaseBound(leaseMs);
    }
}
