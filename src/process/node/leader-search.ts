/** The loop in which a node finds and follows the current leader, or claims the leadership. */
import type { Millis } from "../../common/clock.js";
import { sleep } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import { claimLeadership, readLeader } from "../leadership/leader-record.js";
import type { LeaderView } from "../leadership/leader-record.js";
import { computeStaggerDelay } from "./claim-order.js";
import { computeFirstClaimDelay, computeSmallNodeDelay } from "./larger-node.js";
import type { LeaderFollower, LeaderFollowerOptions } from "./leader-follower.js";
import type { WonClaim } from "./leadership-term.js";

/** Dependencies of the search. */
export interface LeaderSearchOptions extends Omit<LeaderFollowerOptions, "config" | "handleCall"> {
    /** This node's name, as in the leader record. */
    readonly name: string;
    /** Identifies this incarnation of the process. */
    readonly incarnation: string;
    readonly random: Random;
    readonly follower: LeaderFollower;
    /** Returns whether this node handed an epoch over so recently that the next claim is the successor's. */
    readonly isReservedForSuccessor: (epoch: number) => boolean;
    /** Leads under a claim; resolves once the leadership has ended. */
    readonly runLeadership: (claim: WonClaim) => Promise<void>;
}

const READ_TIMEOUT_MS: Millis = 500;
const STORE_RETRY_MS: Millis = 150;
const REREAD_DELAY_MS: Millis = 100;
const FAILED_SEARCH_PAUSE_MS: Millis = 1_000;
/** Jitter of claims by nodes that know no other node, so that one usually wins before the others try. */
const CLAIM_SPREAD_MS: Millis = 60;

/** Searches for a leader until the node is closed. */
export class LeaderSearch {
    constructor(private readonly options: LeaderSearchOptions) {}

    /** Runs until the node is closed. */
    async run(): Promise<void> {
        const { clock, log, isClosed } = this.options;
        while (!isClosed()) {
            try {
                await this.followOrClaim();
            }
            catch (error) {
                log.error("CR1634", "leaderSearchFailed", { message: String(error) });
                await sleep(clock, FAILED_SEARCH_PAUSE_MS);
            }
        }
    }

    /** One round: follows the leader until it is lost, or claims the leadership and leads until that ends. */
    private async followOrClaim(): Promise<void> {
        const { clock, storePort, log, epochs, startupGrace } = this.options;
        const view = await readLeader(storePort, READ_TIMEOUT_MS);
        if (view === undefined) {
            await this.followHint();
            await sleep(clock, STORE_RETRY_MS);
            return;
        }
        epochs.observe(view.record?.epoch ?? 0, clock.now());
        const reason = await this.findClaimReason(view);
        if (reason === undefined) {
            await sleep(clock, REREAD_DELAY_MS);
            return;
        }
        if (!await this.waitToClaim(view)) {
            return;
        }
        log.info("leadershipClaimed", {
            reason,
            lastEpoch: view.record?.epoch,
            lastLeader: view.record?.nodeName,
            failedBefore: startupGrace.countFailedBefore(view.record),
        });
        await this.claim(view);
    }

    /** Follows the leader, if any. Returns why to claim the leadership; undefined for another round. */
    private async findClaimReason(view: LeaderView): Promise<string | undefined> {
        const { record } = view;
        const { name, cores, clock, follower, isDraining, isReservedForSuccessor } = this.options;
        if (isDraining()) {
            // A node that shuts down still follows, so that its last callers are served.
            return record === undefined ? undefined : follower.follow(view);
        }
        if (record === undefined) {
            await sleep(clock, computeFirstClaimDelay(cores));
            return "no node has led yet";
        }
        if (isReservedForSuccessor(record.epoch)) {
            return undefined;
        }
        if (record.nodeName === name) {
            return "the leader was an earlier incarnation of this node";
        }
        if (follower.isSuccessorOf(record.epoch)) {
            return "the leader handed over";
        }
        return follower.follow(view);
    }

    /** Finds the leader through other nodes while the store refuses this one, and follows it. */
    private async followHint(): Promise<void> {
        const { clock, peers, follower, buildStatus, isClosed } = this.options;
        const hint = await peers.findLeader(clock, buildStatus);
        if (hint === undefined || isClosed()) {
            return;
        }
        const record = { epoch: hint.epoch, address: hint.address, nodeName: "", life: "" };
        await follower.follow({ record, revision: 0, isAlive: true });
    }

    /**
     * Lets nodes ahead in the order of claims claim first, unless the leader handed over to this node.
     * @returns Whether the leader record is unchanged.
     */
    private async waitToClaim(view: LeaderView): Promise<boolean> {
        const { clock, storePort, cores, follower } = this.options;
        if (follower.isSuccessorOf(view.record?.epoch)) {
            return true;
        }
        const delay = computeSmallNodeDelay(cores, this.options.peers.getMaxCores()) +
            this.computeStagger(view);
        if (delay === 0) {
            return true;
        }
        await sleep(clock, delay);
        const current = await readLeader(storePort, READ_TIMEOUT_MS);
        return current?.revision === view.revision;
    }

    private computeStagger({ record }: LeaderView): Millis {
        const { peers, cores, random, buildStatus } = this.options;
        const own = { address: buildStatus().address, cores };
        const staggerMs = record === undefined ?
            undefined :
            computeStaggerDelay(peers.getMembers(), own, record);
        return staggerMs ?? random.pickInt(CLAIM_SPREAD_MS);
    }

    /** Claims the leadership if the leader record is unchanged, and leads if the claim is won. */
    private async claim(view: LeaderView): Promise<void> {
        const { name, incarnation, cores, clock, log, storePort, reachability, epochs, startupGrace } =
            this.options;
        const wasHandedOver = this.options.follower.isSuccessorOf(view.record?.epoch);
        const own = {
            nodeName: name,
            address: this.options.buildStatus().address,
            life: incarnation,
            cores,
            failedBefore: startupGrace.countFailedBefore(view.record),
        };
        const result = await claimLeadership(storePort, view, own, READ_TIMEOUT_MS);
        if (result.kind !== "won" || this.options.isClosed()) {
            log.info("claimFailed", { result: result.kind });
            return;
        }
        reachability.observeClaim();
        epochs.observe(result.epoch, clock.now());
        const { epoch, previousEpoch, revision } = result;
        await this.options.runLeadership({ epoch, previousEpoch, revision, wasHandedOver });
        reachability.observeDeposed(clock.now());
    }
}
