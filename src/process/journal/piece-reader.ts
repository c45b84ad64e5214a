/** Reads a journal piece by piece, each tried until the store answers: what has been read is never read again. */
import type { Clock, Millis } from "../../common/clock.js";
import { sleep, waitForTimeout } from "../../common/clock.js";
import type { StoreAnswer, StorePort, StoreRecord } from "../ports/index.js";
import { CallTimeout } from "../store/call-timeout.js";
import type { Log } from "../telemetry.js";

/** What reading needs. */
export interface PieceReaderOptions {
    readonly port: StorePort;
    readonly clock: Clock;
    readonly log: Log;
    /** Whether the pieces are no longer wanted. */
    readonly isOver: () => boolean;
}

/** Least time after which a piece is asked for once more, beside the first try: an answer may be lost, or under way still. */
const LEAST_PATIENCE_MS: Millis = 1_500;
/** Time after which a try is given up. */
const TRY_LIMIT_MS: Millis = 12_000;
const RETRY_PAUSE_MS: Millis = 50;
/** Pieces under way at once: on a narrow link, renewals and beats pass between them. */
const MAX_UNDER_WAY = 3;

/** The reader; see the module comment. */
export class PieceReader {
    /** Calls that the store has answered. */
    pieces = 0;
    /** Characters of all values that were read. */
    characters = 0;
    private readonly patience = new CallTimeout(LEAST_PATIENCE_MS);
    private underWay = 0;
    private readonly waiting: (() => void)[] = [];

    constructor(private readonly options: PieceReaderOptions) {}

    /**
     * Reads one key.
     * @returns The record or nothing, as a list; undefined if it is no longer wanted.
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
     * @returns Undefined if they are no longer wanted.
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
        this.underWay -= 1;
        this.waiting.shift()?.();
        return records;
    }

    private async waitForTurn(): Promise<void> {
        if (this.underWay >= MAX_UNDER_WAY) {
            await new Promise<void>(resolve => {
                this.waiting.push(resolve);
            });
        }
        this.underWay += 1;
    }

    private async retryUntilAnswered(
        name: string,
        send: (timeout: Millis) => Promise<StoreAnswer<readonly StoreRecord[]>>,
    ): Promise<readonly StoreRecord[] | undefined> {
        const { clock, isOver } = this.options;
        const open = new Set<Promise<StoreAnswer<readonly StoreRecord[]>>>();
        while (!isOver()) {
            const attempt = this.startTry(send);
            open.add(attempt);
            void attempt.then(() => open.delete(attempt));
            const patience = this.patience.get();
            const answer = await Promise.race([...open.values(), waitForTimeout(clock, patience)]);
            if (answer === undefined) {
                this.patience.observeTimeout(patience);
                this.logFailure(name, `no answer within ${patience} ms`);
                continue;
            }
            if (answer.kind === "done") {
                return answer.value;
            }
            this.logFailure(name, describeFailure(answer));
            await sleep(clock, RETRY_PAUSE_MS);
        }
        return undefined;
    }

    private async startTry(
        send: (timeout: Millis) => Promise<StoreAnswer<readonly StoreRecord[]>>,
    ): Promise<StoreAnswer<readonly StoreRecord[]>> {
        const { clock } = this.options;
        const sentAt = clock.now();
        const answer = await send(TRY_LIMIT_MS);
        if (answer.kind === "done") {
            this.patience.observeAnswer(clock.now() - sentAt);
            this.pieces += 1;
            this.characters += answer.value.reduce((sum, { value }) => sum + value.length, 0);
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
