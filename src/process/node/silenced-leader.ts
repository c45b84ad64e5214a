/** When a leader that the store no longer answers is replaced by a node that it answers. */
import type { Clock, Millis } from "../../common/clock.js";
import { readLeader } from "../leadership/leader-record.js";
import type { StorePort } from "../ports/index.js";
import type { LeaderLink } from "./leader-dialer.js";

/**
 * A leader that the store has answered nothing for this long is replaced by a node that the store answers well within
 * it: many times the store's usual time to answer.
 */
const STORE_SILENCE_MS: Millis = 400;
/** An answer within this time shows that the store is not slow for everybody. */
const QUICK_ANSWER_MS: Millis = 150;
/**
 * Time after a look of this node's own that failed or was slow for which the leader keeps its place: the store was away
 * for this node too. A leader soon hears of the store's return and then goes on with all that it holds, while a new one
 * has to load the journal and to hear every worker first.
 */
const SHARED_OUTAGE_GRACE_MS: Millis = 700;
const READ_TIMEOUT_MS: Millis = 500;
/** A leader whose timers are this late has no processor time to spare. */
const LATE_MS: Millis = 200;

/** Tells whether the store's silence towards a leader is worth acting on. */
export function isSilence(silenceMs: Millis): boolean {
    return silenceMs > STORE_SILENCE_MS;
}

/** Tells whether a look at the store that took this long shows that it answers this node well. */
export function isQuickLook(tookMs: Millis): boolean {
    return tookMs < QUICK_ANSWER_MS;
}

/** What deciding about a silenced leader needs. */
export interface SilencedLeaderOptions {
    readonly storePort: StorePort;
    readonly clock: Clock;
}

/** A follower's looks at the store while its leader gets no answers there. */
export class SilencedLeader {
    private lastBadLookAt: Millis = -Infinity;

    constructor(private readonly options: SilencedLeaderOptions) {}

    /**
     * Decides whether to claim a leader's place although its link is well.
     *
     * @remarks In spells in which the store is slow for everybody, or down, a change of the leader would only add to the
     * trouble: the question here takes as long as the leader's own calls, or fails. Failure guarded against: at the end of
     * an outage every follower that the store answers a moment before the leader claims its place, and what waits is held
     * up by a needless take-over.
     * @param leaderLink - The link, with the leader's last status.
     */
    async shouldReplace(leaderLink: LeaderLink): Promise<boolean> {
        if (!isLeaderSilenced(leaderLink)) {
            return false;
        }
        const { storePort, clock } = this.options;
        const askedAt = clock.now();
        const view = await readLeader(storePort, READ_TIMEOUT_MS);
        const now = clock.now();
        if (view === undefined || !isQuickLook(now - askedAt)) {
            this.lastBadLookAt = now;
            return false;
        }
        return now - this.lastBadLookAt > SHARED_OUTAGE_GRACE_MS && isLeaderSilenced(leaderLink);
    }
}

/** A leader that is late reads the store's answers late: its place would be no better with another. */
function isLeaderSilenced({ status }: LeaderLink): boolean {
    return status !== undefined && isSilence(status.storeSilenceMs) && status.latenessMs < LATE_MS;
}
