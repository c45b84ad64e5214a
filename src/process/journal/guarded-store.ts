/**
 * Writes to the store that hold only while this node leads.
 *
 * @remarks Failure guarded against: a leader that was paused or cut off goes on writing after another has taken
 * over, and two histories mix. Every write names the revision of the leader's record as a condition; the record
 * changes with each take-over, so a write of an earlier leader is refused, also one that is carried out late.
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
import { CallTimeout } from "../store/call-timeout.js";
import type { Log, Metrics } from "../telemetry.js";
import { LEADER_KEY } from "./keys.js";

/** Result of a guarded write that was pursued to its end. */
export type GuardedResult =
    | { readonly kind: "done"; readonly revision: number; }
    /** Another node leads; nothing more can be written. */
    | { readonly kind: "deposed"; }
    /** The owner gave up while the store was away; the write may or may not stand. */
    | { readonly kind: "abandoned"; };

/** How far a try of a write is: sent, or over and surely without effect. */
export type TryPhase = "sent" | "unwritten";

/** What guarded writes need. */
export interface GuardedStoreOptions {
    readonly port: StorePort;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    /** Revision of the leader's record that this node wrote. */
    readonly leaderRevision: number;
    /** An instant that stands still while this process is late; the clock's where left out. */
    readonly getAttentiveMs?: () => Millis;
}

/** A write to pursue. */
export interface GuardedWrite {
    /** Builds what to write, for each try; after a try without a known end it must stay the same. */
    readonly buildWrite: () => TransactionWrite;
    /** Builds what must hold beside the guard, for each try. */
    readonly buildConditions: () => readonly StoreCondition[];
    /** Whether the conditions may fail for a while because of this leader's own other writes: the write is tried again then. */
    readonly mayBeOutdated?: boolean;
    /** Whether nobody waits for it: its length says nothing of the store. */
    readonly isBackground?: boolean;
    /** Told before each try, and after each that surely had no effect. */
    readonly observeTry?: (phase: TryPhase) => void;
}

/**
 * First time after which a write without an answer is tried again beside the try under way: a lost answer costs this long,
 * and a slow store is learnt by doubling.
 */
const SHORTEST_TIMEOUT_MS: Millis = 100;
/**
 * Time after which the first tries of a write are given up: four answers of a slow spell. A store that was silent is back
 * at most this late. It doubles with each try that ends so: given up after the same time for ever, a write that takes
 * longer, as over a narrow link, would never end, and the leader would take the store for away.
 */
const TRY_LIMIT_MS: Millis = 1_000;
const LONGEST_TRY_LIMIT_MS: Millis = 8_000;
/** Share of a new sample in the smoothed time of answers. */
const ANSWER_GAIN = 0.25;
/** A silence is as long as several usual answers at least. */
const USUAL_ANSWERS = 5;
/** Tries of one write that may be open at once. */
const MAX_OPEN_TRIES = 3;
/** Pause of the oldest write after a try that failed; doubles up to the longest, a sixth of a short job's slack. */
const SHORTEST_PAUSE_MS: Millis = 25;
const LONGEST_PAUSE_MS: Millis = 100;
/** Longest pause of the writes behind it, which otherwise wait until the store answers anything. */
const BEHIND_PAUSE_MS: Millis = 1_000;

interface PreparedTry {
    readonly write: TransactionWrite;
    readonly transaction: StoreTransaction;
}

interface EndedTry {
    readonly answer: StoreAnswer<number>;
    readonly write: TransactionWrite;
}

/** A write that is being pursued. */
interface Pursuit {
    /** Its beginning, in attentive time. */
    readonly since: Millis;
    readonly isBackground: boolean;
    /** When its newest try was sent. */
    triedAt: Millis;
}

/**
 * The store under the leader's guard.
 *
 * @remarks Failure guarded against: the store is away, and all waiting records are sent to it again and again. While it answers
 * nothing only the oldest write is tried again, and any answer, also that of a lease renewal, sends the others.
 */
export class GuardedStore {
    private readonly timeout = new CallTimeout(SHORTEST_TIMEOUT_MS);
    private closed = false;
    /** Sending of the last call that was answered. */
    private lastContact: Millis;
    /** Arrival of the last answer, on the clock and in attentive time. */
    private lastAnswerAt: Millis = -Infinity;
    private lastAnswerAttentive: Millis = -Infinity;
    /** Smoothed time of answers. */
    private usualAnswerMs: Millis = 0;
    /** The writes under way, oldest first. */
    private readonly underWay = new Set<Pursuit>();
    private answered = new Signal();

    /** @param options - Store, clock and guard. */
    constructor(private readonly options: GuardedStoreOptions) {
        this.lastContact = options.clock.now();
    }

    /** Returns the sending time of the last call that the store answered. */
    getLastContact(): Millis {
        return this.lastContact;
    }

    /** Takes in that the store answered another call that was sent at an instant. */
    observeContact(sentAt: Millis): void {
        this.lastContact = Math.max(this.lastContact, sentAt);
    }

    /**
     * Takes in that the store has answered a call, whatever it said.
     * @param tookMs - Time until the answer.
     */
    observeAnswer(tookMs: Millis): void {
        this.timeout.observeAnswer(tookMs);
        this.usualAnswerMs += (tookMs - this.usualAnswerMs) * ANSWER_GAIN;
        this.lastAnswerAt = this.options.clock.now();
        this.lastAnswerAttentive = this.getAttentiveMs();
        const { answered } = this;
        this.answered = new Signal();
        answered.notify();
    }

    /**
     * Returns how long the oldest write that somebody waits for has been tried, without the time for which this process was
     * late itself; 0 while there is none.
     *
     * @remarks Failure guarded against: a leader whose processor is full reads answers late, takes the store for away, and
     * gives its place up to a node that is no better off.
     */
    getStallMs(): Millis {
        const oldest = [...this.underWay].find(pursuit => !pursuit.isBackground);
        return oldest === undefined ? 0 : this.getAttentiveMs() - oldest.since;
    }

    /**
     * Returns for how long writes have waited while no call at all was answered, without the time for which this process
     * was late itself; 0 while none waits, or for no longer than answers usually take over a link that is full. Single
     * lost answers do not raise it, since the writes beside them are answered.
     */
    getSilenceMs(): Millis {
        const [oldest] = this.underWay;
        if (oldest === undefined) {
            return 0;
        }
        const silenceMs = this.getAttentiveMs() - Math.max(oldest.since, this.lastAnswerAttentive);
        return silenceMs > this.usualAnswerMs * USUAL_ANSWERS ? silenceMs : 0;
    }

    /** Gives up what is under way. */
    close(): void {
        this.closed = true;
    }

    /**
     * Writes a record, trying again until the end is known.
     *
     * @remarks A try whose answer was lost may have been carried out: the next one then finds the conditions
     * changed, and what stands at the key tells whether it was ours.
     * @param request - What to write.
     */
    async write(request: GuardedWrite): Promise<GuardedResult> {
        const pursuit: Pursuit = {
            since: this.getAttentiveMs(),
            isBackground: request.isBackground ?? false,
            triedAt: -Infinity,
        };
        this.underWay.add(pursuit);
        const result = await this.retryUntilKnown(pursuit, request);
        this.underWay.delete(pursuit);
        return result;
    }

    private getAttentiveMs(): Millis {
        const { getAttentiveMs, clock } = this.options;
        return getAttentiveMs?.() ?? clock.now();
    }

    private prepareTry({ buildWrite, buildConditions, observeTry }: GuardedWrite): PreparedTry {
        const write = buildWrite();
        const guard = { key: LEADER_KEY, revision: this.options.leaderRevision };
        observeTry?.("sent");
        return {
            write,
            transaction: { conditions: [guard, ...buildConditions()], writes: [write], removals: [] },
        };
    }

    /**
     * Tries until one try shows the end. A try without an answer is not given up when the next one begins: a store
     * that has turned slow answers the first, and one that lost the answer answers the second.
     */
    private async retryUntilKnown(
        pursuit: Pursuit,
        request: GuardedWrite,
    ): Promise<GuardedResult> {
        const { clock } = this.options;
        const open = new Set<Promise<EndedTry>>();
        let pause = SHORTEST_PAUSE_MS;
        let limit = TRY_LIMIT_MS;
        while (!this.closed) {
            if (open.size === 0 || this.mayTryBeside(pursuit, open.size)) {
                this.observeSilence(pursuit);
                pursuit.triedAt = clock.now();
                this.startTry(this.prepareTry(request), open, limit);
            }
            const ended = await Promise.race([...open, this.waitBesideTries(pursuit)]);
            if (ended === undefined) {
                continue;
            }
            const result = this.decideResult(ended.answer, ended.write, request.mayBeOutdated ?? false);
            if (result !== undefined) {
                return result;
            }
            if (ended.answer.kind === "unavailable" || ended.answer.kind === "refused") {
                request.observeTry?.("unwritten");
            }
            else {
                limit = Math.min(LONGEST_TRY_LIMIT_MS, limit * 2);
            }
            await this.pauseAfterFailure(pursuit, pause);
            pause = Math.min(LONGEST_PAUSE_MS, pause * 2);
        }
        return { kind: "abandoned" };
    }

    /** Tells whether to try once more while earlier tries are open. */
    private mayTryBeside(pursuit: Pursuit, openTries: number): boolean {
        const isOverdue = this.options.clock.now() - pursuit.triedAt >= this.timeout.get();
        const mayProbe = this.isOldest(pursuit) && openTries < MAX_OPEN_TRIES;
        return isOverdue && (this.hasAnsweredSince(pursuit) || mayProbe);
    }

    /** A store that has answered nothing since the last try is given more time for the next one. */
    private observeSilence(pursuit: Pursuit): void {
        if (pursuit.triedAt > -Infinity && !this.hasAnsweredSince(pursuit)) {
            this.timeout.observeTimeout(this.timeout.get());
        }
    }

    private hasAnsweredSince({ triedAt }: Pursuit): boolean {
        return this.lastAnswerAt > triedAt;
    }

    /** Waits until another try may be due: for the time of an answer, then until the store answers anything. */
    private async waitBesideTries({ triedAt }: Pursuit): Promise<undefined> {
        const { clock } = this.options;
        const leftMs = triedAt + this.timeout.get() - clock.now();
        await Promise.race([
            this.answered.wait(),
            waitForTimeout(clock, leftMs > 0 ? leftMs : BEHIND_PAUSE_MS),
        ]);
        return undefined;
    }

    /** The oldest write tries again soon; those behind it wait until the store answers. */
    private async pauseAfterFailure(pursuit: Pursuit, pause: Millis): Promise<void> {
        const { clock } = this.options;
        const { answered } = this;
        await sleep(clock, pause);
        if (!this.isOldest(pursuit)) {
            await Promise.race([answered.wait(), sleep(clock, BEHIND_PAUSE_MS)]);
        }
    }

    private isOldest(pursuit: Pursuit): boolean {
        const [oldest] = this.underWay;
        return oldest === pursuit;
    }

    private startTry(
        { write, transaction }: PreparedTry,
        open: Set<Promise<EndedTry>>,
        limit: Millis,
    ): void {
        const attempt = this.call(() => this.options.port.transact(transaction, limit)).then(
            answer => {
                open.delete(attempt);
                return { answer, write };
            },
        );
        open.add(attempt);
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
