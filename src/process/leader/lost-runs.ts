/** Records the ends of runs that their workers do not report any more. */
import type { Millis } from "../../common/clock.js";
import type { WorkerSession } from "../dispatch/worker-session.js";
import { RunPhase } from "../dispatch/worker-state.js";
import type { RunRecord } from "../dispatch/worker-state.js";
import { RunEnd } from "../jobs/job-events.js";
import { CLEARED_MS } from "../jobs/worker-losses.js";
import type { LeaderContext } from "./context.js";
import type { FleetMember } from "./fleet.js";
import type { RunEndHandler } from "./run-end-handler.js";
import { RunLoss } from "./run-loss.js";

/** Declares runs lost, or not run if they never began. */
export class LostRuns {
    /** @param ends - Handles the ends of runs. */
    constructor(private readonly context: LeaderContext, private readonly ends: RunEndHandler) {}

    /** Declares all runs of a worker lost. */
    expireAll(member: FleetMember, cause: RunLoss): void {
        const { state } = member;
        this.context.log.warn("CR1614", "runsLost", {
            workerId: state.id,
            runs: state.runs.size,
            reason: cause,
        });
        for (const run of [...state.runs.values()]) {
            state.removeRun(run.task, run.run);
            this.record(member, run, cause);
        }
    }

    /** Records the end of a run that was removed from its worker's state. */
    record({ state, session }: FleetMember, record: RunRecord, cause: RunLoss): void {
        const { task, run, checkpoint, phase, wasReported, isInherited, orderedAt } = record;
        // A worker that answers has shown whether the run ever began; on a worker that is gone, an ordered
        // run may have.
        const hasBegun = cause === RunLoss.absent ? wasReported : phase !== RunPhase.reserved;
        if (!hasBegun) {
            this.ends.recordEnd({ state, task, run, end: RunEnd.notRun, checkpoint });
            return;
        }
        const ranMs = isInherited ? undefined : this.context.clock.now() - orderedAt;
        const provenMs = computeProvenMs(record, session);
        const lost = { cause, isDraining: state.record.isDraining, provenMs, isInherited };
        this.ends.recordEnd({ state, task, run, end: RunEnd.lost, checkpoint, ranMs, lost });
    }

    /** Ends the exclusive use of a worker by a task that has run alone for long enough to be cleared. */
    endExclusiveness({ state, session }: FleetMember): void {
        const { exclusiveRun } = state;
        if (exclusiveRun === undefined || computeProvenMs(exclusiveRun, session) < CLEARED_MS) {
            return;
        }
        state.exclusiveRun = undefined;
        const found = this.context.jobs.findTask(exclusiveRun.task);
        if (found !== undefined) {
            this.ends.crashes.clearTask(found.task);
        }
        this.context.requestPass();
    }
}

/**
 * Computes how long a run is known to have been executing: from its order or adoption to its worker's last
 * answer.
 */
function computeProvenMs({ wasReported, orderedAt }: RunRecord, session: WorkerSession): Millis {
    return wasReported ? Math.max(0, session.getLastContactAt() - orderedAt) : 0;
}
