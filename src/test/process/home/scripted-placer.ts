/** A fake placer of {@link HomeCell}, controlled by the test. */
import type { Outcome } from "../../../common/outcome.js";
import type {
    AnswerBody,
    CallBody,
    NotificationBody,
    PlaceOrder,
    PlacerLoad,
    TaskUpdate,
} from "../../../connection/messages.js";
import type { HomeCell } from "./home-cell.js";

const LARGE_CAPACITY = { cpuMillis: 64_000, memoryMib: 130_000, accelerators: 0 };
const GRANT_HOLD_MS = 3_000;

/** A placer that is controlled by the test and records every order. */
export class ScriptedPlacer {
    readonly orders: PlaceOrder[] = [];
    /** Orders of tasks that are not repeatable and whose start was confirmed. */
    readonly confirmed: PlaceOrder[] = [];
    /** Orders that were refused since they are older than the floor of a census. */
    readonly refused: PlaceOrder[] = [];
    readonly withdrawn: string[] = [];
    readonly acknowledged = new Set<string>();
    /** The last update of each attempt that has not been acknowledged, as reported in a census. */
    readonly knownAttempts = new Map<string, TaskUpdate>();
    readonly served: string[] = [];
    /** Orders of the attempts that it began to run; tests check here that no task ran twice. */
    readonly started: PlaceOrder[] = [];
    /** Whether its worker slices are ready, so that it gets orders and its census answers cover them. */
    isReady = true;
    /** Whether it leaves calls without an answer. */
    isSilent = false;
    dropsNotifications = false;
    dropsConfirmations = false;
    /** Whether it has capacity for tasks that are not repeatable; if not, they stay queued. */
    grants = true;
    largestWorker = LARGE_CAPACITY;
    /** How many tasks of a gang it can hold. */
    capacity = 1_000;
    serve: (requestId: string) => Promise<AnswerBody> | "never" = () => Promise.resolve(makeServed());
    private readonly ordersByAttempt = new Map<string, PlaceOrder>();
    private floor = { epoch: 0, sequence: 0 };

    constructor(readonly memberId: string, private readonly cell: HomeCell) {}

    makeLoad(): PlacerLoad {
        return {
            workers: 4,
            freeSlots: 16,
            totalSlots: 32,
            queuedRequests: 0,
            queuedTasks: 0,
            free: LARGE_CAPACITY,
            total: LARGE_CAPACITY,
            largestFree: this.largestWorker,
            largestWorker: this.largestWorker,
            teamUse: {},
        };
    }

    receiveNotification(notification: NotificationBody): void {
        if (this.dropsNotifications) {
            return;
        }
        switch (notification.kind) {
            case "place":
                notification.orders.forEach(order => this.receiveOrder(order));
                break;
            case "confirm":
                if (!this.dropsConfirmations) {
                    notification.attempts.forEach(attempt => this.receiveConfirmation(attempt));
                }
                break;
            case "withdraw":
                notification.attempts.forEach(attempt => this.receiveWithdrawal(attempt));
                break;
            case "acknowledge":
                notification.attempts.forEach(attempt => {
                    this.acknowledged.add(attempt);
                    this.knownAttempts.delete(attempt);
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
            this.dropUnstarted(body.epoch);
            const slices = this.isReady ? this.cell.listSlicesOf(this.memberId) : [];
            return { kind: "census", slices, tasks: [...this.knownAttempts.values()] };
        }
        if (body.kind === "serve") {
            this.served.push(body.requestId);
            return this.serve(body.requestId);
        }
        if (body.kind === "reserve") {
            return { kind: "reserved", held: Math.min(this.capacity, body.orders.length) };
        }
        return { kind: "error", code: "invalid", message: body.kind };
    }

    /** Begins to run an attempt and reports it as running. */
    startTask(order: PlaceOrder): void {
        this.started.push(order);
        this.report(order, { state: "running", workerId: "w1", sliceEpoch: 1 });
    }

    /** Sends the home an update about an attempt; the update is kept for a census until it is acknowledged. */
    report(order: PlaceOrder, update: Omit<TaskUpdate, "attempt" | "jobId" | "index">): void {
        const { attempt, jobId, index } = order;
        const full = { attempt, jobId, index, ...update };
        this.knownAttempts.set(attempt, full);
        this.cell.sendUpdates(this.memberId, [full]);
    }

    /** Sends all updates that were not acknowledged again, as placers do. */
    reportAll(): void {
        this.cell.sendUpdates(this.memberId, [...this.knownAttempts.values()]);
    }

    private receiveOrder(order: PlaceOrder): void {
        const { epoch, sequence } = order.home;
        const isOld = epoch < this.floor.epoch ||
            epoch === this.floor.epoch && sequence < this.floor.sequence;
        if (isOld) {
            this.refused.push(order);
            return;
        }
        if (this.ordersByAttempt.has(order.attempt)) {
            return;
        }
        this.ordersByAttempt.set(order.attempt, order);
        this.orders.push(order);
        this.knownAttempts.set(order.attempt, { ...order, state: "queued" });
        if (order.repeatable || order.gangId !== undefined) {
            this.cell.handleOrder(this, order);
        }
        else if (this.grants) {
            this.report(order, { state: "granted", workerId: "w1" });
            this.cell.clock.schedule(GRANT_HOLD_MS, () => this.expireGrant(order));
        }
    }

    private expireGrant(order: PlaceOrder): void {
        if (this.knownAttempts.get(order.attempt)?.state === "granted") {
            this.report(order, { state: "notStarted", reason: "not confirmed in time", retryAfterMs: 250 });
        }
    }

    /** Gives up the attempts of an earlier epoch that were not started, and reports them until acknowledged. */
    private dropUnstarted(epoch: number): void {
        for (const [attempt, update] of this.knownAttempts) {
            const order = this.ordersByAttempt.get(attempt);
            const isUnstarted = update.state === "queued" || update.state === "granted";
            if (isUnstarted && order !== undefined && order.home.epoch < epoch) {
                this.knownAttempts.set(attempt, { ...update, state: "notStarted" });
            }
        }
    }

    /** Handles the permission to start a task that is not repeatable. */
    private receiveConfirmation(attempt: string): void {
        const order = this.ordersByAttempt.get(attempt);
        if (order !== undefined && this.knownAttempts.get(attempt)?.state === "granted") {
            this.confirmed.push(order);
            this.knownAttempts.set(attempt, { ...order, state: "queued" });
            this.cell.handleOrder(this, order);
        }
    }

    private receiveWithdrawal(attempt: string): void {
        this.withdrawn.push(attempt);
        const order = this.ordersByAttempt.get(attempt);
        const state = this.knownAttempts.get(attempt)?.state;
        if (order !== undefined && (state === "queued" || state === "granted")) {
            this.report(order, { state: "notStarted", reason: "withdrawn" });
        }
        else if (order !== undefined && state === "running") {
            this.report(order, { state: "stopped" });
        }
    }
}

/** Makes a placer's answer to a service request that was done. */
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
