/** What a leader knows about a run that it, or an earlier leader, assigned to a worker. */
import type { Millis } from "../../common/clock.js";
import { RunPhase } from "../dispatch/worker-state.js";
import type { RunRecord, WorkerState } from "../dispatch/worker-state.js";

/** Where a run is. */
export const RunPlace = {
    ...RunPhase,
    /** An earlier leader assigned it to a worker with which this leader has had no contact. */
    unheard: "unheard",
    /** No worker's state and no inherited run contains it: see `unheld-runs.ts`. */
    nowhere: "nowhere",
} as const;
export type RunPlace = (typeof RunPlace)[keyof typeof RunPlace];

/** The state of a run and of its worker. */
export interface RunView {
    readonly place: RunPlace;
    readonly isExecuting: boolean;
    readonly isInherited: boolean;
    /** Time since it was ordered or adopted; undefined without contact with the worker. */
    readonly ageMs: Millis | undefined;
    /** Whether the worker is listed, answers, and has been adopted; all false without contact with it. */
    readonly isListed: boolean;
    readonly isReachable: boolean;
    readonly isAdopted: boolean;
    /** Time until the worker's lease has certainly expired if it is not renewed; negative once it has. */
    readonly leaseLeftMs: Millis;
}

/** The data from which a view is built. */
export interface RunViewParts {
    readonly record: RunRecord | undefined;
    /** Whether an earlier leader ordered it, on a worker without contact so far. */
    readonly isInherited: boolean;
    readonly state: WorkerState | undefined;
    readonly leaseEnd: Millis;
    readonly now: Millis;
}

/** Whether a run is known to be executing: its worker has reported it and still answers. */
export function isRunExecuting(state: WorkerState, run: RunRecord): boolean {
    return run.phase === RunPhase.running && state.isReachable;
}

/** Builds the view of one run. */
export function buildRunView({ record, isInherited, state, leaseEnd, now }: RunViewParts): RunView {
    return {
        place: record?.phase ?? (isInherited ? RunPlace.unheard : RunPlace.nowhere),
        isExecuting: record !== undefined && state !== undefined && isRunExecuting(state, record),
        isInherited: record?.isInherited ?? isInherited,
        ageMs: record === undefined ? undefined : now - record.orderedAt,
        isListed: state?.isListed ?? false,
        isReachable: state?.isReachable ?? false,
        isAdopted: state?.isAdopted ?? false,
        leaseLeftMs: leaseEnd - now,
    };
}
