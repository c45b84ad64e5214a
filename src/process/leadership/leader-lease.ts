/** Keeps the leader's lease in the store, by which other nodes see that the leader is alive. */
import { sleep } from "../../common/clock.js";
import type { Clock, Millis } from "../../common/clock.js";
import { ALIVE_KEY, LEADER_KEY } from "../journal/keys.js";
import type { StorePort } from "../ports/index.js";

/** Time to live of the lease. A leader that is suspended is replaced at the first check after this time. */
const ALIVE_TTL_MS: Millis = 1_000;
/** Three renewals may be lost before the lease expires. */
const RENEWAL_INTERVAL_MS: Millis = 300;
/**
 * Delay before the next renewal after one without an answer, and time after which an unanswered renewal is no
 * longer waited for. Short, because the first answer of a store that was unavailable resumes all pending
 * writes.
 */
const RETRY_DELAY_MS: Millis = 100;
const CALL_TIMEOUT_MS: Millis = 400;
/**
 * Timeout of a check for which no request waits. Over a congested link, as while a new leader loads, answers
 * take long.
 */
const IDLE_CHECK_TIMEOUT_MS: Millis = 3_000;
/** An idle leader reads its record this long after the store last confirmed its leadership. */
const IDLE_AFTER_MS: Millis = 1_000;
/**
 * Age of the last confirmation by the store within which no other node can have taken over: half of the
 * lease's time to live.
 */
const MAX_CONTACT_AGE_MS: Millis = ALIVE_TTL_MS / 2;

/** Options of {@link LeaderLease}. */
export interface LeaderLeaseOptions {
    readonly port: StorePort;
    readonly clock: Clock;
    /** Identifies this incarnation of the process; the value of the alive key. */
    readonly incarnation: string;
    /** Revision of the leader's record that this node wrote. */
    readonly leaderRevision: number;
    /** Factor by which the time to live of the lease is longer than usual; 1 by default. */
    readonly ttlFactor?: number;
    /** Returns the sending time of the last call whose answer confirmed that this node leads. */
    readonly getLastContact: () => Millis;
    /** Called when the store has confirmed that this node leads, with the sending time of the call. */
    readonly observeContact: (sentAt: Millis) => void;
    /** Called for each answer of the store, whatever its content, with the time it took. */
    readonly observeAnswer: (tookMs: Millis) => void;
    /** Called when another node has taken over the leader's record. */
    readonly handleDeposed: (reason: string) => void;
}

/** Keeps the alive key in the store, attached to a lease, for as long as this node leads. */
export class LeaderLease {
    private leaseId: string | undefined;
    /**
     * The request for a lease in flight. Only one at a time: of two leases granted concurrently, the wrong
     * one might be renewed.
     */
    private pendingGrant: Promise<boolean> | undefined;
    private isChecking = false;
    private closed = false;

    constructor(private readonly options: LeaderLeaseOptions) {
        void this.run();
    }

    /** Stops the renewals and, if the store is reachable, revokes the lease at once. */
    close(): void {
        this.closed = true;
        if (this.leaseId !== undefined) {
            void this.options.port.revokeLease(this.leaseId, CALL_TIMEOUT_MS);
        }
    }

    /**
     * Returns whether the store has recently confirmed, or confirms now, that this node leads.
     *
     * @remarks A leader that was suspended while another took over would otherwise answer that a job is
     * unknown which the other has accepted. Its last confirmation is older than a takeover takes, so it reads
     * the record first.
     */
    async confirm(): Promise<boolean> {
        if (this.hasRecentContact()) {
            return true;
        }
        await this.check();
        return this.hasRecentContact();
    }

    private hasRecentContact(): boolean {
        return !this.closed && this.options.clock.now() - this.options.getLastContact() < MAX_CONTACT_AGE_MS;
    }

    private async run(): Promise<void> {
        const { clock } = this.options;
        while (!this.closed) {
            const sentAt = clock.now();
            const isAnswered = await this.ensureLease(sentAt);
            this.checkIfIdle();
            await sleep(clock, isAnswered ? RENEWAL_INTERVAL_MS : RETRY_DELAY_MS);
        }
    }

    /**
     * Reads the record of an idle leader concurrently with the renewals, which must not wait for a slow
     * answer.
     */
    private checkIfIdle(): void {
        const isIdle = this.options.clock.now() - this.options.getLastContact() > IDLE_AFTER_MS;
        if (isIdle && !this.isChecking && !this.closed) {
            this.isChecking = true;
            void this.check(IDLE_CHECK_TIMEOUT_MS).finally(() => {
                this.isChecking = false;
            });
        }
    }

    /** Requests or renews the lease. Returns whether the store answered within the retry delay. */
    private async ensureLease(sentAt: Millis): Promise<boolean> {
        const { leaseId } = this;
        if (leaseId === undefined) {
            this.pendingGrant ??= this.grant(sentAt).finally(() => {
                this.pendingGrant = undefined;
            });
        }
        const call = leaseId === undefined ? this.pendingGrant : this.renew(leaseId, sentAt);
        return await Promise.race([call, sleep(this.options.clock, RETRY_DELAY_MS)]) ?? false;
    }

    /**
     * Requests a lease and attaches the alive key to it, if this node still leads. Returns whether that
     * succeeded.
     */
    private async grant(sentAt: Millis): Promise<boolean> {
        const { port, incarnation, leaderRevision, ttlFactor: factor = 1 } = this.options;
        const granted = await port.grantLease(Math.round(ALIVE_TTL_MS * factor), CALL_TIMEOUT_MS);
        if (granted.kind !== "done") {
            return false;
        }
        this.observeAnswer(sentAt);
        const answer = await port.transact(
            {
                conditions: [{ key: LEADER_KEY, revision: leaderRevision }],
                writes: [{ key: ALIVE_KEY, value: incarnation, leaseId: granted.value }],
                removals: [],
            },
            CALL_TIMEOUT_MS,
        );
        if (answer.kind === "done") {
            this.leaseId = granted.value;
            this.options.observeContact(sentAt);
            return true;
        }
        if (answer.kind === "refused" && answer.reason === "conflict" && !this.closed) {
            this.options.handleDeposed("the leader's record has changed");
        }
        return false;
    }

    /**
     * Renews the lease; returns whether the store answered. The answer does not confirm the leadership, since
     * the lease belongs to this process and can outlive it.
     */
    private async renew(leaseId: string, sentAt: Millis): Promise<boolean> {
        const answer = await this.options.port.renewLease(leaseId, CALL_TIMEOUT_MS);
        if (answer.kind === "refused" && this.leaseId === leaseId) {
            this.leaseId = undefined;
        }
        const isAnswered = answer.kind === "done" || answer.kind === "refused";
        if (isAnswered) {
            this.observeAnswer(sentAt);
        }
        return isAnswered;
    }

    private observeAnswer(sentAt: Millis): void {
        this.options.observeAnswer(this.options.clock.now() - sentAt);
    }

    private async check(timeout: Millis = CALL_TIMEOUT_MS): Promise<void> {
        const { port, clock, leaderRevision } = this.options;
        const sentAt = clock.now();
        const answer = await port.read(LEADER_KEY, timeout);
        if (answer.kind !== "done" || this.closed) {
            return;
        }
        if (answer.value?.revision === leaderRevision) {
            this.options.observeContact(sentAt);
            return;
        }
        this.options.handleDeposed("the leader's record has changed");
    }
}
