/** Members removed as lost, and when each has surely stopped acting. */
import type { Clock, Millis } from "../../common/clock.js";
import type { CellSettings } from "../../version/settings.js";

/** Remembers since when this entry knows that a member was removed as lost. */
export class LostMembers {
    private readonly since = new Map<string, Millis>();

    constructor(private readonly clock: Clock) {}

    /**
     * Takes in the list of a new table.
     * @param lost - Ids of members removed as lost.
     */
    track(lost: readonly string[]): void {
        for (const memberId of lost) {
            if (!this.since.has(memberId)) {
                this.since.set(memberId, this.clock.now());
            }
        }
    }

    /**
     * Lists those that no longer count for majorities: past the longest time that an entry acts without the store,
     * and past the leases it may have renewed last.
     * @param lost - Ids in the table held.
     * @param cell - Times in force.
     */
    listStopped(lost: readonly string[], cell: CellSettings): readonly string[] {
        const wait = cell.outageToleranceMs + cell.workerLeaseMs;
        const now = this.clock.now();
        return lost.filter(memberId => now - (this.since.get(memberId) ?? now) > wait);
    }
}
