/** Repairs starts of gangs: a member that did not start is started elsewhere while the others wait for it. */
import type { Millis } from "../../common/clock.js";
import { RunEnd } from "../jobs/job-events.js";
import type { Step } from "../jobs/job.js";
import { TaskState } from "../jobs/job.js";
import type { LeaderContext } from "./context.js";

/**
 * Time after the first order during which missing members may still join. Members wait at least 3 s for each
 * other, and the last one also needs time for its assignment and its order.
 */
const REPAIR_WINDOW_MS: Millis = 2_500;

interface GangRun {
    readonly run: number;
    readonly startedAt: Millis;
}

/**
 * Tracks the starts of gangs and decides whether a partly failed start is repaired or stopped.
 *
 * @remarks Without repair, one of twenty workers that does not start its member would cause all the others to
 * be stopped, and the gang would wait again for capacity that other steps have taken by then.
 */
export class GangStarts {
    private readonly runs = new WeakMap<Step, GangRun>();
    private readonly repairing = new Set<Step>();

    /** @param stopStep - Stops all running members of a gang. */
    constructor(private readonly context: LeaderContext, private readonly stopStep: (step: Step) => void) {}

    /** Records that members of a run are being started. */
    observeStart(step: Step, run: number): void {
        if (this.runs.get(step)?.run !== run) {
            this.runs.set(step, { run, startedAt: this.context.clock.now() });
        }
    }

    /** Records that members are being stopped, so that no others may join them. */
    observeStop(step: Step): void {
        this.runs.delete(step);
        this.endRepair(step);
    }

    /** Handles a member's run that has ended or never began. */
    handleEnd(step: Step, run: number, end: RunEnd): void {
        if (end !== RunEnd.notRun) {
            // The other members end with it, or time out waiting for it.
            this.endRepair(step);
            return;
        }
        if (this.mayRepair(step, run)) {
            step.repairRun = run;
            this.repairing.add(step);
            this.context.log.info("gangMemberMissing", { step: step.name, run, waiting: step.waiting });
            return;
        }
        this.stopMembers(step, run);
    }

    /** Stops gangs whose missing members were not placed in time. */
    sweep(): void {
        for (const step of [...this.repairing]) {
            const run = this.runs.get(step);
            if (run === undefined || step.waiting === 0 || step.job.spec === undefined) {
                this.endRepair(step);
            }
            else if (this.context.clock.now() - run.startedAt > REPAIR_WINDOW_MS) {
                this.stopMembers(step, run.run);
            }
        }
    }

    private mayRepair(step: Step, run: number): boolean {
        const started = this.runs.get(step);
        return started?.run === run && this.context.clock.now() - started.startedAt < REPAIR_WINDOW_MS &&
            hasMembers(step, run);
    }

    /** Stops the started members, which would otherwise occupy capacity until they give up waiting. */
    private stopMembers(step: Step, run: number): void {
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
    return step.tasks.findIn(TaskState.assigned, task => task.run === run) !== undefined;
}
