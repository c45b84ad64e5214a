/** Starts of gangs: members whose start failed are started elsewhere while the others wait for them. */
import type { Millis } from "../../common/clock.js";
import { RunEnd } from "../jobs/job-events.js";
import type { Step } from "../jobs/job.js";
import { TaskState } from "../jobs/job.js";
import type { LeaderContext } from "./context.js";

/**
 * Time from the first order in which missing members may still join. Members wait 3 s for each other at the least, and
 * the last one needs its assignment and its order on top.
 */
const REPAIR_MS: Millis = 2_500;

interface GangRun {
    readonly run: number;
    readonly at: Millis;
}

/**
 * Starts of gangs.
 *
 * @remarks Failure guarded against: one of twenty workers does not start its member, all the others are stopped, and the
 * gang goes back to waiting for room that others have taken by then.
 */
export class GangStarts {
    private readonly runs = new WeakMap<Step, GangRun>();
    private readonly repairing = new Set<Step>();

    /**
     * @param context - Shared parts.
     * @param stopStep - Stops all members that run.
     */
    constructor(private readonly context: LeaderContext, private readonly stopStep: (step: Step) => void) {}

    /** Takes in that members of a run are being started. */
    observeStart(step: Step, run: number): void {
        if (this.runs.get(step)?.run !== run) {
            this.runs.set(step, { run, at: this.context.clock.now() });
        }
    }

    /** Takes in that members are being stopped: nobody joins them any more. */
    observeStop(step: Step): void {
        this.runs.delete(step);
        this.endRepair(step);
    }

    /** Takes in that a member's run has ended, or never began. */
    handleEnd(step: Step, run: number, end: RunEnd): void {
        if (end !== RunEnd.notRun) {
            // The others end with it, or wait in vain.
            this.endRepair(step);
            return;
        }
        if (this.mayRepair(step, run)) {
            step.repairRun = run;
            this.repairing.add(step);
            this.context.log.info("gangMemberMissing", { step: step.name, run, waiting: step.waiting });
            return;
        }
        this.stopRest(step, run);
    }

    /** Stops gangs whose missing members found no place in time. */
    sweep(): void {
        for (const step of [...this.repairing]) {
            const run = this.runs.get(step);
            if (run === undefined || step.waiting === 0 || step.job.spec === undefined) {
                this.endRepair(step);
            }
            else if (this.context.clock.now() - run.at > REPAIR_MS) {
                this.stopRest(step, run.run);
            }
        }
    }

    private mayRepair(step: Step, run: number): boolean {
        const started = this.runs.get(step);
        return started?.run === run && this.context.clock.now() - started.at < REPAIR_MS &&
            hasMembers(step, run);
    }

    /** A gang whose start failed in part would hold its room until the others give up waiting. */
    private stopRest(step: Step, run: number): void {
        this.endRepair(step);
        if (hasMembers(step, run)) {
            this.context.log.info("gangStopped", { step: step.name, run });
            this.stopStep(step);
        }
    }

    private endRepair(step: Step): void {
        step.repairRun = undefined;
        this.repairing.delete(step);
    }
}

function hasMembers(step: Step, run: number): boolean {
    return step.tasks.some(task => task.state === TaskState.assigned && task.run === run);
}
