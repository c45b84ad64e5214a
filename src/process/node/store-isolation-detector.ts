/** Decides when a follower that can reach the store replaces a leader that cannot. */
import type { Clock, Millis } from "../../common/clock.js";
import { readLeader } from "../leadership/leader-record.js";
import type { StorePort } from "../ports/index.js";
import type { LeaderLink } from "./leader-dialer.js";

/**
 * A leader without an answer from the store for longer than this can be replaced by a node that gets answers
 * well within it. Many times the store's usual response time.
 */
const STORE_SILENCE_MS: Millis = 400;
/** A read that takes less than this shows that the store is not slow for all nodes. */
const QUICK_ANSWER_MS: Millis = 150;
/**
 * How long the leader is kept after a read by this node that failed or was slow, as the store was unavailable
 * for this node too. Once the store is back, the leader soon notices and continues with its state in memory,
 * while a new one would first have to load the journal and contact every worker.
 */
const SHARED_OUTAGE_GRACE_MS: Millis = 700;
const READ_TIMEOUT_MS: Millis = 500;
/** A leader whose timers are at least this late is short of processor time. */
const OVERLOADED_LATENESS_MS: Millis = 200;

/** Returns whether a leader has gone without answers from the store for long enough to act on it. */
export function isStoreSilent(silenceMs: Millis): boolean {
    return silenceMs > STORE_SILENCE_MS;
}

/** Returns whether a read that took this long shows that the store responds normally to this node. */
export function isQuickRead(tookMs: Millis): boolean {
    return tookMs < QUICK_ANSWER_MS;
}

/** Dependencies of the detector. */
export interface StoreIsolationDetectorOptions {
    readonly storePort: StorePort;
    readonly clock: Clock;
}

/** Detects that a leader is isolated from the store, by comparison with its follower's own reads. */
export class StoreIsolationDetector {
    private lastSlowReadAt: Millis = -Infinity;

    constructor(private readonly options: StoreIsolationDetectorOptions) {}

    /**
     * Decides whether to claim the leadership although the link to the leader is healthy.
     *
     * @remarks While the store is slow or unavailable for all nodes, this node's own read is slow or fails
     * too, and a change of leader would only add load. At the end of an outage, followers that get answers a
     * moment before the leader does must not claim either: a needless takeover would delay waiting requests.
     * @param leaderLink - The link to the leader, with its last status.
     */
    async shouldReplace(leaderLink: LeaderLink): Promise<boolean> {
        if (!isLeaderIsolated(leaderLink)) {
            return false;
        }
        const { storePort, clock } = this.options;
        const readAt = clock.now();
        const view = await readLeader(storePort, READ_TIMEOUT_MS);
        const now = clock.now();
        if (view === undefined || !isQuickRead(now - readAt)) {
            this.lastSlowReadAt = now;
            return false;
        }
        return now - this.lastSlowReadAt > SHARED_OUTAGE_GRACE_MS && isLeaderIsolated(leaderLink);
    }
}

/** A leader with late timers also reads the store's answers late, so silence alone proves no isolation. */
function isLeaderIsolated({ status }: LeaderLink): boolean {
    return status !== undefined && isStoreSilent(status.storeSilenceMs) &&
        status.latenessMs < OVERLOADED_LATENESS_MS;
}
