/** Selects the placer for a service request: the less loaded of two candidates picked at random. */
import type { Random } from "../../common/random.js";
import type { PeerHub } from "../roles.js";

/** A placer that can be selected. */
interface Candidate {
    readonly memberId: string;
    /** Free slots by the last digest, less the requests sent since; may be negative. */
    readonly freeSlots: number;
    readonly slots: number;
    /** Queued requests, and requests sent since the last digest beyond the free slots. */
    readonly excess: number;
}

/** Options of {@link PlacerSelector}. */
export interface PlacerSelectorOptions {
    readonly random: Random;
    readonly peers: PeerHub;
    listMemberIds(): readonly string[];
}

/** Selects placers and counts the requests sent to each since its last digest. */
export class PlacerSelector {
    private readonly sent = new Map<string, { sequence: number; count: number; }>();

    constructor(private readonly options: PlacerSelectorOptions) {}

    /**
     * Selects a placer for an attempt and counts a request as sent to it.
     * @param avoid - Members to skip if any other reachable member has slots.
     * @returns The member and the one it was compared with, or undefined if no reachable member has slots.
     */
    choose(
        avoid: ReadonlySet<string>,
    ): { readonly memberId: string; readonly runnersUp: readonly string[]; } | undefined {
        const all = this.listCandidates();
        const preferred = all.filter(candidate => !avoid.has(candidate.memberId));
        const candidates = preferred.length > 0 ? preferred : all;
        const first = this.pickBySlots(candidates);
        const second = this.pickBySlots(candidates);
        if (first === undefined || second === undefined) {
            return undefined;
        }
        const [winner, loser] = compareLoad(first, second) <= 0 ? [first, second] : [second, first];
        this.recordSent(winner.memberId);
        return { memberId: winner.memberId, runnersUp: loser === winner ? [] : [loser.memberId] };
    }

    private listCandidates(): readonly Candidate[] {
        const reachable = new Set(this.options.peers.listReachable());
        const candidates: Candidate[] = [];
        for (const memberId of this.options.listMemberIds()) {
            const digest = this.options.peers.getDigest(memberId)?.digest;
            if (
                digest === undefined || digest.draining || !reachable.has(memberId) ||
                digest.load.totalSlots === 0
            ) {
                continue;
            }
            const sent = this.sent.get(memberId);
            const sentSinceDigest = sent?.sequence === digest.sequence ? sent.count : 0;
            const available = digest.load.freeSlots - sentSinceDigest;
            candidates.push({
                memberId,
                freeSlots: available,
                slots: digest.load.totalSlots,
                excess: digest.load.queuedRequests + Math.max(0, -available),
            });
        }
        return candidates;
    }

    /** Picks with probability proportional to slots, so that a placer with few workers is not overloaded. */
    private pickBySlots(candidates: readonly Candidate[]): Candidate | undefined {
        const total = candidates.reduce((sum, candidate) => sum + candidate.slots, 0);
        if (total === 0) {
            return undefined;
        }
        let point = this.options.random.pickInt(total);
        for (const candidate of candidates) {
            point -= candidate.slots;
            if (point < 0) {
                return candidate;
            }
        }
        return candidates[0];
    }

    private recordSent(memberId: string): void {
        const sequence = this.options.peers.getDigest(memberId)?.digest.sequence ?? 0;
        const sent = this.sent.get(memberId);
        if (sent?.sequence === sequence) {
            sent.count++;
        }
        else {
            this.sent.set(memberId, { sequence, count: 1 });
        }
    }
}

function compareLoad(left: Candidate, right: Candidate): number {
    return getLoad(left) - getLoad(right);
}

function getLoad(candidate: Candidate): number {
    return (candidate.excess - Math.max(0, candidate.freeSlots)) / candidate.slots;
}
