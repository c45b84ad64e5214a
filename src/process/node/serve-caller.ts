/** Routes a caller's request to the current leader and retries it when the leader changes. */
import { sleep } from "../../common/clock.js";
import type { Clock, Millis } from "../../common/clock.js";
import type { NodeLink } from "../../connection/node-link.js";
import { RefusalReason } from "../leader/requests.js";
import type { CallerReply, CallerRequest } from "../leader/requests.js";
import type { LeadershipTerm } from "./leadership-term.js";
import type { NodeAnswer, NodeCall } from "./messages.js";

/** How a node reaches the leader at present. */
export interface LeaderRoute {
    readonly clock: Clock;
    /** Whether this node has received any configuration. */
    readonly hasConfig: () => boolean;
    /** Returns this node's own leadership; undefined while another node leads. */
    readonly getTerm: () => LeadershipTerm | undefined;
    /** Returns the link to the leader; undefined while this node follows none. */
    readonly getLink: () => NodeLink | undefined;
    /** Sends the leader this node's configuration if the leader's is older; returns whether it is. */
    readonly offerConfig: () => boolean;
}

/** How long a request waits for a leader before it is refused. Most takeovers finish sooner. */
const LEADER_WAIT_MS: Millis = 700;
/**
 * Share of the caller's timeout after which a request with an unknown outcome is given up. An outcome that is
 * unknown for longer usually stays so for seconds, because the store is unavailable. An early answer leaves
 * the caller time to retry at another node.
 */
const IN_DOUBT_SHARE = 0.45;
const RETRY_MS: Millis = 40;
/** Retry delay sent to callers: a takeover after a leader died silently takes up to this long. */
const NO_LEADER_RETRY_MS: Millis = 1_000;

/**
 * Serves a request through the leader. Requests are idempotent, so one whose answer was lost is sent again to
 * the next leader.
 *
 * @remarks A request that any leader may have acted on ends as unknown, never as refused: otherwise a caller
 * could be told "refused" although a leader that died since had accepted its job.
 * @param timeoutMs - How long the caller waits for its answer.
 */
export async function serveCaller(
    route: LeaderRoute,
    request: CallerRequest,
    timeoutMs: Millis,
): Promise<CallerReply> {
    const { clock } = route;
    const begin = clock.now();
    const limit = timeoutMs * IN_DOUBT_SHARE;
    let mayHaveRun = false;
    while (clock.now() - begin < limit) {
        if (!route.hasConfig()) {
            return { kind: "refused", reason: RefusalReason.noConfig, retryAfterMs: NO_LEADER_RETRY_MS };
        }
        const reply = await tryServe(route, request, limit - (clock.now() - begin));
        mayHaveRun ||= reply?.kind === "unknown";
        // A refusal covers only its sender: a partitioned leader does not know what another leader did.
        const isInDoubt = reply?.kind === "unknown" || reply?.kind === "refused" && mayHaveRun;
        if (reply !== undefined && !isInDoubt) {
            return reply;
        }
        if (!mayHaveRun && clock.now() - begin > LEADER_WAIT_MS) {
            return { kind: "refused", reason: RefusalReason.noLeader, retryAfterMs: NO_LEADER_RETRY_MS };
        }
        await sleep(clock, RETRY_MS);
    }
    return mayHaveRun ?
        { kind: "unknown", message: "no leader has answered in time" } :
        { kind: "refused", reason: RefusalReason.noLeader, retryAfterMs: NO_LEADER_RETRY_MS };
}

/**
 * Makes one attempt.
 * @returns Undefined if no leader received the request, or if the leader's configuration is outdated.
 */
async function tryServe(
    route: LeaderRoute,
    request: CallerRequest,
    remaining: Millis,
): Promise<CallerReply | undefined> {
    const term = route.getTerm();
    if (term !== undefined) {
        return waitForReply(term.serve(request), route.clock, remaining);
    }
    const link = route.getLink();
    if (link === undefined) {
        return undefined;
    }
    const answer = await link.call({ kind: "serve", request } satisfies NodeCall, remaining);
    if (answer.kind === "lost") {
        return { kind: "unknown", message: answer.message };
    }
    const body = answer.body as NodeAnswer;
    if (body.kind !== "served" || body.reply.kind === "noQueue" && route.offerConfig()) {
        return undefined;
    }
    return body.reply;
}

/** Bounds the wait for the leader on this node, which answers only once the store has answered. */
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
