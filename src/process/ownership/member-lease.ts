/** This entry's lease in the store, and the member key that exists as long as the lease. */
import type { Millis, Timer } from "../../common/clock.js";
import type { RoleContext } from "../roles.js";
import type { Authority } from "./authority.js";

/** Prefix of the member keys; the rest of the key is the member id. */
export const MEMBER_PREFIX = "cell/members/";

/** Renewals per time to live: with five, four can be lost or late before the lease lapses. */
const RENEWALS_PER_TTL = 5;

/** Maximum number of renewals in flight: a store that answers after 5 s must not end a lease of 15 s. */
const MAX_RENEWALS_IN_FLIGHT = 4;

/**
 * Backoff after a lapsed lease, doubled each time: an entry that its peers cannot reach is removed
 * repeatedly.
 */
const INITIAL_REJOIN_DELAY_MS: Millis = 1_000;
const MAX_REJOIN_DELAY_MS: Millis = 60_000;

/** Dependencies of {@link MemberLease}. */
export interface MemberLeaseOptions {
    readonly context: Pick<RoleContext, "memberId" | "clock" | "log" | "store">;
    readonly authority: Authority;
    getTtl(): number;
    /** Reads the ownership table from the store; returns whether it answered. */
    refreshTable(): Promise<boolean>;
    /** Returns the value of the member key. */
    readonly makeKeyValue: (leaseId: string) => string;
}

/** Obtains a lease, renews it and binds the member key to it, until closed. */
export class MemberLease {
    private leaseId: string | undefined;
    private inFlight = 0;
    private granting = false;
    private closed = false;
    private rejoinDelay = INITIAL_REJOIN_DELAY_MS;
    private grantNotBefore = Number.NEGATIVE_INFINITY;
    private heldSince: Millis = 0;
    private timer: Timer | undefined;

    constructor(private readonly options: MemberLeaseOptions) {}

    /** Requests the lease and starts to renew it. */
    start(): void {
        this.step();
    }

    /** Whether the member key is bound to a lease that the store granted. */
    isHeld(): boolean {
        return this.leaseId !== undefined;
    }

    /** Stops and revokes the lease, so that the other members need not wait until it lapses. */
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
                value: this.options.makeKeyValue(granted.value),
                expectedRevision: 0,
                leaseId: granted.value,
                timeoutMs: ttl,
                vital: true,
            });
            // The table is read after the grant: an entry whose old lease lapsed may have lost its slices,
            // and a new lease must not let it act on an outdated table.
            if (written.kind === "done" && await this.options.refreshTable()) {
                this.leaseId = granted.value;
                this.heldSince = clock.now();
                this.options.authority.renewLease(sentAt);
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
            this.options.authority.renewLease(sentAt);
        }
        else if (result === "lapsed") {
            // The store has deleted the member key: others may already have taken over the slices.
            this.leaseId = undefined;
            this.options.authority.dropLease();
            this.holdBackRejoin();
            log.warn("CR1001", "member lease lapsed", { leaseId });
        }
    }

    private holdBackRejoin(): void {
        const now = this.options.context.clock.now();
        const wasSteady = now - this.heldSince > MAX_REJOIN_DELAY_MS;
        // The first lapse after a steady time usually means a store outage: the next lease is requested at
        // once.
        this.grantNotBefore = wasSteady ? now : now + this.rejoinDelay;
        this.rejoinDelay = wasSteady ?
            INITIAL_REJOIN_DELAY_MS :
            Math.min(MAX_REJOIN_DELAY_MS, this.rejoinDelay * 2);
    }
}
