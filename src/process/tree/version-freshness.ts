/**
 * Decides whether an entry may still act on its version of the settings. See
 * docs/design/settings-in-force.md.
 *
 * @remarks Keeps a partitioned entry from routing work by an old version after an edit has been accepted
 * elsewhere. The rule is sufficient because an edit is accepted only after a majority and every member with a
 * live lease confirmed it.
 */
import type { Millis } from "../../common/clock.js";
import type { ReceivedDigest } from "../roles.js";

/** Input of {@link isVersionCurrent}. */
export interface FreshnessState {
    readonly memberId: string;
    readonly now: Millis;
    readonly freshMs: Millis;
    /** This entry's version. */
    readonly version: number;
    /**
     * Whether the tree was read from the store after this entry had become a member. From then on, edits wait
     * for its confirmation.
     */
    readonly isConfirmedMember: boolean;
    /**
     * Instant up to which the watch has delivered all changes of the tree. A later lease renewal does not
     * count, since the watch's answers alone may be lost.
     */
    readonly lastStoreContact: Millis | undefined;
    /** Members according to the local ownership table. */
    readonly memberIds: readonly string[];
    getDigest(memberId: string): ReceivedDigest | undefined;
}

/**
 * Returns whether this entry may act on its version: it has recent contact to the store or a majority of
 * members.
 */
export function isVersionCurrent(state: FreshnessState): boolean {
    return hasRecentStoreContact(state) || hasMajoritySupport(state);
}

function hasRecentStoreContact(state: FreshnessState): boolean {
    const { isConfirmedMember, lastStoreContact, now, freshMs } = state;
    return isConfirmedMember && lastStoreContact !== undefined && now - lastStoreContact <= freshMs;
}

function hasMajoritySupport(state: FreshnessState): boolean {
    const { memberIds, memberId, now, freshMs, version } = state;
    if (!memberIds.includes(memberId)) {
        return false;
    }
    let supporters = 1;
    for (const each of memberIds) {
        const digest = each === memberId ? undefined : state.getDigest(each);
        if (digest === undefined || now - digest.createdAfter > freshMs) {
            continue;
        }
        if (digest.digest.treeVersion > version) {
            return false;
        }
        supporters++;
    }
    return supporters > memberIds.length / 2;
}
