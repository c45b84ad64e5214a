/** Chooses the placer for an order, by the power of two choices over the load in the placers' last digests. */
import type { Millis } from "../../../common/clock.js";
import type { Resources } from "../../../common/resources.js";
import { isWithin } from "../../../common/resources.js";
import type { PlacerLoad } from "../../../connection/messages.js";
import type { SliceCore } from "./core.js";

/** A placer that accepts work now. */
export interface PlacerCandidate {
    readonly memberId: string;
    readonly load: PlacerLoad;
}

/** Tracks this slice's queued orders and backoff for each placer, and selects placers by them. */
export class PlacerSelector {
    /** Number of this slice's orders that wait at each placer. */
    private readonly waiting = new Map<string, number>();
    /** End of each pause, by member id and branch. */
    private readonly pausedUntil = new Map<string, Millis>();

    constructor(private readonly core: SliceCore) {}

    /** Adds `change` to the number of orders in a placer's window. */
    recordWaiting(memberId: string, change: number): void {
        const count = (this.waiting.get(memberId) ?? 0) + change;
        if (count <= 0) {
            this.waiting.delete(memberId);
        }
        else {
            this.waiting.set(memberId, count);
        }
    }

    /** Sends a placer no tasks of a branch for a while, after a refusal or a failed send. */
    pausePlacer(memberId: string, branch: string, durationMs: Millis): void {
        if (this.pausedUntil.size > MAX_PAUSES) {
            this.pausedUntil.clear();
        }
        this.pausedUntil.set(`${memberId} ${branch}`, this.core.context.clock.now() + durationMs);
    }

    /** Lists the placers with a fresh digest that own a ready slice and are not draining, in order of member id. */
    listCandidates(): PlacerCandidate[] {
        const { peers, ownership, clock, settings } = this.core.context;
        const freshMs = settings.getCurrent()?.cell.freshMs ?? DEFAULT_FRESH_MS;
        const candidates: PlacerCandidate[] = [];
        for (const { memberId } of ownership.listMembers()) {
            const received = peers.getDigest(memberId);
            if (
                received === undefined || received.digest.draining ||
                clock.now() - received.receivedAt > freshMs
            ) {
                continue;
            }
            if (received.digest.slices.some(slice => slice.ready)) {
                candidates.push({ memberId, load: received.digest.load });
            }
        }
        return candidates.sort((left, right) => left.memberId < right.memberId ? -1 : 1);
    }

    /**
     * Chooses a placer for one task.
     * @returns Undefined if each placer that could ever hold the task has a full window or is paused.
     */
    chooseForTask(
        candidates: readonly PlacerCandidate[],
        demand: Resources,
        branch: string,
        isUrgent: boolean,
    ): PlacerCandidate | undefined {
        const window = this.core.options.placerWindow * (isUrgent ? URGENT_WINDOW_FACTOR : 1);
        const now = this.core.context.clock.now();
        const fitting = candidates.filter(({ memberId, load }) =>
            isWithin(demand, load.largestWorker) && (this.waiting.get(memberId) ?? 0) < window &&
            (this.pausedUntil.get(`${memberId} ${branch}`) ?? 0) <= now
        );
        return this.chooseOfTwo(fitting, candidate => this.rankForTask(candidate, demand));
    }

    /** Chooses a placer for a service request: of two, the one with the larger share of slots left after its queue. */
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

    /** Ranks a placer, lower is better: free capacity for the task first, then the shorter queue per worker. */
    private rankForTask({ memberId, load }: PlacerCandidate, demand: Resources): number {
        const queued = load.queuedTasks + (this.waiting.get(memberId) ?? 0);
        const hasCapacity = isWithin(demand, load.largestFree);
        return (hasCapacity ? 0 : NO_CAPACITY_RANK) + queued / Math.max(1, load.workers);
    }
}

const MAX_PAUSES = 10_000;
const URGENT_WINDOW_FACTOR = 2;
const NO_CAPACITY_RANK = 1_000;
const DEFAULT_FRESH_MS: Millis = 3_000;
