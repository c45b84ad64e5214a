/** Runs that earlier leaders assigned to workers with which this leader has had no contact yet. */
import type { Millis } from "../../common/clock.js";
import type { ChargedRun } from "../accounts/account-use.js";
import { buildRunRecord, makeRunKey, RunPhase } from "../dispatch/worker-state.js";
import type { RunRecord } from "../dispatch/worker-state.js";
import { RunEnd } from "../jobs/job-events.js";
import type { FoundTask } from "../jobs/job-registry.js";
import type { Step, Task } from "../jobs/job.js";
import { isSuspect } from "../jobs/worker-losses.js";
import { buildIncarnationId, isSameWorker, parseIncarnationId } from "../ports/incarnation.js";
import type { LeaderContext } from "./context.js";
import { computeLossGrace } from "./late-leader.js";
import { LeftRuns } from "./left-runs.js";
import type { RunEndHandler } from "./run-end-handler.js";
import { RunLoss } from "./run-loss.js";

/** Keeps inherited runs until their workers appear or the workers' leases have certainly expired. */
export class InheritedRuns {
    private readonly tasks = new Map<string, FoundTask[]>();
    /** Keys of runs that have to end. */
    private readonly pendingStops = new Set<string>();
    private readonly left: LeftRuns;

    /** @param ends - Handles the loss of runs whose workers never appear. */
    constructor(private readonly context: LeaderContext, private readonly ends: RunEndHandler) {
        this.left = new LeftRuns(context);
        for (const found of context.jobs.listAssigned()) {
            const workerId = found.task.workerId ?? "";
            this.tasks.set(workerId, [...this.tasks.get(workerId) ?? [], found]);
        }
    }

    /**
     * Computes when leases on a worker expire at the latest, on this node's clock; -Infinity without
     * inherited runs.
     */
    computeLeaseEnd(workerId: string): Millis {
        return this.tasks.has(workerId) ? this.computeEnd(workerId) : -Infinity;
    }

    /** Whether a task's current run is an inherited one. */
    hasRun({ name, run, workerId = "" }: Task): boolean {
        const tasks = this.tasks.get(workerId) ?? [];
        return tasks.some(({ task }) => task.name === name && task.run === run);
    }

    /** Lists the steps of inherited runs; a step appears once for each run. */
    *listSteps(): Iterable<Step> {
        for (const tasks of this.tasks.values()) {
            for (const { step } of tasks) {
                yield step;
            }
        }
    }

    /** Lists the inherited runs as far as they count towards quotas. */
    *listCharged(): Iterable<ChargedRun> {
        for (const tasks of this.tasks.values()) {
            for (const { step } of tasks) {
                yield { account: step.job.account, demand: step.spec.demand };
            }
        }
        yield* this.left.listCharged();
    }

    /** Handles the first report of a worker, which lists all that runs there. */
    observeReport(workerId: string): void {
        this.left.forgetWorker(workerId);
    }

    /**
     * Stops a run once its worker appears.
     *
     * @remarks A caller may cancel a job while its worker is not registered, for instance during the two
     * seconds after an outage of the store. The cancelled job's tasks are never visited again, so without the
     * postponed stop a long-running task would run for ever.
     */
    requestStop(workerId: string, task: string, run: number): void {
        if (!this.tasks.has(workerId)) {
            return;
        }
        this.pendingStops.add(makeRunKey(task, run));
        this.context.log.info("stopPostponed", {
            task,
            run,
            workerId,
            reason: "the worker has not reported yet",
        });
    }

    /** Whether an inherited run has to be stopped. */
    hasPendingStop({ task, run }: RunRecord): boolean {
        return this.pendingStops.has(makeRunKey(task, run));
    }

    /**
     * Removes and returns the inherited runs of a worker, which has appeared. Those that were assigned by name
     * only, by leaders that did not know starts, may be its own: its first report shows whether they are.
     */
    take(workerId: string): readonly RunRecord[] {
        const { name } = parseIncarnationId(workerId);
        const ids = new Set([workerId, buildIncarnationId({ name, startedAt: undefined })]);
        return [...ids].flatMap(id => this.remove(id)).map(task => this.buildRun(task));
    }

    /**
     * Declares the runs of earlier incarnations of a worker lost.
     * @param isHeld - Whether the incarnation that has reported lists a run, which it carried out late.
     */
    expirePredecessors(workerId: string, isHeld: (task: Task) => boolean): void {
        const ids = [...this.tasks.keys()].filter(id => id !== workerId && isSameWorker(id, workerId));
        for (const id of ids) {
            this.expire(id, this.remove(id).filter(({ task }) => !isHeld(task)), RunLoss.replaced);
        }
    }

    /** Declares the runs of workers that never appeared lost once their leases have certainly expired. */
    dropExpired(now: Millis): void {
        this.left.dropExpired(now);
        for (const [workerId, tasks] of this.tasks) {
            if (now <= this.computeEnd(workerId) + computeLossGrace(this.context.lateness)) {
                continue;
            }
            this.tasks.delete(workerId);
            this.expire(workerId, tasks, RunLoss.unheard);
        }
    }

    private remove(workerId: string): readonly FoundTask[] {
        const found = this.tasks.get(workerId) ?? [];
        this.tasks.delete(workerId);
        return found;
    }

    private expire(workerId: string, tasks: readonly FoundTask[], cause: RunLoss): void {
        this.context.log.warn("CR1614", "runsLost", { workerId, runs: tasks.length, reason: cause });
        for (const { task: { name, run, checkpoint } } of tasks) {
            this.ends.recordEnd({
                state: undefined,
                task: name,
                run,
                end: RunEnd.lost,
                checkpoint,
                lost: { cause, isDraining: false, provenMs: 0, isInherited: true },
            });
        }
    }

    /**
     * Runs of a queue on probation, and those beside them, wait as if the worker was not released: one of them may have
     * crashed it, and would crash others while the cluster recovers.
     */
    private computeEnd(workerId: string): Millis {
        const { jobs, inheritedLeases } = this.context;
        const adoption = jobs.adoptions.get(workerId);
        const tasks = this.tasks.get(workerId) ?? [];
        const isRisky = tasks.some(({ step }) => this.ends.crashes.isOnProbation(step.job.queue));
        return inheritedLeases.computeEnd(
            isRisky && adoption ? { ...adoption, isReleased: false } : adoption,
        );
    }

    private buildRun({ step, task }: FoundTask): RunRecord {
        return buildRunRecord({
            task: task.name,
            run: task.run,
            step: step.name,
            queue: step.job.queue,
            account: step.job.account,
            demand: step.spec.demand,
            phase: RunPhase.ordered,
            // The first report carries the new epoch, after which orders of earlier leaders have no effect.
            settledAfter: 0,
            isInherited: true,
            isOpenEnded: step.spec.isLongRunning,
            isExclusive: isSuspect(task),
            preemptibleBelow: this.context.findPreemptibleBelow(step),
            checkpoint: task.checkpoint,
            orderedAt: this.context.clock.now(),
        });
    }
}
