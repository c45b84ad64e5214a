/** Planned hand-overs of this entry's slices to the members that should own them: few at once and paced. */
import type { Millis } from "../../common/clock.js";
import type { RoleContext } from "../roles.js";
import { isOwner, listPlannedMoves, moveOwned, type PlannedMove, type SliceName } from "./plan.js";
import type { OwnershipTable } from "./table.js";

/** Planned moves are at least this far apart, so that a joining member causes no burst of hand-overs. */
const MOVE_PACE_MS: Millis = 1_000;
/** Slices handed over in one step at most. */
const MOVES_AT_ONCE = 8;
/**
 * Of these, worker slices with workers at most. For a moment nobody places on a slice that moves: in a cell of few
 * racks, all at once would leave callers without any worker.
 */
const BUSY_MOVES_AT_ONCE = 1;
/** Tries to write hand-overs against concurrent changes of the table. */
const MOVE_TRIES = 5;

/** What {@link HandOvers} is given. */
export interface HandOverOptions {
    readonly context: Pick<RoleContext, "memberId" | "clock">;
    getTable(): OwnershipTable | undefined;
    /** Whether a member was heard of lately and takes work. */
    isReachable(memberId: string): boolean;
    /** Whether a slice is a worker slice in which workers are. */
    hasWorkers(name: SliceName): boolean;
    /** Stops acting on a slice and flushes; resolves with whether the slice had been ready. */
    releaseSlice(name: SliceName): Promise<boolean>;
    /** One compare-and-swap of the table; resolves with whether it surely took effect. */
    write(change: (table: OwnershipTable) => OwnershipTable): Promise<boolean>;
}

/** Makes this entry's planned hand-overs. */
export class HandOvers {
    /** Slices released for hand-overs that are not written yet. */
    private released: readonly PlannedMove[] = [];
    private lastMoveAt = Number.NEGATIVE_INFINITY;

    constructor(private readonly options: HandOverOptions) {}

    /**
     * Plans the next step.
     * @param table - The table held.
     * @returns What to run, or undefined when nothing is due.
     */
    plan(table: OwnershipTable): (() => Promise<void>) | undefined {
        const { clock, memberId } = this.options.context;
        if (this.released.length > 0) {
            return () => this.takeBack(this.released);
        }
        if (clock.now() - this.lastMoveAt < MOVE_PACE_MS) {
            return undefined;
        }
        const planned = listPlannedMoves(table, memberId).filter(move => this.options.isReachable(move.to));
        const busy = planned.filter(move => this.options.hasWorkers(move)).slice(0, BUSY_MOVES_AT_ONCE);
        const quiet = planned.filter(move => !this.options.hasWorkers(move));
        const moves = [...busy, ...quiet].slice(0, MOVES_AT_ONCE);
        if (moves.length === 0) {
            return undefined;
        }
        this.lastMoveAt = clock.now();
        return () => this.releaseAndMove(moves);
    }

    /** Stops acting on slices first and writes the moves after, so that two never act on one of them. */
    private async releaseAndMove(moves: readonly PlannedMove[]): Promise<void> {
        this.released = moves;
        const ready = await Promise.all(moves.map(move => this.options.releaseSlice(move)));
        for (let tries = 0; tries < MOVE_TRIES && this.listStillOwned(moves).length > 0; tries++) {
            await this.options.write(table => moveOwned(table, this.options.context.memberId, moves, ready));
        }
        this.released = this.listStillOwned(moves);
    }

    /**
     * Takes slices again whose hand-over did not come to pass, by raising their epochs. The write of the hand-over
     * may still be on its way to the store; the raise makes its expected revision outdated, so that it can no
     * longer take effect behind the back of an owner that went on acting.
     */
    private async takeBack(moves: readonly PlannedMove[]): Promise<void> {
        const { memberId } = this.options.context;
        const back = moves.map(move => ({ ...move, to: memberId }));
        if (await this.options.write(table => moveOwned(table, memberId, back, back.map(() => true)))) {
            this.released = [];
        }
    }

    private listStillOwned(moves: readonly PlannedMove[]): readonly PlannedMove[] {
        const table = this.options.getTable();
        return table === undefined ?
            [] :
            moves.filter(move => isOwner(table, this.options.context.memberId, move));
    }
}
