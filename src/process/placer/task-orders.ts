/** Handles what homes send to a placer: orders, withdrawals, reservations, acknowledgements and censuses. */
import type { Millis } from "../../common/clock.js";
import {
    type AcknowledgeNotification,
    type CensusAnswer,
    type CensusCall,
    type ConfirmNotification,
    type PlaceNotification,
    type PlaceOrder,
    type ReserveAnswer,
    type ReserveCall,
    TaskUpdateState,
    type WithdrawNotification,
} from "../../connection/messages.js";
import type { Decision, PlacementCore, ShedReason } from "../placement/placement-core.js";
import type { RoleContext } from "../roles.js";
import { type AttemptLedger, buildWorkItem } from "./attempt-ledger.js";
import { type Attempt, AttemptState } from "./attempt-registry.js";
import { HomeFences } from "./home-fences.js";
import type { WorkerFleet } from "./worker-fleet.js";

/** Options of {@link TaskOrders}. */
export interface TaskOrdersOptions {
    readonly context: RoleContext;
    readonly core: PlacementCore;
    readonly ledger: AttemptLedger;
    readonly fleet: WorkerFleet;
    /** Carries out a start decision. */
    start(decision: Extract<Decision, { kind: "start"; }>): void;
    /** Starts an attempt whose home has confirmed the start. */
    startGranted(attempt: Attempt): void;
    /** Stops a running attempt. */
    stop(attemptId: string): void;
    /** Schedules a new placement round. */
    requestDecisions(): void;
}

/** Applies the orders of homes to the attempts of this placer. */
export class TaskOrders {
    readonly fences: HomeFences;

    constructor(private readonly options: TaskOrdersOptions) {
        this.fences = new HomeFences(options.context.ownership);
    }

    /**
     * Accepts tasks from a home. An order that was seen before, or whose home is outdated, is ignored without
     * an answer, because "not started" would be wrong if an earlier copy of the order has run.
     */
    receivePlace(notification: PlaceNotification): void {
        const gangs = new Set<string>();
        for (const order of notification.orders) {
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

    /** Reserves capacity for a gang. */
    reserve(call: ReserveCall): ReserveAnswer {
        if (!this.fences.isAdmissible(call.home)) {
            return { kind: "reserved", held: 0 };
        }
        const now = this.options.context.clock.now();
        const items = call.orders.map(order => buildWorkItem(order, now));
        const hold = this.options.core.reserve(call.gangId, items, now + call.holdMs, now);
        return { kind: "reserved", held: hold.held, moreAfterMs: hold.moreAfterMs };
    }

    /** Starts granted attempts whose start markers the home has stored durably. */
    receiveConfirm(notification: ConfirmNotification): void {
        for (const attemptId of notification.attempts) {
            const attempt = this.options.ledger.attempts.find(attemptId);
            if (attempt?.state === AttemptState.granted && this.fences.isAdmissible(attempt.order.home)) {
                this.options.startGranted(attempt);
            }
        }
    }

    /** Withdraws attempts that have not started and, if asked to, stops the others. */
    receiveWithdraw(notification: WithdrawNotification): void {
        for (const attemptId of notification.attempts) {
            this.withdraw(attemptId, notification.stop);
        }
        this.options.requestDecisions();
    }

    /** Drops ended attempts whose ends the home has stored durably. */
    receiveAcknowledge(notification: AcknowledgeNotification): void {
        for (const attemptId of notification.attempts) {
            const attempt = this.options.ledger.attempts.find(attemptId);
            this.options.ledger.outbox.drop(notification.homeSlice, attemptId);
            if (attempt?.state === AttemptState.ended) {
                this.options.ledger.attempts.remove(attempt);
                if (attempt.workerId !== undefined) {
                    this.options.fleet.find(attempt.workerId)?.acknowledge(attemptId);
                }
            }
        }
    }

    /** Answers a census, and refuses older homes from now on; undefined if the asking home is outdated. */
    handleCensus(call: CensusCall): CensusAnswer | undefined {
        if (!this.fences.raiseFloor(call.homeSlice, call.epoch, call.floor)) {
            return undefined;
        }
        for (const attempt of this.options.ledger.attempts.listOfHome(call.homeSlice)) {
            if (this.options.ledger.isUnsent(attempt) && !this.fences.isAdmissible(attempt.order.home)) {
                // Reported as not started until acknowledged, so that the new home may start even a task that
                // must not run twice.
                this.options.core.withdraw(attempt.order.attempt);
                this.options.ledger.end(attempt, {
                    state: TaskUpdateState.notStarted,
                    reason: "its home has changed",
                });
            }
        }
        const tasks = this.options.ledger.attempts.listOfHome(call.homeSlice).map(attempt =>
            attempt.end ?? this.options.ledger.buildUpdate(attempt)
        );
        return {
            kind: "census",
            slices: this.options.fleet.listSlices().filter(slice => slice.ready),
            tasks,
        };
    }

    /** Ends an attempt that the placement core has shed. */
    shed(itemId: string, reason: ShedReason, retryAfterMs: Millis): void {
        const attempt = this.options.ledger.attempts.find(itemId);
        if (attempt !== undefined) {
            this.options.ledger.end(attempt, { state: TaskUpdateState.notStarted, reason, retryAfterMs });
        }
    }

    /** Returns all attempts that have not started to their homes. */
    returnQueued(reason: string): void {
        for (const attempt of [...this.options.ledger.attempts.listAll()]) {
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
        const result = this.options.core.enqueue(buildWorkItem(order, now), now);
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
        for (const attempt of [...this.options.ledger.attempts.listAll()]) {
            if (attempt.order.gangId === gangId && attempt.state === AttemptState.queued) {
                this.options.ledger.end(attempt, {
                    state: TaskUpdateState.notStarted,
                    reason: "the reservation had ended",
                });
            }
        }
    }

    private withdraw(attemptId: string, stop: boolean): void {
        const attempt = this.options.ledger.attempts.find(attemptId);
        if (attempt === undefined) {
            // A gang that did not get all its places releases those it has; its reservation stays.
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
