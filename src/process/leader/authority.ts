/** For how long a leader may send orders to workers without contact with the store. */
import type { Clock, Millis } from "../../common/clock.js";
import type { GuardedStore } from "../journal/guarded-store.js";

/**
 * Longest time without an answer of the store during which a leader still extends leases, so that runs
 * survive its usual outages. A successor waits for this time plus a lease before it restarts the runs of a
 * worker that it can't reach, so a longer time would cost more than it saves.
 */
export const MAX_UNCONFIRMED_MS: Millis = 8_000;

/**
 * Decides whether this leader may extend leases and send orders.
 *
 * @remarks A leader that is partitioned from the store, but not from a worker that its successor can't reach,
 * would otherwise keep tasks alive there for ever while the successor waits for them to end. The monotonic
 * clock of a suspended process does not show the suspension. The workers' clocks do, and from then on only
 * answers to later requests to the store count.
 */
export class Authority {
    private earliestContact: Millis = -Infinity;

    constructor(private readonly clock: Clock, private readonly store: GuardedStore) {}

    /** Whether leases may be extended and orders sent now. */
    mayOrder(): boolean {
        const contact = this.store.getLastContact();
        return contact >= this.earliestContact && this.clock.now() - contact < MAX_UNCONFIRMED_MS;
    }

    /** Whether the store has answered a request that was sent after a time. */
    hasContactSince(time: Millis): boolean {
        return this.store.getLastContact() > Math.max(time, this.earliestContact);
    }

    /** Records that this process was suspended: earlier contact with the store does not count any more. */
    observeSuspension(): void {
        this.earliestContact = this.clock.now();
    }
}
