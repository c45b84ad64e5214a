/** Starts tasks: whose turn it is by the policies' ranks, and where by the room index. */
import type { Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import type { Resources } from "../../common/resources.js";
import { Adoption } from "../../version/settings.js";
import type { RoomListener } from "./books.js";
import type { ItemRecord } from "./item-record.js";
import { Line } from "./line.js";
import type { Decision, WorkItem } from "./placement-core.js";
import type { Policy } from "./policy.js";
import type { Preemption } from "./preemption.js";
import type { Reservations } from "./reservations.js";
import type { SearchResult } from "./room-index.js";
import { type QueueListener, RoomQueue } from "./room-queue.js";
import type { Scheduler, SchedulerContext } from "./scheduler.js";
import type { Reservation, WorkerRecord } from "./worker-record.js";

/** Waiting after which a task that fits nowhere gets room reserved, at aging 1. */
const RESERVE_AFTER_MS = 60_000;
/** Time for which such room is kept. */
const RESERVATION_MS = 600_000;
/** Tasks with reserved room at once, as a share of the workers. */
const RESERVED_SHARE = 0.05;
const SWEEP_MS = 1_000;
/** Time after the last task for accelerators for which room is left beside idle ones. */
const KEEP_FOR_ACCELERATORS_MS = 1_800_000;
/** Urgent tasks of one line that preempt at once. */
const URGENT_LOOKAHEAD = 16;

/** Tasks that wait for processors, memory and accelerators. */
export class RoomScheduler implements Scheduler, RoomListener, QueueListener {
    private readonly queues = new Map<string, RoomQueue>();
    /** Queues with something to decide. */
    private readonly ready = new Set<RoomQueue>();
    /** Queues whose size fitted nowhere. */
    private readonly blocked = new Set<RoomQueue>();
    private readonly urgent = new Set<Line>();
    private sweptAt: Millis = -Infinity;
    /** When a task for accelerators was last handed in, and whether room is left for more. */
    private acceleratedAt: Millis = -Infinity;
    private keepsRoom = false;

    constructor(
        private readonly context: SchedulerContext,
        private readonly reservations: Reservations,
        private readonly preemption: Preemption,
    ) {
        context.books.subscribeRoom(this);
    }

    enqueue(record: ItemRecord, policy: Policy): void {
        const { item, branch } = record;
        if (branch === undefined) {
            return;
        }
        if (item.resources.accelerators > 0) {
            this.acceleratedAt = Math.max(this.acceleratedAt, item.queuedAt);
        }
        const queue = this.getQueue(item.resources);
        const key = `${item.branch}|${item.urgent ? "urgent" : "usual"}|${policy.getLineKey(item)}`;
        let line = queue.lines.get(key);
        if (line === undefined) {
            const team = this.context.books.teams.get(item.team);
            line = new Line(key, branch, policy, item.urgent, team, queue);
            queue.lines.set(key, line);
        }
        const wasEmpty = line.length === 0;
        this.context.waiting.push(line, record);
        queue.size += 1;
        if (wasEmpty) {
            line.startTag = Math.max(queue.virtualTime, line.finishTag);
            line.team.lines.add(line);
            queue.refresh(line);
        }
        if (line.urgent) {
            this.urgent.add(line);
        }
    }

    remove(record: ItemRecord): void {
        const { line } = record;
        const queue = line?.queue;
        if (line === undefined || !(queue instanceof RoomQueue)) {
            return;
        }
        const wasHead = line.head === record;
        this.context.waiting.remove(line, record);
        queue.size -= 1;
        this.reservations.drop(record.item.id);
        if (line.length === 0) {
            this.closeLine(line, queue);
        }
        else if (wasHead && !line.team.parked.has(line)) {
            queue.refresh(line);
        }
    }

    decide(now: Millis, random: Random, decisions: Decision[], most: number): void {
        this.reservations.expire(now);
        this.startReserved(now, decisions);
        this.preemptUrgent(now, random);
        while (decisions.length < most) {
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
            this.reserveForOld(now, random);
            this.updateKeepsRoom(now);
        }
    }

    /** @returns Whether something can be decided now. */
    hasReady(): boolean {
        return this.ready.size > 0;
    }

    /** @returns Whether something waits for room, so that time alone may change what is decided. */
    hasBlocked(): boolean {
        return this.blocked.size > 0 || this.context.books.reserved.size > 0;
    }

    explain(record: ItemRecord): readonly string[] {
        const { line } = record;
        if (line === undefined || !(line.queue instanceof RoomQueue)) {
            return [];
        }
        const { need, blocked } = line.queue;
        const lines = [
            `it stands in a line of ${line.length} with rank ${Math.round(line.policy.computeRank(line))}`,
        ];
        if (line.team.parked.has(line)) {
            lines.push(`team ${line.team.team} uses all that it may use at this placer`);
        }
        if (blocked) {
            const size =
                `${need.cpuMillis} cpuMillis, ${need.memoryMib} MiB, ${need.accelerators} accelerators`;
            lines.push(`no open worker of this placer has ${size} free now`);
        }
        for (const worker of this.reservations.list(record.item.id)) {
            lines.push(`room is kept for it on ${worker.id}`);
        }
        return lines;
    }

    handleReady(queue: RoomQueue): void {
        this.ready.add(queue);
    }

    handleRoom(worker: WorkerRecord): void {
        for (const queue of this.blocked) {
            const fits = worker.reservation === undefined ?
                worker.mayTake(queue.need) :
                worker.hasRoom(queue.need);
            if (fits) {
                queue.addHint(worker);
                if (!queue.blocked) {
                    this.blocked.delete(queue);
                }
            }
        }
    }

    /** Finds the cheapest worker for an item by its policy, as ordinary work. */
    findWorker(item: WorkItem, policy: Policy, random: Random): SearchResult {
        const { books } = this.context;
        const rate = (worker: WorkerRecord) =>
            worker.mayTake(item.resources) ? policy.computeCost(item, worker, books) : undefined;
        if (item.avoid.length === 0) {
            return books.index.find(item.resources, rate, random);
        }
        const rateOthers = (worker: WorkerRecord) =>
            item.avoid.includes(worker.id) ? undefined : rate(worker);
        const others = books.index.find(item.resources, rateOthers, random);
        return others.worker === undefined ? books.index.find(item.resources, rate, random) : others;
    }

    private getQueue(need: Resources): RoomQueue {
        const key = `${need.cpuMillis}/${need.memoryMib}/${need.accelerators}`;
        let queue = this.queues.get(key);
        if (queue === undefined) {
            queue = new RoomQueue(key, need, this);
            this.queues.set(key, queue);
        }
        return queue;
    }

    private closeLine(line: Line, queue: RoomQueue): void {
        queue.lines.delete(line.key);
        line.team.lines.delete(line);
        line.team.parked.delete(line);
        this.urgent.delete(line);
        if (queue.size === 0) {
            this.queues.delete(queue.key);
            this.ready.delete(queue);
            this.blocked.delete(queue);
        }
    }

    private pickQueue(): RoomQueue | undefined {
        let best: RoomQueue | undefined;
        let bestRank = Infinity;
        for (const queue of this.ready) {
            const line = queue.peek();
            const rank = line === undefined ? Infinity : line.policy.computeRank(line);
            if (line === undefined) {
                this.ready.delete(queue);
            }
            else if (rank < bestRank) {
                best = queue;
                bestRank = rank;
            }
        }
        return best;
    }

    private decideNext(queue: RoomQueue, now: Millis, random: Random, decisions: Decision[]): void {
        const line = queue.peek();
        const record = line?.head;
        if (line === undefined || record === undefined) {
            return;
        }
        if (!line.team.mayUse(queue.need)) {
            queue.park(line);
            return;
        }
        const found = this.findPlace(queue, record, line.policy, now, random);
        if (found.worker === undefined) {
            queue.markBlocked();
            this.ready.delete(queue);
            this.blocked.add(queue);
            return;
        }
        const reason = `${line.branch.policy}: ${queue.blocked ? "room came free" : "best fit"}`;
        this.start(record, found.worker, reason, found.runnersUp, now, decisions);
    }

    private findPlace(
        queue: RoomQueue,
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
        for (const worker of this.context.books.reserved) {
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
        const { line, item } = record;
        if (line !== undefined && line.queue instanceof RoomQueue) {
            const cost = Math.max(1, record.expectedMs) / Math.max(line.branch.weight, MIN_WEIGHT);
            line.queue.virtualTime = Math.max(line.queue.virtualTime, line.startTag);
            line.finishTag = line.startTag + cost;
            line.startTag = line.finishTag;
        }
        this.remove(record);
        if (record.branch?.adoption === Adoption.shadow) {
            this.context.books.records.delete(item.id);
            decisions.push({ kind: "shadow", item, workerId: worker.id, reason });
            return;
        }
        record.reason = reason;
        record.backfilledFor = worker.reservation?.ownerId;
        this.context.books.place(record, worker, "running", now);
        decisions.push({ kind: "start", item, workerId: worker.id, reason, runnersUp });
    }

    /** Starts tasks whose reserved room is free, and makes backfilled work that overran give way. */
    private startReserved(now: Millis, decisions: Decision[]): void {
        for (const worker of this.context.books.reserved) {
            const { reservation } = worker;
            const record = reservation === undefined ?
                undefined :
                this.context.books.records.get(reservation.ownerId);
            if (reservation === undefined) {
                continue;
            }
            if (record?.line !== undefined && worker.hasRoom(reservation.unit)) {
                if (record.line.team.mayUse(reservation.unit)) {
                    this.start(record, worker, "room was kept for it", [], now, decisions);
                }
            }
            else if (now >= reservation.readyAt) {
                this.preemptBackfill(worker, reservation, now);
            }
        }
    }

    /** Stops backfilled work only where that makes the reserved room free: otherwise it is not what delays. */
    private preemptBackfill(worker: WorkerRecord, { ownerId, unit }: Reservation, now: Millis): void {
        const late = [...worker.tasks.values()].filter(task =>
            task.backfilledFor === ownerId && task.branch?.preemptible === true && task.item.repeatable
        );
        const cpu = late.reduce((sum, task) => sum + task.item.resources.cpuMillis, worker.freeCpu);
        const memory = late.reduce((sum, task) => sum + task.item.resources.memoryMib, worker.freeMemory);
        const accelerators = late.reduce(
            (sum, task) => sum + task.item.resources.accelerators,
            worker.freeAccelerators,
        );
        if (unit.cpuMillis <= cpu && unit.memoryMib <= memory && unit.accelerators <= accelerators) {
            late.forEach(task => this.preemption.add(task, worker, ownerId, now));
        }
    }

    private preemptUrgent(now: Millis, random: Random): void {
        for (const line of this.urgent) {
            let record = line.queue instanceof RoomQueue && line.queue.blocked ? line.head : undefined;
            for (let step = 0; step < URGENT_LOOKAHEAD && record !== undefined; step++) {
                if (!this.reservations.has(record.item.id) && line.team.mayUse(record.item.resources)) {
                    this.preemption.plan(record, now, random);
                }
                record = record.next;
            }
        }
    }

    /** Workers with accelerators are kept for accelerator work only while there is some. */
    private updateKeepsRoom(now: Millis): void {
        const keepsRoom = now - this.acceleratedAt < KEEP_FOR_ACCELERATORS_MS;
        if (keepsRoom !== this.keepsRoom) {
            this.keepsRoom = keepsRoom;
            this.context.books.setKeepsRoom(keepsRoom);
        }
    }

    /** Keeps room for tasks that have waited long for a size that fits nowhere: small work would pass for ever. */
    private reserveForOld(now: Millis, random: Random): void {
        const most = Math.max(1, Math.floor(RESERVED_SHARE * this.context.books.workers.size));
        const blocked = [...this.blocked].sort((left, right) => compareHeads(left, right));
        for (const queue of blocked) {
            const line = queue.peek();
            const record = line?.head;
            if (this.context.books.reserved.size >= most || line === undefined || record === undefined) {
                return;
            }
            const patience = RESERVE_AFTER_MS / Math.max(line.branch.agingPerMinute, MIN_WEIGHT);
            if (now - record.item.queuedAt < patience || this.reservations.has(record.item.id)) {
                continue;
            }
            const plan = this.reservations.plan(queue.need, now, random);
            if (plan !== undefined) {
                const { worker, readyAt } = plan;
                const expiresAt = now + RESERVATION_MS;
                const ownerId = record.item.id;
                this.reservations.add(worker, { ownerId, unit: queue.need, count: 1, readyAt, expiresAt });
            }
        }
    }
}

const MIN_WEIGHT = 0.001;

function compareHeads(left: RoomQueue, right: RoomQueue): number {
    return (left.peek()?.getHeadQueuedAt() ?? Infinity) - (right.peek()?.getHeadQueuedAt() ?? Infinity);
}
