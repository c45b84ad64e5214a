/** Which members have fallen silent, from the digests that arrive and stop arriving. A hint, never a proof. */
import type { Clock, Millis } from "../../common/clock.js";
import type { HeardDigest } from "../roles.js";

/** Digests missed before a peer is suspected, in digest intervals. */
const SUSPECT_AFTER_DIGESTS = 8;

/** What {@link Suspicion} reads. */
export interface SuspicionSource {
    readonly clock: Clock;
    readonly memberId: string;
    getDigestMs(): Millis;
    listMemberIds(): readonly string[];
    getDigest(memberId: string): HeardDigest | undefined;
}

/** Judges members by when they were last heard of. */
export class Suspicion {
    private readonly listedSince = new Map<string, Millis>();

    constructor(private readonly source: SuspicionSource) {}

    /** Takes in that the table may list other members than before. */
    trackMembers(): void {
        const ids = this.source.listMemberIds();
        for (const memberId of ids) {
            this.listedSince.set(memberId, this.listedSince.get(memberId) ?? this.source.clock.now());
        }
        for (const memberId of [...this.listedSince.keys()]) {
            if (!ids.includes(memberId)) {
                this.listedSince.delete(memberId);
            }
        }
    }

    /** Members that this entry has heard of before but not lately. */
    listSuspects(): readonly string[] {
        return this.source.listMemberIds().filter(memberId => this.isSilent(memberId));
    }

    /** Whether a member was heard of lately, or was listed too lately to tell. */
    isHeard(memberId: string): boolean {
        return !this.isSilent(memberId) && this.source.getDigest(memberId) !== undefined;
    }

    /** Whether a member was heard of lately and takes work. */
    isReachable(memberId: string): boolean {
        const heard = this.findFresh(memberId);
        return heard !== undefined && !heard.digest.draining;
    }

    /**
     * Whether this entry and, with it, a majority of members suspect a member.
     * @param memberId - The member in question.
     */
    isSuspectedByMajority(memberId: string): boolean {
        if (!this.isSilent(memberId)) {
            return false;
        }
        const ids = this.source.listMemberIds();
        const others = ids.filter(each =>
            each !== this.source.memberId && this.findFresh(each)?.digest.suspects.includes(memberId) === true
        );
        return others.length + 1 > ids.length / 2;
    }

    private isSilent(memberId: string): boolean {
        if (memberId === this.source.memberId) {
            return false;
        }
        // A member that came back has to connect first: what was heard of it before does not count against it.
        const listedAt = this.listedSince.get(memberId) ?? this.source.clock.now();
        const isNew = this.source.clock.now() - listedAt <= this.getLimit();
        return !isNew && this.source.getDigest(memberId) !== undefined &&
            this.findFresh(memberId) === undefined;
    }

    private findFresh(memberId: string): HeardDigest | undefined {
        const heard = this.source.getDigest(memberId);
        return heard !== undefined && this.source.clock.now() - heard.heardAt <= this.getLimit() ?
            heard :
            undefined;
    }

    private getLimit(): Millis {
        return this.source.getDigestMs() * SUSPECT_AFTER_DIGESTS;
    }
}
