/** Runs that earlier leaders gave to workers of which this one has not heard yet. */
import type { Millis } from "../../common/clock.js";
import { buildRunRecord, makeRunKey, RunPhase } from "../dispatch/worker-state.js";
import type { RunRecord } from "../dispatch/worker-state.js";
import { RunEnd } from "../jobs/job-events.js";
import type { FoundTask } from "../jobs/job-registry.js";
import type { Step, Task } from "../jobs/job.js";
import { isSuspect } from "../jobs/worker-losses.js";
import type { LeaderContext } from "./context.js";
import type { EndDesk } from "./end-desk.js";
import { computeLossGrace } from "./late-leader.js";
import { RunLoss } from "./run-loss.js";

/** The runs; see the module comment. */
export class InheritedRuns {
    private readonly tasks = new Map<string, FoundTask[]>();
    /** Keys of runs that have to end. */
    private readonly unwanted = new Set<string>();

    /**
     * @param context - Shared parts; its book holds what is assigned.
     * @param ends - Takes runs whose workers never appear.
     */
    constructor(private readonly context: LeaderContext, private readonly ends: EndDesk) {
        for (const found of context.book.listAssigned()) {
            const workerId = found.task.workerId ?? "";
            this.tasks.set(workerId, [...this.tasks.get(workerId) ?? [], found]);
        }
    }

    /** Returns until when, on our clock, leases on a worker may run; long past where it has none of these runs. */
    computeLeaseEnd(workerId: string): Millis {
        return this.tasks.has(workerId) ? this.computeEnd(workerId) : -Infinity;
    }

    /** Tells whether a task's run is one of these. */
    hasRun({ name, run, workerId = "" }: Task): boolean {
        const tasks = this.tasks.get(workerId) ?? [];
        return tasks.some(({ task }) => task.name === name && task.run === run);
    }

    /** Lists the steps that have such a run. */
    *listSteps(): Iterable<Step> {
        for (const tasks of this.tasks.values()) {
            for (const { step } of tasks) {
                yield step;
            }
        }
    }

    /**
     * Takes in that a run has to end, though its worker has not been heard yet.
     *
     * @remarks Failure guarded against: a caller cancels a job while its worker's registration is away, as for two seconds
     * after an outage of the store. The job is over, so nothing ever looks at its tasks again, and one that lasts until it is
     * stopped runs on for ever. The stop is kept here and sent when the worker appears.
     */
    requestStop(workerId: string, task: string, run: number): void {
        if (!this.tasks.has(workerId)) {
            return;
        }
        this.unwanted.add(makeRunKey(task, run));
        this.context.log.info("stopPostponed", {
            task,
            run,
            workerId,
            reason: "the worker was not heard yet",
        });
    }

    /** Tells whether a run that was taken over has to end. */
    isUnwanted({ task, run }: RunRecord): boolean {
        return this.unwanted.has(makeRunKey(task, run));
    }

    /** Hands the runs of a worker over to its session. */
    take(workerId: string): readonly RunRecord[] {
        const found = this.tasks.get(workerId) ?? [];
        this.tasks.delete(workerId);
        return found.map(task => this.buildRun(task));
    }

    /** Gives up on workers that never appeared, once their leases have surely run out. */
    dropExpired(now: Millis): void {
        for (const [workerId, tasks] of this.tasks) {
            if (now <= this.computeEnd(workerId) + computeLossGrace(this.context.lateness)) {
                continue;
            }
            this.tasks.delete(workerId);
            this.context.log.warn("CR1614", "runsLost", {
                workerId,
                runs: tasks.length,
                reason: RunLoss.unheard,
            });
            for (const { task: { name, run, checkpoint } } of tasks) {
                this.ends.recordEnd({
                    state: undefined,
                    task: name,
                    run,
                    end: RunEnd.lost,
                    checkpoint,
                    lost: { cause: RunLoss.unheard, isDraining: false, provenMs: 0, isInherited: true },
                });
            }
        }
    }

    private computeEnd(workerId: string): Millis {
        const { book, inheritedLeases } = this.context;
        return inheritedLeases.computeEnd(book.adoptions.get(workerId)?.epoch);
    }

    private buildRun({ step, task }: FoundTask): RunRecord {
        return buildRunRecord({
            task: task.name,
            run: task.run,
            step: step.name,
            queue: step.job.queue,
            demand: step.spec.demand,
            phase: RunPhase.ordered,
            // The first report carries the new epoch, so orders of earlier leaders have no effect after it.
            settledAfter: 0,
            isInherited: true,
            isLasting: step.spec.isLongRunning,
            isExclusive: isSuspect(task),
            yieldsBelow: this.context.findYieldLimit(step),
            checkpoint: task.checkpoint,
            orderedAt: this.context.clock.now(),
        });
    }
}
