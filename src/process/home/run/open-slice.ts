/** A home slice whose state is recovered: runs rounds of offers, applies updates, and serves callers' requests. */
import { type Millis, sleep, type Timer } from "../../../common/clock.js";
import {
    type CensusAnswer,
    type HomeReply,
    type HomeRequest,
    type TaskUpdate,
    TaskUpdateState,
    type UpdateNotification,
} from "../../../connection/messages.js";
import { WORKER_SLICES } from "../../../version/settings.js";
import type { RoleContext } from "../../roles.js";
import type { SliceLog } from "../log/index.js";
import type { HomeOptions } from "../options.js";
import type { HomeEntry } from "../state/index.js";
import { Census } from "./census.js";
import { SliceCore } from "./core.js";
import { Dispatcher } from "./dispatcher.js";
import { explainJob } from "./explain.js";
import { GangCoordinator } from "./gang-coordinator.js";
import { endUnassignedAsCancelled, JobRequestHandler } from "./job-request-handler.js";
import type { JobRun, LiveAttempt } from "./job-run.js";
import { AttemptPhase } from "./job-run.js";
import { KeyedRequestHandler } from "./keyed-request-handler.js";
import { Outbox } from "./outbox.js";
import { PlacerSelector } from "./placer-selector.js";
import { RequestSender } from "./request-sender.js";
import { collectExpired } from "./retention.js";
import { hasMarker, LOST_MESSAGE, TaskEngine } from "./task-engine.js";
import { applyUpdate, compareAttempts, receiveUpdate } from "./updates.js";

const EXPIRY_INTERVAL_MS: Millis = 60_000;
/** Longest wait for start markers that are being written before a handover. */
const MARKING_TIMEOUT_MS: Millis = 2_000;
const RELEASE_POLL_INTERVAL_MS: Millis = 20;
const MAX_ENTRIES_PER_COMMIT = 500;

/** Connects the parts of one open home slice and schedules its rounds. */
export class OpenSlice {
    readonly core: SliceCore;
    readonly requests: KeyedRequestHandler;
    readonly engine: TaskEngine;
    private readonly jobs: JobRequestHandler;
    private readonly outbox: Outbox;
    private readonly dispatcher: Dispatcher;
    private readonly gangs: GangCoordinator;
    private readonly census: Census;
    private isStopped = false;
    private isReleasing = false;
    private timer: Timer | undefined;
    private ownersKey = "";
    private nextExpiryAt: Millis;
    private nextSyncAt: Millis;

    constructor(
        private readonly context: RoleContext,
        options: HomeOptions,
        slice: number,
        epoch: number,
        log: SliceLog,
    ) {
        this.core = new SliceCore(context, options, slice, epoch, log);
        this.outbox = new Outbox(this.core);
        const selector = new PlacerSelector(this.core);
        this.engine = new TaskEngine(this.core, this.outbox, selector, () => this.scheduleRound(0));
        this.jobs = new JobRequestHandler(this.engine);
        this.requests = new KeyedRequestHandler(this.core, new RequestSender(this.core, selector));
        this.dispatcher = new Dispatcher(this.engine);
        const isStopped = () => this.isStopped;
        this.gangs = new GangCoordinator(this.engine, isStopped);
        this.census = new Census(
            this.core,
            {
                handleAnswer: (from, answer) => this.handleAnswer(from, answer),
                handleComplete: (startedAt, floor) => this.handleCensus(startedAt, floor),
            },
            isStopped,
        );
        this.nextExpiryAt = context.clock.now() + EXPIRY_INTERVAL_MS;
        this.nextSyncAt = context.clock.now();
    }

    /** Resumes the jobs and requests that previous owners left open, and begins to serve. */
    start(): void {
        for (const record of this.core.state.jobs.values()) {
            if (!record.isEnded()) {
                this.engine.openRun(record, true);
            }
        }
        this.requests.recoverRequests();
        this.ownersKey = this.makeOwnersKey();
        this.census.request();
        this.scheduleRound(0);
    }

    /** Stops all rounds and releases waiting callers; nothing is sent afterwards. */
    stop(): void {
        this.isStopped = true;
        this.engine.isClosed = true;
        this.timer?.cancel();
        for (const run of this.engine.runs.values()) {
            run.wakeWaiters();
        }
    }

    /**
     * Prepares a handover: offers nothing more, sends pending orders, and records the start markers whose attempts
     * are proved not to have started.
     *
     * @remarks Without that record, the next owner would end waiting tasks that are not repeatable as "may have run"
     * in every rolling replacement of entries. Orders queued at placers are reported in the next owner's census.
     */
    async prepareRelease(): Promise<void> {
        this.isReleasing = true;
        const deadline = this.context.clock.now() + MARKING_TIMEOUT_MS;
        while ([...this.engine.listAttempts()].some(live => live.phase === AttemptPhase.marking)) {
            if (this.context.clock.now() >= deadline) {
                break;
            }
            await sleep(this.context.clock, RELEASE_POLL_INTERVAL_MS);
        }
        this.outbox.flush((memberId, order) => this.engine.handleUnsent(memberId, order));
        const entries = [...this.engine.runs.values()].flatMap(run => this.listDisprovedStarts(run));
        for (let start = 0; start < entries.length; start += MAX_ENTRIES_PER_COMMIT) {
            void this.core.log.commit(entries.slice(start, start + MAX_ENTRIES_PER_COMMIT));
        }
        this.stop();
    }

    /** Builds an entry for each task that has a start marker, but no attempt that could have started. */
    private listDisprovedStarts(run: JobRun): readonly HomeEntry[] {
        const { record } = run;
        if (run.recoveredUpdates !== undefined || record.spec.repeatable) {
            return [];
        }
        return run.listUnassigned().filter(index => hasMarker(run, index)).map(index => ({
            kind: "taskRequeued",
            jobId: record.jobId,
            index,
            failures: record.retries.get(index)?.failures ?? 0,
            checkpoint: record.retries.get(index)?.checkpoint,
        }));
    }

    handleRequest(request: HomeRequest): Promise<HomeReply> {
        switch (request.kind) {
            case "submitJob":
                return this.jobs.submitJob(request);
            case "showJob":
                return Promise.resolve(this.jobs.showJob(request));
            case "waitJob":
                return this.jobs.waitJob(request);
            case "cancelJob":
                return this.jobs.cancelJob(request);
            case "explainJob":
                return Promise.resolve(this.explainJob(request.jobId, request.team));
            case "runRequest":
                return this.requests.runRequest(request);
        }
    }

    receiveUpdates(from: string, notification: UpdateNotification): void {
        this.acceptUpdates(from, notification.updates);
        this.scheduleRound(0);
    }

    /** Requests a census if the owner or epoch of a worker slice has changed, as its attempts may have been lost. */
    handleOwnershipChange(): void {
        const key = this.makeOwnersKey();
        if (key !== this.ownersKey) {
            this.ownersKey = key;
            this.census.request();
        }
    }

    private explainJob(jobId: string, team: string | undefined): HomeReply {
        const reply = this.jobs.showJob({ jobId, team });
        const record = this.core.state.jobs.get(jobId);
        if (reply.kind !== "job" || record === undefined) {
            return reply;
        }
        return explainJob(this.engine, record, this.census.describe());
    }

    private acceptUpdates(from: string, updates: readonly TaskUpdate[]): void {
        for (const update of updates) {
            receiveUpdate(this.engine, from, update);
        }
    }

    private handleAnswer(from: string, answer: CensusAnswer): void {
        this.acceptUpdates(from, answer.tasks);
        this.scheduleRound(0);
    }

    /** Resumes recovered jobs, and resolves as lost the attempts that no placer reported in a complete census. */
    private handleCensus(startedAt: Millis, floor: number): void {
        for (const run of [...this.engine.runs.values()]) {
            if (run.recoveredUpdates !== undefined) {
                this.resumeRun(run, run.recoveredUpdates);
            }
        }
        for (const live of [...this.engine.listAttempts()]) {
            const isSent = live.phase !== AttemptPhase.marking && live.phase !== AttemptPhase.ending;
            if (isSent && live.sequence < floor && live.lastUpdateAt < startedAt) {
                this.engine.resolveLost(live);
            }
        }
        this.scheduleRound(0);
    }

    /** Resumes a job of a previous owner: adopts the attempts that a census found; no other task can be running. */
    private resumeRun(run: JobRun, recovered: NonNullable<JobRun["recoveredUpdates"]>): void {
        run.recoveredUpdates = undefined;
        for (const { from, update, receivedAt } of recovered.values()) {
            if (!run.record.isTaskOpen(update.index)) {
                continue;
            }
            const live = this.engine.registerAttempt(run, update.index, from, update.attempt);
            // Not the time of adoption: the next census must be able to tell that the update is out of date.
            live.lastUpdateAt = receivedAt;
            this.engine.setPhase(live, AttemptPhase.sent);
            if (run.record.cancelled) {
                this.engine.withdrawAttempt(live);
            }
            applyUpdate(this.engine, live, update, from);
        }
        const isStartedGang = run.record.spec.kind === "gang" && run.live.size > 0;
        const unassigned = run.listUnassigned();
        run.isGangBroken ||= isStartedGang && unassigned.length > 0;
        const marked = unassigned.filter(index =>
            !run.record.spec.repeatable && hasMarker(run, index) &&
            !isDisproved(run, recovered.get(index)?.update)
        );
        const outcome = { kind: "mayHaveRun", message: LOST_MESSAGE } as const;
        void this.engine.endUnassignedTasks(run, marked.map(index => ({ index, outcome, attempts: 1 })));
        if (run.record.cancelled) {
            endUnassignedAsCancelled(this.engine, run, marked);
        }
        run.wakeWaiters();
    }

    private scheduleRound(delay: Millis): void {
        if (this.isStopped) {
            return;
        }
        if (delay === 0 && this.isRoundImminent) {
            return;
        }
        this.isRoundImminent = delay === 0;
        this.timer?.cancel();
        this.timer = this.context.clock.schedule(delay, () => {
            this.isRoundImminent = false;
            this.runRound();
        });
    }

    private isRoundImminent = false;

    private runRound(): void {
        if (this.isStopped) {
            return;
        }
        const now = this.context.clock.now();
        this.handleOwnershipChange();
        this.syncAttempts(now);
        if (!this.isReleasing) {
            this.gangs.stepGangs(now);
            this.dispatcher.offerTasks(now);
        }
        this.outbox.flush((memberId, order) => this.engine.handleUnsent(memberId, order));
        this.expireEnded(now);
        if (!this.isRoundImminent) {
            this.scheduleRound(this.core.options.tickMs);
        }
    }

    /**
     * Sends orders and withdrawals that may have been lost again, with exponential backoff, until a placer reports
     * the attempt. A placer ignores an order that it has seen without replying, so after
     * {@link SENDS_BEFORE_CENSUS} sends a census is requested.
     */
    private syncAttempts(now: Millis): void {
        if (now < this.nextSyncAt) {
            return;
        }
        const { resendMs } = this.core.options;
        this.nextSyncAt = now + resendMs / SYNCS_PER_RESEND;
        let needsCensus = false;
        for (const live of this.engine.listAttempts()) {
            this.stopOverdue(live, now);
            const resendDelay = resendMs * 2 ** Math.min(live.sendCount, MAX_DOUBLINGS);
            if (now - live.sentAt < resendDelay) {
                continue;
            }
            needsCensus ||= live.phase === AttemptPhase.sent && live.sendCount >= SENDS_BEFORE_CENSUS;
            if (live.isWithdrawn && live.phase !== AttemptPhase.ending) {
                this.engine.withdrawAttempt(live);
            }
            else if (live.phase === AttemptPhase.sent && this.core.mayOrder()) {
                this.engine.sendOrder(live);
            }
        }
        if (needsCensus) {
            this.census.request();
        }
    }

    /** Stops a task that has run longer than the `maxRunMs` of its branch; it ends as failed once it has stopped. */
    private stopOverdue(live: LiveAttempt, now: Millis): void {
        const { maxRunMs } = this.core.getBranch(live.run.record.spec.branch);
        const isOver = live.phase === AttemptPhase.running && live.runningSince !== undefined &&
            maxRunMs > 0 && now - live.runningSince > maxRunMs;
        if (isOver && !live.isWithdrawn) {
            live.isOverdue = true;
            this.engine.withdrawAttempt(live);
        }
    }

    /** Removes ended work whose retention is over, once per {@link EXPIRY_INTERVAL_MS}. */
    private expireEnded(now: Millis): void {
        if (now < this.nextExpiryAt) {
            return;
        }
        this.nextExpiryAt = now + EXPIRY_INTERVAL_MS;
        const expired = collectExpired(this.core);
        if (expired !== undefined) {
            void this.core.log.commit([expired]);
        }
    }

    /** Renders the owners and epochs of all worker slices, to detect changes. */
    private makeOwnersKey(): string {
        const { ownership } = this.context;
        const owners: string[] = [];
        for (let slice = 0; slice < WORKER_SLICES; slice++) {
            const owner = ownership.getWorkerSliceOwner(slice);
            owners.push(owner === undefined ? "" : `${owner.memberId}:${owner.epoch}`);
        }
        return owners.join(" ");
    }
}

const SYNCS_PER_RESEND = 4;
const MAX_DOUBLINGS = 4;
const SENDS_BEFORE_CENSUS = 2;

/**
 * Whether an update proves that the attempt with the task's start marker did not start.
 *
 * @remarks A repeated update about an older attempt proves nothing about the marked one. A newer attempt exists only
 * because the marked one was proved not to have started, and would have its own marker if it were allowed to start.
 */
function isDisproved(run: JobRun, update: TaskUpdate | undefined): boolean {
    const marked = update === undefined ? undefined : run.record.markers.get(update.index);
    return update?.state === TaskUpdateState.notStarted && marked !== undefined &&
        compareAttempts(update.attempt, marked) >= 0;
}
