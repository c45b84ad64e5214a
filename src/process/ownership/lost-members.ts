/** Members removed as lost, and when each has certainly stopped acting. */
import type { Clock, Millis } from "../../common/clock.js";
import type { CellSettings } from "../../version/settings.js";

/** Tracks since when this entry knows that a member was removed as lost. */
export class LostMembers {
    private readonly lostSince = new Map<string, Millis>();

    constructor(private readonly clock: Clock) {}

    /**
     * Updates the tracked members from a new table.
     * @param lost - Ids of members removed as lost.
     */
    track(lost: readonly string[]): void {
        for (const memberId of lost) {
            if (!this.lostSince.has(memberId)) {
                this.lostSince.set(memberId, this.clock.now());
            }
        }
    }

    /**
     * Lists lost members that no longer count for majorities: the longest time that an entry acts without the
     * store has passed, and after it the worker leases that the member may have renewed last.
     * @param lost - Ids of lost members in the current table.
     * @param cell - Settings in force.
     */
    listStopped(lost: readonly string[], cell: CellSettings): readonly string[] {
        const wait = cell.outageToleranceMs + cell.workerLeaseMs;
        const now = this.clock.now();
        return lost.filter(memberId => now - (this.lostSince.get(memberId) ?? now) > wait);
    }
}
