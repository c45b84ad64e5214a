/** This entry's lease in the store and the member key that lives on it. */
import type { Millis, Timer } from "../../common/clock.js";
import type { RoleContext } from "../roles.js";
import type { Standing } from "./standing.js";

/** Prefix of the member keys; the rest of the key is the member id. */
export const MEMBER_PREFIX = "cell/members/";

/** Renewals in each time to live: with five, four can be lost or late before the lease lapses. */
const RENEWALS_PER_TTL = 5;

/** Renewals under way at once: a store that answers in 5 s must not end a lease of 15 s. */
const MAX_RENEWALS_IN_FLIGHT = 4;

/** Waits after a lease that lapsed, doubling: an entry that the others cannot hear is removed again and again. */
const FIRST_REJOIN_DELAY_MS: Millis = 1_000;
const LAST_REJOIN_DELAY_MS: Millis = 60_000;

/** What {@link MemberLease} is given. */
export interface MemberLeaseOptions {
    readonly context: Pick<RoleContext, "memberId" | "clock" | "log" | "store">;
    readonly standing: Standing;
    getTtl(): number;
    /** Reads the ownership table from the store; returns whether it answered. */
    refreshTable(): Promise<boolean>;
    /** Value of the member key. */
    readonly value: (leaseId: string) => string;
}

/** Keeps a lease granted, renewed and bound to the member key until closed. */
export class MemberLease {
    private leaseId: string | undefined;
    private inFlight = 0;
    private granting = false;
    private closed = false;
    private rejoinDelay = FIRST_REJOIN_DELAY_MS;
    private grantNotBefore = Number.NEGATIVE_INFINITY;
    private heldSince: Millis = 0;
    private timer: Timer | undefined;

    constructor(private readonly options: MemberLeaseOptions) {}

    /** Starts keeping the lease. */
    start(): void {
        this.step();
    }

    /** Whether the member key stands on a lease that the store granted. */
    isHeld(): boolean {
        return this.leaseId !== undefined;
    }

    /** Stops and ends the lease, so that the others need not wait for it to lapse. */
    async close(): Promise<void> {
        this.closed = true;
        this.timer?.cancel();
        const leaseId = this.leaseId;
        this.leaseId = undefined;
        if (leaseId !== undefined) {
            await this.options.context.store.revokeLease(leaseId);
        }
    }

    private step(): void {
        if (this.closed) {
            return;
        }
        if (this.leaseId === undefined) {
            void this.grant();
        }
        else if (this.inFlight < MAX_RENEWALS_IN_FLIGHT) {
            void this.renew(this.leaseId);
        }
        const interval = this.options.getTtl() / RENEWALS_PER_TTL;
        this.timer = this.options.context.clock.schedule(interval, () => this.step());
    }

    private async grant(): Promise<void> {
        if (this.granting || this.options.context.clock.now() < this.grantNotBefore) {
            return;
        }
        this.granting = true;
        const { store, clock, memberId, log } = this.options.context;
        const ttl = this.options.getTtl();
        const sentAt = clock.now();
        const granted = await store.grantLease(ttl, ttl);
        if (granted.kind === "done" && !this.closed) {
            const written = await store.write({
                key: `${MEMBER_PREFIX}${memberId}`,
                value: this.options.value(granted.value),
                expectedRevision: 0,
                leaseId: granted.value,
                patienceMs: ttl,
                vital: true,
            });
            // The table is read after the grant: an entry whose old lease lapsed may have lost its slices, and a
            // new lease must not let it act on the table from before.
            if (written.kind === "done" && await this.options.refreshTable()) {
                this.leaseId = granted.value;
                this.heldSince = clock.now();
                this.options.standing.renewLease(sentAt);
                log.info("member lease granted", { leaseId: granted.value });
            }
        }
        this.granting = false;
    }

    private async renew(leaseId: string): Promise<void> {
        this.inFlight++;
        const { store, clock, log } = this.options.context;
        const sentAt = clock.now();
        const result = await store.renewLease(leaseId, this.options.getTtl());
        this.inFlight--;
        if (this.leaseId !== leaseId) {
            return;
        }
        if (result === "done") {
            this.options.standing.renewLease(sentAt);
        }
        else if (result === "lapsed") {
            // The store has deleted the member key: others may already have taken the slices.
            this.leaseId = undefined;
            this.options.standing.dropLease();
            this.holdBackRejoin();
            log.warn("CR1001", "member lease lapsed", { leaseId });
        }
    }

    private holdBackRejoin(): void {
        const now = this.options.context.clock.now();
        const wasSteady = now - this.heldSince > LAST_REJOIN_DELAY_MS;
        // The first lapse after a steady time is most often an outage of the store: the next lease is asked for at once.
        this.grantNotBefore = wasSteady ? now : now + this.rejoinDelay;
        this.rejoinDelay = wasSteady ?
            FIRST_REJOIN_DELAY_MS :
            Math.min(LAST_REJOIN_DELAY_MS, this.rejoinDelay * 2);
    }
}
