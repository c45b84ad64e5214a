/**
 * Whether this entry may act on what the ownership table gave it. docs/design/ownership.md proves the rule.
 *
 * @remarks The failure it guards against: an entry that was paused or cut off goes on ordering workers after
 * others took its slices. It would show as a task running in two places, on a worker that only the old owner
 * can reach. The rule holds because a taker needs the store and the word of a majority, and an entry without a
 * valid lease stops as soon as it cannot hear a majority that knows of no taker.
 */
import type { Clock, Millis } from "../../common/clock.js";
import type { CellSettings } from "../../version/settings.js";
import type { HeardDigest } from "../roles.js";

/** What the rule reads. */
export interface StandingSource {
    readonly clock: Clock;
    readonly memberId: string;
    getCell(): CellSettings;
    /** Members of the table held, this entry included while it is one. */
    listMemberIds(): readonly string[];
    getTableRevision(): number;
    getDigest(memberId: string): HeardDigest | undefined;
    /** Instant of the last answered call to the store, counted from its sending. */
    getLastStoreContact(): Millis | undefined;
}

/** The rule, with the entry's own lease as its only state. */
export class Standing {
    private leaseValidUntil: Millis | undefined;

    /** @param source - What the rule reads. */
    constructor(private readonly source: StandingSource) {}

    /**
     * Records that the store extended this entry's lease.
     * @param sentAt - Instant at which the call was sent; the lease surely lasts its time to live from then.
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
     * Returns the instant until which the entry's own lease in the store is surely valid, by its own clock.
     * Orders to workers that compare no epochs must not be taken after it.
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
        let heard = 1;
        for (const memberId of members) {
            const digest = memberId === this.source.memberId ? undefined : this.source.getDigest(memberId);
            if (digest === undefined || now - digest.sureAt > cell.freshMs) {
                continue;
            }
            if (this.hasNews(digest, leaseEnd)) {
                return false;
            }
            heard++;
        }
        return heard > members.length / 2;
    }

    /** Whether a peer knows of a newer table, or reached the store after this entry's lease had ended. */
    private hasNews(heard: HeardDigest, leaseEnd: Millis): boolean {
        const { digest, heardAt } = heard;
        if (digest.tableRevision > this.source.getTableRevision()) {
            return true;
        }
        return digest.storeContactAgeMs >= 0 && heardAt - digest.storeContactAgeMs > leaseEnd;
    }
}

/**
 * Tells whether a majority of the members that may still act has heard of a table.
 * @param base - Members of the table and members lost that may still be running.
 * @param memberId - This entry, which has.
 * @param revision - Revision of the table.
 * @param getDigest - Last digest of a member.
 */
export function isKnownByMajority(
    base: readonly string[],
    memberId: string,
    revision: number,
    getDigest: (memberId: string) => HeardDigest | undefined,
): boolean {
    const aware = base.filter(each =>
        each === memberId || (getDigest(each)?.digest.tableRevision ?? -1) >= revision
    );
    return aware.length > base.length / 2;
}
