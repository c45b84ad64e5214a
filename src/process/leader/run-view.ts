/** What a leader knows of a run that it, or an earlier leader, gave to a worker. */
import type { Millis } from "../../common/clock.js";
import { RunPhase } from "../dispatch/worker-state.js";
import type { RunRecord, WorkerState } from "../dispatch/worker-state.js";

/** Where a run is. */
export const RunPlace = {
    ...RunPhase,
    /** An earlier leader gave it to a worker that this one has not heard. */
    unheard: "unheard",
    /** Nothing has it: see `unheld-runs.ts`. */
    nowhere: "nowhere",
} as const;
export type RunPlace = (typeof RunPlace)[keyof typeof RunPlace];

/** A run and its worker. */
export interface RunView {
    readonly place: RunPlace;
    readonly isAtWork: boolean;
    readonly isInherited: boolean;
    /** Time since it was ordered, or taken over; undefined where the worker was not heard. */
    readonly ageMs: Millis | undefined;
    /** Whether the worker stands in the list, answers, and has been adopted; all false where it was not heard. */
    readonly isListed: boolean;
    readonly isReachable: boolean;
    readonly isAdopted: boolean;
    /** Time until the worker's lease has surely run out unless it is heard; below 0 where it has. */
    readonly leaseLeftMs: Millis;
}

/** What a view is built from. */
export interface RunViewParts {
    readonly record: RunRecord | undefined;
    /** Whether it is an earlier leader's, on a worker that was not heard. */
    readonly isInherited: boolean;
    readonly state: WorkerState | undefined;
    readonly leaseEnd: Millis;
    readonly now: Millis;
}

/** Tells whether a run is surely at work: its worker has said so and goes on answering. */
export function isAtWork(state: WorkerState, run: RunRecord): boolean {
    return run.phase === RunPhase.running && state.isReachable;
}

/** Builds a view. */
export function buildRunView({ record, isInherited, state, leaseEnd, now }: RunViewParts): RunView {
    return {
        place: record?.phase ?? (isInherited ? RunPlace.unheard : RunPlace.nowhere),
        isAtWork: record !== undefined && state !== undefined && isAtWork(state, record),
        isInherited: record?.isInherited ?? isInherited,
        ageMs: record === undefined ? undefined : now - record.orderedAt,
        isListed: state?.isListed ?? false,
        isReachable: state?.isReachable ?? false,
        isAdopted: state?.isAdopted ?? false,
        leaseLeftMs: leaseEnd - now,
    };
}
