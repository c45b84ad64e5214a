/** The members' keys in the store, each on its member's lease: who is alive by the store's word. */
import type { Millis } from "../../common/clock.js";
import type { RoleContext } from "../roles.js";

/** Keys of live members, as the watch of the cell tells them. */
export class MemberKeys {
    private leases: Map<string, string> | undefined;
    private readonly missingSince = new Map<string, Millis>();
    private readonly revoking = new Set<string>();

    constructor(private readonly context: Pick<RoleContext, "clock" | "store" | "log">) {}

    /** Whether the keys were listed yet. */
    isKnown(): boolean {
        return this.leases !== undefined;
    }

    /** Forgets all keys: a listing follows. */
    clear(): void {
        this.leases = new Map();
    }

    /** Takes a key's value; undefined when it was deleted or its lease lapsed. */
    apply(memberId: string, value: string | undefined): void {
        this.leases ??= new Map();
        if (value === undefined) {
            this.leases.delete(memberId);
            return;
        }
        const { leaseId } = JSON.parse(value) as { readonly leaseId?: unknown; };
        this.leases.set(memberId, typeof leaseId === "string" ? leaseId : "");
    }

    /**
     * Finds since when a member has no key, as far as this entry has asked.
     * @returns The instant of the first call that found none; undefined while it has one.
     */
    findMissingSince(memberId: string): Millis | undefined {
        if (this.leases?.has(memberId) === true) {
            this.missingSince.delete(memberId);
            return undefined;
        }
        const since = this.missingSince.get(memberId) ?? this.context.clock.now();
        this.missingSince.set(memberId, since);
        return since;
    }

    /**
     * Ends the lease of a member that a majority has not heard of lately: a dead entry's slices then move within
     * seconds and not after its whole lease. Safe, since the lease's end is what removal waits for anyway, and an
     * entry that is merely cut off learns of it by its next renewal.
     */
    revoke(memberId: string): void {
        const leaseId = this.leases?.get(memberId) ?? "";
        if (leaseId === "" || this.revoking.has(leaseId)) {
            return;
        }
        this.revoking.add(leaseId);
        this.context.log.warn("CR1003", "member suspected, its lease is revoked", { member: memberId });
        void this.context.store.revokeLease(leaseId).finally(() => this.revoking.delete(leaseId));
    }
}
