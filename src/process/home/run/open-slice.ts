/** A home slice that is read back and serves: rounds of offers, updates, census, and callers' questions. */
import { type Millis, sleep, type Timer } from "../../../common/clock.js";
import {
    type CensusAnswer,
    type HomeReply,
    type HomeRequest,
    type TaskUpdate,
    TaskUpdateState,
    type UpdateNote,
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
import { GangDesk } from "./gang-desk.js";
import { endFreeAsCancelled, JobDesk } from "./job-desk.js";
import type { JobRun, LiveAttempt } from "./job-run.js";
import { AttemptPhase } from "./job-run.js";
import { Outbox } from "./outbox.js";
import { PlacerChoice } from "./placer-choice.js";
import { RequestDesk } from "./request-desk.js";
import { RequestSender } from "./request-sender.js";
import { collectExpired } from "./retention.js";
import { hasMarker, LOST_MESSAGE, TaskEngine } from "./task-engine.js";
import { applyUpdate, compareAttempts, receiveUpdate } from "./updates.js";

const RETENTION_PERIOD_MS: Millis = 60_000;
/** Longest wait for start markers under way before a hand-over. */
const MARKING_PATIENCE_MS: Millis = 2_000;
const RELEASE_POLL_MS: Millis = 20;
const ENTRIES_PER_COMMIT = 500;

/** An open slice. */
export class OpenSlice {
    readonly core: SliceCore;
    readonly requests: RequestDesk;
    readonly engine: TaskEngine;
    private readonly jobs: JobDesk;
    private readonly outbox: Outbox;
    private readonly dispatcher: Dispatcher;
    private readonly gangs: GangDesk;
    private readonly census: Census;
    private isStopped = false;
    private isReleasing = false;
    private timer: Timer | undefined;
    private tableKey = "";
    private nextRetentionAt: Millis;
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
        const choice = new PlacerChoice(this.core);
        this.engine = new TaskEngine(this.core, this.outbox, choice, () => this.scheduleRound(0));
        this.jobs = new JobDesk(this.engine);
        this.requests = new RequestDesk(this.core, new RequestSender(this.core, choice));
        this.dispatcher = new Dispatcher(this.engine);
        const isStopped = () => this.isStopped;
        this.gangs = new GangDesk(this.engine, isStopped);
        this.census = new Census(
            this.core,
            {
                handleAnswer: (from, answer) => this.handleAnswer(from, answer),
                handleComplete: (startedAt, floor) => this.handleCensus(startedAt, floor),
            },
            isStopped,
        );
        this.nextRetentionAt = context.clock.now() + RETENTION_PERIOD_MS;
        this.nextSyncAt = context.clock.now();
    }

    /** Takes up what an owner before left, and begins to serve. */
    start(): void {
        for (const record of this.core.state.jobs.values()) {
            if (!record.isEnded()) {
                this.engine.openRun(record, true);
            }
        }
        this.requests.recoverRequests();
        this.tableKey = this.makeTableKey();
        this.census.request();
        this.scheduleRound(0);
    }

    /** Sends nothing more. */
    stop(): void {
        this.isStopped = true;
        this.engine.isClosed = true;
        this.timer?.cancel();
        for (const run of this.engine.runs.values()) {
            run.wakeWaiters();
        }
    }

    /**
     * Makes ready for a hand-over: offers nothing more, sends what was decided, and writes down which start markers
     * surely started nothing.
     *
     * @remarks The failure it guards against: a planned replacement of an entry ends waiting work that must not run
     * twice as "may have run". It would show as tasks lost in every rolling replacement. Orders that wait at placers
     * are told by the placers in the next owner's census.
     */
    async prepareRelease(): Promise<void> {
        this.isReleasing = true;
        const deadline = this.context.clock.now() + MARKING_PATIENCE_MS;
        while ([...this.engine.listAttempts()].some(live => live.phase === AttemptPhase.marking)) {
            if (this.context.clock.now() >= deadline) {
                break;
            }
            await sleep(this.context.clock, RELEASE_POLL_MS);
        }
        this.outbox.flush((memberId, order) => this.engine.handleUnsent(memberId, order));
        const entries = [...this.engine.runs.values()].flatMap(run => this.listDisprovedStarts(run));
        for (let start = 0; start < entries.length; start += ENTRIES_PER_COMMIT) {
            void this.core.log.commit(entries.slice(start, start + ENTRIES_PER_COMMIT));
        }
        this.stop();
    }

    private listDisprovedStarts(run: JobRun): readonly HomeEntry[] {
        const { record } = run;
        if (run.found !== undefined || record.spec.repeatable) {
            return [];
        }
        return run.listFree().filter(index => hasMarker(run, index)).map(index => ({
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

    receiveUpdates(from: string, note: UpdateNote): void {
        this.acceptUpdates(from, note.updates);
        this.scheduleRound(0);
    }

    /** The ownership table changed: what a lost or changed owner had must be learned again. */
    handleTable(): void {
        const key = this.makeTableKey();
        if (key !== this.tableKey) {
            this.tableKey = key;
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

    /** Nobody else can know of work of this slice from before the census. */
    private handleCensus(startedAt: Millis, floor: number): void {
        for (const run of [...this.engine.runs.values()]) {
            if (run.found !== undefined) {
                this.resumeRun(run, run.found);
            }
        }
        for (const live of [...this.engine.listAttempts()]) {
            const isSent = live.phase !== AttemptPhase.marking && live.phase !== AttemptPhase.ending;
            if (isSent && live.sequence < floor && live.heardAt < startedAt) {
                this.engine.resolveLost(live);
            }
        }
        this.scheduleRound(0);
    }

    /** Goes on with a job of an owner before: what was found is adopted, the rest is surely not running. */
    private resumeRun(run: JobRun, found: NonNullable<JobRun["found"]>): void {
        run.found = undefined;
        for (const { from, update, heardAt } of found.values()) {
            if (!run.record.isTaskOpen(update.index)) {
                continue;
            }
            const live = this.engine.registerAttempt(run, update.index, from, update.attempt);
            // Not the time of adoption: a census that begins at once has to tell whether the word still holds.
            live.heardAt = heardAt;
            this.engine.setPhase(live, AttemptPhase.sent);
            if (run.record.cancelled) {
                this.engine.withdrawAttempt(live);
            }
            applyUpdate(this.engine, live, update, from);
        }
        const isBrokenGang = run.record.spec.kind === "gang" && run.live.size > 0;
        const free = run.listFree();
        run.isGangBroken ||= isBrokenGang && free.length > 0;
        const marked = free.filter(index =>
            !run.record.spec.repeatable && hasMarker(run, index) &&
            !isDisproved(run, found.get(index)?.update)
        );
        const outcome = { kind: "mayHaveRun", message: LOST_MESSAGE } as const;
        void this.engine.endFreeTasks(run, marked.map(index => ({ index, outcome, attempts: 1 })));
        if (run.record.cancelled) {
            endFreeAsCancelled(this.engine, run, marked);
        }
        run.wakeWaiters();
    }

    private scheduleRound(delay: Millis): void {
        if (this.isStopped) {
            return;
        }
        if (delay === 0 && this.isRoundNear) {
            return;
        }
        this.isRoundNear = delay === 0;
        this.timer?.cancel();
        this.timer = this.context.clock.schedule(delay, () => {
            this.isRoundNear = false;
            this.runRound();
        });
    }

    private isRoundNear = false;

    private runRound(): void {
        if (this.isStopped) {
            return;
        }
        const now = this.context.clock.now();
        this.handleTable();
        this.syncAttempts(now);
        if (!this.isReleasing) {
            this.gangs.stepGangs(now);
            this.dispatcher.offerTasks(now);
        }
        this.outbox.flush((memberId, order) => this.engine.handleUnsent(memberId, order));
        this.expireOld(now);
        if (!this.isRoundNear) {
            this.scheduleRound(this.core.options.tickMs);
        }
    }

    /**
     * Orders and withdrawals may be lost on the way: they are sent again, ever less often, until a placer speaks of
     * them. A placer passes over an order that it has seen and says nothing, so in the end a census asks.
     */
    private syncAttempts(now: Millis): void {
        if (now < this.nextSyncAt) {
            return;
        }
        const { resendMs } = this.core.options;
        this.nextSyncAt = now + resendMs / SYNCS_PER_RESEND;
        let isSilent = false;
        for (const live of this.engine.listAttempts()) {
            this.stopOverdue(live, now);
            const pause = resendMs * 2 ** Math.min(live.sends, MAX_DOUBLINGS);
            if (now - live.sentAt < pause) {
                continue;
            }
            isSilent ||= live.phase === AttemptPhase.sent && live.sends >= SENDS_BEFORE_CENSUS;
            if (live.isWithdrawn && live.phase !== AttemptPhase.ending) {
                this.engine.withdrawAttempt(live);
            }
            else if (live.phase === AttemptPhase.sent && this.core.mayOrder()) {
                this.engine.sendOrder(live);
            }
        }
        if (isSilent) {
            this.census.request();
        }
    }

    /** A task that runs longer than its branch allows is stopped; it ends as failed once that is known. */
    private stopOverdue(live: LiveAttempt, now: Millis): void {
        const { maxRunMs } = this.core.getBranch(live.run.record.spec.branch);
        const isOver = live.phase === AttemptPhase.running && live.runningSince !== undefined &&
            maxRunMs > 0 && now - live.runningSince > maxRunMs;
        if (isOver && !live.isWithdrawn) {
            live.isOverdue = true;
            this.engine.withdrawAttempt(live);
        }
    }

    private expireOld(now: Millis): void {
        if (now < this.nextRetentionAt) {
            return;
        }
        this.nextRetentionAt = now + RETENTION_PERIOD_MS;
        const expired = collectExpired(this.core);
        if (expired !== undefined) {
            void this.core.log.commit([expired]);
        }
    }

    private makeTableKey(): string {
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
 * Whether an update proves that the attempt of a task's start marker did not start. Word of an older attempt, told
 * again, says nothing of it; a newer one exists only because the marker's was proved not to have started, and would
 * have a marker of its own had it been allowed to start.
 */
function isDisproved(run: JobRun, update: TaskUpdate | undefined): boolean {
    const marked = update === undefined ? undefined : run.record.markers.get(update.index);
    return update?.state === TaskUpdateState.notStarted && marked !== undefined &&
        compareAttempts(update.attempt, marked) >= 0;
}
