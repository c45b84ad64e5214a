/** How a node gets a newer configuration that others have and its own watch has not delivered. */
import type { Clock, Millis } from "../../common/clock.js";
import type { ConfigHolder } from "./config-holder.js";
import type { LinkPeer } from "./link-note.js";
import type { NodeNote } from "./messages.js";

/** Time in which a node's own watch usually delivers a version that others have. */
export const CatchUpPatience = {
    /** The leader decides for all nodes, and one copy serves it. */
    leader: 300,
    /** Each follower's copy passes over the leader's link. */
    follower: 1_500,
} as const satisfies Readonly<Record<string, Millis>>;

/** Time for a copy to arrive over a narrow link before another one is asked for. */
const ASK_AGAIN_MS: Millis = 2_000;
/** Least time between two copies that a node sends. */
const SEND_GAP_MS: Millis = 300;

/** What catching up needs. */
export interface ConfigCatchUpOptions {
    readonly clock: Clock;
    readonly config: ConfigHolder;
}

/**
 * Asks for one copy at a time, and sends few.
 *
 * @remarks Failure guarded against: all nodes hear of a large configuration a moment before their leader does, and each sends
 * it the whole of it, again with every beat. The leader's link is full of copies for many seconds, it hears neither the store
 * nor the workers, and is replaced; the next leader is sent the same.
 */
export class ConfigCatchUp {
    private lackingSince: Millis | undefined;
    private lackingOwn = 0;
    private askedAt: Millis = -Infinity;
    private sentAt: Millis = -Infinity;
    private offeredVersion = 0;
    private offeredAt: Millis = -Infinity;

    constructor(private readonly options: ConfigCatchUpOptions) {}

    /**
     * Asks another node for its version if this node has lacked it for longer than its own watch takes.
     * @param peer - The other node.
     * @param version - What it has.
     * @param patienceMs - How long to leave it to the watch.
     */
    observeVersion(peer: LinkPeer, version: number, patienceMs: Millis): void {
        const { clock, config } = this.options;
        const own = config.get().version;
        const now = clock.now();
        if (version <= own) {
            return;
        }
        if (this.lackingSince === undefined || this.lackingOwn !== own) {
            this.lackingSince = now;
            this.lackingOwn = own;
        }
        if (now - this.lackingSince >= patienceMs && now - this.askedAt >= ASK_AGAIN_MS) {
            this.askedAt = now;
            peer.link.note({ kind: "configWanted", version: own } satisfies NodeNote);
        }
    }

    /**
     * Sends the configuration to a node that asked for it.
     * @param peer - The node.
     * @param version - What it has.
     */
    sendNewer(peer: LinkPeer, version: number): void {
        const { clock, config } = this.options;
        const now = clock.now();
        if (version < config.get().version && now - this.sentAt >= SEND_GAP_MS) {
            this.sentAt = now;
            peer.link.note({ kind: "config", config: config.get() } satisfies NodeNote);
        }
    }

    /**
     * Sends the configuration, unasked, to a node without which a request cannot be decided.
     * @param peer - The node.
     * @param version - What it has.
     * @returns Whether the node lacks it.
     */
    offerNewer(peer: LinkPeer, version: number): boolean {
        const { clock, config } = this.options;
        const own = config.get().version;
        const now = clock.now();
        if (version >= own) {
            return false;
        }
        if (this.offeredVersion !== own || now - this.offeredAt >= ASK_AGAIN_MS) {
            this.offeredVersion = own;
            this.offeredAt = now;
            peer.link.note({ kind: "config", config: config.get() } satisfies NodeNote);
        }
        return true;
    }
}
