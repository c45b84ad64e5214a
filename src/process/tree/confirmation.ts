/**
 * Decides when a written version is in force everywhere.
 *
 * @remarks Three groups: members of the table, who must all confirm; members lost, who were removed and may still
 * run behind a partition on the word of a majority of an older table; and members that left, who have stopped.
 */
import type { Millis } from "../../common/clock.js";

/** What is known of a version now. */
export interface ConfirmationState {
    readonly now: Millis;
    /** Time after which a digest from before no longer counts anywhere, drift included. */
    readonly staleAfterMs: Millis;
    readonly memberIds: readonly string[];
    readonly lostIds: readonly string[];
    /** Whether the table held is the newest, read after the version was written. */
    readonly isTableNewest: boolean;
    /** Whether a member has the version, or a later one, in force. */
    hasConfirmed(memberId: string): boolean;
}

/** Follows one written version until it is in force everywhere. */
export class Confirmation {
    private majoritySince: Millis | undefined;

    /**
     * Tells whether every entry that can act has the version in force.
     * @param state - What is known now.
     * @param tables - Members of the tables that this entry has held, for those who may still go by one of them.
     */
    isComplete(state: ConfirmationState, tables: readonly (readonly string[])[]): boolean {
        const { memberIds, lostIds, now } = state;
        const everybody = [...memberIds, ...lostIds];
        const confirmed = everybody.filter(memberId => state.hasConfirmed(memberId));
        if (confirmed.length * 2 <= everybody.length) {
            return false;
        }
        this.majoritySince ??= now;
        if (!state.isTableNewest || memberIds.some(memberId => !state.hasConfirmed(memberId))) {
            return false;
        }
        const silent = lostIds.filter(memberId => !state.hasConfirmed(memberId));
        if (silent.length === 0) {
            return true;
        }
        // Lost members may still go by digests from before the majority confirmed: wait until those are stale.
        // And they must not form a majority of a table that they may still hold.
        return now - this.majoritySince > state.staleAfterMs &&
            !tables.some(table => isMajority(silent, table));
    }
}

function isMajority(memberIds: readonly string[], table: readonly string[]): boolean {
    return memberIds.filter(memberId => table.includes(memberId)).length * 2 > table.length;
}
