/** Routes a caller's request to the current leader and retries it when the leader changes. */
import { sleep } from "../../common/clock.js";
import type { Clock, Millis } from "../../common/clock.js";
import type { NodeLink } from "../../connection/node-link.js";
import { findQueue } from "../../version/cluster-config.js";
import type { ClusterConfig } from "../../version/cluster-config.js";
import { decideAccess } from "../accounts/access.js";
import { RefusalReason } from "../leader/requests.js";
import type { CallerReply, CallerRequest } from "../leader/requests.js";
import type { LeadershipTerm } from "./leadership-term.js";
import type { NodeAnswer, NodeCall } from "./messages.js";

/** How a node reaches the leader at present. */
export interface LeaderRoute {
    readonly clock: Clock;
    /** Returns the configuration in force at this node; version 0 if it has received none. */
    readonly getConfig: () => ClusterConfig;
    /** Whether the leader has no newer configuration than this node, as far as is known. */
    readonly isConfigAsNewAsLeaders: () => boolean;
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
        if (route.getConfig().version === 0) {
            return { kind: "refused", reason: RefusalReason.noConfig, retryAfterMs: NO_LEADER_RETRY_MS };
        }
        const denial = findDenial(route, request);
        if (denial !== undefined && !mayHaveRun) {
            return denial;
        }
        const reply = await tryServe(route, request, limit - (clock.now() - begin));
        mayHaveRun ||= reply?.kind === "unknown";
        const isInDoubt = reply?.kind === "unknown" || mayHaveRun && isRejected(request, reply);
        if (reply !== undefined && !isInDoubt) {
            // The key may have been revoked while the leader answered. What was carried out is reported all the same.
            const isRead = reply.kind === "state" || reply.kind === "pending";
            return isRead ? findDenial(route, request) ?? reply : reply;
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
 * Returns whether a leader has rejected a request. That covers only this leader: it may not know what another
 * one did, or the queue or the key may have been removed since.
 */
function isRejected({ kind }: CallerRequest, reply: CallerReply | undefined): boolean {
    const isDenial = reply?.kind === "noQueue" || reply?.kind === "unauthorized" ||
        reply?.kind === "jobIdTaken";
    return reply?.kind === "refused" || isDenial && kind !== "show";
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
    if (body.kind !== "served" || isDeniedByOlderConfig(body.reply) && route.offerConfig()) {
        return undefined;
    }
    return body.reply;
}

/**
 * Denies a request whose key allows nothing, without a call to the leader.
 * @returns Undefined if the leader has to decide, as it may have a newer configuration.
 */
function findDenial(route: LeaderRoute, request: CallerRequest): CallerReply | undefined {
    const config = route.getConfig();
    const match = findQueue(config, request.host, request.path);
    const access = match && decideAccess(config, match.queue, request.credential);
    return access?.kind === "denied" && route.isConfigAsNewAsLeaders() ?
        { kind: "unauthorized", reason: access.reason } :
        undefined;
}

/** Tells whether a leader with an older configuration than this node's may have given a reply that does not hold. */
function isDeniedByOlderConfig(reply: CallerReply): boolean {
    return reply.kind === "noQueue" || reply.kind === "unauthorized";
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
