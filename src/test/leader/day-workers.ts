/** The workers of a random day: their incarnations, their entries in the worker list, and their faults. */
import type { Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import type { Resources } from "../../common/resources.js";
import { buildIncarnationId } from "../../process/ports/incarnation.js";
import type { TaskWorkerModelOptions } from "../../stand-ins/index.js";
import type { DayLeaders } from "./day-leaders.js";
import { DAY_CAPACITY } from "./day-work.js";
import type { LeaderCell } from "./leader-cell.js";

const WORKERS = 12;
const DRAINING_MS: Millis = 3_000;
const MAX_LIST_LAG_MS: Millis = 2_000;
/** Time for which orders sent before a worker's capacity shrank may still be carried out. */
const SHRINK_GRACE_MS: Millis = 1_200;

/** A worker address and the state of its current incarnation. */
export interface DayWorker {
    readonly address: string;
    workerId: string;
    /** Factor by which runs take longer than usual. */
    slowness: number;
    isHealthy: boolean;
    isAlive: boolean;
    isDraining: boolean;
    isListed: boolean;
    /** Capacity that its registration states. */
    capacity: Resources;
    /** Capacity that starts may still use; follows a shrunk capacity after a grace period. */
    allowedCapacity: Resources;
}

/** Callbacks of one incarnation's model. */
export type WorkerHooks = Partial<TaskWorkerModelOptions>;

/** Starts, kills and disturbs the workers of a random day. */
export class DayWorkers {
    readonly all: readonly DayWorker[];
    private incarnations = 0;

    /**
     * @param buildHooks - Builds the callbacks of one incarnation.
     * @param leaders - Leaders that receive the worker list.
     * @param keepsNames - Whether a worker starts again under the name that it had.
     */
    constructor(
        private readonly cell: LeaderCell,
        private readonly random: Random,
        private readonly buildHooks: (worker: DayWorker, workerId: string) => WorkerHooks,
        private readonly leaders: DayLeaders,
        private readonly keepsNames: boolean,
    ) {
        this.all = Array.from({ length: WORKERS }, (...[, index]): DayWorker => ({
            address: `10.0.0.${index + 1}:80`,
            workerId: "",
            slowness: 1,
            isHealthy: true,
            isAlive: true,
            isDraining: false,
            isListed: true,
            capacity: DAY_CAPACITY,
            allowedCapacity: DAY_CAPACITY,
        }));
        this.all.forEach(worker => this.startIncarnation(worker));
    }

    /** Picks a worker at random. */
    pick(): DayWorker {
        return this.all[this.random.pickInt(this.all.length)] as DayWorker;
    }

    /** Returns whether an incarnation is in the worker list and not draining. */
    isListed(workerId: string): boolean {
        return this.all.some(worker => worker.workerId === workerId && worker.isListed && !worker.isDraining);
    }

    /** Removes one worker, or about half of all, from the list for some time; they keep running. */
    dropFromList(): void {
        const chosen = this.random.pickInt(4) === 0 ?
            this.all.filter(() => this.random.pickInt(2) === 0) :
            [this.pick()];
        chosen.forEach(worker => worker.isListed = false);
        this.publish();
        this.cell.clock.schedule(200 + this.random.pickInt(9_000), () => {
            chosen.forEach(worker => worker.isListed = true);
            this.publish();
        });
    }

    /** Reduces the capacity of a worker for some time. */
    cutCapacity(): void {
        const worker = this.pick();
        const cpuMillis = Math.round(DAY_CAPACITY.cpuMillis * this.random.pickInt(4) / 4);
        worker.capacity = { ...DAY_CAPACITY, cpuMillis };
        if (cpuMillis > worker.allowedCapacity.cpuMillis) {
            worker.allowedCapacity = worker.capacity;
        }
        this.publish();
        this.cell.clock.schedule(SHRINK_GRACE_MS, () => worker.allowedCapacity = worker.capacity);
        this.cell.clock.schedule(SHRINK_GRACE_MS + this.random.pickInt(9_000), () => {
            this.restoreCapacity(worker);
            this.publish();
        });
    }

    private restoreCapacity(worker: DayWorker): void {
        worker.capacity = DAY_CAPACITY;
        worker.allowedCapacity = DAY_CAPACITY;
    }

    /** Ends the incarnation of a worker; another starts at once or later. */
    restart(): void {
        const worker = this.pick();
        if (!worker.isAlive) {
            return;
        }
        if (this.random.pickInt(2) === 0) {
            this.startIncarnation(worker);
            this.publishStart();
            return;
        }
        this.killIncarnation(worker, 500 + this.random.pickInt(6_000), this.random.pickInt(2) === 0);
    }

    /**
     * Kills an incarnation without notice.
     * @param downMs - Time until the next one starts.
     * @param isListed - Whether the killed incarnation stays in the worker list until then.
     */
    killIncarnation(worker: DayWorker, downMs: Millis, isListed: boolean): void {
        worker.isAlive = false;
        this.cell.killWorker(worker.address);
        worker.isListed = isListed;
        this.publish();
        this.cell.clock.schedule(downMs, () => {
            worker.isAlive = true;
            worker.isListed = true;
            this.startIncarnation(worker);
            this.publish();
        });
    }

    /** Makes a worker drain and restart, refuse orders for some time, or run slowly. */
    break(): void {
        const worker = this.pick();
        switch (this.random.pickInt(4)) {
            case 0:
                worker.isDraining = true;
                this.publish();
                this.cell.clock.schedule(DRAINING_MS + this.random.pickInt(4_000), () => {
                    this.startIncarnation(worker);
                    this.publish();
                });
                return;
            case 1:
                worker.isHealthy = false;
                this.cell.clock.schedule(this.random.pickInt(5_000), () => worker.isHealthy = true);
                return;
            default:
                worker.slowness = 1 + this.random.pickInt(5);
        }
    }

    /** Ends all faults of the workers and of the paths to them. */
    heal(): void {
        for (const worker of this.all) {
            Object.assign(worker, { isListed: true, isHealthy: true, slowness: 1 });
        }
        for (const { workers } of this.leaders.all) {
            for (const { address } of this.all) {
                Object.assign(workers.getPath(address).faults, { dropAnswerShare: 0, delayShare: 0 });
            }
        }
        this.publish();
    }

    private startIncarnation(worker: DayWorker): void {
        this.incarnations += 1;
        const workerId = this.keepsNames ?
            buildIncarnationId({ name: worker.address, startedAt: this.incarnations }) :
            `w${this.incarnations}`;
        this.cell.removeFromList(worker.workerId);
        Object.assign(worker, { workerId, isDraining: false, isHealthy: true, isAlive: true });
        this.cell.addWorker(workerId, worker.address, {
            capacity: DAY_CAPACITY,
            clockOffset: this.random.pickInt(90_000),
            clockRate: this.random.pickInt(4) === 0 ? 0.98 : 1,
            stopMs: 20 + this.random.pickInt(380),
            checksAdmission: this.random.pickInt(3) === 0,
            isHealthy: () => worker.isHealthy || worker.workerId !== workerId,
            ...this.buildHooks(worker, workerId),
        });
    }

    /** Publishes the list after a start; a worker that keeps its name may be heard before that. */
    private publishStart(): void {
        if (this.keepsNames) {
            this.cell.clock.schedule(this.random.pickInt(MAX_LIST_LAG_MS), () => this.publish());
            return;
        }
        this.publish();
    }

    /** Updates the worker list and sends it to all leaders. */
    private publish(): void {
        for (const { workerId, address, isListed, isDraining, capacity } of this.all) {
            if (isListed) {
                this.cell.restoreToList(workerId, address, { capacity, isDraining });
            }
            else {
                this.cell.removeFromList(workerId);
            }
        }
        this.leaders.publishWorkers();
    }
}
