/** The slots in which a stand-in worker answers service requests. */
import type { Clock } from "../common/clock.js";
import { NO_RESOURCES } from "../common/resources.js";
import type { ServeOrder, ServeReply, WorkerAnswer } from "../process/ports/index.js";
import { parseRequest } from "./synthetic-work.js";
import type { JournalRun, WorkerJournal } from "./worker-journal.js";

/** The worker, the number of its slots and where it records requests. */
export interface RequestSlotsOptions {
    readonly workerId: string;
    readonly bootId: string;
    readonly slots: number;
    readonly journal: WorkerJournal;
}

const STATUS_OK = 200;
const STATUS_FAILED = 500;

/** Requests in flight on one boot of a worker. */
export class RequestSlots {
    private readonly running = new Set<JournalRun>();

    /**
     * @param clock - The common clock.
     * @param options - The worker and its slots.
     */
    constructor(private readonly clock: Clock, private readonly options: RequestSlotsOptions) {}

    /** Returns whether one more request can be accepted. */
    hasFreeSlot(): boolean {
        return this.running.size < this.options.slots;
    }

    /**
     * Runs one request.
     * @param failing - Whether the worker fails everything it starts.
     * @returns The reply, with status 500 if the request failed or exceeded its timeout; `unknown` if the worker
     * restarted.
     */
    serve(order: ServeOrder, failing: boolean): Promise<WorkerAnswer<ServeReply>> {
        const work = parseRequest(order.body);
        const run = this.recordStart(order);
        const exceedsTimeout = work.serviceMs > order.timeoutMs;
        return new Promise(resolve => {
            const duration = Math.min(work.serviceMs, order.timeoutMs);
            this.clock.schedule(duration, () => {
                if (!this.recordEnd(run, exceedsTimeout ? "gaveUp" : "answered")) {
                    resolve({ kind: "unknown", message: "the worker restarted" });
                    return;
                }
                const fail = exceedsTimeout ?
                    "the worker gave the request up after its time limit" :
                    failing ?
                    "the worker fails everything" :
                    work.fail;
                resolve({ kind: "done", value: buildReply(order, work.answer, fail) });
            });
        });
    }

    /** Ends all requests without a reply, as a restart does. */
    dropAll(): void {
        for (const run of [...this.running]) {
            this.recordEnd(run, "lost");
        }
    }

    private recordStart(order: ServeOrder): JournalRun {
        const run: JournalRun = {
            kind: "service",
            workerId: this.options.workerId,
            bootId: this.options.bootId,
            attempt: order.requestId,
            label: order.branch,
            epoch: order.epoch,
            resources: NO_RESOURCES,
            startedAt: this.clock.now(),
        };
        this.running.add(run);
        this.options.journal.runs.push(run);
        return run;
    }

    private recordEnd(run: JournalRun, end: string): boolean {
        if (!this.running.delete(run)) {
            return false;
        }
        run.endedAt = this.clock.now();
        run.end = end;
        return true;
    }
}

function buildReply(order: ServeOrder, answer: string | undefined, fail: string | undefined): ServeReply {
    if (fail !== undefined) {
        return { status: STATUS_FAILED, body: Buffer.from(fail), contentType: "text/plain" };
    }
    if (answer !== undefined) {
        return { status: STATUS_OK, body: Buffer.from(answer), contentType: "text/plain" };
    }
    return { status: STATUS_OK, body: order.body, contentType: order.contentType };
}
