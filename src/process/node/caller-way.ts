/** A caller's request on its way to the leader, through changes of the leader. */
import { sleep } from "../../common/clock.js";
import type { Clock, Millis } from "../../common/clock.js";
import type { NodeLink } from "../../connection/node-link.js";
import { RefusalReason } from "../leader/requests.js";
import type { CallerReply, CallerRequest } from "../leader/requests.js";
import type { LeaderSeat } from "./leader-seat.js";
import type { NodeAnswer, NodeCall } from "./messages.js";

/** How the leader is reached from a node now. */
export interface WayToLeader {
    readonly clock: Clock;
    /** Whether any configuration has been seen. */
    readonly hasConfig: () => boolean;
    /** Set where this node leads. */
    readonly getSeat: () => LeaderSeat | undefined;
    /** Set where this node follows. */
    readonly getLink: () => NodeLink | undefined;
    /** Gives the leader a configuration that it lacks; tells whether it does. */
    readonly offerConfig: () => boolean;
}

/** Time that a request waits for a leader before it is refused: a take-over usually takes less. */
const LEADER_PATIENCE_MS: Millis = 700;
/**
 * Part of a caller's time for which an answer in doubt is waited for. What is in doubt for longer mostly stays so for
 * seconds, as the store is away; told so early, the caller asks again, at another node, while that still helps it.
 */
const IN_DOUBT_SHARE = 0.45;
const RETRY_MS: Millis = 40;
/** When a caller may come back: take-overs after a silent death take up to this long. */
const NO_LEADER_RETRY_MS: Millis = 1_000;

/**
 * Answers a request. Every request is idempotent, so one whose answer was lost is sent again to the next leader.
 *
 * @remarks Failure guarded against: a caller is told "refused" although the leader that died had accepted its job. A
 * request that any leader may have acted on is never refused here; it ends as unknown, in time to be sent again.
 * @param way - How the leader is reached.
 * @param request - What is asked.
 * @param patience - Milliseconds that the caller waits.
 */
export async function serveCaller(
    way: WayToLeader,
    request: CallerRequest,
    patience: Millis,
): Promise<CallerReply> {
    const { clock } = way;
    const begin = clock.now();
    const limit = patience * IN_DOUBT_SHARE;
    let mayHaveRun = false;
    while (clock.now() - begin < limit) {
        if (!way.hasConfig()) {
            return { kind: "refused", reason: RefusalReason.noConfig, retryAfterMs: NO_LEADER_RETRY_MS };
        }
        const reply = await tryServe(way, request, limit - (clock.now() - begin));
        mayHaveRun ||= reply?.kind === "unknown";
        // A leader refuses for itself: one that is cut off knows nothing of what another one has done.
        const isInDoubt = reply?.kind === "unknown" || reply?.kind === "refused" && mayHaveRun;
        if (reply !== undefined && !isInDoubt) {
            return reply;
        }
        if (!mayHaveRun && clock.now() - begin > LEADER_PATIENCE_MS) {
            return { kind: "refused", reason: RefusalReason.noLeader, retryAfterMs: NO_LEADER_RETRY_MS };
        }
        await sleep(clock, RETRY_MS);
    }
    return mayHaveRun ?
        { kind: "unknown", message: "no leader has answered in time" } :
        { kind: "refused", reason: RefusalReason.noLeader, retryAfterMs: NO_LEADER_RETRY_MS };
}

/** Tries once; undefined means that no leader was asked, or one that lacks this node's configuration. */
async function tryServe(
    way: WayToLeader,
    request: CallerRequest,
    remaining: Millis,
): Promise<CallerReply | undefined> {
    const seat = way.getSeat();
    if (seat !== undefined) {
        return waitForReply(seat.serve(request), way.clock, remaining);
    }
    const link = way.getLink();
    if (link === undefined) {
        return undefined;
    }
    const answer = await link.call({ kind: "serve", request } satisfies NodeCall, remaining);
    if (answer.kind === "lost") {
        return { kind: "unknown", message: answer.message };
    }
    const body = answer.body as NodeAnswer;
    if (body.kind !== "served" || body.reply.kind === "noQueue" && way.offerConfig()) {
        return undefined;
    }
    return body.reply;
}

/** The leader on this node answers when the store has, however long that takes. */
function waitForReply(reply: Promise<CallerReply>, clock: Clock, limit: Millis): Promise<CallerReply> {
    return new Promise(resolve => {
        const timer = clock.schedule(limit, () => {
            resolve({ kind: "unknown", message: "the store has not answered in time" });
        });
        void reply.then(value => {
            timer.cancel();
            resolve(value);
        });
    });
}
