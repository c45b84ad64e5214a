/** When a leader that the store no longer answers is replaced by a node that it answers. */
import type { Clock, Millis } from "../../common/clock.js";
import { readLeader } from "../leadership/leader-record.js";
import type { StorePort } from "../ports/index.js";
import type { LeaderLink } from "./leader-dialer.js";

/**
 * A leader that the store has answered nothing for this long is replaced by a node that the store answers well within
 * it. The store answers in 7 to 14 ms as measured, and in its slow spells, when nobody is better off, in 250 to 700 ms.
 */
const STORE_SILENCE_MS: Millis = 400;
/** An answer within this time shows that the store is not slow for everybody. */
const QUICK_ANSWER_MS: Millis = 150;
const READ_TIMEOUT_MS: Millis = 500;

/** Tells whether the store's silence towards a leader is worth acting on. */
export function isSilence(silenceMs: Millis): boolean {
    return silenceMs > STORE_SILENCE_MS;
}

/** Tells whether a look at the store that took this long shows that it answers this node well. */
export function isQuickLook(tookMs: Millis): boolean {
    return tookMs < QUICK_ANSWER_MS;
}

/**
 * Decides whether to claim a leader's place although its link is well.
 *
 * @remarks In spells in which the store is slow for everybody, or down, a change of the leader would only add to the
 * trouble: the question here takes as long as the leader's own calls, or fails.
 * @param leaderLink - The link, with the leader's last status.
 * @param parts - The store as seen from here, and the clock.
 */
export async function shouldReplaceLeader(
    leaderLink: LeaderLink,
    { storePort, clock }: { readonly storePort: StorePort; readonly clock: Clock; },
): Promise<boolean> {
    if (!isLeaderSilenced(leaderLink)) {
        return false;
    }
    const askedAt = clock.now();
    const view = await readLeader(storePort, READ_TIMEOUT_MS);
    const isQuick = view !== undefined && isQuickLook(clock.now() - askedAt);
    return isQuick && isLeaderSilenced(leaderLink);
}

function isLeaderSilenced(leaderLink: LeaderLink): boolean {
    return isSilence(leaderLink.status?.storeSilenceMs ?? 0);
}
