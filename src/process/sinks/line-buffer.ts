/**
 * A bounded buffer of log lines in front of a slow output. Lines that do not fit are dropped and counted; the
 * event loop never waits for the output.
 */
import { write } from "node:fs";
import type { Clock, Millis, Timer } from "../../common/clock.js";

/** Output of lines. Calls `finished` once all bytes are written or lost; never throws. */
export type LineOutput = (bytes: Buffer, finished: () => void) => void;

/** Default size of the buffer. */
export const DEFAULT_LINE_BUFFER_BYTES = 4 * 1_048_576;

/**
 * Fill level above which decision lines are dropped; the rest is reserved for other lines, such as warnings.
 */
const DECISION_FILL_LIMIT = 0.75;

/** How long lines are collected before they are written as one batch. */
const BATCH_DELAY_MS: Millis = 20;
/** Number of waiting characters at which a batch is written without further delay. */
const FULL_BATCH_LENGTH = 65_536;
/**
 * Maximum bytes of one write: what a pipe writes atomically. Larger writes may be split anywhere, and a
 * reader that reads only this much at a time loses the rest.
 */
const MAX_WRITE_BYTES = 4_096;

/** Collects lines and writes them in batches, one write at a time. */
export class LineBuffer {
    private lines: string[] = [];
    private bufferedLength = 0;
    private isWriting = false;
    private dropped = 0;
    private flushWaiters: (() => void)[] = [];
    /** Pending while the next batch is being collected and no write is in flight. */
    private timer: Timer | undefined;

    /**
     * @param maxLength - Maximum number of buffered characters, including the batch being written.
     */
    constructor(
        private readonly clock: Clock,
        private readonly output: LineOutput,
        private readonly maxLength: number = DEFAULT_LINE_BUFFER_BYTES,
    ) {}

    /**
     * Returns whether a decision line may be written; if not, counts it as dropped. Lets callers skip
     * formatting the line.
     */
    hasCapacityForDecision(): boolean {
        const hasCapacity = this.bufferedLength < this.maxLength * DECISION_FILL_LIMIT;
        if (!hasCapacity) {
            this.dropped += 1;
        }
        return hasCapacity;
    }

    /** Buffers a line, which must end with a line break; drops and counts it if it does not fit. */
    write(line: string): void {
        if (this.bufferedLength + line.length > this.maxLength) {
            this.dropped += 1;
            return;
        }
        this.lines.push(line);
        this.bufferedLength += line.length;
        if (!this.isWriting) {
            this.isWriting = true;
            this.timer = this.clock.schedule(BATCH_DELAY_MS, () => this.startBatch());
        }
        else if (this.timer !== undefined && this.bufferedLength >= FULL_BATCH_LENGTH) {
            this.startBatch();
        }
    }

    /** Returns and resets the number of dropped lines. */
    takeDropped(): number {
        const { dropped } = this;
        this.dropped = 0;
        return dropped;
    }

    /** Resolves once all lines buffered so far are written. */
    flush(): Promise<void> {
        if (!this.isWriting) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            this.flushWaiters.push(resolve);
            if (this.timer !== undefined) {
                this.startBatch();
            }
        });
    }

    private startBatch(): void {
        this.timer?.cancel();
        this.timer = undefined;
        this.writeBatch();
    }

    private writeBatch(): void {
        const batch = this.takeLines();
        const length = batch.length;
        this.output(Buffer.from(batch), () => {
            this.bufferedLength -= length;
            if (this.lines.length > 0) {
                this.writeBatch();
                return;
            }
            this.isWriting = false;
            this.flushWaiters.splice(0).forEach(resolve => resolve());
        });
    }

    /** Removes as many lines as fit into one write; a line that is too long is written alone. */
    private takeLines(): string {
        let bytes = 0;
        let count = 0;
        for (const line of this.lines) {
            bytes += Buffer.byteLength(line);
            if (bytes > MAX_WRITE_BYTES && count > 0) {
                break;
            }
            count += 1;
        }
        return this.lines.splice(0, count).join("");
    }
}

/** Delay before a write to a full pipe is retried. */
const FULL_PIPE_RETRY_MS: Millis = 20;

/**
 * Creates an output that writes to a file descriptor, such as 1 for standard output.
 *
 * @remarks `process.stdout` writes to a pipe synchronously, so a log collector that stops reading would block
 * the event loop of the entry. `fs.write` blocks only a thread of the thread pool, and there is one write at
 * a time.
 */
export function createDescriptorOutput(descriptor: number, clock: Clock): LineOutput {
    function writeFrom(bytes: Buffer, offset: number, finished: () => void): void {
        write(descriptor, bytes, offset, bytes.length - offset, undefined, (error, written) => {
            if (error?.code === "EAGAIN") {
                clock.schedule(FULL_PIPE_RETRY_MS, () => writeFrom(bytes, offset, finished));
            }
            else if (error instanceof Error || offset + written >= bytes.length) {
                // On EPIPE (the reader is gone) or a full disk, the lines are lost and the entry continues.
                finished();
            }
            else {
                writeFrom(bytes, offset + written, finished);
            }
        });
    }
    return (bytes, finished) => writeFrom(bytes, 0, finished);
}
