/** Which placer a service request goes to: the better of two picked at random by how full they are. */
import type { Random } from "../../common/random.js";
import type { PeerHub } from "../roles.js";

/** A placer that can be chosen. */
interface Candidate {
    readonly memberId: string;
    /** Free slots now, by the last digest less what was sent since. */
    readonly room: number;
    readonly slots: number;
    /** Requests waiting or under way beyond the free slots. */
    readonly excess: number;
}

/** What {@link PlacerChoice} is given. */
export interface PlacerChoiceOptions {
    readonly random: Random;
    readonly peers: PeerHub;
    listMemberIds(): readonly string[];
}

/** Chooses placers and counts what was sent to each since its last digest. */
export class PlacerChoice {
    private readonly sent = new Map<string, { sequence: number; count: number; }>();

    constructor(private readonly options: PlacerChoiceOptions) {}

    /**
     * Chooses a placer for a try.
     * @param avoid - Members to pass over if any other has workers.
     * @returns The member and the one it was compared with, or undefined when no reachable member has workers.
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
            const since = sent?.sequence === digest.sequence ? sent.count : 0;
            const room = digest.load.freeSlots - since;
            candidates.push({
                memberId,
                room,
                slots: digest.load.totalSlots,
                excess: digest.load.queuedRequests + Math.max(0, -room),
            });
        }
        return candidates;
    }

    /** Picks in proportion to slots, so that a placer of few workers is not drowned. */
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
    return (candidate.excess - Math.max(0, candidate.room)) / candidate.slots;
}
