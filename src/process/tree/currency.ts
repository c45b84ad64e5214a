/**
 * Whether an entry may still act on the settings it holds. docs/design/settings-in-force.md gives the reasons.
 *
 * @remarks The failure it guards against: an edit is accepted while one entry is cut off, and that entry goes on
 * by the old version. It would show as work routed against an accepted edit. The rule holds because an edit is
 * accepted only with the word of a majority and of every member whose lease is live.
 */
import type { Millis } from "../../common/clock.js";
import type { HeardDigest } from "../roles.js";

/** What the rule reads. */
export interface CurrencyState {
    readonly memberId: string;
    readonly now: Millis;
    readonly freshMs: Millis;
    /** Version held. */
    readonly version: number;
    /**
     * Whether the tree was read from the store after this entry had become a member: from then on editors wait
     * for its word.
     */
    readonly isConfirmedMember: boolean;
    /**
     * Instant up to which the watch of the tree shows all changes. A lease that was renewed later proves nothing: the
     * answers of the watch alone may be lost.
     */
    readonly lastStoreContact: Millis | undefined;
    /** Members of the ownership table held. */
    readonly memberIds: readonly string[];
    getDigest(memberId: string): HeardDigest | undefined;
}

/**
 * Tells whether the version held may be acted on.
 * @param state - What this entry knows now.
 */
export function isVersionCurrent(state: CurrencyState): boolean {
    return hasStoreContact(state) || isBackedByMajority(state);
}

function hasStoreContact(state: CurrencyState): boolean {
    const { isConfirmedMember, lastStoreContact, now, freshMs } = state;
    return isConfirmedMember && lastStoreContact !== undefined && now - lastStoreContact <= freshMs;
}

function isBackedByMajority(state: CurrencyState): boolean {
    const { memberIds, memberId, now, freshMs, version } = state;
    if (!memberIds.includes(memberId)) {
        return false;
    }
    let heard = 1;
    for (const each of memberIds) {
        const digest = each === memberId ? undefined : state.getDigest(each);
        if (digest === undefined || now - digest.sureAt > freshMs) {
            continue;
        }
        if (digest.digest.treeVersion > version) {
            return false;
        }
        heard++;
    }
    return heard > memberIds.length / 2;
}
