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

/** Judges members by when they were last heard of. Stateless: the digests are the state. */
export class Suspicion {
    constructor(private readonly source: SuspicionSource) {}

    /** Members that this entry has heard of before but not lately. */
    listSuspects(): readonly string[] {
        return this.source.listMemberIds().filter(memberId => this.isSilent(memberId));
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
        return this.source.getDigest(memberId) !== undefined && this.findFresh(memberId) === undefined;
    }

    private findFresh(memberId: string): HeardDigest | undefined {
        const heard = this.source.getDigest(memberId);
        const limit = this.source.getDigestMs() * SUSPECT_AFTER_DIGESTS;
        return heard !== undefined && this.source.clock.now() - heard.heardAt <= limit ? heard : undefined;
    }
}
