/**
 * Writes to the store that succeed only while this node leads.
 *
 * @remarks A leader that was suspended or partitioned could write on after another has taken over, and mix
 * two histories. Every write is therefore conditional on the revision of the leader's record. The record
 * changes with each takeover, so writes of an earlier leader are refused, even if the store executes them
 * late.
 */
import type { Clock, Millis } from "../../common/clock.js";
import { sleep, waitForTimeout } from "../../common/clock.js";
import { Signal } from "../../common/signal.js";
import type {
    StoreAnswer,
    StoreCondition,
    StorePort,
    StoreTransaction,
    TransactionWrite,
} from "../ports/index.js";
import { AdaptiveTimeout } from "../store/adaptive-timeout.js";
import type { Log, Metrics } from "../telemetry.js";
import { LEADER_KEY } from "./keys.js";

/** Result of a guarded write, after retries. */
export type GuardedResult =
    | { readonly kind: "done"; readonly revision: number; }
    /** Another node leads; this node can write nothing more. */
    | { readonly kind: "deposed"; }
    /**
     * The store was closed by its owner while the result was unknown: the write may or may not have been
     * executed.
     */
    | { readonly kind: "abandoned"; };

/** State of one attempt of a write: sent, or ended certainly without effect. */
export type AttemptPhase = "sent" | "unwritten";

/** Options of {@link GuardedStore}. */
export interface GuardedStoreOptions {
    readonly port: StorePort;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    /** Revision of the leader's record that this node wrote. */
    readonly leaderRevision: number;
    /**
     * Returns a monotonic time that does not advance while this process is too busy to receive answers; the
     * clock's time by default.
     */
    readonly getResponsiveMs?: () => Millis;
}

/** A write that is retried until its result is known. */
export interface GuardedWrite {
    /**
     * Builds the write for each attempt. It must return the same after an attempt whose result is unknown.
     */
    readonly buildWrite: () => TransactionWrite;
    /** Builds the conditions for each attempt, in addition to the leader's record. */
    readonly buildConditions: () => readonly StoreCondition[];
    /**
     * Whether the conditions may fail temporarily because of other writes of this leader, so that a refused
     * write is retried.
     */
    readonly mayBeOutdated?: boolean;
    /** Whether no caller waits for the write, so that it is ignored by {@link GuardedStore.getStallMs}. */
    readonly isBackground?: boolean;
    /** Called before each attempt, and after each that certainly had no effect. */
    readonly observeAttempt?: (phase: AttemptPhase) => void;
}

/**
 * Initial and shortest time after which an attempt without an answer is hedged by another. A lost answer
 * costs this long; for a slow store, the delay doubles.
 */
const MIN_HEDGE_DELAY_MS: Millis = 100;
/**
 * Timeout of the first attempts of a write, long enough for four answers of a store in a slow period; it
 * bounds how late the recovery of a silent store is noticed. It doubles with each attempt that times out:
 * with a fixed timeout, a large write over a narrow link would never succeed, and the leader would consider
 * the store unavailable.
 */
const INITIAL_ATTEMPT_TIMEOUT_MS: Millis = 1_000;
const MAX_ATTEMPT_TIMEOUT_MS: Millis = 8_000;
/** Weight of a new sample in the smoothed answer time. */
const ANSWER_GAIN = 0.25;
/** Fewest smoothed answer times without any answer that count as a silence of the store. */
const MIN_SILENCE_ANSWERS = 5;
/** Attempts of one write that may be in flight at once while the store answers nothing. */
const MAX_OPEN_ATTEMPTS = 3;
/**
 * Backoff of the oldest write after a failed attempt. It doubles up to the longest, which is a sixth of the
 * slack of a short job.
 */
const MIN_BACKOFF_MS: Millis = 25;
const MAX_BACKOFF_MS: Millis = 100;
/** Longest backoff of the later writes, which otherwise wait until the store gives any answer. */
const LATER_WRITE_BACKOFF_MS: Millis = 1_000;

interface PreparedAttempt {
    readonly write: TransactionWrite;
    readonly transaction: StoreTransaction;
}

interface EndedAttempt {
    readonly answer: StoreAnswer<number>;
    readonly write: TransactionWrite;
}

/** A write whose result is not yet known. */
interface PendingWrite {
    /** Start of the write, in responsive time. */
    readonly startedAt: Millis;
    readonly isBackground: boolean;
    /** Sending time of the latest attempt. */
    lastSentAt: Millis;
}

/**
 * Writes to the store, conditional on this node's leadership, and retries until the result is known.
 *
 * @remarks To avoid resending all waiting records over and over to an unavailable store, only the oldest
 * write is retried while the store does not answer. Any answer, including that of a lease renewal, resumes
 * the others.
 */
export class GuardedStore {
    private readonly hedgeDelay = new AdaptiveTimeout(MIN_HEDGE_DELAY_MS);
    private closed = false;
    /** Sending time of the last call that was answered. */
    private lastContact: Millis;
    /** Arrival time of the last answer, on the clock and in responsive time. */
    private lastAnswerAt: Millis = -Infinity;
    private lastAnswerResponsiveMs: Millis = -Infinity;
    /** Smoothed answer time. */
    private smoothedAnswerMs: Millis = 0;
    /** Writes whose result is not yet known, oldest first. */
    private readonly pendingWrites = new Set<PendingWrite>();
    private answered = new Signal();

    /** Largest value that the store accepts. */
    get maxValueBytes(): number {
        return this.options.port.maxValueBytes;
    }

    constructor(private readonly options: GuardedStoreOptions) {
        this.lastContact = options.clock.now();
    }

    /** Returns the sending time of the last call that the store answered. */
    getLastContact(): Millis {
        return this.lastContact;
    }

    /** Records that the store answered another call, which was sent at the given time. */
    observeContact(sentAt: Millis): void {
        this.lastContact = Math.max(this.lastContact, sentAt);
    }

    /**
     * Records that the store answered a call, whatever the answer, and resumes waiting writes.
     * @param tookMs - Time from the call to the answer.
     */
    observeAnswer(tookMs: Millis): void {
        this.hedgeDelay.observeAnswer(tookMs);
        this.smoothedAnswerMs += (tookMs - this.smoothedAnswerMs) * ANSWER_GAIN;
        this.lastAnswerAt = this.options.clock.now();
        this.lastAnswerResponsiveMs = this.getResponsiveMs();
        const { answered } = this;
        this.answered = new Signal();
        answered.notify();
    }

    /**
     * Returns for how long the oldest write that is not a background write has been pending, in responsive
     * time; 0 if there is none.
     *
     * @remarks Responsive time prevents a leader on an overloaded processor, which reads answers late, from
     * considering the store unavailable and stepping down in favour of a node that is no better off.
     */
    getStallMs(): Millis {
        const oldest = [...this.pendingWrites].find(pending => !pending.isBackground);
        return oldest === undefined ? 0 : this.getResponsiveMs() - oldest.startedAt;
    }

    /**
     * Returns for how long, in responsive time, writes have been pending while no call at all was answered; 0
     * if none is pending, or if the silence is no longer than answers can take over a congested link. Single
     * lost answers do not count, since other writes are answered.
     */
    getSilenceMs(): Millis {
        const [oldest] = this.pendingWrites;
        if (oldest === undefined) {
            return 0;
        }
        const silenceMs = this.getResponsiveMs() - Math.max(oldest.startedAt, this.lastAnswerResponsiveMs);
        return silenceMs > this.smoothedAnswerMs * MIN_SILENCE_ANSWERS ? silenceMs : 0;
    }

    /** Abandons all pending writes. */
    close(): void {
        this.closed = true;
    }

    /**
     * Writes a record, with retries until the result is known.
     *
     * @remarks An attempt whose answer was lost may have been executed. The next attempt is then refused, and
     * the value stored at the key shows whether it was this write.
     */
    async write(request: GuardedWrite): Promise<GuardedResult> {
        const pending: PendingWrite = {
            startedAt: this.getResponsiveMs(),
            isBackground: request.isBackground ?? false,
            lastSentAt: -Infinity,
        };
        this.pendingWrites.add(pending);
        const result = await this.retryUntilKnown(pending, request);
        this.pendingWrites.delete(pending);
        return result;
    }

    private getResponsiveMs(): Millis {
        const { getResponsiveMs: getTimeMs, clock } = this.options;
        return getTimeMs?.() ?? clock.now();
    }

    private prepareAttempt(
        { buildWrite, buildConditions, observeAttempt }: GuardedWrite,
    ): PreparedAttempt {
        const write = buildWrite();
        const guard = { key: LEADER_KEY, revision: this.options.leaderRevision };
        observeAttempt?.("sent");
        return {
            write,
            transaction: { conditions: [guard, ...buildConditions()], writes: [write], removals: [] },
        };
    }

    /**
     * Makes attempts until one shows the result. An attempt without an answer stays open when the next is
     * sent: if the store is slow, the first is answered, and if the answer was lost, the second is.
     */
    private async retryUntilKnown(
        pending: PendingWrite,
        request: GuardedWrite,
    ): Promise<GuardedResult> {
        const { clock } = this.options;
        const openAttempts = new Set<Promise<EndedAttempt>>();
        let backoff = MIN_BACKOFF_MS;
        let timeout = INITIAL_ATTEMPT_TIMEOUT_MS;
        let hasFailed = false;
        while (!this.closed) {
            if (openAttempts.size === 0 || this.mayHedge(pending, openAttempts.size)) {
                this.observeSilence(pending);
                pending.lastSentAt = clock.now();
                this.startAttempt(this.prepareAttempt(request), openAttempts, timeout);
            }
            const ended = await Promise.race([...openAttempts, this.waitForHedge(pending)]);
            if (ended === undefined) {
                continue;
            }
            const result = this.decideResult(ended.answer, ended.write, request.mayBeOutdated ?? false);
            if (result !== undefined) {
                return result;
            }
            if (!hasFailed) {
                hasFailed = true;
                this.logFailure(ended);
            }
            if (ended.answer.kind === "unavailable" || ended.answer.kind === "refused") {
                request.observeAttempt?.("unwritten");
            }
            else {
                timeout = Math.min(MAX_ATTEMPT_TIMEOUT_MS, timeout * 2);
            }
            await this.waitAfterFailure(pending, backoff);
            backoff = Math.min(MAX_BACKOFF_MS, backoff * 2);
        }
        return { kind: "abandoned" };
    }

    /** Returns whether to send another attempt while earlier ones are open. */
    private mayHedge(pending: PendingWrite, openCount: number): boolean {
        const isOverdue = this.options.clock.now() - pending.lastSentAt >= this.hedgeDelay.get();
        const mayProbe = this.isOldest(pending) && openCount < MAX_OPEN_ATTEMPTS;
        return isOverdue && (this.hasAnsweredSince(pending) || mayProbe);
    }

    /** Lengthens the hedge delay if the store has answered nothing since the last attempt. */
    private observeSilence(pending: PendingWrite): void {
        if (pending.lastSentAt > -Infinity && !this.hasAnsweredSince(pending)) {
            this.hedgeDelay.observeTimeout(this.hedgeDelay.get());
        }
    }

    private hasAnsweredSince({ lastSentAt }: PendingWrite): boolean {
        return this.lastAnswerAt > lastSentAt;
    }

    /** Waits until another attempt may be due: for the hedge delay, then until the store gives any answer. */
    private async waitForHedge({ lastSentAt }: PendingWrite): Promise<undefined> {
        const { clock } = this.options;
        const leftMs = lastSentAt + this.hedgeDelay.get() - clock.now();
        await Promise.race([
            this.answered.wait(),
            waitForTimeout(clock, leftMs > 0 ? leftMs : LATER_WRITE_BACKOFF_MS),
        ]);
        return undefined;
    }

    /**
     * Backs off after a failed attempt. Only the oldest write is retried soon; later ones wait for an answer
     * of the store.
     */
    private async waitAfterFailure(pending: PendingWrite, backoff: Millis): Promise<void> {
        const { clock } = this.options;
        const { answered } = this;
        await sleep(clock, backoff);
        if (!this.isOldest(pending)) {
            await Promise.race([answered.wait(), sleep(clock, LATER_WRITE_BACKOFF_MS)]);
        }
    }

    private isOldest(pending: PendingWrite): boolean {
        const [oldest] = this.pendingWrites;
        return oldest === pending;
    }

    private startAttempt(
        { write, transaction }: PreparedAttempt,
        openAttempts: Set<Promise<EndedAttempt>>,
        timeout: Millis,
    ): void {
        const attempt = this.call(() => this.options.port.transact(transaction, timeout)).then(
            answer => {
                openAttempts.delete(attempt);
                return { answer, write };
            },
        );
        openAttempts.add(attempt);
    }

    private decideResult(
        answer: StoreAnswer<number>,
        write: TransactionWrite,
        mayBeOutdated: boolean,
    ): GuardedResult | undefined {
        if (answer.kind === "done") {
            return { kind: "done", revision: answer.value };
        }
        if (answer.kind !== "refused") {
            return undefined;
        }
        const standing = new Map(answer.standing?.map(record => [record.key, record]));
        const leader = standing.get(LEADER_KEY);
        const ours = standing.get(write.key);
        const isLeading = leader?.revision === this.options.leaderRevision;
        if (isLeading && ours !== undefined && ours.value === write.value) {
            return { kind: "done", revision: ours.revision };
        }
        if (isLeading && mayBeOutdated) {
            return undefined;
        }
        this.options.log.warn("CR1601", "guardedWriteRefused", { reason: answer.reason, isLeading });
        return { kind: "deposed" };
    }

    private logFailure({ answer, write: { key, value } }: EndedAttempt): void {
        const { kind } = answer;
        const message = "message" in answer ? answer.message : undefined;
        this.options.log.warn("CR1605", "guardedWriteFailed", {
            key,
            bytes: Buffer.byteLength(value),
            kind,
            message,
        });
    }

    private async call(send: () => Promise<StoreAnswer<number>>): Promise<StoreAnswer<number>> {
        const { clock, metrics } = this.options;
        const sentAt = clock.now();
        const answer = await send();
        const took = clock.now() - sentAt;
        metrics.time("store.write", took);
        if (answer.kind === "done" || answer.kind === "refused") {
            this.lastContact = Math.max(this.lastContact, sentAt);
            this.observeAnswer(took);
        }
        if (answer.kind === "unknown" || answer.kind === "unavailable") {
            metrics.count("store.failures", 1, { kind: answer.kind });
        }
        return answer;
    }
}
