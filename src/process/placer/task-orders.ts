/** The side of a placer that faces homes: orders, withdrawals, reservations, acknowledgements, censuses. */
import type { Millis } from "../../common/clock.js";
import {
    type AcknowledgeNote,
    type CensusAnswer,
    type CensusCall,
    type ConfirmNote,
    type PlaceNote,
    type PlaceOrder,
    type ReserveAnswer,
    type ReserveCall,
    TaskUpdateState,
    type WithdrawNote,
} from "../../connection/messages.js";
import type { Decision, PlacementCore, ShedReason } from "../placement/placement-core.js";
import type { RoleContext } from "../roles.js";
import { type Attempt, AttemptState } from "./attempt-book.js";
import { type AttemptLedger, buildItem } from "./attempt-ledger.js";
import { HomeFences } from "./home-fences.js";
import type { WorkerFleet } from "./worker-fleet.js";

/** What {@link TaskOrders} is given. */
export interface TaskOrdersOptions {
    readonly context: RoleContext;
    readonly core: PlacementCore;
    readonly ledger: AttemptLedger;
    readonly fleet: WorkerFleet;
    /** Carries out a start decision. */
    start(decision: Extract<Decision, { kind: "start"; }>): void;
    /** Starts an attempt that waited for its home's word. */
    startGranted(attempt: Attempt): void;
    /** Stops an attempt that runs. */
    stop(attemptId: string): void;
    /** Asks for a new round of decisions soon. */
    requestDecisions(): void;
}

/** Takes what homes send and answers it. */
export class TaskOrders {
    readonly fences: HomeFences;

    constructor(private readonly options: TaskOrdersOptions) {
        this.fences = new HomeFences(options.context.ownership);
    }

    /**
     * Takes tasks from a home. An order that was seen before, or whose home is outdated, is passed over without a
     * word: "not started" would be untrue where an earlier copy of it ran.
     */
    receivePlace(note: PlaceNote): void {
        const gangs = new Set<string>();
        for (const order of note.orders) {
            if (!this.fences.admit(order.home, order.attempt)) {
                this.options.context.metrics.count("placer.orders_passed_over");
            }
            else if (order.gangId === undefined) {
                this.enqueue(order);
            }
            else {
                this.options.ledger.addQueued(order);
                gangs.add(order.gangId);
            }
        }
        gangs.forEach(gangId => this.commitGang(gangId));
        this.options.requestDecisions();
    }

    /** Holds room for a gang. */
    reserve(call: ReserveCall): ReserveAnswer {
        if (!this.fences.may(call.home)) {
            return { kind: "reserved", held: 0 };
        }
        const now = this.options.context.clock.now();
        const items = call.orders.map(order => buildItem(order, now));
        const hold = this.options.core.reserve(call.gangId, items, now + call.holdMs, now);
        return { kind: "reserved", held: hold.held, moreAfterMs: hold.moreAfterMs };
    }

    /** Starts granted attempts whose start markers are durable. */
    receiveConfirm(note: ConfirmNote): void {
        for (const attemptId of note.attempts) {
            const attempt = this.options.ledger.book.find(attemptId);
            if (attempt?.state === AttemptState.granted && this.fences.may(attempt.order.home)) {
                this.options.startGranted(attempt);
            }
        }
    }

    /** Takes tasks back. */
    receiveWithdraw(note: WithdrawNote): void {
        for (const attemptId of note.attempts) {
            this.withdraw(attemptId, note.stop);
        }
        this.options.requestDecisions();
    }

    /** Forgets ended attempts whose ends are durable. */
    receiveAcknowledge(note: AcknowledgeNote): void {
        for (const attemptId of note.attempts) {
            const attempt = this.options.ledger.book.find(attemptId);
            this.options.ledger.outbox.drop(note.homeSlice, attemptId);
            if (attempt?.state === AttemptState.ended) {
                this.options.ledger.book.remove(attempt);
                if (attempt.workerId !== undefined) {
                    this.options.fleet.find(attempt.workerId)?.acknowledge(attemptId);
                }
            }
        }
    }

    /** Answers a census and refuses older homes from now on. */
    takeCensus(call: CensusCall): CensusAnswer | undefined {
        if (!this.fences.raise(call.homeSlice, call.epoch, call.floor)) {
            return undefined;
        }
        for (const attempt of this.options.ledger.book.listOfHome(call.homeSlice)) {
            if (this.options.ledger.isUnsent(attempt) && !this.fences.may(attempt.order.home)) {
                // Told as not started until acknowledged: the new home may start it again, even if it must not run twice.
                this.options.core.withdraw(attempt.order.attempt);
                this.options.ledger.end(attempt, {
                    state: TaskUpdateState.notStarted,
                    reason: "its home has changed",
                });
            }
        }
        const tasks = this.options.ledger.book.listOfHome(call.homeSlice).map(attempt =>
            attempt.end ?? this.options.ledger.describe(attempt)
        );
        return {
            kind: "census",
            slices: this.options.fleet.listSlices().filter(slice => slice.ready),
            tasks,
        };
    }

    /** Ends an attempt that the core sheds. */
    shed(itemId: string, reason: ShedReason, retryAfterMs: Millis): void {
        const attempt = this.options.ledger.book.find(itemId);
        if (attempt !== undefined) {
            this.options.ledger.end(attempt, { state: TaskUpdateState.notStarted, reason, retryAfterMs });
        }
    }

    /** Gives back to their homes all attempts that have not started: this placer takes no more work. */
    returnQueued(reason: string): void {
        for (const attempt of [...this.options.ledger.book.listAll()]) {
            if (this.options.ledger.isUnsent(attempt)) {
                this.options.core.withdraw(attempt.order.attempt);
                this.options.ledger.end(attempt, {
                    state: TaskUpdateState.notStarted,
                    reason,
                    retryAfterMs: 0,
                });
            }
        }
        this.options.ledger.outbox.flush();
    }

    private enqueue(order: PlaceOrder): void {
        const now = this.options.context.clock.now();
        const attempt = this.options.ledger.addQueued(order);
        const result = this.options.core.enqueue(buildItem(order, now), now);
        if (result.kind === "shed") {
            this.shed(order.attempt, result.reason, result.retryAfterMs);
        }
        else if (result.kind === "neverFits") {
            this.options.ledger.end(attempt, { state: TaskUpdateState.notStarted, reason: "neverFits" });
        }
    }

    private commitGang(gangId: string): void {
        const decisions = this.options.core.commitHold(gangId, this.options.context.clock.now());
        for (const decision of decisions) {
            if (decision.kind === "start") {
                this.options.start(decision);
            }
        }
        for (const attempt of [...this.options.ledger.book.listAll()]) {
            if (attempt.order.gangId === gangId && attempt.state === AttemptState.queued) {
                this.options.ledger.end(attempt, {
                    state: TaskUpdateState.notStarted,
                    reason: "the reservation had ended",
                });
            }
        }
    }

    private withdraw(attemptId: string, stop: boolean): void {
        const attempt = this.options.ledger.book.find(attemptId);
        if (attempt === undefined) {
            // A gang that did not get all its places gives back those that it got. What is reserved for it stays.
            this.options.core.release(attemptId, this.options.context.clock.now());
            return;
        }
        if (attempt.order.gangId !== undefined && attempt.state === AttemptState.queued) {
            this.options.core.releaseHold(attempt.order.gangId);
        }
        if (this.options.ledger.isUnsent(attempt)) {
            this.options.core.withdraw(attemptId);
            this.options.ledger.end(attempt, { state: TaskUpdateState.notStarted, reason: "withdrawn" });
        }
        else if (stop && attempt.state !== AttemptState.ended) {
            this.options.stop(attemptId);
        }
    }
}
