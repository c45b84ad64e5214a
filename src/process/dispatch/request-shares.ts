/**
 * Decides the order in which requests to the advice service are sent, and shares the nodes' time among the queues.
 */
import type { Clock, Millis } from "../../common/clock.js";
import type { AdvicePolicy } from "../../version/cluster-config.js";
import type { AdviceAnswer } from "../ports/task-worker-port.js";
import { LoadMeter } from "./load-meter.js";
import { compareShare } from "./urgency.js";
import type { Urgency } from "./urgency.js";

/** A request that waits or is in flight. */
export interface AdviceRequest extends Pick<Urgency, "lateness" | "isBeyondShare" | "dueAt"> {
    readonly step: string;
    readonly workerIds: readonly string[];
    readonly policy: AdvicePolicy;
    /** Priority of its queue; 0 goes first. */
    readonly priority: number;
    /** Whether its step could probably start once it is answered. */
    readonly hasCapacity: boolean;
    /** When its step first wanted the answer. */
    readonly since: Millis;
    /** Whether its step has had no answer yet: such requests go before renewals. */
    readonly isFirst: boolean;
    /** Whether the answer is still wanted; asked before the request is sent. */
    readonly isWanted: () => boolean;
    /** Called when a node sends it. */
    readonly handleSent: (nodeName: string) => void;
    /**
     * Called once; `askedAt` is when it was sent, `busyMs` for how long it kept its node busy. The answer is undefined if
     * it was never sent.
     */
    readonly settle: (answer: AdviceAnswer | undefined, askedAt: Millis, busyMs: Millis) => void;
}

/** Wait of a request after which its queue gets a share of the nodes' time. */
const LATE_REQUEST_MS: Millis = 1_000;
/** Wait of a request after which it may go before more urgent ones of its share. */
const AGED_REQUEST_MS: Millis = 3_000;
/** One of this many requests of a share is the longest waiting one, if it has waited that long. */
const AGED_TURN = 4;
/** Key of the share of the nodes' time that requests of steps without free capacity get. */
const NO_CAPACITY = "noRoom";

/**
 * Owner of a share of the nodes' time: a queue, by its priority, or all steps without free capacity, among them
 * gangs that get theirs by preemption once it is known which workers may run them.
 */
type ShareKey = number | typeof NO_CAPACITY;

interface Share {
    /** Number of nodes that its requests keep busy. */
    readonly load: LoadMeter;
    sentCount: number;
}

/** The waiting requests of one share. */
interface Backlog {
    readonly share: Share;
    longest: AdviceRequest;
    mostUrgent: AdviceRequest;
}

/** Returns how long the service takes for a request, by the policy's figures. */
export function estimateRequestMs({ policy, workerIds }: AdviceRequest): Millis {
    return policy.decideMs + policy.perWorkerMs * workerIds.length;
}

/**
 * Compares two requests: steps that could start first, then by priority, then first requests, then short ones.
 *
 * @remarks Short requests of the last queue must not take the capacity that gangs of the queue before it need.
 */
export function compareRequests(left: AdviceRequest, right: AdviceRequest): number {
    return Number(right.hasCapacity) - Number(left.hasCapacity) ||
        left.priority - right.priority ||
        Number(right.isFirst) - Number(left.isFirst) ||
        estimateRequestMs(left) - estimateRequestMs(right);
}

/** Shares the nodes' time while there are more requests than the nodes can send. */
export class RequestShares {
    private readonly shares = new Map<ShareKey, Share>();

    constructor(private readonly clock: Clock) {}

    /** Records that a request is sent and how long it should keep its node busy. */
    observeSent(request: AdviceRequest, expectedMs: Millis): void {
        const share = this.getShare(getShareKey(request));
        share.load.add(expectedMs);
        share.sentCount += 1;
    }

    /**
     * Chooses one request of each share that has a late one and has had less than its part of the nodes' time,
     * the share with the least load first. These go before all others, so that no queue starves another.
     * @param waiting - The requests that wait.
     * @param nodes - Number of nodes that can send requests.
     */
    chooseLate(waiting: readonly AdviceRequest[], nodes: number): readonly AdviceRequest[] {
        const backlogs = this.collectBacklogs(waiting);
        const fairLoad = nodes / Math.max(1, backlogs.length);
        return backlogs
            .filter(({ longest }) => this.getWait(longest) >= LATE_REQUEST_MS)
            .map(backlog => ({ load: backlog.share.load.compute(), request: this.chooseNext(backlog) }))
            .filter(({ load }) => load < fairLoad)
            .sort((left, right) => left.load - right.load)
            .map(({ request }) => request);
    }

    /** Chooses mostly the most urgent request: by waiting time, every job of an overloaded queue would be late. */
    private chooseNext({ share, longest, mostUrgent }: Backlog): AdviceRequest {
        const isAgedTurn = share.sentCount % AGED_TURN === 0 && this.getWait(longest) >= AGED_REQUEST_MS;
        return isAgedTurn ? longest : mostUrgent;
    }

    private collectBacklogs(waiting: readonly AdviceRequest[]): readonly Backlog[] {
        const backlogs = new Map<ShareKey, Backlog>();
        for (const request of waiting) {
            const key = getShareKey(request);
            const backlog = backlogs.get(key);
            if (backlog === undefined) {
                backlogs.set(key, { share: this.getShare(key), longest: request, mostUrgent: request });
                continue;
            }
            if (request.since < backlog.longest.since) {
                backlog.longest = request;
            }
            if (compareDue(request, backlog.mostUrgent) < 0) {
                backlog.mostUrgent = request;
            }
        }
        return [...backlogs.values()];
    }

    private getWait({ since }: AdviceRequest): Millis {
        return this.clock.now() - since;
    }

    private getShare(key: ShareKey): Share {
        const known = this.shares.get(key);
        if (known !== undefined) {
            return known;
        }
        const created = { load: new LoadMeter(this.clock), sentCount: 0 };
        this.shares.set(key, created);
        return created;
    }
}

function getShareKey({ priority, hasCapacity }: AdviceRequest): ShareKey {
    return hasCapacity ? priority : NO_CAPACITY;
}

/** Compares as planning does: a share may hold requests of several queues. */
function compareDue(left: AdviceRequest, right: AdviceRequest): number {
    return left.lateness - right.lateness || compareShare(left, right) || left.priority - right.priority ||
        left.dueAt - right.dueAt || left.since - right.since;
}
