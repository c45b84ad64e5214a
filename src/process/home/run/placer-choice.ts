/** Chooses the placer that an order goes to: power of two choices over what the placers last said of themselves. */
import type { Millis } from "../../../common/clock.js";
import type { Resources } from "../../../common/resources.js";
import { isWithin } from "../../../common/resources.js";
import type { PlacerLoad } from "../../../connection/messages.js";
import type { SliceCore } from "./core.js";

/** A placer that takes work now. */
export interface PlacerCandidate {
    readonly memberId: string;
    readonly load: PlacerLoad;
}

/** Knows the placers as one slice sees them. */
export class PlacerChoice {
    /** Orders of this slice that wait at each placer. */
    private readonly waiting = new Map<string, number>();
    private readonly pausedUntil = new Map<string, Millis>();

    constructor(private readonly core: SliceCore) {}

    /** Counts an order in or out of a placer's window. */
    recordWaiting(memberId: string, change: number): void {
        const count = (this.waiting.get(memberId) ?? 0) + change;
        if (count <= 0) {
            this.waiting.delete(memberId);
        }
        else {
            this.waiting.set(memberId, count);
        }
    }

    /** Leaves a placer alone for work of a branch, as it asked. */
    pausePlacer(memberId: string, branch: string, durationMs: Millis): void {
        if (this.pausedUntil.size > MAX_PAUSES) {
            this.pausedUntil.clear();
        }
        this.pausedUntil.set(`${memberId} ${branch}`, this.core.context.clock.now() + durationMs);
    }

    /** Placers with a fresh digest that own a ready slice and are not shutting down, in order of member id. */
    listCandidates(): PlacerCandidate[] {
        const { peers, ownership, clock, settings } = this.core.context;
        const freshMs = settings.getCurrent()?.cell.freshMs ?? DEFAULT_FRESH_MS;
        const candidates: PlacerCandidate[] = [];
        for (const { memberId } of ownership.listMembers()) {
            const heard = peers.getDigest(memberId);
            if (heard === undefined || heard.digest.draining || clock.now() - heard.heardAt > freshMs) {
                continue;
            }
            if (heard.digest.slices.some(slice => slice.ready)) {
                candidates.push({ memberId, load: heard.digest.load });
            }
        }
        return candidates.sort((left, right) => left.memberId < right.memberId ? -1 : 1);
    }

    /**
     * Chooses a placer for one task.
     * @returns Undefined if every placer that could ever hold it has enough waiting.
     */
    chooseForTask(
        candidates: readonly PlacerCandidate[],
        need: Resources,
        branch: string,
        isUrgent: boolean,
    ): PlacerCandidate | undefined {
        const window = this.core.options.placerWindow * (isUrgent ? URGENT_WINDOWS : 1);
        const now = this.core.context.clock.now();
        const fitting = candidates.filter(({ memberId, load }) =>
            isWithin(need, load.largestWorker) && (this.waiting.get(memberId) ?? 0) < window &&
            (this.pausedUntil.get(`${memberId} ${branch}`) ?? 0) <= now
        );
        return this.chooseOfTwo(fitting, candidate => this.rankForTask(candidate, need));
    }

    /** Chooses a placer for a service request: the one of two with the larger share of free slots. */
    chooseForRequest(candidates: readonly PlacerCandidate[]): PlacerCandidate | undefined {
        const open = candidates.filter(({ load }) => load.totalSlots > 0);
        return this.chooseOfTwo(open, ({ load }) => (load.queuedRequests - load.freeSlots) / load.totalSlots);
    }

    private chooseOfTwo(
        candidates: readonly PlacerCandidate[],
        rank: (candidate: PlacerCandidate) => number,
    ): PlacerCandidate | undefined {
        if (candidates.length <= 1) {
            return candidates[0];
        }
        const { random } = this.core.context;
        const first = random.pickInt(candidates.length);
        const second = (first + 1 + random.pickInt(candidates.length - 1)) % candidates.length;
        const [left, right] = [candidates[first], candidates[second]];
        if (left === undefined || right === undefined) {
            return left ?? right;
        }
        return rank(left) <= rank(right) ? left : right;
    }

    /** Lower is better: room now goes first, then the shorter queue for each worker. */
    private rankForTask({ memberId, load }: PlacerCandidate, need: Resources): number {
        const queued = load.queuedTasks + (this.waiting.get(memberId) ?? 0);
        const hasRoom = isWithin(need, load.largestFree);
        return (hasRoom ? 0 : NO_ROOM_RANK) + queued / Math.max(1, load.workers);
    }
}

const MAX_PAUSES = 10_000;
const URGENT_WINDOWS = 2;
const NO_ROOM_RANK = 1_000;
const DEFAULT_FRESH_MS: Millis = 3_000;
