/**
 * Reserves nodes for short requests to the advice service: behind a long one, a quick job would wait for longer than
 * its whole slack.
 */
import type { Clock, Millis } from "../../common/clock.js";
import { computeMax } from "../../common/lists.js";
import { LoadMeter } from "./load-meter.js";

/** Longer requests are not sent by the nodes reserved for short ones. */
export const SHORT_REQUEST_MS: Millis = 120;
/** Largest share of the nodes that is reserved for short requests, where there are at least two nodes. */
const MAX_RESERVED_SHARE = 0.34;
/** Most nodes that are reserved. */
const MAX_RESERVED_NODES = 8;
/** Nodes reserved for each one that short requests keep busy, as these arrive unevenly. */
const RESERVED_PER_BUSY_NODE = 2;
/**
 * With this many nodes one stays reserved for a while after each short request; with fewer none can be spared
 * for that.
 */
const MIN_NODES_TO_RESERVE = 3;
const SHORT_REQUEST_MEMORY_MS: Millis = 10_000;
/**
 * The same while long requests wait for nodes. A steady load of short requests has no pauses as long as this, and a long
 * request takes about as long.
 */
const OVERLOADED_MEMORY_MS: Millis = 1_000;
/** Least load of short requests, in busy nodes, for which a node is reserved where none can be spared. */
const MIN_SHORT_LOAD = 0.02;

interface ShortRequests {
    /** Number of nodes that they keep busy. */
    readonly load: LoadMeter;
    /** When one was last sent. */
    lastAt: Millis;
}

/** Counts the nodes that are reserved for short requests. */
export class NodeReservation {
    /** Short requests that were sent, by the priority of their queue. */
    private readonly requests = new Map<number, ShortRequests>();

    constructor(private readonly clock: Clock) {}

    /**
     * Records a short request.
     * @param priority - Priority of its queue.
     * @param expectedMs - How long it should keep a node busy.
     */
    observeShortRequest(priority: number, expectedMs: Millis): void {
        const known = this.requests.get(priority) ?? { load: new LoadMeter(this.clock), lastAt: -Infinity };
        known.load.add(expectedMs);
        known.lastAt = this.clock.now();
        this.requests.set(priority, known);
    }

    /**
     * Counts the nodes reserved against a long request, by how busy short requests keep them. Those of less
     * urgent queues do not count: a few would keep a node idle beside gangs.
     * @param priority - Priority of the long request's queue.
     * @param nodes - Number of nodes that can send requests.
     * @param isOverloaded - Whether the nodes cannot send all requests: none is reserved once short ones stop coming.
     */
    count(priority: number, nodes: number, isOverloaded: boolean): number {
        const counted = [...this.requests].filter(([other]) => other <= priority);
        const load = counted.reduce((sum, [, short]) => sum + short.load.compute(), 0);
        const lastAt = computeMax(counted.map(([, short]) => short.lastAt));
        const silenceMs = this.clock.now() - lastAt;
        // The mean load falls slowly, and would keep nodes idle for seconds after the last short request.
        if (isOverloaded && silenceMs >= OVERLOADED_MEMORY_MS) {
            return 0;
        }
        // Rare short requests must not wait behind a long one either.
        const canSpareOne = nodes >= MIN_NODES_TO_RESERVE && silenceMs < SHORT_REQUEST_MEMORY_MS;
        if (nodes < 2 || load < MIN_SHORT_LOAD) {
            return canSpareOne ? 1 : 0;
        }
        return Math.min(
            MAX_RESERVED_NODES,
            Math.ceil(nodes * MAX_RESERVED_SHARE),
            Math.ceil(load * RESERVED_PER_BUSY_NODE),
        );
    }
}
