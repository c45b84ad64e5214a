/** Handles updates about attempts from placers, with one handler for each state. */
import type { Millis } from "../../../common/clock.js";
import { truncateText } from "../../../common/utf8.js";
import type { TaskUpdate, TaskUpdateState } from "../../../connection/messages.js";
import type { JobRun, LiveAttempt } from "./job-run.js";
import { AttemptPhase } from "./job-run.js";
import { computeRetryBackoff } from "./retry-backoff.js";
import { isFinalState } from "./task-engine.js";
import type { TaskEngine } from "./task-engine.js";

/** Longest answer of a task that is stored, in characters; a longer one is truncated, as its content type says. */
export const MAX_ANSWER_CHARACTERS = 65_536;
const ANSWER_TYPE = "text/plain; charset=utf-8";
const DEFAULT_REFUSED_PAUSE_MS: Millis = 1_000;

type UpdateHandler = (engine: TaskEngine, live: LiveAttempt, update: TaskUpdate, from: string) => void;

const updateHandlers: { readonly [State in TaskUpdateState]: UpdateHandler; } = {
    queued: (engine, live, update, from) => {
        if (live.phase === AttemptPhase.running) {
            return;
        }
        engine.movePlacer(live, from);
        engine.setPhase(live, AttemptPhase.queued);
        live.run.reason = update.reason ?? `it waits at placer ${from}`;
    },
    granted: (engine, live, update, from) => {
        engine.movePlacer(live, from);
        live.workerId = update.workerId;
        const isWaiting = live.phase === AttemptPhase.sent || live.phase === AttemptPhase.queued;
        if (isWaiting && !live.isWithdrawn) {
            void engine.confirmStart(live);
        }
    },
    running: (engine, live, update, from) => {
        const sliceEpoch = update.sliceEpoch ?? 0;
        if (sliceEpoch < live.sliceEpoch) {
            return;
        }
        engine.movePlacer(live, from);
        engine.setPhase(live, AttemptPhase.running);
        observeWait(engine, live);
        live.runningSince ??= engine.core.context.clock.now();
        live.sliceEpoch = sliceEpoch;
        live.workerId = update.workerId;
        live.run.started.add(live.index);
        if (live.isWithdrawn) {
            engine.withdrawAttempt(live);
        }
        live.run.wakeWaiters();
    },
    moved: (engine, live, update, from) => {
        engine.outbox.addAcknowledgement(from, live.attempt);
        if ((update.sliceEpoch ?? 0) >= live.sliceEpoch) {
            // Treated as an order without a report: sending it again has no effect, and then a census is requested.
            engine.movePlacer(live, from);
            engine.setPhase(live, AttemptPhase.sent);
        }
    },
    done: (engine, live, update, from) => {
        engine.movePlacer(live, from);
        const text = update.answer ?? "";
        const isTruncated = text.length > MAX_ANSWER_CHARACTERS;
        engine.endTask(live, {
            kind: "done",
            answer: new TextEncoder().encode(truncateText(text, MAX_ANSWER_CHARACTERS)),
            contentType: isTruncated ? `${ANSWER_TYPE}; cut-from=${text.length}` : ANSWER_TYPE,
            workerId: live.workerId ?? "",
        });
    },
    failed: (engine, live, update, from) => {
        engine.movePlacer(live, from);
        const { record } = live.run;
        const failures = (record.retries.get(live.index)?.failures ?? 0) + 1;
        const { maxAttempts } = engine.core.getBranch(record.spec.branch);
        if (record.spec.repeatable && !record.cancelled && failures < maxAttempts) {
            engine.retryTask(live, failures, undefined, computeRetryBackoff(failures));
            return;
        }
        const message = update.message ?? update.answer ?? "the worker gave no reason";
        engine.endTask(live, { kind: "failed", message, workerId: live.workerId ?? "" });
    },
    stopped: (engine, live, update, from) => {
        engine.movePlacer(live, from);
        const { record } = live.run;
        live.run.started.add(live.index);
        if (record.cancelled) {
            engine.endTask(live, { kind: "cancelled", started: true });
        }
        else if (live.isOverdue) {
            const message = "it was stopped, since it ran longer than the maxRunMs of its branch";
            engine.endTask(live, { kind: "failed", message, workerId: live.workerId ?? "" });
        }
        else if (record.spec.repeatable || update.checkpoint !== undefined) {
            const previous = record.retries.get(live.index);
            const checkpoint = update.checkpoint ?? previous?.checkpoint;
            engine.retryTask(live, previous?.failures ?? 0, checkpoint, 0);
        }
        else {
            const message = "it was started and stopped before its end; what it did until then stands";
            engine.endTask(live, { kind: "mayHaveRun", message });
        }
    },
    notStarted: (engine, live, update, from) => {
        engine.movePlacer(live, from);
        const { record } = live.run;
        if (record.cancelled) {
            const started = engine.mayHaveStarted(live.run, live.index);
            engine.endTask(live, { kind: "cancelled", started });
            return;
        }
        const pauseMs = update.retryAfterMs ?? DEFAULT_REFUSED_PAUSE_MS;
        engine.selector.pausePlacer(from, record.spec.branch, pauseMs);
        engine.outbox.addAcknowledgement(from, live.attempt);
        engine.returnTask(live, 0, update.reason ?? update.message ?? `placer ${from} refused it`);
    },
    lost: (engine, live, _update, from) => {
        engine.movePlacer(live, from);
        live.run.started.add(live.index);
        live.run.recordLoss(live, engine.core.context.clock.now());
        if (live.run.record.spec.repeatable && !live.run.record.cancelled) {
            engine.outbox.addAcknowledgement(from, live.attempt);
        }
        engine.resolveLost(live);
    },
};

/**
 * Handles one update.
 *
 * @remarks Updates may be late, duplicated or out of order. Only an update about the current attempt has an effect.
 * The end of any other attempt is acknowledged, and any other attempt that runs or waits is withdrawn.
 */
export function receiveUpdate(engine: TaskEngine, from: string, update: TaskUpdate): void {
    const run = engine.runs.get(update.jobId);
    if (run?.recoveredUpdates !== undefined && run.record.isTaskOpen(update.index)) {
        collectRecovered(run, from, update, engine.core.context.clock.now());
        return;
    }
    const live = engine.findAttempt(update.attempt);
    if (live === undefined || live.phase === AttemptPhase.marking) {
        replyToStale(engine, from, update);
        return;
    }
    live.lastUpdateAt = engine.core.context.clock.now();
    if (live.phase !== AttemptPhase.ending) {
        applyUpdate(engine, live, update, from);
    }
}

/** Handles an update about the current attempt of a task. */
export function applyUpdate(engine: TaskEngine, live: LiveAttempt, update: TaskUpdate, from: string): void {
    if (isFinalState(update) && !engine.core.log.hasCapacity()) {
        // The log's queue is full after a long store outage; the placer repeats the end until it is acknowledged.
        return;
    }
    if (isFinalState(update)) {
        live.workerId = update.workerId ?? live.workerId;
    }
    updateHandlers[update.state](engine, live, update, from);
}

/** Measures the time from a job's acceptance to the first start of each of its tasks. */
function observeWait(engine: TaskEngine, live: LiveAttempt): void {
    const { record } = live.run;
    if (!engine.mayHaveStarted(live.run, live.index)) {
        const waitedMs = engine.core.log.getLogTime() - record.acceptedAt;
        engine.core.context.metrics.time("home.waitTime", waitedMs, { branch: record.spec.branch });
    }
}

/** Replies to an update about an attempt that is not current: acknowledges its end, or withdraws it. */
function replyToStale(engine: TaskEngine, from: string, update: TaskUpdate): void {
    if (isFinalState(update) || update.state === "moved") {
        engine.outbox.addAcknowledgement(from, update.attempt);
    }
    else {
        engine.outbox.addWithdrawal(from, update.attempt);
    }
}

/** Keeps the newest update on each task of a previous owner; see {@link isNewer}. */
function collectRecovered(run: JobRun, from: string, update: TaskUpdate, receivedAt: Millis): void {
    const previous = run.recoveredUpdates?.get(update.index);
    if (previous === undefined || isNewer(update, previous.update)) {
        run.recoveredUpdates?.set(update.index, { from, update, receivedAt });
    }
}

/**
 * Whether an update supersedes a previous one about the same task.
 *
 * @remarks The end of an old attempt may be reported again while a newer attempt runs; acting on it would start the
 * task twice. An owner begins an attempt only when the previous one is over, so the highest attempt counts.
 */
function isNewer(update: TaskUpdate, previous: TaskUpdate): boolean {
    const order = compareAttempts(update.attempt, previous.attempt);
    if (order !== 0) {
        return order > 0;
    }
    if (isFinalState(previous)) {
        return false;
    }
    return isFinalState(update) || previous.state === "queued" ||
        (update.sliceEpoch ?? 0) > (previous.sliceEpoch ?? 0);
}

/** Compares attempts at one task by the owner's epoch and the attempt number, the last two fields of the id. */
export function compareAttempts(left: string, right: string): number {
    const [leftNumber = 0, leftEpoch = 0] = left.split(".").reverse().map(Number);
    const [rightNumber = 0, rightEpoch = 0] = right.split(".").reverse().map(Number);
    return leftEpoch - rightEpoch || leftNumber - rightNumber;
}
