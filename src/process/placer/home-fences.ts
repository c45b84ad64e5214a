/**
 * Which homes may still order work here.
 *
 * @remarks The failure it guards against: a home that was paused or cut off wakes with orders in its send queue
 * after another took its slice and started the same tasks elsewhere. It would show as a task running twice. The
 * guard holds because a new home starts nothing before each placer has answered its census, and from that answer
 * on the placer refuses lower epochs; a placer that takes a worker slice later holds a table that is no older.
 */
import type { HomeFence } from "../../connection/messages.js";
import type { OwnershipView } from "../roles.js";

/** Orders remembered for one home; past this the floor rises over the oldest. */
const MAX_REMEMBERED = 50_000;

interface SeenHome {
    epoch: number;
    floor: number;
    /** Attempts admitted at or above the floor, oldest first, with the sequence of each order. */
    readonly admitted: Map<string, number>;
}

/** Highest home epochs and sequence floors seen by one placer. */
export class HomeFences {
    private readonly seen = new Map<number, SeenHome>();

    constructor(private readonly ownership: Pick<OwnershipView, "getHomeSliceOwner">) {}

    /**
     * Whether an order of this home may be taken.
     * @param fence - The order's proof.
     */
    may(fence: HomeFence): boolean {
        const inTable = this.ownership.getHomeSliceOwner(fence.homeSlice)?.epoch ?? 0;
        const seen = this.seen.get(fence.homeSlice);
        if (fence.epoch < Math.max(inTable, seen?.epoch ?? 0)) {
            return false;
        }
        return seen === undefined || fence.epoch > seen.epoch || fence.sequence >= seen.floor;
    }

    /**
     * Admits an order once: a home sends an order again when it has heard nothing of it, and by then the first
     * copy may run on a worker that has gone to another placer.
     * @param fence - The order's proof.
     * @param attempt - The order's attempt.
     * @returns Whether it is new and its home not outdated.
     */
    admit(fence: HomeFence, attempt: string): boolean {
        if (!this.may(fence)) {
            return false;
        }
        const seen = this.seen.get(fence.homeSlice);
        const current = seen?.epoch === fence.epoch ?
            seen :
            { epoch: fence.epoch, floor: 0, admitted: new Map<string, number>() };
        this.seen.set(fence.homeSlice, current);
        if (current.admitted.has(attempt)) {
            return false;
        }
        current.admitted.set(attempt, fence.sequence);
        if (current.admitted.size > MAX_REMEMBERED) {
            this.forgetOldest(current);
        }
        return true;
    }

    /**
     * Takes the census of a home: lower epochs, and lower sequences of its own, are refused from now on.
     * @returns Whether the asker is not itself outdated.
     */
    raise(homeSlice: number, epoch: number, floor: number): boolean {
        const inTable = this.ownership.getHomeSliceOwner(homeSlice)?.epoch ?? 0;
        const seen = this.seen.get(homeSlice);
        if (epoch < Math.max(inTable, seen?.epoch ?? 0)) {
            return false;
        }
        if (seen?.epoch === epoch) {
            seen.floor = Math.max(floor, seen.floor);
        }
        else {
            this.seen.set(homeSlice, { epoch, floor, admitted: new Map() });
        }
        return true;
    }

    private forgetOldest(home: SeenHome): void {
        for (const [attempt, sequence] of home.admitted) {
            if (home.admitted.size <= MAX_REMEMBERED / 2) {
                break;
            }
            home.admitted.delete(attempt);
            home.floor = Math.max(home.floor, sequence + 1);
        }
    }
}
