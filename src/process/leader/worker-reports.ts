/** Applies workers' reports: the ends and losses of runs, and runs that nobody ordered. */
import type { Millis } from "../../common/clock.js";
import { makeRunKey, RunPhase } from "../dispatch/worker-state.js";
import type { RunRecord, WorkerState } from "../dispatch/worker-state.js";
import { MAX_REPORTED_ENDS } from "../ports/task-worker-port.js";
import type { EndedRun, RunningRun, WorkerReport } from "../ports/task-worker-port.js";
import type { LeaderContext } from "./context.js";
import type { FleetMember } from "./fleet.js";
import { buildForeignRun } from "./foreign-run.js";
import type { LostRuns } from "./lost-runs.js";
import type { RunEndHandler } from "./run-end-handler.js";
import { RunLoss } from "./run-loss.js";
import { recordRunStart } from "./started-runs.js";

/** Derives the state of runs from the reports of their workers. */
export class WorkerReports {
    /** @param stopRun - Stops a run that nobody ordered. */
    constructor(
        private readonly context: LeaderContext,
        private readonly ends: RunEndHandler,
        private readonly losses: LostRuns,
        private readonly stopRun: (state: WorkerState, run: RunRecord) => void,
    ) {}

    /**
     * Applies a report.
     * @param ended - Its ended runs that no earlier report listed.
     */
    accept(member: FleetMember, report: WorkerReport, ended: readonly EndedRun[]): void {
        const { state, session } = member;
        const listed = new Set(report.ended.map(({ task, run }) => makeRunKey(task, run)));
        ended.forEach(end => this.acceptEnd(state, end));
        for (const running of report.running) {
            listed.add(makeRunKey(running.task, running.run));
            this.acceptRunning(state, running, report.workerNow);
        }
        const isComplete = report.ended.length < MAX_REPORTED_ENDS;
        if (isComplete) {
            this.settleAbsent(member, listed, report.workerNow);
        }
        const lastEnd = report.ended.at(-1)?.number;
        if (lastEnd !== undefined) {
            this.context.runWhenCommitted(() => session.acknowledgeEnds(lastEnd));
        }
    }

    private acceptEnd(state: WorkerState, ended: EndedRun): void {
        const record = state.removeRun(ended.task, ended.run);
        const checkpoint = ended.checkpoint === "" ? record?.checkpoint ?? "" : ended.checkpoint;
        const ranMs = record === undefined || record.isInherited ?
            undefined :
            this.context.clock.now() - record.orderedAt;
        this.ends.recordEnd({ state, task: ended.task, run: ended.run, end: ended.end, checkpoint, ranMs });
    }

    private acceptRunning(state: WorkerState, running: RunningRun, workerNow: Millis): void {
        const record = state.getRun(running.task, running.run);
        if (record === undefined) {
            this.stopForeign(state, running, workerNow);
            return;
        }
        record.wasReported = true;
        if (running.checkpoint !== "") {
            record.checkpoint = running.checkpoint;
        }
        if (record.phase === RunPhase.ordered) {
            record.phase = RunPhase.running;
            record.settledAfter = workerNow;
            this.observeStart(running.task);
        }
    }

    private observeStart(task: string): void {
        const step = this.context.jobs.findTask(task)?.step;
        if (step !== undefined) {
            recordRunStart(this.context, step);
        }
    }

    /** Stops a run that no task is assigned to; it occupies capacity until it has ended. */
    private stopForeign(state: WorkerState, running: RunningRun, workerNow: Millis): void {
        const record = buildForeignRun({
            running,
            step: this.context.jobs.findTask(running.task)?.step,
            job: this.context.jobs.findJobOfTask(running.task),
            free: state.free,
            workerNow,
            now: this.context.clock.now(),
        });
        state.addRun(record);
        this.context.log.warn("CR1613", "foreignRunStopped", {
            workerId: state.id,
            task: running.task,
            run: running.run,
        });
        this.stopRun(state, record);
    }

    /** Ends the runs that are missing from a report made after the time by which it must list them. */
    private settleAbsent(member: FleetMember, listed: ReadonlySet<string>, workerNow: Millis): void {
        const { state } = member;
        for (const [key, run] of [...state.runs]) {
            if (listed.has(key) || run.phase === RunPhase.reserved || workerNow <= run.settledAfter) {
                continue;
            }
            state.removeRun(run.task, run.run);
            this.losses.record(member, run, RunLoss.absent);
        }
    }
}
