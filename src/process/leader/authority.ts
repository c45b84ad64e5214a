/** Until when a leader may order workers without word from the store. */
import type { Clock, Millis } from "../../common/clock.js";
import type { GuardedStore } from "../journal/guarded-store.js";

/**
 * Longest time without an answer of the store for which a leader still extends leases: what runs must live through its usual
 * outages. A later leader counts with this time, and a lease, before it starts again what runs on a worker that it cannot
 * reach, so more would cost more than it saves.
 */
export const MAX_UNCONFIRMED_MS: Millis = 8_000;

/**
 * The right to extend leases.
 *
 * @remarks Failure guarded against: a leader that is cut off from the store, but not from a worker that its
 * successor cannot reach, would keep tasks alive there for ever while the successor waits for them to end. A
 * suspended process does not see time pass on its monotonic clock; workers' clocks show the gap, and from then on
 * only an answer of the store that was asked for later counts.
 */
export class Authority {
    private floor: Millis = -Infinity;

    /**
     * @param clock - Measures the silence.
     * @param store - Knows the last answer.
     */
    constructor(private readonly clock: Clock, private readonly store: GuardedStore) {}

    /** Tells whether leases may be extended and orders sent now. */
    mayOrder(): boolean {
        const contact = this.store.getLastContact();
        return contact >= this.floor && this.clock.now() - contact < MAX_UNCONFIRMED_MS;
    }

    /** Takes in that this process stood still. */
    observeSuspension(): void {
        this.floor = this.clock.now();
    }
}
