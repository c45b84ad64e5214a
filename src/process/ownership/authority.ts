/**
 * Whether this entry may act on the slices that the ownership table assigns to it. docs/design/ownership.md
 * proves the rule.
 *
 * @remarks An entry that was paused or cut off must not go on ordering workers after others took over its
 * slices: a task could run in two places, on a worker that only the old owner can reach. The rule holds
 * because a takeover needs the store and the knowledge of a majority, and an entry without a valid lease
 * stops as soon as it receives no digests from a majority that knows of no takeover.
 */
import type { Clock, Millis } from "../../common/clock.js";
import type { CellSettings } from "../../version/settings.js";
import type { ReceivedDigest } from "../roles.js";

/** Inputs of {@link Authority}. */
export interface AuthoritySource {
    readonly clock: Clock;
    readonly memberId: string;
    getCell(): CellSettings;
    /** Members of the current table, including this entry while it is one. */
    listMemberIds(): readonly string[];
    getTableRevision(): number;
    getDigest(memberId: string): ReceivedDigest | undefined;
    /** Time at which the last answered call to the store was sent. */
    getLastStoreContact(): Millis | undefined;
}

/** Decides whether this entry may act; its only state is the entry's own lease. */
export class Authority {
    private leaseValidUntil: Millis | undefined;

    constructor(private readonly source: AuthoritySource) {}

    /**
     * Records that the store extended this entry's lease.
     * @param sentAt - Time at which the call was sent; the lease lasts at least its time to live from then.
     */
    renewLease(sentAt: Millis): void {
        const cell = this.source.getCell();
        const until = sentAt + cell.memberTtlMs * (1 - cell.clockDrift);
        this.leaseValidUntil = Math.max(this.leaseValidUntil ?? until, until);
    }

    /** Records that the store ended this entry's lease, or that the table no longer lists it. */
    dropLease(): void {
        this.leaseValidUntil = undefined;
    }

    /**
     * Returns the time, by this entry's clock, until which its lease in the store is certainly valid. Workers
     * that compare no epochs must not accept orders after it.
     */
    getLeaseDeadline(): Millis {
        return this.leaseValidUntil ?? Number.NEGATIVE_INFINITY;
    }

    /** Whether orders may be sent now. */
    mayAct(): boolean {
        if (this.leaseValidUntil === undefined) {
            return false;
        }
        const now = this.source.clock.now();
        return now < this.leaseValidUntil || this.mayActWithoutStore(now, this.leaseValidUntil);
    }

    private mayActWithoutStore(now: Millis, leaseEnd: Millis): boolean {
        const cell = this.source.getCell();
        const contact = this.source.getLastStoreContact();
        if (contact === undefined || now - contact > cell.outageToleranceMs) {
            return false;
        }
        const members = this.source.listMemberIds();
        if (!members.includes(this.source.memberId)) {
            return false;
        }
        let agreeing = 1;
        for (const memberId of members) {
            const digest = memberId === this.source.memberId ? undefined : this.source.getDigest(memberId);
            if (digest === undefined || now - digest.createdAfter > cell.freshMs) {
                continue;
            }
            if (this.hasNewerEvidence(digest, leaseEnd)) {
                return false;
            }
            agreeing++;
        }
        return agreeing > members.length / 2;
    }

    /** Whether a peer knows a newer table, or reached the store after this entry's lease had ended. */
    private hasNewerEvidence(received: ReceivedDigest, leaseEnd: Millis): boolean {
        const { digest, receivedAt } = received;
        if (digest.tableRevision > this.source.getTableRevision()) {
            return true;
        }
        return digest.storeContactAgeMs >= 0 && receivedAt - digest.storeContactAgeMs > leaseEnd;
    }
}

/**
 * Returns whether a majority of the members that may still act knows a table of this revision or a newer one.
 * @param base - Members of the table, and lost members that may still be running.
 * @param memberId - This entry, which knows the table.
 * @param getDigest - Returns the last digest of a member.
 */
export function isKnownByMajority(
    base: readonly string[],
    memberId: string,
    revision: number,
    getDigest: (memberId: string) => ReceivedDigest | undefined,
): boolean {
    const aware = base.filter(each =>
        each === memberId || (getDigest(each)?.digest.tableRevision ?? -1) >= revision
    );
    return aware.length > base.length / 2;
}
