/** The lease by which the store tells other nodes that it still hears the leader. */
import { sleep } from "../../common/clock.js";
import type { Clock, Millis } from "../../common/clock.js";
import { ALIVE_KEY, LEADER_KEY } from "../journal/keys.js";
import type { StorePort } from "../ports/index.js";

/** Time to live of the lease: a leader that stands still is replaced after this time and a look. */
const ALIVE_TTL_MS: Millis = 1_000;
/** Three renewals may be lost before the lease runs out. */
const RENEW_MS: Millis = 300;
/**
 * Pause after a renewal without an answer, and time after which the next one is sent beside it: a store that was away is
 * heard of this soon after its return, and all writes that wait go on then.
 */
const RENEW_AGAIN_MS: Millis = 100;
const CALL_TIMEOUT_MS: Millis = 400;
/** Time for a look that nobody waits for: over a link that is full, as while a new leader loads, an answer takes long. */
const IDLE_CHECK_TIMEOUT_MS: Millis = 3_000;
/** An idle leader looks at its record this long after its last write. */
const CHECK_AFTER_MS: Millis = 1_000;
/** Half of the lease: nobody takes the place of a leader that the store has answered this short a time ago. */
const FRESH_MS: Millis = ALIVE_TTL_MS / 2;

/** What keeping the lease needs. */
export interface LeaderLeaseOptions {
    readonly port: StorePort;
    readonly clock: Clock;
    readonly life: string;
    readonly leaderRevision: number;
    /** Factor by which the lease is longer than usual. */
    readonly slowness?: number;
    /** Returns when the last call was sent whose answer showed that this node leads. */
    readonly getLastContact: () => Millis;
    /** Such a call was sent at this instant. */
    readonly observeContact: (sentAt: Millis) => void;
    /** The store has answered a call, whatever it said, after this time. */
    readonly observeAnswer: (tookMs: Millis) => void;
    /** The record is another's. */
    readonly handleDeposed: (reason: string) => void;
}

/** Keeps the alive key on a lease for as long as this node leads. */
export class LeaderLease {
    private leaseId: string | undefined;
    /** The one under way: of two leases granted side by side the wrong one might be renewed. */
    private granting: Promise<boolean> | undefined;
    private isChecking = false;
    private closed = false;

    constructor(private readonly options: LeaderLeaseOptions) {
        void this.run();
    }

    /** Stops renewing and, if possible, ends the lease at once. */
    close(): void {
        this.closed = true;
        if (this.leaseId !== undefined) {
            void this.options.port.revokeLease(this.leaseId, CALL_TIMEOUT_MS);
        }
    }

    /**
     * Tells whether this node still leads, as the store has just shown it.
     *
     * @remarks Failure guarded against: a leader that stood still while another took over wakes up, and tells a caller
     * that a job is unknown which the other has accepted. It has heard nothing from the store for longer than a
     * take-over takes, so it looks at the record first.
     */
    async confirm(): Promise<boolean> {
        if (this.isFresh()) {
            return true;
        }
        await this.check();
        return this.isFresh();
    }

    private isFresh(): boolean {
        return !this.closed && this.options.clock.now() - this.options.getLastContact() < FRESH_MS;
    }

    private async run(): Promise<void> {
        const { clock } = this.options;
        while (!this.closed) {
            const sentAt = clock.now();
            const isAnswered = await this.ensureLease(sentAt);
            this.checkIfIdle();
            await sleep(clock, isAnswered ? RENEW_MS : RENEW_AGAIN_MS);
        }
    }

    /** Looks at the record beside the renewals, which must not wait for a look that is not answered. */
    private checkIfIdle(): void {
        const isIdle = this.options.clock.now() - this.options.getLastContact() > CHECK_AFTER_MS;
        if (isIdle && !this.isChecking && !this.closed) {
            this.isChecking = true;
            void this.check(IDLE_CHECK_TIMEOUT_MS).finally(() => {
                this.isChecking = false;
            });
        }
    }

    /** Takes or renews the lease; tells whether the store has answered soon. */
    private async ensureLease(sentAt: Millis): Promise<boolean> {
        const { leaseId } = this;
        if (leaseId === undefined) {
            this.granting ??= this.grant(sentAt).finally(() => {
                this.granting = undefined;
            });
        }
        const call = leaseId === undefined ? this.granting : this.renew(leaseId, sentAt);
        return await Promise.race([call, sleep(this.options.clock, RENEW_AGAIN_MS)]) ?? false;
    }

    private async grant(sentAt: Millis): Promise<boolean> {
        const { port, life, leaderRevision, slowness = 1 } = this.options;
        const granted = await port.grantLease(Math.round(ALIVE_TTL_MS * slowness), CALL_TIMEOUT_MS);
        if (granted.kind !== "done") {
            return false;
        }
        this.observeAnswer(sentAt);
        const answer = await port.transact(
            {
                conditions: [{ key: LEADER_KEY, revision: leaderRevision }],
                writes: [{ key: ALIVE_KEY, value: life, leaseId: granted.value }],
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

    /** A renewal shows nothing of the record: the lease is this process's own and outlives its leadership. */
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
