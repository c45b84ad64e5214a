/**
 * Suspects members whose digests stop arriving. A suspicion is a hint, never a proof that the member stopped.
 */
import type { Clock, Millis } from "../../common/clock.js";
import type { ReceivedDigest } from "../roles.js";

/** Time without a digest after which a peer is suspected, in digest intervals. */
const SUSPECT_AFTER_INTERVALS = 8;

/** Inputs of {@link FailureDetector}. */
export interface FailureDetectorSource {
    readonly clock: Clock;
    readonly memberId: string;
    getDigestMs(): Millis;
    listMemberIds(): readonly string[];
    getDigest(memberId: string): ReceivedDigest | undefined;
}

/** Judges members by the age of their last digest. */
export class FailureDetector {
    private readonly listedSince = new Map<string, Millis>();

    constructor(private readonly source: FailureDetectorSource) {}

    /** Updates the tracked members after a change of the table. */
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

    /** Members from which this entry has received digests, but none recently. */
    listSuspects(): readonly string[] {
        return this.source.listMemberIds().filter(memberId => this.hasTimedOut(memberId));
    }

    /**
     * Whether the member has sent a digest, and either that is recent or the member was listed only recently.
     */
    isResponsive(memberId: string): boolean {
        return !this.hasTimedOut(memberId) && this.source.getDigest(memberId) !== undefined;
    }

    /** Whether the member's last digest is recent and says that it accepts work. */
    isReachable(memberId: string): boolean {
        const received = this.findRecentDigest(memberId);
        return received !== undefined && !received.digest.draining;
    }

    /**
     * Whether a majority of the members, this entry among them, suspects a member.
     */
    isSuspectedByMajority(memberId: string): boolean {
        if (!this.hasTimedOut(memberId)) {
            return false;
        }
        const ids = this.source.listMemberIds();
        const others = ids.filter(each =>
            each !== this.source.memberId &&
            this.findRecentDigest(each)?.digest.suspects.includes(memberId) === true
        );
        return others.length + 1 > ids.length / 2;
    }

    private hasTimedOut(memberId: string): boolean {
        if (memberId === this.source.memberId) {
            return false;
        }
        // A member that rejoined has to connect first: the age of its earlier digests does not count against
        // it.
        const listedAt = this.listedSince.get(memberId) ?? this.source.clock.now();
        const isNew = this.source.clock.now() - listedAt <= this.getTimeoutMs();
        return !isNew && this.source.getDigest(memberId) !== undefined &&
            this.findRecentDigest(memberId) === undefined;
    }

    private findRecentDigest(memberId: string): ReceivedDigest | undefined {
        const received = this.source.getDigest(memberId);
        return received !== undefined &&
                this.source.clock.now() - received.receivedAt <= this.getTimeoutMs() ?
            received :
            undefined;
    }

    private getTimeoutMs(): Millis {
        return this.source.getDigestMs() * SUSPECT_AFTER_INTERVALS;
    }
}
