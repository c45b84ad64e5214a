/** Planned handovers of this entry's slices to the members that should own them, a few at a time. */
import type { Millis } from "../../common/clock.js";
import type { RoleContext } from "../roles.js";
import { isOwner, listPlannedMoves, moveOwned, type PlannedMove, type SliceName } from "./table-changes.js";
import type { OwnershipTable } from "./table.js";

/** Minimum time between planned moves, so that a joining member causes no burst of handovers. */
const MIN_MOVE_INTERVAL_MS: Millis = 1_000;
/** Maximum number of slices handed over in one step. */
const MAX_MOVES_PER_STEP = 8;
/**
 * Of these, maximum number of worker slices with workers. While a slice moves, no work is placed on its
 * workers: in a cell of few racks, moving all at once would leave callers without any worker.
 */
const MAX_BUSY_MOVES_PER_STEP = 1;
/** Maximum number of attempts to write a handover when the table changes concurrently. */
const MAX_MOVE_ATTEMPTS = 5;

/** Dependencies of {@link HandoverCoordinator}. */
export interface HandoverOptions {
    readonly context: Pick<RoleContext, "memberId" | "clock">;
    getTable(): OwnershipTable | undefined;
    /** Whether a member's last digest is recent and says that it accepts work. */
    isReachable(memberId: string): boolean;
    /** Whether a slice is a worker slice that has workers. */
    hasWorkers(name: SliceName): boolean;
    /** Stops acting on a slice and flushes; resolves with whether the slice had been ready. */
    releaseSlice(name: SliceName): Promise<boolean>;
    /** Changes the table by one compare-and-swap; resolves with whether it certainly took effect. */
    write(change: (table: OwnershipTable) => OwnershipTable): Promise<boolean>;
}

/** Carries out this entry's planned handovers. */
export class HandoverCoordinator {
    /** Moves whose slices were released but which are not written yet. */
    private releasedMoves: readonly PlannedMove[] = [];
    private lastMoveAt = Number.NEGATIVE_INFINITY;

    constructor(private readonly options: HandoverOptions) {}

    /**
     * Plans the next step.
     * @param table - The current table.
     * @returns The step to run, or undefined when none is due.
     */
    plan(table: OwnershipTable): (() => Promise<void>) | undefined {
        const { clock, memberId } = this.options.context;
        if (this.releasedMoves.length > 0) {
            return () => this.restoreOwnership(this.releasedMoves);
        }
        if (clock.now() - this.lastMoveAt < MIN_MOVE_INTERVAL_MS) {
            return undefined;
        }
        const planned = listPlannedMoves(table, memberId).filter(move => this.options.isReachable(move.to));
        const busy = planned.filter(move => this.options.hasWorkers(move)).slice(0, MAX_BUSY_MOVES_PER_STEP);
        const idle = planned.filter(move => !this.options.hasWorkers(move));
        const moves = [...busy, ...idle].slice(0, MAX_MOVES_PER_STEP);
        if (moves.length === 0) {
            return undefined;
        }
        this.lastMoveAt = clock.now();
        return () => this.releaseAndMove(moves);
    }

    /**
     * Stops acting on the slices before it writes the moves, so that no two entries act on the same slice.
     */
    private async releaseAndMove(moves: readonly PlannedMove[]): Promise<void> {
        this.releasedMoves = moves;
        const ready = await Promise.all(moves.map(move => this.options.releaseSlice(move)));
        for (
            let attempt = 0;
            attempt < MAX_MOVE_ATTEMPTS && this.listStillOwned(moves).length > 0;
            attempt++
        ) {
            await this.options.write(table => moveOwned(table, this.options.context.memberId, moves, ready));
        }
        this.releasedMoves = this.listStillOwned(moves);
    }

    /**
     * Takes back the slices whose handover was not written, by raising their epochs. The write of the
     * handover may still be in flight to the store; the raised epoch outdates its expected revision, so that
     * it cannot take effect while this owner acts on the slices again.
     */
    private async restoreOwnership(moves: readonly PlannedMove[]): Promise<void> {
        const { memberId } = this.options.context;
        const restored = moves.map(move => ({ ...move, to: memberId }));
        if (
            await this.options.write(table => moveOwned(table, memberId, restored, restored.map(() => true)))
        ) {
            this.releasedMoves = [];
        }
    }

    private listStillOwned(moves: readonly PlannedMove[]): readonly PlannedMove[] {
        const table = this.options.getTable();
        return table === undefined ?
            [] :
            moves.filter(move => isOwner(table, this.options.context.memberId, move));
    }
}
