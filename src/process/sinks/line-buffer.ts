/**
 * A bounded buffer of log lines in front of a slow output. Lines that find it full are dropped and counted;
 * the event loop never waits for the output.
 */
import { write } from "node:fs";
import type { Clock, Millis, Timer } from "../../common/clock.js";

/** Where lines go. Calls back once all bytes are written or lost; never throws. */
export type LineOutput = (bytes: Buffer, finished: () => void) => void;

/** Bytes of lines that may wait. */
export const DEFAULT_LINE_BUFFER_BYTES = 4 * 1_048_576;

/** Share of the buffer beyond which decisions are dropped, so that warnings still find room. */
const DECISION_SHARE = 0.75;

/** Time for which lines are gathered before they are written together. */
const BATCH_WAIT_MS: Millis = 20;
/** Characters that are written without further waiting. */
const FULL_BATCH_BYTES = 65_536;
/**
 * Bytes of one write: what a pipe takes as a whole. Larger ones reach a reader in pieces that end anywhere, and one that
 * takes so much at a time loses the rest.
 */
const MAX_WRITE_BYTES = 4_096;

/** Collects lines and writes them in batches, one write at a time. */
export class LineBuffer {
    private lines: string[] = [];
    private waitingBytes = 0;
    private writing = false;
    private dropped = 0;
    private waiters: (() => void)[] = [];
    /** Runs while the next batch gathers and none is being written. */
    private timer: Timer | undefined;

    /**
     * @param clock - Times the batches.
     * @param output - Where batches go.
     * @param maxBytes - Characters that may wait, the batch being written included.
     */
    constructor(
        private readonly clock: Clock,
        private readonly output: LineOutput,
        private readonly maxBytes: number = DEFAULT_LINE_BUFFER_BYTES,
    ) {}

    /** Whether a decision line may be written; if not it is counted as dropped. Cheaper than making the line. */
    hasRoomForDecision(): boolean {
        const hasRoom = this.waitingBytes < this.maxBytes * DECISION_SHARE;
        if (!hasRoom) {
            this.dropped += 1;
        }
        return hasRoom;
    }

    /** Takes a line with its line break, or drops and counts it. */
    write(line: string): void {
        if (this.waitingBytes + line.length > this.maxBytes) {
            this.dropped += 1;
            return;
        }
        this.lines.push(line);
        this.waitingBytes += line.length;
        if (!this.writing) {
            this.writing = true;
            this.timer = this.clock.schedule(BATCH_WAIT_MS, () => this.startBatch());
        }
        else if (this.timer !== undefined && this.waitingBytes >= FULL_BATCH_BYTES) {
            this.startBatch();
        }
    }

    /** Lines dropped since the last call. */
    takeDropped(): number {
        const { dropped } = this;
        this.dropped = 0;
        return dropped;
    }

    /** Resolves once everything taken so far is written. */
    flush(): Promise<void> {
        if (!this.writing) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            this.waiters.push(resolve);
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
        const characters = batch.length;
        this.output(Buffer.from(batch), () => {
            this.waitingBytes -= characters;
            if (this.lines.length > 0) {
                this.writeBatch();
                return;
            }
            this.writing = false;
            this.waiters.splice(0).forEach(resolve => resolve());
        });
    }

    /** Takes as many lines as one write may hold; a longer line goes alone. */
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

/** Wait before a pipe that was full is tried again. */
const FULL_PIPE_WAIT_MS: Millis = 20;

/**
 * Makes an output that writes to a file descriptor, such as 1 for standard output.
 *
 * @remarks Failure guarded against: `process.stdout` writes to a pipe in the event loop's own thread, so a log
 * collector that stops reading stops the whole entry. `fs.write` waits in the thread pool instead, one write
 * at a time.
 * @param descriptor - An open file descriptor.
 * @param clock - Times the next try on a full pipe.
 */
export function createDescriptorOutput(descriptor: number, clock: Clock): LineOutput {
    function writeFrom(bytes: Buffer, offset: number, finished: () => void): void {
        write(descriptor, bytes, offset, bytes.length - offset, undefined, (error, written) => {
            if (error?.code === "EAGAIN") {
                clock.schedule(FULL_PIPE_WAIT_MS, () => writeFrom(bytes, offset, finished));
            }
            else if (error instanceof Error || offset + written >= bytes.length) {
                // On EPIPE (the reader is gone) or a full disk the lines are lost and the entry goes on.
                finished();
            }
            else {
                writeFrom(bytes, offset + written, finished);
            }
        });
    }
    return (bytes, finished) => writeFrom(bytes, 0, finished);
}
