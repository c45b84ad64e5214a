/** Fetches a newer configuration from other nodes when this node's own watch has not delivered it. */
import type { Clock, Millis } from "../../common/clock.js";
import type { ConfigHolder } from "./config-holder.js";
import type { LinkPeer } from "./link-peer.js";
import type { NodeNotification } from "./messages.js";

/** How long a node waits for its own watch to deliver a version before it requests it from another node. */
export const CatchUpDelay = {
    /** Short, as the leader decides for all nodes and needs only a single copy. */
    leader: 300,
    /** Longer, as the leader has to send each follower a copy of its own. */
    follower: 1_500,
} as const satisfies Readonly<Record<string, Millis>>;

/** Time for a copy to arrive over a slow link before it is requested or offered again. */
const REPEAT_INTERVAL_MS: Millis = 2_000;
/** Minimum time between two copies that a node sends on request. */
const MIN_SEND_INTERVAL_MS: Millis = 300;

/** Dependencies of the catch-up. */
export interface ConfigCatchUpOptions {
    readonly clock: Clock;
    readonly config: ConfigHolder;
}

/**
 * Requests one copy at a time and limits the copies that this node sends.
 *
 * @remarks Without these limits, all followers that receive a large configuration just before the leader
 * would send it the whole of it with every heartbeat. The copies would saturate the leader's link for many
 * seconds and cut it off from the store and the workers; it would be replaced, and its successor would be
 * flooded in the same way.
 */
export class ConfigCatchUp {
    private outdatedSince: Millis | undefined;
    private outdatedVersion = 0;
    private requestedAt: Millis = -Infinity;
    private sentAt: Millis = -Infinity;
    private offeredVersion = 0;
    private offeredAt: Millis = -Infinity;

    constructor(private readonly options: ConfigCatchUpOptions) {}

    /**
     * Requests the configuration from a peer that has a newer one, unless this node's watch may still deliver
     * it in time.
     * @param version - The peer's version.
     * @param delayMs - How long to wait for this node's own watch first.
     */
    observeVersion(peer: LinkPeer, version: number, delayMs: Millis): void {
        const { clock, config } = this.options;
        const own = config.get().version;
        const now = clock.now();
        if (version <= own) {
            return;
        }
        if (this.outdatedSince === undefined || this.outdatedVersion !== own) {
            this.outdatedSince = now;
            this.outdatedVersion = own;
        }
        if (now - this.outdatedSince >= delayMs && now - this.requestedAt >= REPEAT_INTERVAL_MS) {
            this.requestedAt = now;
            peer.link.notify({ kind: "configWanted", version: own } satisfies NodeNotification);
        }
    }

    /**
     * Sends the configuration to a peer that requested it.
     * @param version - The peer's version.
     */
    sendNewer(peer: LinkPeer, version: number): void {
        const { clock, config } = this.options;
        const now = clock.now();
        if (version < config.get().version && now - this.sentAt >= MIN_SEND_INTERVAL_MS) {
            this.sentAt = now;
            peer.link.notify({ kind: "config", config: config.get() } satisfies NodeNotification);
        }
    }

    /**
     * Sends the configuration unrequested to a peer that may need it to decide a request.
     * @param version - The peer's version.
     * @returns Whether the peer's version is older than this node's.
     */
    offerNewer(peer: LinkPeer, version: number): boolean {
        const { clock, config } = this.options;
        const own = config.get().version;
        const now = clock.now();
        if (version >= own) {
            return false;
        }
        if (this.offeredVersion !== own || now - this.offeredAt >= REPEAT_INTERVAL_MS) {
            this.offeredVersion = own;
            this.offeredAt = now;
            peer.link.notify({ kind: "config", config: config.get() } satisfies NodeNotification);
        }
        return true;
    }
}
