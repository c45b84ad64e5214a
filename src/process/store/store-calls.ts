/**
 * Single calls to the store: budget, timeouts, counters, last contact, and the highest revision seen.
 * Retries are built on top of it.
 */
import type { Clock, Millis } from "../../common/clock.js";
import type { StoreAnswer, StorePort } from "../ports/index.js";
import type { StoreClient } from "../store-client.js";
import type { Metrics } from "../telemetry.js";
import { CallTimeout } from "./call-timeout.js";
import { TokenBucket } from "./token-bucket.js";

/** Kinds of calls that are counted. */
export type CallKind = "reads" | "writes" | "polls" | "leases";

/** How a single call is made. */
export interface CallOptions {
    readonly kind: CallKind;
    /** Instant by which the caller wants the end. */
    readonly deadline: Millis;
    /** Whether it passes the budget. */
    readonly vital?: boolean;
    /** Milliseconds to wait for the answer; learnt from earlier calls where left out. */
    readonly timeout?: Millis;
}

/** Share of the cell's budget until the number of members is known. */
const FIRST_WRITES_PER_SECOND = 40;
const FIRST_READS_PER_SECOND = 200;

const NO_BUDGET = { kind: "unavailable", message: "the budget of store calls is used up" } as const;
const NO_TIME = { kind: "unavailable", message: "no time is left for a try" } as const;

/** Calls of one entry to its store. */
export class StoreCalls {
    private readonly counters: Record<keyof ReturnType<StoreClient["getCounters"]>, number> = {
        reads: 0,
        writes: 0,
        polls: 0,
        leases: 0,
        failures: 0,
        unknowns: 0,
    };
    private readonly timeout = new CallTimeout();
    private readonly writeBudget: TokenBucket;
    private readonly readBudget: TokenBucket;
    private lastContact: Millis | undefined;
    private seenRevision = 0;
    private closed = false;

    /**
     * @param port - The store.
     * @param clock - Where time comes from.
     * @param metrics - Where calls are counted.
     */
    constructor(readonly port: StorePort, readonly clock: Clock, private readonly metrics: Metrics) {
        this.writeBudget = new TokenBucket(clock, FIRST_WRITES_PER_SECOND);
        this.readBudget = new TokenBucket(clock, FIRST_READS_PER_SECOND);
    }

    /**
     * Makes one call.
     * @param options - Its kind and limits.
     * @param call - Makes the call on the port, with the timeout given.
     */
    async request<Value>(
        options: CallOptions,
        call: (port: StorePort, timeout: Millis) => Promise<StoreAnswer<Value>>,
    ): Promise<StoreAnswer<Value>> {
        if (!await this.takeBudget(options)) {
            return NO_BUDGET;
        }
        const sentAt = this.clock.now();
        const timeout = Math.min(options.timeout ?? this.timeout.get(), options.deadline - sentAt);
        if (timeout <= 0 || this.closed) {
            return NO_TIME;
        }
        this.counters[options.kind]++;
        this.metrics.count("store.calls", 1, { kind: options.kind });
        const answer = await call(this.port, timeout);
        this.observe(options, answer, sentAt, timeout);
        return answer;
    }

    /** Returns the time that a call is waited for now, in milliseconds. */
    getTimeout(): Millis {
        return this.timeout.get();
    }

    /** Takes in a revision that the store has shown. */
    observeRevision(revision: number): void {
        this.seenRevision = Math.max(this.seenRevision, revision);
    }

    /** Returns the highest revision that the store has shown. */
    getSeenRevision(): number {
        return this.seenRevision;
    }

    /** Returns the sending instant of the last call that was answered. */
    getLastContact(): Millis | undefined {
        return this.lastContact;
    }

    /** Returns calls so far by kind. */
    getCounters(): ReturnType<StoreClient["getCounters"]> {
        return { ...this.counters };
    }

    /** Sets this entry's share of the cell's budget. */
    setBudget(writesPerSecond: number, readsPerSecond: number): void {
        this.writeBudget.setRate(writesPerSecond);
        this.readBudget.setRate(readsPerSecond);
    }

    /** Tells whether no more calls are made. */
    isClosed(): boolean {
        return this.closed;
    }

    /** Makes no more calls. */
    close(): void {
        this.closed = true;
        this.writeBudget.close();
        this.readBudget.close();
    }

    private takeBudget(options: CallOptions): Promise<boolean> {
        if (options.kind === "leases") {
            return Promise.resolve(true);
        }
        const budget = options.kind === "writes" ? this.writeBudget : this.readBudget;
        if (options.vital ?? false) {
            budget.takeAnyway();
            return Promise.resolve(true);
        }
        return budget.take(options.deadline);
    }

    private observe(
        options: CallOptions,
        answer: StoreAnswer<unknown>,
        sentAt: Millis,
        timeout: Millis,
    ): void {
        const took = this.clock.now() - sentAt;
        this.metrics.time("store.call_ms", took, { kind: options.kind });
        if (answer.kind === "done" || answer.kind === "refused") {
            this.lastContact = Math.max(this.lastContact ?? sentAt, sentAt);
            if (options.kind !== "polls") {
                this.timeout.observeAnswer(took);
            }
            return;
        }
        this.counters.failures++;
        this.metrics.count("store.failures", 1, { kind: options.kind });
        if (answer.kind === "unknown") {
            this.counters.unknowns++;
            this.metrics.count("store.unknowns", 1, { kind: options.kind });
            if (options.kind !== "polls") {
                this.timeout.observeTimeout(timeout);
            }
        }
    }
}
