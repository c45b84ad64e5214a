/**
 * Reads a journal in small pieces, and retries each until the store answers, so that a failure repeats only
 * one piece.
 */
import type { Clock, Millis } from "../../common/clock.js";
import { sleep, waitForTimeout } from "../../common/clock.js";
import type { StoreAnswer, StorePort, StoreRecord } from "../ports/index.js";
import { AdaptiveTimeout } from "../store/adaptive-timeout.js";
import type { Log } from "../telemetry.js";

/** Options of {@link JournalReader}. */
export interface JournalReaderOptions {
    readonly port: StorePort;
    readonly clock: Clock;
    readonly log: Log;
    /** Returns whether reading was cancelled. */
    readonly isOver: () => boolean;
}

/** Shortest time after which a request is hedged by another: its answer may be lost, or merely slow. */
const MIN_HEDGE_DELAY_MS: Millis = 1_500;
/** Timeout of one attempt. */
const ATTEMPT_TIMEOUT_MS: Millis = 12_000;
const RETRY_DELAY_MS: Millis = 50;
/**
 * Requests in flight at once, few so that lease renewals and heartbeats get through between them on a narrow
 * link.
 */
const MAX_IN_FLIGHT = 3;

/** Reads keys of the store, each with retries until it is answered. */
export class JournalReader {
    /** Number of calls that the store has answered. */
    pieces = 0;
    private readonly hedgeDelay = new AdaptiveTimeout(MIN_HEDGE_DELAY_MS);
    private inFlight = 0;
    private readonly waiters: (() => void)[] = [];

    constructor(private readonly options: JournalReaderOptions) {}

    /**
     * Reads one key.
     * @returns A list of the record, or an empty one if there is none; undefined if reading was cancelled.
     */
    async read(key: string): Promise<readonly StoreRecord[] | undefined> {
        const { port } = this.options;
        return this.pursue(key, async timeout => {
            const answer = await port.read(key, timeout);
            return answer.kind === "done" ?
                { kind: "done", value: answer.value === undefined ? [] : [answer.value] } :
                answer;
        });
    }

    /**
     * Reads all keys with a prefix.
     * @returns Undefined if reading was cancelled.
     */
    async list(prefix: string): Promise<readonly StoreRecord[] | undefined> {
        const { port } = this.options;
        return this.pursue(prefix, async timeout => {
            const answer = await port.list(prefix, timeout);
            return answer.kind === "done" ? { kind: "done", value: answer.value.records } : answer;
        });
    }

    private async pursue(
        name: string,
        send: (timeout: Millis) => Promise<StoreAnswer<readonly StoreRecord[]>>,
    ): Promise<readonly StoreRecord[] | undefined> {
        await this.waitForTurn();
        const records = await this.retryUntilAnswered(name, send);
        this.inFlight -= 1;
        this.waiters.shift()?.();
        return records;
    }

    private async waitForTurn(): Promise<void> {
        if (this.inFlight >= MAX_IN_FLIGHT) {
            await new Promise<void>(resolve => {
                this.waiters.push(resolve);
            });
        }
        this.inFlight += 1;
    }

    private async retryUntilAnswered(
        name: string,
        send: (timeout: Millis) => Promise<StoreAnswer<readonly StoreRecord[]>>,
    ): Promise<readonly StoreRecord[] | undefined> {
        const { clock, isOver } = this.options;
        const openAttempts = new Set<Promise<StoreAnswer<readonly StoreRecord[]>>>();
        while (!isOver()) {
            const attempt = this.startAttempt(send);
            openAttempts.add(attempt);
            void attempt.then(() => openAttempts.delete(attempt));
            const delay = this.hedgeDelay.get();
            const answer = await Promise.race([...openAttempts.values(), waitForTimeout(clock, delay)]);
            if (answer === undefined) {
                this.hedgeDelay.observeTimeout(delay);
                this.logFailure(name, `no answer within ${delay} ms`);
                continue;
            }
            if (answer.kind === "done") {
                return answer.value;
            }
            this.logFailure(name, describeFailure(answer));
            await sleep(clock, RETRY_DELAY_MS);
        }
        return undefined;
    }

    private async startAttempt(
        send: (timeout: Millis) => Promise<StoreAnswer<readonly StoreRecord[]>>,
    ): Promise<StoreAnswer<readonly StoreRecord[]>> {
        const { clock } = this.options;
        const sentAt = clock.now();
        const answer = await send(ATTEMPT_TIMEOUT_MS);
        if (answer.kind === "done") {
            this.hedgeDelay.observeAnswer(clock.now() - sentAt);
            this.pieces += 1;
        }
        return answer;
    }

    private logFailure(name: string, message: string): void {
        this.options.log.warn("CR1602", "journalReadFailed", { name, message });
    }
}

function describeFailure(answer: StoreAnswer<unknown>): string {
    return answer.kind === "unavailable" || answer.kind === "unknown" ? answer.message : answer.kind;
}
