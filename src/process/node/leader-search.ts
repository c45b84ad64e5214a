/** A node's search for a leader, over and over: it follows the one that it finds, or claims the place. */
import type { Millis } from "../../common/clock.js";
import { sleep } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import { claimLeadership, readLeader } from "../leadership/leader-record.js";
import type { LeaderView } from "../leadership/leader-record.js";
import { computeClaimTurn } from "./claim-order.js";
import { computeClaimDelay, computeFirstClaimDelay } from "./larger-node.js";
import type { LeaderFollower, LeaderFollowerOptions } from "./leader-follower.js";
import type { WonClaim } from "./leader-seat.js";

/** What a search is made from. */
export interface LeaderSearchOptions extends Omit<LeaderFollowerOptions, "config" | "handleCall"> {
    /** This node's name. */
    readonly name: string;
    /** Unique for this life of the process. */
    readonly life: string;
    readonly random: Random;
    readonly follower: LeaderFollower;
    /** Tells whether this node gave the leadership of an epoch away a moment ago, and leaves the next claim to the heir. */
    readonly isLeftToHeir: (epoch: number) => boolean;
    /** Leads under a claim; resolves once that is over. */
    readonly runLeadership: (claim: WonClaim) => Promise<void>;
}

const READ_TIMEOUT_MS: Millis = 500;
const STORE_RETRY_MS: Millis = 150;
const RELOOK_MS: Millis = 100;
const FAILED_SEARCH_PAUSE_MS: Millis = 1_000;
/** Spread of the claims of nodes that do not know of each other, so that one usually wins before the others try. */
const CLAIM_SPREAD_MS: Millis = 60;

/** The search; see the module comment. */
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

    /** Follows a leader until it is gone, or leads, or finds that the store is silent. */
    private async followOrClaim(): Promise<void> {
        const { clock, storePort, log, epochs, patience } = this.options;
        const view = await readLeader(storePort, READ_TIMEOUT_MS);
        if (view === undefined) {
            await this.followHint();
            await sleep(clock, STORE_RETRY_MS);
            return;
        }
        epochs.observe(view.record?.epoch ?? 0, clock.now());
        const reason = await this.findClaimReason(view);
        if (reason === undefined) {
            await sleep(clock, RELOOK_MS);
            return;
        }
        if (!await this.waitForTurn(view)) {
            return;
        }
        log.info("leadershipClaimed", {
            reason,
            lastEpoch: view.record?.epoch,
            lastLeader: view.record?.nodeName,
            failedBefore: patience.countFailedBefore(view.record),
        });
        await this.claim(view);
    }

    /** Follows the leader for as long as it is there; returns why to claim its place, or undefined to look again. */
    private async findClaimReason(view: LeaderView): Promise<string | undefined> {
        const { record } = view;
        const { name, cores, clock, follower, isDraining, isLeftToHeir } = this.options;
        if (isDraining()) {
            // A node that leaves still follows, so that its last callers are answered.
            return record === undefined ? undefined : follower.follow(view);
        }
        if (record === undefined) {
            await sleep(clock, computeFirstClaimDelay(cores));
            return "nobody leads yet";
        }
        if (isLeftToHeir(record.epoch)) {
            return undefined;
        }
        if (record.nodeName === name) {
            return "the leader was an earlier life of this node";
        }
        if (follower.isHeirOf(record.epoch)) {
            return "the leader handed over";
        }
        return follower.follow(view);
    }

    /** Finds the leader through other nodes while the store turns this one away. */
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
     * Lets nodes with an earlier turn claim first, unless the place was given to this one.
     * @returns Whether the place is still as it was seen.
     */
    private async waitForTurn(view: LeaderView): Promise<boolean> {
        const { clock, storePort, cores, follower } = this.options;
        if (follower.isHeirOf(view.record?.epoch)) {
            return true;
        }
        const delay = computeClaimDelay(cores, this.options.peers.getMostCores()) + this.computeTurn(view);
        if (delay === 0) {
            return true;
        }
        await sleep(clock, delay);
        const now = await readLeader(storePort, READ_TIMEOUT_MS);
        return now?.revision === view.revision;
    }

    private computeTurn({ record }: LeaderView): Millis {
        const { peers, cores, random, buildStatus } = this.options;
        const own = { address: buildStatus().address, cores };
        const turn = record === undefined ? undefined : computeClaimTurn(peers.getMembers(), own, record);
        return turn ?? random.pickInt(CLAIM_SPREAD_MS);
    }

    /** Claims the place that was seen, and leads if the claim is won. */
    private async claim(view: LeaderView): Promise<void> {
        const { name, life, cores, clock, log, storePort, reach, epochs, patience } = this.options;
        const wasHandedOver = this.options.follower.isHeirOf(view.record?.epoch);
        const own = {
            nodeName: name,
            address: this.options.buildStatus().address,
            life,
            cores,
            failedBefore: patience.countFailedBefore(view.record),
        };
        const result = await claimLeadership(storePort, view, own, READ_TIMEOUT_MS);
        if (result.kind !== "won" || this.options.isClosed()) {
            log.info("claimFailed", { result: result.kind });
            return;
        }
        reach.observeClaim();
        epochs.observe(result.epoch, clock.now());
        await this.options.runLeadership({ epoch: result.epoch, revision: result.revision, wasHandedOver });
        reach.observeDeposed(clock.now());
    }
}
