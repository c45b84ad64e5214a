/** A placer of {@link HomeCell} that does what the test says. */
import type { Outcome } from "../../../common/outcome.js";
import type {
    AnswerBody,
    CallBody,
    NoteBody,
    PlaceOrder,
    PlacerLoad,
    TaskUpdate,
} from "../../../connection/messages.js";
import type { HomeCell } from "./home-cell.js";

const BIG = { cpuMillis: 64_000, memoryMib: 130_000, accelerators: 0 };
const GRANT_HOLD_MS = 3_000;

/** A placer that does what the test says, and remembers every order. */
export class ScriptedPlacer {
    readonly orders: PlaceOrder[] = [];
    /** Orders of tasks that must not run twice, once their start was confirmed. */
    readonly confirmed: PlaceOrder[] = [];
    /** Orders below the floor of a census. */
    readonly refused: PlaceOrder[] = [];
    readonly withdrawn: string[] = [];
    readonly acknowledged = new Set<string>();
    /** What it holds and tells a census: attempt to update. */
    readonly known = new Map<string, TaskUpdate>();
    readonly served: string[] = [];
    /** Attempts that it began to run; the checks look here for a task that ran twice. */
    readonly started: PlaceOrder[] = [];
    isReady = true;
    isSilent = false;
    dropsNotes = false;
    dropsConfirmations = false;
    /** Whether it has room for tasks that must not run twice; if not, they wait. */
    grants = true;
    largestWorker = BIG;
    room = 1_000;
    serve: (requestId: string) => Promise<AnswerBody> | "never" = () => Promise.resolve(makeServed());
    private readonly byAttempt = new Map<string, PlaceOrder>();
    private floor = { epoch: 0, sequence: 0 };

    constructor(readonly memberId: string, private readonly cell: HomeCell) {}

    makeLoad(): PlacerLoad {
        return {
            workers: 4,
            freeSlots: 16,
            totalSlots: 32,
            queuedRequests: 0,
            queuedTasks: 0,
            free: BIG,
            total: BIG,
            largestFree: this.largestWorker,
            largestWorker: this.largestWorker,
            teamUse: {},
        };
    }

    receiveNote(note: NoteBody): void {
        if (this.dropsNotes) {
            return;
        }
        switch (note.kind) {
            case "place":
                note.orders.forEach(order => this.receiveOrder(order));
                break;
            case "confirm":
                if (!this.dropsConfirmations) {
                    note.attempts.forEach(attempt => this.receiveConfirmation(attempt));
                }
                break;
            case "withdraw":
                note.attempts.forEach(attempt => this.receiveWithdrawal(attempt));
                break;
            case "acknowledge":
                note.attempts.forEach(attempt => {
                    this.acknowledged.add(attempt);
                    this.known.delete(attempt);
                });
                break;
            case "updates":
                break;
        }
    }

    async handleCall(body: CallBody): Promise<AnswerBody | "never"> {
        if (this.isSilent) {
            return "never";
        }
        if (body.kind === "census") {
            this.floor = { epoch: body.epoch, sequence: body.floor };
            this.dropUnsent(body.epoch);
            const slices = this.isReady ? this.cell.listSlicesOf(this.memberId) : [];
            return { kind: "census", slices, tasks: [...this.known.values()] };
        }
        if (body.kind === "serve") {
            this.served.push(body.requestId);
            return this.serve(body.requestId);
        }
        if (body.kind === "reserve") {
            return { kind: "reserved", held: Math.min(this.room, body.orders.length) };
        }
        return { kind: "error", code: "invalid", message: body.kind };
    }

    /** Begins to run an attempt and says so. */
    startTask(order: PlaceOrder): void {
        this.started.push(order);
        this.report(order, { state: "running", workerId: "w1", sliceEpoch: 1 });
    }

    /** Tells the home of an attempt; ends are kept for the census until acknowledged. */
    report(order: PlaceOrder, update: Omit<TaskUpdate, "attempt" | "jobId" | "index">): void {
        const { attempt, jobId, index } = order;
        const full = { attempt, jobId, index, ...update };
        this.known.set(attempt, full);
        this.cell.sendUpdates(this.memberId, [full]);
    }

    /** Tells everything again, as placers do until acknowledged. */
    reportAll(): void {
        this.cell.sendUpdates(this.memberId, [...this.known.values()]);
    }

    private receiveOrder(order: PlaceOrder): void {
        const { epoch, sequence } = order.home;
        const isOld = epoch < this.floor.epoch ||
            epoch === this.floor.epoch && sequence < this.floor.sequence;
        if (isOld) {
            this.refused.push(order);
            return;
        }
        if (this.byAttempt.has(order.attempt)) {
            return;
        }
        this.byAttempt.set(order.attempt, order);
        this.orders.push(order);
        this.known.set(order.attempt, { ...order, state: "queued" });
        if (order.repeatable || order.gangId !== undefined) {
            this.cell.handleOrder(this, order);
        }
        else if (this.grants) {
            this.report(order, { state: "granted", workerId: "w1" });
            this.cell.clock.schedule(GRANT_HOLD_MS, () => this.expireGrant(order));
        }
    }

    private expireGrant(order: PlaceOrder): void {
        if (this.known.get(order.attempt)?.state === "granted") {
            this.report(order, { state: "notStarted", reason: "not confirmed in time", retryAfterMs: 250 });
        }
    }

    /** What an older home ordered and was not started is given up, and told until acknowledged. */
    private dropUnsent(epoch: number): void {
        for (const [attempt, update] of this.known) {
            const order = this.byAttempt.get(attempt);
            const isUnsent = update.state === "queued" || update.state === "granted";
            if (isUnsent && order !== undefined && order.home.epoch < epoch) {
                this.known.set(attempt, { ...update, state: "notStarted" });
            }
        }
    }

    /** From here on it may start a task that must not run twice. */
    private receiveConfirmation(attempt: string): void {
        const order = this.byAttempt.get(attempt);
        if (order !== undefined && this.known.get(attempt)?.state === "granted") {
            this.confirmed.push(order);
            this.known.set(attempt, { ...order, state: "queued" });
            this.cell.handleOrder(this, order);
        }
    }

    private receiveWithdrawal(attempt: string): void {
        this.withdrawn.push(attempt);
        const order = this.byAttempt.get(attempt);
        const state = this.known.get(attempt)?.state;
        if (order !== undefined && (state === "queued" || state === "granted")) {
            this.report(order, { state: "notStarted", reason: "withdrawn" });
        }
        else if (order !== undefined && state === "running") {
            this.report(order, { state: "stopped" });
        }
    }
}

/** An answer of a placer to a service request. */
export function makeServed(text = "ok"): AnswerBody {
    return { kind: "served", retrySafe: false, outcome: makeDone(text) };
}

export function makeDone(text: string): Outcome {
    return {
        kind: "done",
        answer: new TextEncoder().encode(text),
        contentType: "text/plain",
        workerId: "w1",
    };
}
