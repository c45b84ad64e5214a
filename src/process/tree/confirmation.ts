/**
 * Decides when a written version of the settings is in force on every entry that can still act.
 *
 * @remarks All members of the ownership table must confirm. Members that were removed as lost may still run
 * behind a partition, confirmed by a majority of an older table, so they are considered too. Members that
 * left have stopped.
 */
import type { Millis } from "../../common/clock.js";

/** Current knowledge about a written version. */
export interface ConfirmationState {
    readonly now: Millis;
    /** Time after which no entry relies on an earlier digest any more, clock drift included. */
    readonly staleAfterMs: Millis;
    readonly memberIds: readonly string[];
    readonly lostIds: readonly string[];
    /** Whether the local table is at least as new as the one read after the version was written. */
    readonly isTableNewest: boolean;
    /** Returns whether a member has the version, or a later one, in force. */
    hasConfirmed(memberId: string): boolean;
}

/** Tracks one written version until it is in force everywhere. */
export class Confirmation {
    private majoritySince: Millis | undefined;

    /**
     * Returns whether every entry that can act has the version in force.
     * @param tables - Members of each table this entry has seen; lost members may still use one of them.
     */
    isComplete(state: ConfirmationState, tables: readonly (readonly string[])[]): boolean {
        const { memberIds, lostIds, now } = state;
        const participants = [...memberIds, ...lostIds];
        const confirmed = participants.filter(memberId => state.hasConfirmed(memberId));
        if (confirmed.length * 2 <= participants.length) {
            return false;
        }
        this.majoritySince ??= now;
        if (!state.isTableNewest || memberIds.some(memberId => !state.hasConfirmed(memberId))) {
            return false;
        }
        const unconfirmedLost = lostIds.filter(memberId => !state.hasConfirmed(memberId));
        if (unconfirmedLost.length === 0) {
            return true;
        }
        // Lost members may still rely on digests from before the majority confirmed, so wait until those are
        // stale. They must also not form a majority of a table that they may still use.
        return now - this.majoritySince > state.staleAfterMs &&
            !tables.some(table => isMajority(unconfirmedLost, table));
    }
}

function isMajority(memberIds: readonly string[], table: readonly string[]): boolean {
    return memberIds.filter(memberId => table.includes(memberId)).length * 2 > table.length;
}
