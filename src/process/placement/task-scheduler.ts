/** Starts tasks: the policies' ranks decide which is next, the capacity index finds the worker. */
import type { Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import type { Resources } from "../../common/resources.js";
import { Adoption } from "../../version/settings.js";
import type { CapacityListener } from "./allocation-ledger.js";
import type { SearchResult } from "./capacity-index.js";
import { Flow } from "./flow.js";
import type { ItemRecord } from "./item-record.js";
import type { Decision, WorkItem } from "./placement-core.js";
import type { Policy } from "./policy.js";
import type { Preemption } from "./preemption.js";
import type { Reservations } from "./reservations.js";
import type { Scheduler, SchedulerContext } from "./scheduler.js";
import { type QueueListener, TaskQueue } from "./task-queue.js";
import type { Reservation, WorkerRecord } from "./worker-record.js";

/** Waiting time, at aging 1, after which capacity is reserved for a task that fits nowhere. */
const RESERVE_AFTER_MS = 60_000;
/** Lifetime of such a reservation. */
const RESERVATION_MS = 600_000;
/** Share of reserved workers, for tasks or gangs, at which no more reservations are made for tasks. */
const MAX_RESERVED_SHARE = 0.05;
const SWEEP_MS = 1_000;
/** Time after the last task for accelerators during which headroom is kept beside idle ones. */
const ACCELERATOR_HEADROOM_MS = 1_800_000;
/** Maximum number of urgent tasks of one flow that preempt at once. */
const MAX_URGENT_PREEMPTING = 16;

/** Schedules tasks that wait for processors, memory and accelerators. */
export class TaskScheduler implements Scheduler, CapacityListener, QueueListener {
    private readonly queues = new Map<string, TaskQueue>();
    /** Queues that may have a task that can be placed. */
    private readonly ready = new Set<TaskQueue>();
    /** Queues whose demand fitted on no worker. */
    private readonly blocked = new Set<TaskQueue>();
    private readonly urgent = new Set<Flow>();
    private sweptAt: Millis = -Infinity;
    /** When the last task for accelerators was queued, and whether headroom is kept for more. */
    private lastAcceleratorDemandAt: Millis = -Infinity;
    private keepsHeadroom = false;

    constructor(
        private readonly context: SchedulerContext,
        private readonly reservations: Reservations,
        private readonly preemption: Preemption,
    ) {
        context.ledger.subscribeCapacity(this);
    }

    enqueue(record: ItemRecord, policy: Policy): void {
        const { item, branch } = record;
        if (branch === undefined) {
            return;
        }
        if (item.resources.accelerators > 0) {
            this.lastAcceleratorDemandAt = Math.max(this.lastAcceleratorDemandAt, item.queuedAt);
        }
        const queue = this.getQueue(item.resources);
        const key = `${item.branch}|${item.urgent ? "urgent" : "usual"}|${policy.getFlowKey(item)}`;
        let flow = queue.flows.get(key);
        if (flow === undefined) {
            const team = this.context.ledger.teams.get(item.team);
            flow = new Flow(key, branch, policy, item.urgent, team, queue);
            queue.flows.set(key, flow);
        }
        const wasEmpty = flow.length === 0;
        this.context.waiting.push(flow, record);
        queue.size += 1;
        if (wasEmpty) {
            flow.startTag = Math.max(queue.virtualTime, flow.finishTag);
            flow.team.flows.add(flow);
            queue.refresh(flow);
        }
        if (flow.urgent) {
            this.urgent.add(flow);
        }
    }

    remove(record: ItemRecord): void {
        const { flow } = record;
        const queue = flow?.queue;
        if (flow === undefined || !(queue instanceof TaskQueue)) {
            return;
        }
        const wasHead = flow.head === record;
        this.context.waiting.remove(flow, record);
        queue.size -= 1;
        this.reservations.drop(record.item.id);
        if (flow.length === 0) {
            this.closeFlow(flow, queue);
        }
        else if (wasHead && !flow.team.parkedFlows.has(flow)) {
            queue.refresh(flow);
        }
    }

    decide(now: Millis, random: Random, decisions: Decision[], maxDecisions: number): void {
        this.reservations.expire(now);
        this.startReserved(now, decisions);
        this.preemptUrgent(now, random);
        while (decisions.length < maxDecisions) {
            const queue = this.pickQueue();
            if (queue === undefined) {
                break;
            }
            this.decideNext(queue, now, random, decisions);
        }
        this.preemptUrgent(now, random);
        this.preemption.decide(now, decisions);
        if (now >= this.sweptAt + SWEEP_MS) {
            this.sweptAt = now;
            this.reserveForLongWaiting(now, random);
            this.updateHeadroom(now);
        }
    }

    /** @returns Whether some task may be placeable now. */
    hasReady(): boolean {
        return this.ready.size > 0;
    }

    /** @returns Whether tasks wait for capacity, so that time alone may make a decision possible. */
    hasBlocked(): boolean {
        return this.blocked.size > 0 || this.context.ledger.reserved.size > 0;
    }

    explain(record: ItemRecord): readonly string[] {
        const { flow } = record;
        if (flow === undefined || !(flow.queue instanceof TaskQueue)) {
            return [];
        }
        const { demand, blocked } = flow.queue;
        const reasons = [
            `it stands in a line of ${flow.length} with rank ${Math.round(flow.policy.computeRank(flow))}`,
        ];
        if (flow.team.parkedFlows.has(flow)) {
            reasons.push(`team ${flow.team.team} uses all that it may use at this placer`);
        }
        if (blocked) {
            const size =
                `${demand.cpuMillis} cpuMillis, ${demand.memoryMib} MiB, ${demand.accelerators} accelerators`;
            reasons.push(`no open worker of this placer has ${size} free now`);
        }
        for (const worker of this.reservations.list(record.item.id)) {
            reasons.push(`room is kept for it on ${worker.id}`);
        }
        return reasons;
    }

    handleReady(queue: TaskQueue): void {
        this.ready.add(queue);
    }

    handleCapacity(worker: WorkerRecord): void {
        for (const queue of this.blocked) {
            const fits = worker.reservation === undefined ?
                worker.mayTake(queue.demand) :
                worker.hasCapacity(queue.demand);
            if (fits) {
                queue.addHint(worker);
                if (!queue.blocked) {
                    this.blocked.delete(queue);
                }
            }
        }
    }

    /** Finds the worker of lowest cost by the policy, among the workers without a reservation. */
    findWorker(item: WorkItem, policy: Policy, random: Random): SearchResult {
        const { ledger } = this.context;
        const rate = (worker: WorkerRecord) =>
            worker.mayTake(item.resources) ? policy.computeCost(item, worker, ledger) : undefined;
        if (item.avoid.length === 0) {
            return ledger.index.find(item.resources, rate, random);
        }
        const rateOthers = (worker: WorkerRecord) =>
            item.avoid.includes(worker.id) ? undefined : rate(worker);
        const preferred = ledger.index.find(item.resources, rateOthers, random);
        return preferred.worker === undefined ? ledger.index.find(item.resources, rate, random) : preferred;
    }

    private getQueue(demand: Resources): TaskQueue {
        const key = `${demand.cpuMillis}/${demand.memoryMib}/${demand.accelerators}`;
        let queue = this.queues.get(key);
        if (queue === undefined) {
            queue = new TaskQueue(key, demand, this);
            this.queues.set(key, queue);
        }
        return queue;
    }

    private closeFlow(flow: Flow, queue: TaskQueue): void {
        queue.flows.delete(flow.key);
        flow.team.flows.delete(flow);
        flow.team.parkedFlows.delete(flow);
        this.urgent.delete(flow);
        if (queue.size === 0) {
            this.queues.delete(queue.key);
            this.ready.delete(queue);
            this.blocked.delete(queue);
        }
    }

    private pickQueue(): TaskQueue | undefined {
        let best: TaskQueue | undefined;
        let bestRank = Infinity;
        for (const queue of this.ready) {
            const flow = queue.peek();
            const rank = flow === undefined ? Infinity : flow.policy.computeRank(flow);
            if (flow === undefined) {
                this.ready.delete(queue);
            }
            else if (rank < bestRank) {
                best = queue;
                bestRank = rank;
            }
        }
        return best;
    }

    private decideNext(queue: TaskQueue, now: Millis, random: Random, decisions: Decision[]): void {
        const flow = queue.peek();
        const record = flow?.head;
        if (flow === undefined || record === undefined) {
            return;
        }
        if (!flow.team.mayUse(queue.demand)) {
            queue.park(flow);
            return;
        }
        const found = this.findPlace(queue, record, flow.policy, now, random);
        if (found.worker === undefined) {
            queue.markBlocked();
            this.ready.delete(queue);
            this.blocked.add(queue);
            return;
        }
        const reason = `${flow.branch.policy}: ${queue.blocked ? "room came free" : "best fit"}`;
        this.start(record, found.worker, reason, found.runnersUp, now, decisions);
    }

    private findPlace(
        queue: TaskQueue,
        record: ItemRecord,
        policy: Policy,
        now: Millis,
        random: Random,
    ): SearchResult {
        const fits = (worker: WorkerRecord) => this.mayStart(worker, record, now);
        if (queue.blocked) {
            return { worker: queue.takeHint(fits), runnersUp: [] };
        }
        const found = this.findWorker(record.item, policy, random);
        if (found.worker !== undefined) {
            return found;
        }
        for (const worker of this.context.ledger.reserved) {
            if (fits(worker)) {
                return { worker, runnersUp: [] };
            }
        }
        return found;
    }

    private mayStart(worker: WorkerRecord, record: ItemRecord, now: Millis): boolean {
        if (!worker.open) {
            return false;
        }
        return worker.reservation === undefined ?
            worker.mayTake(record.item.resources) :
            this.reservations.mayBackfill(worker, record, now);
    }

    private start(
        record: ItemRecord,
        worker: WorkerRecord,
        reason: string,
        runnersUp: readonly string[],
        now: Millis,
        decisions: Decision[],
    ): void {
        const { flow, item } = record;
        if (flow !== undefined && flow.queue instanceof TaskQueue) {
            const cost = Math.max(1, record.expectedMs) / Math.max(flow.branch.weight, MIN_WEIGHT);
            flow.queue.virtualTime = Math.max(flow.queue.virtualTime, flow.startTag);
            flow.finishTag = flow.startTag + cost;
            flow.startTag = flow.finishTag;
        }
        this.remove(record);
        if (record.branch?.adoption === Adoption.shadow) {
            this.context.ledger.records.delete(item.id);
            decisions.push({ kind: "shadow", item, workerId: worker.id, reason });
            return;
        }
        record.reason = reason;
        record.backfilledFor = worker.reservation?.ownerId;
        this.context.ledger.place(record, worker, "running", now);
        decisions.push({ kind: "start", item, workerId: worker.id, reason, runnersUp });
    }

    /** Starts tasks whose reserved capacity is free; preempts backfill that overran the reserved start. */
    private startReserved(now: Millis, decisions: Decision[]): void {
        for (const worker of this.context.ledger.reserved) {
            const { reservation } = worker;
            const record = reservation === undefined ?
                undefined :
                this.context.ledger.records.get(reservation.ownerId);
            if (reservation === undefined) {
                continue;
            }
            if (record?.flow !== undefined && worker.hasCapacity(reservation.unit)) {
                if (record.flow.team.mayUse(reservation.unit)) {
                    this.start(record, worker, "room was kept for it", [], now, decisions);
                }
            }
            else if (now >= reservation.readyAt) {
                this.preemptBackfill(worker, reservation, now);
            }
        }
    }

    /** Preempts backfill only if that frees the reserved capacity; else other tasks cause the delay. */
    private preemptBackfill(worker: WorkerRecord, { ownerId, unit }: Reservation, now: Millis): void {
        const overrunning = [...worker.tasks.values()].filter(task =>
            task.backfilledFor === ownerId && task.branch?.preemptible === true && task.item.repeatable
        );
        const cpu = overrunning.reduce((sum, task) => sum + task.item.resources.cpuMillis, worker.freeCpu);
        const memory = overrunning.reduce(
            (sum, task) => sum + task.item.resources.memoryMib,
            worker.freeMemory,
        );
        const accelerators = overrunning.reduce(
            (sum, task) => sum + task.item.resources.accelerators,
            worker.freeAccelerators,
        );
        if (unit.cpuMillis <= cpu && unit.memoryMib <= memory && unit.accelerators <= accelerators) {
            overrunning.forEach(task => this.preemption.add(task, worker, ownerId, now));
        }
    }

    private preemptUrgent(now: Millis, random: Random): void {
        for (const flow of this.urgent) {
            let record = flow.queue instanceof TaskQueue && flow.queue.blocked ? flow.head : undefined;
            for (let step = 0; step < MAX_URGENT_PREEMPTING && record !== undefined; step++) {
                if (!this.reservations.has(record.item.id) && flow.team.mayUse(record.item.resources)) {
                    this.preemption.plan(record, now, random);
                }
                record = record.next;
            }
        }
    }

    /** Keeps headroom beside accelerators only while tasks for accelerators arrive. */
    private updateHeadroom(now: Millis): void {
        const keepsHeadroom = now - this.lastAcceleratorDemandAt < ACCELERATOR_HEADROOM_MS;
        if (keepsHeadroom !== this.keepsHeadroom) {
            this.keepsHeadroom = keepsHeadroom;
            this.context.ledger.setKeepsHeadroom(keepsHeadroom);
        }
    }

    /** Reserves capacity for tasks that have long fitted nowhere, so that small tasks cannot starve them. */
    private reserveForLongWaiting(now: Millis, random: Random): void {
        const maxReserved = Math.max(1, Math.floor(MAX_RESERVED_SHARE * this.context.ledger.workers.size));
        const blocked = [...this.blocked].sort((left, right) => compareByHeadAge(left, right));
        for (const queue of blocked) {
            const flow = queue.peek();
            const record = flow?.head;
            if (
                this.context.ledger.reserved.size >= maxReserved || flow === undefined || record === undefined
            ) {
                return;
            }
            const reserveAfterMs = RESERVE_AFTER_MS / Math.max(flow.branch.agingPerMinute, MIN_WEIGHT);
            if (now - record.item.queuedAt < reserveAfterMs || this.reservations.has(record.item.id)) {
                continue;
            }
            const plan = this.reservations.plan(queue.demand, now, random);
            if (plan !== undefined) {
                const { worker, readyAt } = plan;
                const expiresAt = now + RESERVATION_MS;
                const ownerId = record.item.id;
                this.reservations.add(worker, { ownerId, unit: queue.demand, count: 1, readyAt, expiresAt });
            }
        }
    }
}

const MIN_WEIGHT = 0.001;

function compareByHeadAge(left: TaskQueue, right: TaskQueue): number {
    return (left.peek()?.getHeadQueuedAt() ?? Infinity) - (right.peek()?.getHeadQueuedAt() ?? Infinity);
}
