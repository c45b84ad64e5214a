/** The members' keys in the store: each exists as long as its member's lease. */
import type { Millis } from "../../common/clock.js";
import type { RoleContext } from "../roles.js";

/** Tracks the keys of live members through the watch of the cell. */
export class MemberKeys {
    private leases: Map<string, string> | undefined;
    private readonly missingSince = new Map<string, Millis>();
    private readonly revoking = new Set<string>();

    constructor(private readonly context: Pick<RoleContext, "clock" | "store" | "log">) {}

    /** Whether the keys have been listed. */
    isKnown(): boolean {
        return this.leases !== undefined;
    }

    /** Removes all keys, before a new listing is applied. */
    clear(): void {
        this.leases = new Map();
    }

    /** Applies the value of a key; undefined if it was deleted or its lease lapsed. */
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
     * Finds since when a member has had no key.
     * @returns The time of the first call that found none; undefined while it has one.
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
     * Revokes the lease of a member that a majority suspects, so that the slices of a dead entry move within
     * seconds rather than after the whole lease. This is safe: removal waits for the end of the lease in any
     * case, and an entry that is merely cut off learns of it by its next renewal.
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
